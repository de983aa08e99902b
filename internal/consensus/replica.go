package consensus

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/statemachine"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Transport carries messages to other replicas. Messages may be lost, repeated or
// reordered.
type Transport interface {
	// Send queues messages for the replica at address and returns at once.
	Send(address string, msgs []Message)
	// ReadIndex asks the replica at address for a read barrier's index.
	ReadIndex(ctx context.Context, address string) (uint64, error)
	Close()
}

// Defaults of Options.
const (
	DefaultTickInterval       = 20 * time.Millisecond
	DefaultHeartbeatInterval  = 100 * time.Millisecond
	DefaultElectionTimeout    = time.Second
	DefaultMaxAppendBytes     = 1 << 20
	DefaultEntriesPerSnapshot = 10_000
	DefaultRetainedEntries    = 1_000
	inboxSize                 = 4096
	DefaultMaxBatch           = 1024
)

// Options of a Replica.
type Options struct {
	Core               Config
	Storage            Storage
	Stored             StoredState
	Transport          Transport
	Machine            *statemachine.Mux
	Logger             *zap.Logger
	TickInterval       time.Duration
	EntriesPerSnapshot uint64 // applied entries between two snapshots
	RetainedEntries    uint64 // entries kept before a snapshot, for slow replicas
	MaxBatch           int    // calls and messages that share one sync at most
	// Now tells the time that leases and timeouts count by; a nil one is time.Now.
	Now clock.Clock
	// OnFatal is called once when the replica stops by itself.
	OnFatal func(error)
}

// Replica runs a Core: one goroutine owns core, storage and machine.
type Replica struct {
	opt  Options
	core *Core

	inbox   chan func()
	stop    chan struct{}
	done    chan struct{}
	stopped sync.Once

	addresses map[uint64]string // of senders, for those that are no members here
	waiting   map[uint64]waiter
	reads     map[uint64]chan ReadReady
	readID    uint64
	pending   bool // proposals were appended in this batch

	applied     uint64
	appliedTerm uint64
	snapAt      uint64
	snapBytes   int // size of the last snapshot
	logBytes    int // applied since
	snapTook    time.Duration
	handing     time.Time // since when leadership is being handed over for a snapshot
	draining    atomic.Bool
	commitTime  prometheus.Histogram
	published   atomic.Pointer[ReplicaStatus]
	fatal       atomic.Pointer[errkind.Error]

	mu      sync.Mutex
	changed chan struct{}
}

type waiter struct {
	term  uint64
	reply chan proposed
}

type proposed struct {
	result statemachine.Result
	err    error
}

// ReplicaStatus is a replica's state after a step.
type ReplicaStatus struct {
	Status
	Applied uint64
	// Current: the applied state held everything accepted before this time; zero
	// when nothing attests it.
	FreshAsOf time.Time
}

// NewReplica restores the machine from the stored snapshot. The machine must not
// be used otherwise until Start.
func NewReplica(opt Options) (*Replica, error) {
	if opt.TickInterval == 0 {
		opt.TickInterval = DefaultTickInterval
	}
	if opt.EntriesPerSnapshot == 0 {
		opt.EntriesPerSnapshot = DefaultEntriesPerSnapshot
	}
	if opt.MaxBatch == 0 {
		opt.MaxBatch = DefaultMaxBatch
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.OnFatal == nil {
		opt.OnFatal = func(error) {}
	}
	r := &Replica{opt: opt, inbox: make(chan func(), inboxSize), stop: make(chan struct{}), done: make(chan struct{}),
		addresses: map[uint64]string{}, waiting: map[uint64]waiter{}, reads: map[uint64]chan ReadReady{}, changed: make(chan struct{}),
		commitTime: newCommitTime()}
	snap := opt.Stored.Snapshot
	if len(snap.Data) > 0 {
		if err := opt.Machine.Restore(bytes.NewReader(snap.Data)); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	r.applied, r.appliedTerm, r.snapAt, r.snapBytes = snap.Index, snap.Term, snap.Index, len(snap.Data)
	r.snapTook = estimate(len(snap.Data))
	r.published.Store(&ReplicaStatus{Status: Status{ID: opt.Core.ID, Members: snap.Membership}, Applied: r.applied})
	return r, nil
}

// Start begins to take part.
func (r *Replica) Start() {
	r.core = NewCore(r.opt.Core, r.opt.Stored, r.opt.Now())
	r.opt.Stored.Entries = nil
	go r.run()
}

func (r *Replica) run() {
	defer close(r.done)
	ticker := time.NewTicker(r.opt.TickInterval)
	defer ticker.Stop()
	for {
		if err := r.settle(); err != nil {
			r.fail(err)
			return
		}
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.core.Tick(r.opt.Now())
		case f := <-r.inbox:
			f()
			r.drainInbox()
		}
	}
}

// drainInbox takes what has queued up, so that one sync serves it all.
func (r *Replica) drainInbox() {
	for range r.opt.MaxBatch - 1 {
		select {
		case f := <-r.inbox:
			f()
		default:
			return
		}
	}
}

// settle carries out what the core asks until it asks nothing.
func (r *Replica) settle() error {
	if r.pending {
		r.core.Flush()
		r.pending = false
	}
	r.core.FlushReads()
	if err := r.carryOutAll(); err != nil {
		return err
	}
	if r.snapshotDue() {
		if err := r.snapshot(); err != nil {
			return err
		}
		if err := r.carryOutAll(); err != nil {
			return err
		}
	}
	r.publish()
	return nil
}

// carryOutAll carries out what the core asks until it asks nothing.
func (r *Replica) carryOutAll() error {
	for {
		ready := r.core.Ready()
		if ready.Fatal != nil {
			return ready.Fatal
		}
		if ready.Empty() {
			return nil
		}
		if err := r.carryOut(ready); err != nil {
			return err
		}
	}
}

func (r *Replica) carryOut(ready Ready) error {
	r.transmit(ready.SendBeforeSync)
	if ready.HardState != nil {
		if err := r.opt.Storage.Save(*ready.HardState, ready.InstallSnapshot, ready.Entries); err != nil {
			return errkind.Wrap(err, errkind.Corrupt, "write to the store")
		}
		r.core.Persisted(r.opt.Now(), ready)
	}
	r.transmit(ready.SendAfterSync)
	if ready.InstallSnapshot != nil {
		if err := r.install(*ready.InstallSnapshot); err != nil {
			return err
		}
	}
	for _, e := range ready.Committed {
		r.apply(e)
	}
	for _, read := range ready.Reads {
		if reply := r.reads[read.ID]; reply != nil {
			reply <- read
			delete(r.reads, read.ID)
		}
	}
	return nil
}

func (r *Replica) install(s Snapshot) error {
	if err := r.opt.Machine.Restore(bytes.NewReader(s.Data)); err != nil {
		return errors.Wrap(err, "install snapshot")
	}
	r.applied, r.appliedTerm, r.snapAt = s.Index, s.Term, s.Index
	r.snapBytes, r.logBytes, r.snapTook = len(s.Data), 0, estimate(len(s.Data))
	r.opt.Logger.Info("snapshot installed", zap.Uint64("index", s.Index))
	return nil
}

func (r *Replica) apply(e Entry) {
	var data []byte
	if e.Kind == EntryCommand {
		data = r.opt.Machine.Apply(e.Index, e.Data)
	}
	r.applied, r.appliedTerm = e.Index, e.Term
	r.logBytes += len(e.Data)
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		w.reply <- proposed{err: errkind.New(errkind.NotLeader, "another leader's entry took the place")}
		return
	}
	w.reply <- proposed{result: statemachine.Result{Index: e.Index, Data: data}}
}

// transmit groups messages by receiver and adds the data of snapshots.
func (r *Replica) transmit(msgs []Message) {
	if len(msgs) == 0 {
		return
	}
	members := r.core.Status().Members
	groups := map[uint64][]Message{}
	own, _ := members.Find(r.opt.Core.ID)
	for _, m := range msgs {
		m.ReplyTo = own.Address
		if m.Kind == MsgSnapshot {
			s, err := r.opt.Storage.Snapshot()
			if err != nil {
				r.opt.Logger.Error("read snapshot", zap.Error(err))
				continue
			}
			m.Snapshot = &s
		}
		groups[m.To] = append(groups[m.To], m)
	}
	for to, group := range groups {
		address := r.addresses[to]
		if x, ok := members.Find(to); ok {
			address = x.Address
		}
		if address != "" {
			r.opt.Transport.Send(address, group)
		}
	}
}

// publish makes the state after a step known and wakes those who wait for it.
func (r *Replica) publish() {
	old := r.published.Load()
	p := &ReplicaStatus{Status: r.core.Status(), Applied: r.applied, FreshAsOf: old.FreshAsOf}
	if p.AttestedAt.After(p.FreshAsOf) && r.applied >= p.AttestedIndex {
		p.FreshAsOf = p.AttestedAt
	}
	if p.Role != Leader && len(r.waiting) > 0 {
		r.loseWaiters(errkind.New(errkind.Timeout, "leadership was lost; the change may still be accepted"))
	}
	r.published.Store(p)
	if old.Applied != p.Applied || old.Role != p.Role || old.Leader != p.Leader || old.Serving != p.Serving {
		r.wake()
	}
	if old.Role != p.Role || old.Leader != p.Leader {
		r.opt.Logger.Info("agreement", zap.Stringer("role", p.Role), zap.Uint64("term", p.Term),
			zap.Uint64("leader", p.Leader), zap.Uint64("commit", p.CommitIndex))
	}
}

func (r *Replica) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) loseWaiters(err error) {
	for index, w := range r.waiting {
		w.reply <- proposed{err: err}
		delete(r.waiting, index)
	}
}

// fail stops a replica that can't go on.
func (r *Replica) fail(err error) {
	r.fatal.Store(errkind.Of(err))
	r.opt.Logger.Error("replica stops", zap.Error(err))
	p := *r.published.Load()
	p.Role, p.Leader, p.FreshAsOf, p.LeaseEnd = Follower, 0, time.Time{}, time.Time{}
	r.published.Store(&p)
	r.loseWaiters(errkind.New(errkind.Timeout, "replica stopped; the change may still be accepted"))
	r.wake()
	go r.opt.OnFatal(err)
}
