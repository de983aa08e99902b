package oracle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// allWindowsWithinBound checks the bound by its definition, over all pairs of admissions.
func allWindowsWithinBound(g Grant, trace []Admission) bool {
	for i := range trace {
		sum := int64(0)
		for j := i; j < len(trace); j++ {
			sum += trace[j].Tokens
			length := int64(trace[j].At - trace[i].At)
			if (sum-g.Burst)*unitsPerToken > g.Rate*length {
				return false
			}
		}
	}
	return true
}

func TestWindowCheckerAgreesWithDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Grant{Rate: rapid.Int64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Int64Range(1, 500).Draw(t, "burst")}
		var trace []Admission
		at := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			at += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			trace = append(trace, Admission{At: at, Tokens: rapid.Int64Range(0, 400).Draw(t, "tokens")})
		}
		assert.Equal(t, CheckWindows(g, trace).Tokens == 0, allWindowsWithinBound(g, trace))
	})
}

func TestWindowCheckerDetectsOneToken(t *testing.T) {
	g := Grant{Rate: 10, Burst: 100}
	ok := []Admission{{0, 100}, {time.Second, 10}, {2 * time.Second, 10}}
	assert.Equal(t, CheckWindows(g, ok).Tokens, int64(0))
	over := append(ok[:2:2], Admission{2 * time.Second, 11})
	assert.Equal(t, CheckWindows(g, over), Excess{At: 2 * time.Second, Tokens: 1})
}

func TestWindowCheckerAfterGrantChange(t *testing.T) {
	w := NewWindowChecker(Grant{Rate: 10, Burst: 100})
	w.Add(0, 100)
	w.ChangeGrant(time.Second, Grant{Rate: 1, Burst: 20}, time.Second)
	w.Add(2*time.Second, 20)
	assert.Equal(t, w.Worst().Tokens, int64(0))
	w.Add(3*time.Second, 2)
	assert.Equal(t, w.Worst(), Excess{At: 3 * time.Second, Tokens: 1}, "20 + 2 tokens in one second at rate 1 and burst 20")
	w.ChangeGrant(3*time.Second, Grant{Rate: 1, Burst: 500}, 0)
	w.Add(4*time.Second, 400)
	assert.Equal(t, w.Worst().Tokens, int64(1))
}
