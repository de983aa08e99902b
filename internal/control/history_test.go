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
	callsPerOperator = 25
	checkTimeout     = 30 * time.Second
)

// request is an operator's request: a change at an expected revision, or a read.
type request struct {
	read     bool
	expected uint64
}

// response is the response to a request. If unknown is set, the request may or may not
// have been executed.
type response struct {
	revision uint64
	conflict bool
	unknown  bool
}

// accountModel is the sequential model of one client account. Its state is the revision.
var accountModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		revision, in, out := state.(uint64), input.(request), output.(response)
		applies := !in.read && in.expected == revision
		switch {
		case out.unknown && applies:
			return []any{revision, revision + 1}
		case out.unknown:
			return []any{revision}
		case in.read && out.revision == revision:
			return []any{revision}
		case out.conflict && !applies && out.revision == revision:
			return []any{revision}
		case !in.read && !out.conflict && applies && out.revision == revision+1:
			return []any{revision + 1}
		}
		return nil
	},
}).ToModel()

// runOperator executes the calls of one operator through random replicas: reads, and
// changes at the revision that the replica has or the next one.
func (c *cluster) runOperator(operator int, rng *rand.Rand, record func(porcupine.Operation)) {
	for call := range callsPerOperator {
		req := request{read: rng.IntN(3) == 0}
		target := c.nodes[addressOf(uint64(rng.IntN(3)+1))]
		if !req.read {
			req.expected = target.machine.Revision() + uint64(rng.IntN(2)*rng.IntN(2))
		}
		start := time.Now()
		resp := c.send(target, req, fmt.Sprint(operator, "/", call), rng)
		end := time.Now().UnixNano()
		if resp.unknown {
			end = 1 << 62
		}
		record(porcupine.Operation{ClientId: operator, Input: req, Call: start.UnixNano(), Output: resp, Return: end})
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
}

// send sends a request. It sends a change up to three times, through random replicas,
// until the response is a success or a conflict.
func (c *cluster) send(target *node, req request, operationID string, rng *rand.Rand) response {
	for attempt := range 3 {
		if req.read {
			ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
			err := target.replica.ReadBarrier(ctx)
			cancel()
			if err == nil {
				return response{revision: target.machine.Revision()}
			}
			return response{unknown: true}
		}
		result, err := c.change(target, operationID, putAccount("a", 1, req.expected))
		switch e := errkind.Of(err); {
		case err == nil:
			return response{revision: result.GetRevision()}
		case e.Kind == errkind.RevisionConflict || e.Kind == errkind.AlreadyExists:
			return response{conflict: true, revision: e.Revision}
		case e.Outcome != errkind.Unknown && attempt == 0 && e.Kind != errkind.NotLeader && e.Kind != errkind.NoQuorum:
			c.t.Errorf("unexpected response: %v", err)
		}
		target = c.nodes[addressOf(uint64(rng.IntN(3)+1))]
	}
	return response{unknown: true}
}

// injectFaults cuts and restores connections and transfers leadership until done is
// closed.
func (c *cluster) injectFaults(rng *rand.Rand, done <-chan struct{}) {
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

// TestOperatorHistoriesAreLinearizable checks that the responses that operators receive
// under faults are those of some sequential execution of their calls.
func TestOperatorHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var history []porcupine.Operation
			synctest.Test(t, func(t *testing.T) { history = recordHistory(t, seed) })
			decided := 0
			for _, op := range history {
				if !op.Output.(response).unknown {
					decided++
				}
			}
			assert.Assert(t, decided > historyOperators*callsPerOperator/4, "%d calls got a response", decided)
			assert.Equal(t, porcupine.CheckOperationsTimeout(accountModel, history, checkTimeout), porcupine.Ok)
		})
	}
}

// recordHistory runs the operators of one seed under faults and returns their calls.
func recordHistory(t *testing.T, seed uint64) []porcupine.Operation {
	c := newCluster(t, 3)
	defer c.stopAll()
	c.leader()
	records := make(chan porcupine.Operation, historyOperators*callsPerOperator)
	done := make(chan struct{})
	finished := make(chan struct{})
	for i := range historyOperators {
		go func() {
			c.runOperator(i, rand.New(rand.NewPCG(seed, uint64(i))), func(op porcupine.Operation) { records <- op })
			finished <- struct{}{}
		}()
	}
	faultsDone := make(chan struct{})
	go func() {
		c.injectFaults(rand.New(rand.NewPCG(seed, 99)), done)
		close(faultsDone)
	}()
	for range historyOperators {
		<-finished
	}
	close(done)
	<-faultsDone
	close(records)
	var history []porcupine.Operation
	for op := range records {
		history = append(history, op)
	}
	return history
}
