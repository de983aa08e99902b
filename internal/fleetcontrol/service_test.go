package fleetcontrol

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/rollout"
	"eelgrasshollow/internal/statemachine"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// replica is the public side of agreement; commands are applied at once.
type replica struct {
	machine *Machine
	p       consensus.ReplicaStatus
	leads   bool
	term    uint64
	barrier error

	mu      sync.Mutex
	index   uint64
	changed chan struct{}
}

func newReplica(leads bool) *replica {
	r := &replica{machine: NewMachine(decodeNumber, time.Now), leads: leads, term: 1, changed: make(chan struct{})}
	r.p.Members = consensus.Membership{Members: []consensus.Member{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}}}
	if leads {
		r.p.Role = consensus.Leader
	}
	return r
}

func (r *replica) Propose(_ context.Context, _ string, command []byte) (statemachine.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	data := r.machine.Apply(r.index, command)
	close(r.changed)
	r.changed = make(chan struct{})
	return statemachine.Result{Index: r.index, Data: data}, nil
}
func (r *replica) ReadBarrier(context.Context) error { return r.barrier }
func (r *replica) Leading() (uint64, bool)           { return r.term, r.leads }
func (r *replica) Leader() string                    { return "b" }
func (r *replica) Status() *consensus.ReplicaStatus  { return &r.p }
func (r *replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func vm(name string) membership.VM { return membership.VM{Name: name, Address: name + ":1"} }

func TestFollowerNamesTheLeaderAndTellsNothingElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplica(false)
		apply(t, r.machine, 1, command{Document: []byte("1:")})
		var reply PollReply
		assert.NilError(t, NewService(r.machine, r, zap.NewNop()).Poll(&PollArgs{VM: vm("e"), Hold: time.Minute}, &reply))
		assert.DeepEqual(t, reply, PollReply{Leader: "b", ControlList: []string{"a", "b"}})
	})
}

func TestHeldPollEndsWithNewsOrAfterTheHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplica(true)
		s := NewService(r.machine, r, zap.NewNop())
		o := NewOperatorAPI(r.machine, r, nil, zap.NewNop())
		args := &PollArgs{VM: vm("e"), Hold: time.Minute}
		var reply PollReply
		poll := func() time.Duration {
			start := time.Now()
			assert.NilError(t, s.Poll(args, &reply))
			args.Term, args.Revision, args.Servers, args.VMs, args.Settled = reply.Term, reply.Revision, reply.Servers, reply.VMs, reply.Settled
			return time.Since(start)
		}
		poll() // learns the term and itself
		time.Sleep(settleTime)
		poll() // learns that the list of VMs is whole
		assert.Equal(t, poll(), MaxHold, "nothing is new")
		go func() {
			time.Sleep(300 * time.Millisecond)
			assert.Check(t, o.PutConfig(context.Background(), []byte("3:x")))
		}()
		assert.Equal(t, poll(), 300*time.Millisecond)
		assert.Equal(t, string(reply.Document), "3:x")
		go func() {
			time.Sleep(200 * time.Millisecond)
			s.SetServers([]fleet.Server{{ID: "i"}})
		}()
		assert.Equal(t, poll(), 200*time.Millisecond)
		assert.Equal(t, len(reply.ServerList), 1)
		assert.Assert(t, !reply.Changed, "the document is not sent again")
	})
}

// Pattern: a leader has just been elected after every VM restarted. Who has polled is
// named at once, but nobody is left out for not having polled yet.
func TestNewLeaderNamesVMsBeforeItsListIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplica(true)
		s := NewService(r.machine, r, zap.NewNop())
		var reply PollReply
		assert.NilError(t, s.Poll(&PollArgs{VM: vm("e")}, &reply))
		assert.Assert(t, reply.VMsSet && !reply.Settled)
		time.Sleep(settleTime)
		assert.NilError(t, s.Poll(&PollArgs{VM: vm("e"), Term: reply.Term, VMs: reply.VMs}, &reply))
		assert.Assert(t, reply.VMsSet && reply.Settled)
		time.Sleep(2 * vmSilence)
		assert.Equal(t, len(s.VMs()), 0, "a silent VM is dropped")
	})
}

func TestReadWithoutCertaintyIsRefused(t *testing.T) {
	r := newReplica(true)
	o := NewOperatorAPI(r.machine, r, nil, zap.NewNop())
	_, err := o.Config(t.Context())
	assert.Assert(t, errkind.Is(err, errkind.NoQuorum))
	assert.NilError(t, o.PutConfig(t.Context(), []byte("3: as sent ")))
	text, err := o.Config(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(text), "3: as sent ")
	r.barrier = errkind.New(errkind.NoQuorum, "cut off")
	_, err = o.Config(t.Context())
	assert.Assert(t, errkind.Is(err, errkind.NoQuorum))
	assert.Assert(t, errkind.Is(o.PutConfig(t.Context(), []byte("bad")), errkind.InvalidRequest))
	assert.NilError(t, o.PutConfig(t.Context(), []byte("2:older")), "an older change is acknowledged")
	assert.Equal(t, string(r.machine.State().Document), "3: as sent ")
}

// servers are the engines that a keeper sees.
type servers struct {
	list []fleet.Server

	mu     sync.Mutex
	err    error
	orders []uint64 // fences
}

func (s *servers) fences() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

func (s *servers) List(context.Context) ([]fleet.Server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list, s.err
}
func (s *servers) CheckWeights(_ context.Context, f fleet.Server) (rollout.Report, error) {
	return rollout.Report{Weights: f.Weights}, nil
}
func (s *servers) LoadWeights(_ context.Context, _ rollout.Call, fence uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, fence)
	return true, nil
}

// Two senders of orders must keep apart by the lease; the term is the fence.
func TestNewLeaderOrdersOnlyAfterTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplica(true)
		r.term = 7
		apply(t, r.machine, 1, command{Model: "m", Version: 2})
		world := &servers{list: []fleet.Server{{ID: "i", Service: "s", Address: "x:1", Weights: []fleet.Weights{{Model: "m", Version: 1}}}}}
		s := NewService(r.machine, r, zap.NewNop())
		const lease = 3 * time.Second
		k := NewReconciler(s, world, world, lease, time.Now, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); k.Run(ctx) }()
		time.Sleep(lease)
		synctest.Wait()
		assert.Equal(t, len(world.fences()), 0)
		time.Sleep(lease)
		synctest.Wait()
		assert.Assert(t, len(world.fences()) > 0 && world.fences()[0] == 7)
		world.mu.Lock()
		world.err = errors.New("list is down")
		world.mu.Unlock()
		time.Sleep(5 * listEvery)
		synctest.Wait()
		s.mu.Lock()
		assert.Equal(t, len(s.servers), 1, "the last list stays")
		s.mu.Unlock()
		cancel()
		<-done
	})
}
