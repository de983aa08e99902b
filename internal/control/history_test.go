package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/errkind"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

const (
	historySeeds     = 12
	historyOperators = 4
	historyCalls     = 25
	checkTime        = 30 * time.Second
)

// request of an operator: a change under an expected revision, or a read.
type request struct {
	read     bool
	expected uint64
}

// response to a request. unknown: it may or may not have been carried out.
type response struct {
	revision uint64
	conflict bool
	unknown  bool
}

// accountModel is one client account whose state is its revision.
var accountModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(uint64), input.(request), output.(response)
		applies := !in.read && in.expected == now
		switch {
		case out.unknown && applies:
			return []any{now, now + 1}
		case out.unknown:
			return []any{now}
		case in.read && out.revision == now:
			return []any{now}
		case out.conflict && !applies && out.revision == now:
			return []any{now}
		case !in.read && !out.conflict && applies && out.revision == now+1:
			return []any{now + 1}
		}
		return nil
	},
}).ToModel()

// run is one operator: it reads, changes what it read, and resends a change whose
// answer was lost, through any replica.
func (c *cluster) run(operator int, rng *rand.Rand, record func(porcupine.Operation)) {
	for call := range historyCalls {
		in := request{read: rng.IntN(3) == 0}
		n := c.nodes[addressOf(uint64(rng.IntN(3)+1))]
		if !in.read {
			in.expected = n.machine.Revision() + uint64(rng.IntN(2)*rng.IntN(2))
		}
		start := time.Now()
		out := c.ask(n, in, fmt.Sprint(operator, "/", call), rng)
		end := time.Now().UnixNano()
		if out.unknown {
			end = 1 << 62
		}
		record(porcupine.Operation{ClientId: operator, Input: in, Call: start.UnixNano(), Output: out, Return: end})
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
}

// ask makes a request and resends it twice at most while its outcome is unknown.
func (c *cluster) ask(n *node, in request, op string, rng *rand.Rand) response {
	for try := range 3 {
		if in.read {
			ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
			err := n.replica.ReadBarrier(ctx)
			cancel()
			if err == nil {
				return response{revision: n.machine.Revision()}
			}
			return response{unknown: true}
		}
		r, err := c.change(n, op, putAccount("a", 1, in.expected))
		switch e := errkind.Of(err); {
		case err == nil:
			return response{revision: r.GetRevision()}
		case e.Kind == errkind.RevisionConflict || e.Kind == errkind.AlreadyExists:
			return response{conflict: true, revision: e.Revision}
		case e.Outcome != errkind.Unknown && try == 0 && e.Kind != errkind.NotLeader && e.Kind != errkind.NoQuorum:
			c.t.Errorf("unexpected answer: %v", err)
		}
		n = c.nodes[addressOf(uint64(rng.IntN(3)+1))]
	}
	return response{unknown: true}
}

// disturb cuts nodes off and restarts them until done.
func (c *cluster) disturb(rng *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(500+rng.IntN(2500)) * time.Millisecond):
		}
		n := c.nodes[addressOf(uint64(rng.IntN(3)+1))]
		switch rng.IntN(4) {
		case 0:
			c.isolate(addressOf(n.id), true)
		case 1:
			c.mu.Lock()
			c.cut[[2]string{addressOf(n.id), addressOf(n.id%3 + 1)}] = true
			c.mu.Unlock()
		case 2:
			c.mu.Lock()
			clear(c.cut)
			c.mu.Unlock()
		case 3:
			_ = n.replica.TransferLeadership(context.Background(), 0)
		}
	}
}

// TestOperatorsHistories checks that what operators are told under faults could
// have happened one call after another.
func TestOperatorsHistories(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var history []porcupine.Operation
			synctest.Test(t, func(t *testing.T) { history = collect(t, seed) })
			decided := 0
			for _, op := range history {
				if !op.Output.(response).unknown {
					decided++
				}
			}
			assert.Assert(t, decided > historyOperators*historyCalls/4, "%d calls got an answer", decided)
			assert.Equal(t, porcupine.CheckOperationsTimeout(accountModel, history, checkTime), porcupine.Ok)
		})
	}
}

func collect(t *testing.T, seed uint64) []porcupine.Operation {
	c := newCluster(t, 3)
	defer c.stopAll()
	c.leader()
	records := make(chan porcupine.Operation, historyOperators*historyCalls)
	done := make(chan struct{})
	operators := make(chan struct{})
	for i := range historyOperators {
		go func() {
			c.run(i, rand.New(rand.NewPCG(seed, uint64(i))), func(op porcupine.Operation) { records <- op })
			operators <- struct{}{}
		}()
	}
	disturbed := make(chan struct{})
	go func() {
		c.disturb(rand.New(rand.NewPCG(seed, 99)), done)
		close(disturbed)
	}()
	for range historyOperators {
		<-operators
	}
	close(done)
	<-disturbed
	close(records)
	var history []porcupine.Operation
	for op := range records {
		history = append(history, op)
	}
	return history
}
