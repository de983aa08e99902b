package routing

import (
	"fmt"
	"testing"

	_ "eelgrasshollow/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func pendingRequest(account string, priority, tokens int) *Pending {
	return &Pending{Request: Request{Account: account, Priority: priority, PromptTokens: tokens}}
}

func TestHigherPriorityGoesFirst(t *testing.T) {
	var q fairQueue
	low, high := pendingRequest("a", 0, 10), pendingRequest("a", 5, 10)
	q.Push(low)
	q.Push(high)
	assert.Equal(t, q.Pop(), high)
	assert.Equal(t, q.Pop(), low)
	assert.Assert(t, q.Pop() == nil)
}

func TestIdleAccountGainsNoCredit(t *testing.T) {
	var q fairQueue
	for range 10 {
		q.Push(pendingRequest("busy", 0, 100))
	}
	for range 5 {
		q.Pop()
	}
	for range 5 {
		q.Push(pendingRequest("late", 0, 100))
	}
	served := map[string]int{}
	for range 4 {
		served[q.Pop().Request.Account]++
	}
	assert.Equal(t, served["late"], 2, "an account that was idle gets an equal share from now on")
}

// While accounts wait, the tokens served to any two differ by no more than one request
// each.
func TestWaitingAccountsAreServedEqualTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q fairQueue
		const accounts, most = 4, 500
		for i := range accounts {
			for range rapid.IntRange(20, 60).Draw(t, "count") {
				q.Push(pendingRequest(fmt.Sprint(i), 0, rapid.IntRange(1, most).Draw(t, "tokens")))
			}
		}
		served := map[string]int{}
		for range 40 { // given the bound on the difference, no account runs out of requests
			p := q.Pop()
			served[p.Request.Account] += p.cost()
			if len(q.classes[0].accounts) < accounts {
				return
			}
			for i := range accounts {
				for j := range accounts {
					if d := served[fmt.Sprint(i)] - served[fmt.Sprint(j)]; d > 2*most {
						t.Fatalf("tokens served by account: %v", served)
					}
				}
			}
		}
	})
}

func TestQueueLengthAndRemoval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q fairQueue
		var in []*Pending
		for range 50 {
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				if p := q.Pop(); p != nil {
					in = without(in, p)
				} else if len(in) > 0 {
					t.Fatalf("Pop returned nil with %d requests waiting", len(in))
				}
			case 1:
				if len(in) > 0 {
					p := in[rapid.IntRange(0, len(in)-1).Draw(t, "which")]
					q.Remove(p)
					in = without(in, p)
				}
			default:
				p := pendingRequest(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), rapid.IntRange(0, 2).Draw(t, "priority"), 10)
				q.Push(p)
				in = append(in, p)
			}
			if q.Len() != len(in) {
				t.Fatalf("length %d with %d requests in the queue", q.Len(), len(in))
			}
		}
	})
}

func without(in []*Pending, p *Pending) []*Pending {
	var out []*Pending
	for _, o := range in {
		if o != p {
			out = append(out, o)
		}
	}
	return out
}
