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

// Transport sends messages to other replicas. Messages may be lost, repeated or
// reordered.
type Transport interface {
	// Send queues messages for the replica at address and does not block.
	Send(address string, messages []Message)
	// ReadIndex returns the read index of the leader at address.
	ReadIndex(ctx context.Context, address string) (uint64, error)
	Close()
}

// Defaults for Options and Config.
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

// Options configures a Replica.
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
	Limits             Limits // zero means LimitsFor(0)
	MaxBatch           int    // maximum number of calls and message batches that share one sync
	// Now is the clock for leases and timeouts; nil means time.Now.
	Now clock.Clock
	// OnFatal is called once if the replica stops because of an error.
	OnFatal func(error)
}

// Replica runs a Core. A single goroutine owns the core and the machine. Another one writes
// records to the storage, one Ready at a time, so that the replica handles messages while a slow
// disk syncs them.
type Replica struct {
	opt  Options
	core *Core

	writes  chan Ready       // to the goroutine that writes
	written chan writeResult // from it
	pending *Ready           // the work whose records are being written, or nil

	inbox    chan func()
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once

	senderAddresses map[uint64]string // by sender ID, for senders that are not in the membership
	waiters         map[uint64]waiter
	pendingReads    map[uint64]chan ReadReady
	lastReadID      uint64
	needsFlush      bool // proposals were appended since the last Core.Flush

	appliedIndex     uint64
	appliedTerm      uint64
	snapshotIndex    uint64
	snapshotBytes    int // size of the last snapshot
	appliedBytes     int // work of the entries applied since the last snapshot; see statemachine.Mux.AppliedWork
	storedBytes      int // data of the entries stored since the last eviction
	snapshotDuration time.Duration
	transferSince    time.Time // start of a leadership transfer before a snapshot; zero if there is none
	draining         atomic.Bool
	commitDuration   prometheus.Histogram
	writeDuration    prometheus.Histogram
	status           atomic.Pointer[ReplicaStatus]
	fatalError       atomic.Pointer[errkind.Error]
	proposalBytes    atomic.Int64 // see Limits.Proposals
	receivedBytes    atomic.Int64 // see Limits.Received

	mu      sync.Mutex
	changed chan struct{}
}

// waiter is a call that waits until an entry is applied. term is the term in which the
// entry was proposed, size that of the command as acquired with acquireProposal.
type waiter struct {
	term  uint64
	size  int
	reply chan proposalResult
}

type proposalResult struct {
	result statemachine.Result
	err    error
}

// ReplicaStatus is a replica's status after a step.
type ReplicaStatus struct {
	Status
	Applied uint64
	// FreshAsOf is a time for which the applied state is complete: it holds every entry
	// that was committed before FreshAsOf. It is zero until a leader has attested one.
	FreshAsOf time.Time
}

// NewReplica returns a replica and restores the machine from the stored snapshot. The
// machine must not be used otherwise until Start.
func NewReplica(opt Options) (*Replica, error) {
	if opt.TickInterval == 0 {
		opt.TickInterval = DefaultTickInterval
	}
	if opt.EntriesPerSnapshot == 0 {
		opt.EntriesPerSnapshot = DefaultEntriesPerSnapshot
	}
	if opt.Limits == (Limits{}) {
		opt.Limits = LimitsFor(0)
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
	r := &Replica{opt: opt, writes: make(chan Ready, 1), written: make(chan writeResult, 1), inbox: make(chan func(), inboxSize), stop: make(chan struct{}), done: make(chan struct{}),
		senderAddresses: map[uint64]string{}, waiters: map[uint64]waiter{}, pendingReads: map[uint64]chan ReadReady{}, changed: make(chan struct{}),
		commitDuration: newCommitHistogram(), writeDuration: newWriteHistogram()}
	snapshot := opt.Stored.Snapshot
	if len(snapshot.Data) > 0 {
		if err := opt.Machine.Restore(bytes.NewReader(snapshot.Data)); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	r.appliedIndex, r.appliedTerm, r.snapshotIndex, r.snapshotBytes = snapshot.Index, snapshot.Term, snapshot.Index, len(snapshot.Data)
	r.snapshotDuration = estimateSnapshotDuration(len(snapshot.Data))
	r.status.Store(&ReplicaStatus{Status: Status{ID: opt.Core.ID, Members: snapshot.Membership}, Applied: r.appliedIndex})
	return r, nil
}

// Start starts the replica's goroutine.
func (r *Replica) Start() {
	r.core = NewCore(r.opt.Core, r.opt.Stored, r.opt.Now())
	for _, e := range r.opt.Stored.Entries {
		r.storedBytes += len(e.Data)
	}
	r.opt.Stored.Entries, r.opt.Stored.Snapshot.Data = nil, nil
	go r.run()
}

// writeResult is the end of a write.
type writeResult struct {
	took time.Duration
	err  error
}

// writeRecords writes the records of one Ready after the other until writes is closed.
func (r *Replica) writeRecords() {
	defer close(r.written)
	for ready := range r.writes {
		start := time.Now()
		err := r.opt.Storage.Save(*ready.HardState, ready.InstallSnapshot, ready.Entries)
		r.written <- writeResult{time.Since(start), err}
	}
}

// stopWriting ends the goroutine that writes, after a write that it has begun.
func (r *Replica) stopWriting() {
	close(r.writes)
	for range r.written {
		continue // a write whose result nobody needs
	}
}

func (r *Replica) run() {
	go r.writeRecords()
	defer close(r.done)
	defer r.stopWriting()
	ticker := time.NewTicker(r.opt.TickInterval)
	defer ticker.Stop()
	ready := make(chan struct{})
	close(ready)
	for {
		if err := r.process(); err != nil {
			r.stopWithError(err)
			return
		}
		var committed chan struct{}
		if r.core.hasCommitted() {
			committed = ready
		}
		select {
		case result := <-r.written:
			if err := r.finishWrite(result); err != nil {
				r.stopWithError(err)
				return
			}
		case <-committed:
			r.drainInbox()
		case <-r.stop:
			return
		case <-ticker.C:
			r.core.Tick(r.opt.Now())
			r.transferWhileDraining()
			r.yieldOnSlowDisk()
		case call := <-r.inbox:
			call()
			r.drainInbox()
		}
	}
}

// drainInbox runs the queued calls, up to Options.MaxBatch, so that they share one sync.
func (r *Replica) drainInbox() {
	for range r.opt.MaxBatch - 1 {
		select {
		case call := <-r.inbox:
			call()
		default:
			return
		}
	}
}

// process flushes proposals and reads, handles all pending work of the core, takes a
// snapshot if one is due and publishes the status.
func (r *Replica) process() error {
	if r.needsFlush {
		r.core.Flush()
		r.needsFlush = false
	}
	r.core.FlushReads()
	// Before the next write begins, as each may begin when the one before ends.
	if r.pending == nil && r.snapshotDue() {
		if err := r.takeSnapshot(); err != nil {
			return err
		}
	}
	if err := r.handleAllReady(); err != nil {
		return err
	}
	r.evictData()
	r.publishStatus()
	return nil
}

// handleAllReady handles the core's work until none is pending, except for committed entries
// beyond those of one Ready: applying a long log may take longer than an election timeout.
func (r *Replica) handleAllReady() error {
	for {
		ready := r.core.Ready()
		if ready.Fatal != nil {
			return ready.Fatal
		}
		if ready.Empty() {
			return nil
		}
		if err := r.handleReady(ready); err != nil {
			return err
		}
		if len(ready.Committed) > 0 && r.core.hasCommitted() {
			return nil
		}
	}
}

// handleReady handles the core's work. The part that depends on records waits until they are
// written.
func (r *Replica) handleReady(ready Ready) error {
	r.sendMessages(ready.SendBeforeSync)
	if ready.HardState != nil {
		r.pending = &ready
		r.writes <- ready // there is room, as only one Ready is written at a time
		return nil
	}
	return r.handleSynced(ready)
}

// finishWrite handles the rest of the work whose records are written.
func (r *Replica) finishWrite(result writeResult) error {
	ready := *r.pending
	r.pending = nil
	if result.err != nil {
		return errkind.Wrap(result.err, errkind.Corrupt, "write to the store")
	}
	r.observeWrite(result.took, len(ready.Entries), ready.InstallSnapshot != nil)
	r.core.Persisted(r.opt.Now(), ready)
	for _, e := range ready.Entries {
		r.storedBytes += len(e.Data)
	}
	return r.handleSynced(ready)
}

// handleSynced handles the work that depends on synced records only.
func (r *Replica) handleSynced(ready Ready) error {
	r.sendMessages(ready.SendAfterSync)
	if ready.InstallSnapshot != nil {
		if err := r.installSnapshot(*ready.InstallSnapshot); err != nil {
			return err
		}
	}
	for i := range ready.Committed {
		if err := r.loadData(ready.Committed[i : i+1]); err != nil {
			return err
		}
		r.applyEntry(ready.Committed[i])
	}
	for _, read := range ready.Reads {
		if reply := r.pendingReads[read.ID]; reply != nil {
			reply <- read
			delete(r.pendingReads, read.ID)
		}
	}
	return nil
}

// observeWrite records how long a synced write took, and logs a slow one.
func (r *Replica) observeWrite(took time.Duration, entries int, snapshot bool) {
	r.writeDuration.Observe(took.Seconds())
	if took >= r.opt.Core.ElectionTimeout/2 {
		r.opt.Logger.Warn("slow write to the store", zap.Duration("took", took), zap.Int("entries", entries), zap.Bool("snapshot", snapshot))
	}
}

func (r *Replica) installSnapshot(snapshot Snapshot) error {
	if err := r.opt.Machine.Restore(bytes.NewReader(snapshot.Data)); err != nil {
		return errors.Wrap(err, "install snapshot")
	}
	r.appliedIndex, r.appliedTerm, r.snapshotIndex = snapshot.Index, snapshot.Term, snapshot.Index
	r.snapshotBytes, r.appliedBytes, r.snapshotDuration = len(snapshot.Data), 0, estimateSnapshotDuration(len(snapshot.Data))
	r.opt.Logger.Info("snapshot installed", zap.Uint64("index", snapshot.Index))
	return nil
}

func (r *Replica) applyEntry(e Entry) {
	var data []byte
	if e.Kind == EntryCommand {
		data = r.opt.Machine.Apply(e.Index, e.Data)
		r.appliedBytes += r.opt.Machine.AppliedWork()
	}
	r.appliedIndex, r.appliedTerm = e.Index, e.Term
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	r.releaseProposal(w.size)
	if w.term != e.Term {
		w.reply <- proposalResult{err: errkind.New(errkind.NotLeader, "the log entry was replaced by another leader's")}
		return
	}
	w.reply <- proposalResult{result: statemachine.Result{Index: e.Index, Data: data}}
}

// sendMessages sends messages grouped by receiver and loads the snapshots and the data of the
// entries to send.
func (r *Replica) sendMessages(messages []Message) {
	if len(messages) == 0 {
		return
	}
	members := r.core.Status().Members
	byReceiver := map[uint64][]Message{}
	own, _ := members.Find(r.opt.Core.ID)
	var snapshot *Snapshot // shared by the messages, as each copy has the size of the state
	for _, m := range messages {
		m.ReplyTo = own.Address
		if m.Kind == MsgSnapshot {
			if snapshot == nil {
				stored, err := r.opt.Storage.Snapshot()
				if err != nil {
					r.opt.Logger.Error("failed to read the snapshot to send", zap.Error(err))
					continue
				}
				snapshot = &stored
			}
			m.Snapshot = snapshot
		}
		if err := r.loadData(m.Entries); err != nil {
			r.opt.Logger.Error("failed to read the log entries to send", zap.Error(err))
			continue
		}
		byReceiver[m.To] = append(byReceiver[m.To], m)
	}
	for to, batch := range byReceiver {
		address := r.senderAddresses[to]
		if member, ok := members.Find(to); ok {
			address = member.Address
		}
		if address != "" {
			r.opt.Transport.Send(address, batch)
		}
	}
}

// publishStatus stores the status after a step and closes the Changed channel if needed.
func (r *Replica) publishStatus() {
	previous := r.status.Load()
	p := &ReplicaStatus{Status: r.core.Status(), Applied: r.appliedIndex, FreshAsOf: previous.FreshAsOf}
	if p.AttestedAt.After(p.FreshAsOf) && r.appliedIndex >= p.AttestedIndex {
		p.FreshAsOf = p.AttestedAt
	}
	if p.Role != Leader && len(r.waiters) > 0 {
		r.failWaiters(errkind.New(errkind.Timeout, "leadership was lost; the change may still be accepted"))
	}
	r.status.Store(p)
	if previous.Applied != p.Applied || previous.Role != p.Role || previous.Leader != p.Leader || previous.Serving != p.Serving {
		r.notifyChanged()
	}
	if previous.Role != p.Role || previous.Leader != p.Leader {
		r.opt.Logger.Info("consensus role changed", zap.Stringer("role", p.Role), zap.Uint64("term", p.Term),
			zap.Uint64("leader", p.Leader), zap.Uint64("commit", p.CommitIndex))
	}
}

func (r *Replica) notifyChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) failWaiters(err error) {
	for index, w := range r.waiters {
		w.reply <- proposalResult{err: err}
		delete(r.waiters, index)
		r.releaseProposal(w.size)
	}
}

// stopWithError stops the replica because of err.
func (r *Replica) stopWithError(err error) {
	r.fatalError.Store(errkind.Of(err))
	r.opt.Logger.Error("replica stopped after a fatal error", zap.Error(err))
	status := *r.status.Load()
	status.Role, status.Leader, status.FreshAsOf, status.LeaseEnd = Follower, 0, time.Time{}, time.Time{}
	r.status.Store(&status)
	r.failWaiters(errkind.New(errkind.Timeout, "replica stopped; the change may still be accepted"))
	r.notifyChanged()
	go r.opt.OnFatal(err)
}
