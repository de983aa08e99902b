package fleetcontrol

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/rollout"
	"eelgrasshollow/internal/statemachine"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const testOrderLease = 3 * time.Second

// sharedLog is the replicated log of the replicas of a test. Commands are committed after delay.
type sharedLog struct {
	machine *Machine
	delay   time.Duration

	mu    sync.Mutex
	index uint64
	fail  bool // commands are neither committed nor refused
}

// orderReplica is one replica on a shared log. It leads in its term until its time ends.
type orderReplica struct {
	*fakeReplica
	log *sharedLog

	mu   sync.Mutex
	term uint64
	lead bool
}

func (r *orderReplica) Leading() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term, r.lead
}

// setLeading begins or ends the leadership in a term.
func (r *orderReplica) setLeading(term uint64, leads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.term, r.lead = term, leads
}

func (r *orderReplica) Propose(ctx context.Context, _ string, data []byte) (statemachine.Result, error) {
	l := r.log
	l.mu.Lock()
	fail, delay := l.fail, l.delay
	l.mu.Unlock()
	if fail {
		<-ctx.Done()
		return statemachine.Result{}, errkind.Wrap(ctx.Err(), errkind.NoQuorum, "not committed")
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return statemachine.Result{}, errkind.Wrap(ctx.Err(), errkind.NoQuorum, "not committed")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return statemachine.Result{Index: l.index, Data: l.machine.Apply(l.index, data)}, nil
}

// arrival is an order that has arrived at a server.
type arrival struct {
	holder, address string
	at              time.Time
}

// orderNetwork is the path from the leaders to the servers. Orders to a cut address are not answered, and arrive late, as on a
// network that delivers what a connection had sent before it was reset.
type orderNetwork struct {
	servers []fleet.Server
	log     *sharedLog

	mu       sync.Mutex
	late     map[string]time.Duration // by address
	answer   time.Duration            // time from an order to its response
	sent     int
	arrivals []arrival
	weights  map[string]int64 // by address
	accepted map[string]int64 // orders accepted, by address
}

// orderSender is the network as one leader sees it.
type orderSender struct {
	*orderNetwork
	holder string
}

func (n *orderNetwork) List(context.Context) ([]fleet.Server, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]fleet.Server, 0, len(n.servers))
	for _, s := range n.servers {
		s.Weights = []fleet.Weights{{Model: "m", Version: n.weights[s.Address]}}
		list = append(list, s)
	}
	return list, nil
}

func (n *orderNetwork) CheckWeights(_ context.Context, s fleet.Server) (rollout.Report, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rollout.Report{Weights: []fleet.Weights{{Model: "m", Version: n.weights[s.Address]}}, Sequence: n.accepted[s.Address]}, nil
}

func (s orderSender) LoadWeights(ctx context.Context, c rollout.Call, _ uint64, permitted func() bool) (rollout.Outcome, error) {
	if !permitted() {
		return rollout.NotSent, errors.New("not permitted")
	}
	s.mu.Lock()
	s.sent++
	after, late := s.late[c.Server.Address]
	answer := s.answer
	s.mu.Unlock()
	if !late {
		s.arrive(c, s.holder)
		time.Sleep(answer)
		return rollout.Accepted, nil
	}
	go func() {
		time.Sleep(after)
		s.arrive(c, s.holder)
	}()
	<-ctx.Done()
	return rollout.Unanswered, ctx.Err()
}

// arrive delivers an order to its server, which executes it at once if its precondition holds.
func (n *orderNetwork) arrive(c rollout.Call, holder string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := c.Server.Address
	n.arrivals = append(n.arrivals, arrival{holder, address, time.Now()})
	if n.accepted[address] == c.Sequence {
		n.accepted[address]++
		n.weights[address] = c.Version
	}
}

// first returns when the first order of a holder arrived at an address, or the zero time.
func (n *orderNetwork) first(holder, address string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.arrivals {
		if a.holder == holder && a.address == address {
			return a.at
		}
	}
	return time.Time{}
}

// checkTurns waits until all orders have arrived. It fails the test if orders of two holders arrived at one server within the order
// lease, or one of a former leader after one of the next. The names of the leaders are in the order of their terms.
func (n *orderNetwork) checkTurns(t *testing.T) {
	t.Helper()
	time.Sleep(unansweredOrderLifetime)
	n.mu.Lock()
	defer n.mu.Unlock()
	last := map[string]arrival{}
	for _, a := range n.arrivals {
		if before, any := last[a.address]; any && before.holder != a.holder {
			assert.Check(t, before.holder < a.holder, "order of %s after one of %s at %s", a.holder, before.holder, a.address)
			assert.Check(t, a.at.Sub(before.at) >= testOrderLease, "orders of %s and %s at %s within %v", before.holder, a.holder, a.address, a.at.Sub(before.at))
		}
		last[a.address] = a
	}
}

// newOrderNetwork returns two servers with version 1 of a model whose target is version 2.
func newOrderNetwork(t *testing.T) *orderNetwork {
	l := &sharedLog{machine: NewMachine(decodeVersion, time.Now), delay: 10 * time.Millisecond, index: 1}
	apply(t, l.machine, 1, command{Model: "m", Version: 2})
	t.Cleanup(func() { time.Sleep(unansweredOrderLifetime) }) // orders on their way arrive
	n := &orderNetwork{log: l, late: map[string]time.Duration{}, weights: map[string]int64{}, accepted: map[string]int64{}}
	for _, address := range []string{"x:1", "y:1"} {
		n.servers = append(n.servers, fleet.Server{ID: "i-" + address, Service: "s", Address: address})
		n.weights[address] = 1
	}
	return n
}

// restore ends the cut of an address for orders that are sent from now on.
func (n *orderNetwork) restore(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.late, address)
}

// ordersSent returns the number of orders that leaders have sent.
func (n *orderNetwork) ordersSent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// target sets the target version of the model.
func (n *orderNetwork) target(t *testing.T, version int64) {
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	n.log.index++
	apply(t, n.log.machine, n.log.index, command{Model: "m", Version: version})
}

// leader starts a reconciler whose replica leads in a term.
func (n *orderNetwork) leader(t *testing.T, name string, term uint64) (*Reconciler, *orderReplica, context.CancelFunc) {
	f := newFakeReplica(true)
	f.machine = n.log.machine
	r := &orderReplica{fakeReplica: f, log: n.log, term: term, lead: true}
	s := NewService(ControlVM{Address: name}, f.machine, r, nil, time.Now, zap.NewNop())
	reconciler := NewReconciler(s, n, orderSender{n, name}, testOrderLease, time.Now, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); reconciler.Run(ctx) }()
	return reconciler, r, func() { cancel(); <-done }
}

// until waits in steps of a millisecond until a condition holds.
func until(t *testing.T, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not within %v", limit)
	}
}

// An order that the former leader had sent arrives after its connection was reset and its process has ended. The next leader's
// order must not reach that server within the order lease of it. Servers without such an order don't wait for it.
func TestNewLeaderWaitsForUnansweredOrderOfFormer(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, OrderLifetime, 3 * time.Second, 6200 * time.Millisecond, unansweredOrderLifetime - time.Millisecond} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newOrderNetwork(t)
				n.late["x:1"] = after
				_, a, stopA := n.leader(t, "a", 1)
				until(t, 10*time.Second, func() bool {
					return !n.first("a", "y:1").IsZero() && maps.Equal(n.log.machine.unansweredBefore(2), map[string]bool{"x:1": true})
				})
				a.setLeading(1, false)
				stopA()
				n.restore("x:1")
				n.target(t, 3)
				ended := time.Now()
				_, _, stopB := n.leader(t, "b", 2)
				until(t, 30*time.Second, func() bool { return !n.first("b", "x:1").IsZero() && !n.first("b", "y:1").IsZero() })
				n.checkTurns(t)
				waited := n.first("b", "y:1").Sub(ended)
				assert.Check(t, waited <= testOrderLease+orderLeaseMargin+time.Second, "server without an unanswered order waited %v", waited)
				waited = n.first("b", "x:1").Sub(ended)
				assert.Check(t, waited <= unansweredOrderLifetime+testOrderLease+orderLeaseMargin+time.Second, "%v", waited)
				stopB()
			})
		})
	}
}

// The first order is not answered and a second one to the same server is. The first may still arrive, so the next leader
// must wait for it.
func TestAnsweredOrderDoesNotSettleEarlierOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOrderNetwork(t)
		n.late["x:1"] = 6 * time.Second
		_, a, stopA := n.leader(t, "a", 1)
		until(t, 10*time.Second, func() bool { return n.ordersSent() == 2 })
		n.restore("x:1")
		until(t, 10*time.Second, func() bool { return !n.first("a", "x:1").IsZero() })
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(n.log.machine.orderRecords()), 1)
		a.setLeading(1, false)
		stopA()
		n.target(t, 3)
		_, _, stopB := n.leader(t, "b", 2)
		until(t, 30*time.Second, func() bool { return !n.first("b", "x:1").IsZero() })
		n.checkTurns(t)
		stopB()
	})
}

// A leader that was replaced twice: the third one still waits for the order of the first.
func TestUnansweredOrderOutlivesShortTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOrderNetwork(t)
		n.late["x:1"] = 6900 * time.Millisecond
		_, a, stopA := n.leader(t, "a", 1)
		until(t, 10*time.Second, func() bool { return len(n.log.machine.unansweredBefore(2)) > 0 })
		a.setLeading(1, false)
		stopA()
		n.restore("x:1")
		_, b, stopB := n.leader(t, "b", 2)
		time.Sleep(3400 * time.Millisecond)
		b.setLeading(2, false)
		stopB()
		n.target(t, 3)
		_, _, stopC := n.leader(t, "c", 3)
		until(t, 30*time.Second, func() bool { return !n.first("c", "x:1").IsZero() })
		n.checkTurns(t)
		until(t, 30*time.Second, func() bool { return len(n.log.machine.orderRecords()) == 0 })
		stopC()
	})
}

// An order must be recorded before its first byte leaves, and one that could not be recorded is not sent.
func TestOrderIsSentOnlyOnceRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOrderNetwork(t)
		n.log.fail = true
		_, _, stop := n.leader(t, "a", 1)
		time.Sleep(3 * testOrderLease)
		assert.Equal(t, n.ordersSent(), 0)
		n.log.mu.Lock()
		n.log.fail = false
		n.log.mu.Unlock()
		until(t, 10*time.Second, func() bool { return !n.first("a", "x:1").IsZero() && !n.first("a", "y:1").IsZero() })
		until(t, 10*time.Second, func() bool { return len(n.log.machine.orderRecords()) == 0 })
		stop()
	})
}

// A leader that is asked to stop while an order is on its way waits for the answer, so that the next one need not
// wait for that order. An order without an answer is given up first.
func TestStoppingLeaderSettlesItsOrders(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("lost=", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newOrderNetwork(t)
				n.answer = 700 * time.Millisecond
				if lost {
					n.late["x:1"] = 3 * time.Second
				}
				reconciler, _, stop := n.leader(t, "a", 1)
				until(t, 10*time.Second, func() bool { return n.ordersSent() == 2 })
				n.target(t, 3)
				began := time.Now()
				assert.NilError(t, reconciler.Drain(t.Context()))
				took := time.Since(began)
				if lost {
					assert.DeepEqual(t, n.log.machine.unansweredBefore(2), map[string]bool{"x:1": true})
					assert.Assert(t, took <= OrderLifetime+200*time.Millisecond, "%v", took)
				} else {
					assert.Equal(t, len(n.log.machine.orderRecords()), 0)
					assert.Assert(t, took <= n.answer+200*time.Millisecond, "%v", took)
				}
				time.Sleep(5 * time.Second)
				assert.Equal(t, n.ordersSent(), 2, "an order was sent after the begin of the stop")
				stop()
			})
		})
	}
}

// A stop of a replica that leads nothing, or has no orders on their way, must not wait.
func TestStopWithoutOrdersDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOrderNetwork(t)
		n.weights = map[string]int64{"x:1": 2, "y:1": 2}
		for _, leads := range []bool{true, false} {
			reconciler, r, stop := n.leader(t, "a", 1)
			r.setLeading(1, leads)
			time.Sleep(5 * time.Second)
			began := time.Now()
			assert.NilError(t, reconciler.Drain(t.Context()))
			assert.Assert(t, time.Since(began) <= reconcileInterval)
			stop()
		}
	})
}

// The record of orders must survive a snapshot, and must not look like a change of the configuration to entry VMs: each
// of them would read the whole document after each order.
func TestRecordOfOrdersIsReplicatedApart(t *testing.T) {
	m := NewMachine(decodeVersion, time.Now)
	apply(t, m, 1, command{Document: []byte("5:a")})
	before, changed := m.State(), m.Changed()
	first, second := orderRecord{orderID{1, 1}, "x:1"}, orderRecord{orderID{1, 2}, "y:1"}
	assert.DeepEqual(t, apply(t, m, 2, command{Orders: &ordersCommand{Sent: []orderRecord{first, second}}}), inForce)
	assert.Equal(t, m.State(), before)
	select {
	case <-changed:
		t.Error("entry VMs were woken")
	default:
	}
	var snapshot bytes.Buffer
	assert.NilError(t, m.Snapshot(&snapshot))
	restored := NewMachine(decodeVersion, time.Now)
	apply(t, restored, 1, command{Orders: &ordersCommand{Sent: []orderRecord{{orderID{9, 9}, "z:1"}}}})
	assert.NilError(t, restored.Restore(&snapshot))
	assert.DeepEqual(t, restored.orderRecords(), []orderRecord{first, second})
	apply(t, restored, 3, command{Orders: &ordersCommand{Settled: []orderID{first.ID}}})
	assert.Assert(t, maps.Equal(restored.unansweredBefore(2), map[string]bool{"y:1": true}))
	assert.Equal(t, len(restored.unansweredBefore(1)), 0)
	apply(t, restored, 4, command{Orders: &ordersCommand{SettledBefore: 2, Sent: []orderRecord{{orderID{2, 1}, "x:1"}}}})
	assert.DeepEqual(t, restored.orderRecords(), []orderRecord{{orderID{2, 1}, "x:1"}})
}
