package consensus

import (
	"context"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/statemachine"

	"go.uber.org/zap"
)

// readRetryDelay is the delay before a failed read barrier or leadership transfer is
// retried.
const readRetryDelay = 20 * time.Millisecond

// runOnLoop queues call for the goroutine that owns the core.
func (r *Replica) runOnLoop(ctx context.Context, call func()) error {
	select {
	case r.inbox <- call:
		return nil
	case <-r.done:
		return errkind.New(errkind.NotLeader, "replica %d has stopped", r.opt.Core.ID)
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "replica queue is full").WithOutcome(errkind.NotRun)
	}
}

// Deliver queues messages from other replicas. It drops them if the queue is full or holds
// Limits.Received; the protocol handles them like messages lost by the network.
func (r *Replica) Deliver(messages []Message) {
	size := dataBytes(messages)
	if held := r.receivedBytes.Add(size); size > 0 && held > r.opt.Limits.Received && held > size {
		r.receivedBytes.Add(-size)
		return
	}
	select {
	case r.inbox <- func() {
		r.receivedBytes.Add(-size)
		for _, m := range messages {
			if m.ReplyTo != "" {
				r.senderAddresses[m.From] = m.ReplyTo
			}
			r.core.Step(r.opt.Now(), m)
		}
	}:
	default:
		r.receivedBytes.Add(-size)
	}
}

// Propose appends a command to the log and returns its result once this replica has
// applied it. It refuses a command that can't be held within Limits.Proposals with the error
// kind TooLarge, or Overloaded while other commands wait.
func (r *Replica) Propose(ctx context.Context, namespace string, command []byte) (statemachine.Result, error) {
	if r.draining.Load() {
		return statemachine.Result{}, errkind.New(errkind.NotLeader, "replica %d is stopping", r.opt.Core.ID)
	}
	data := statemachine.EncodeCommand(namespace, command)
	if err := r.acquireProposal(len(data)); err != nil {
		return statemachine.Result{}, err
	}
	start := time.Now()
	reply := make(chan proposalResult, 1)
	err := r.runOnLoop(ctx, func() {
		if !r.transferSince.IsZero() {
			r.releaseProposal(len(data))
			reply <- proposalResult{err: errkind.New(errkind.NotLeader, "replica %d is transferring leadership", r.opt.Core.ID)}
			return
		}
		index, term, err := r.core.Propose(r.opt.Now(), data)
		if err != nil {
			r.releaseProposal(len(data))
			reply <- proposalResult{err: err}
			return
		}
		r.waiters[index] = waiter{term: term, size: len(data), reply: reply}
		r.needsFlush = true
	})
	if err != nil {
		r.releaseProposal(len(data))
		return statemachine.Result{}, err
	}
	select {
	case p := <-reply:
		if p.err == nil {
			r.commitDuration.Observe(time.Since(start).Seconds())
		}
		return p.result, p.err
	case <-r.done:
		return resultAfterStop(reply)
	case <-ctx.Done():
		return statemachine.Result{}, errkind.Wrap(ctx.Err(), errkind.Timeout, "timed out waiting for the commit; the change may still be accepted")
	}
}

// resultAfterStop returns the result that was sent before the replica stopped, or else a
// timeout error.
func resultAfterStop(reply chan proposalResult) (statemachine.Result, error) {
	select {
	case p := <-reply:
		return p.result, p.err
	default:
		return statemachine.Result{}, errkind.New(errkind.Timeout, "replica stopped; the change may still be accepted")
	}
}

// ReadIndex returns an index at or above every entry that was committed before the
// call. Only the leader supports it; other replicas return a NotLeader error.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	reply := make(chan ReadReady, 1)
	refused := make(chan error, 1)
	err := r.runOnLoop(ctx, func() {
		r.lastReadID++
		if err := r.core.ReadIndex(r.opt.Now(), r.lastReadID); err != nil {
			refused <- err
			return
		}
		r.pendingReads[r.lastReadID] = reply
	})
	if err != nil {
		return 0, err
	}
	select {
	case read := <-reply:
		if read.Aborted {
			return 0, errkind.New(errkind.NotLeader, "leadership was lost")
		}
		return read.Index, nil
	case err := <-refused:
		return 0, err
	case <-r.done:
		return 0, errkind.New(errkind.NotLeader, "replica %d has stopped", r.opt.Core.ID)
	case <-ctx.Done():
		return 0, errkind.Wrap(ctx.Err(), errkind.NoQuorum, "no majority confirmed the read")
	}
}

// ReadBarrier returns once this replica has applied every entry that any replica had
// committed before the call.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	for {
		index, err := r.requestReadIndex(ctx)
		if err == nil {
			return r.WaitApplied(ctx, index)
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(err, errkind.NoQuorum, "read barrier")
		case <-r.done:
			return err
		case <-time.After(readRetryDelay):
		}
	}
}

func (r *Replica) requestReadIndex(ctx context.Context) (uint64, error) {
	status := r.Status()
	if status.Role == Leader {
		return r.ReadIndex(ctx)
	}
	address := r.Leader()
	if address == "" {
		return 0, errkind.New(errkind.NoQuorum, "no leader is known")
	}
	return r.opt.Transport.ReadIndex(ctx, address)
}

// WaitApplied returns once this replica has applied the entry at index.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	for {
		changed := r.Changed()
		if r.Status().Applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-r.done:
			return errkind.New(errkind.NoQuorum, "replica %d has stopped", r.opt.Core.ID)
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.NoQuorum, "timed out waiting for entry %d to be applied", index)
		}
	}
}

// Changed returns a channel that is closed when entries are applied, or when the role,
// the leader or Status.Serving changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Status returns the status after the last step.
func (r *Replica) Status() *ReplicaStatus { return r.status.Load() }

// Leading returns the current term and whether this replica holds the leader lease and
// has applied the no-op entry of its term.
func (r *Replica) Leading() (uint64, bool) {
	status := r.Status()
	leading := status.Role == Leader && status.Serving && status.Applied >= status.TermStart && r.opt.Now().Before(status.LeaseEnd)
	return status.Term, leading
}

// Leader returns the peer address of the last known leader, or "".
func (r *Replica) Leader() string {
	status := r.Status()
	member, _ := status.Members.Find(status.Leader)
	return member.Address
}

// Health returns the reason why the replica cannot serve, or nil.
func (r *Replica) Health() error {
	if err := r.fatalError.Load(); err != nil {
		return err
	}
	if r.Status().Leader == 0 {
		return errkind.New(errkind.NoQuorum, "no leader is known")
	}
	return nil
}

// AddReplica adds a new replica to the group as a learner and returns the index of the
// membership entry.
func (r *Replica) AddReplica(ctx context.Context, id uint64, address string) (uint64, error) {
	return r.changeMembership(ctx, func() (uint64, error) { return r.core.AddLearner(id, address) })
}

// RemoveReplica removes a replica from the group and returns the index of the membership
// entry.
func (r *Replica) RemoveReplica(ctx context.Context, id uint64) (uint64, error) {
	return r.changeMembership(ctx, func() (uint64, error) { return r.core.RemoveMember(id) })
}

func (r *Replica) changeMembership(ctx context.Context, change func() (uint64, error)) (uint64, error) {
	reply := make(chan proposalResult, 1)
	err := r.runOnLoop(ctx, func() {
		index, err := change()
		if err != nil {
			reply <- proposalResult{err: err}
			return
		}
		r.waiters[index] = waiter{term: r.core.hardState.Term, reply: reply}
	})
	if err != nil {
		return 0, err
	}
	select {
	case p := <-reply:
		return p.result.Index, p.err
	case <-r.done:
		p, err := resultAfterStop(reply)
		return p.Index, err
	case <-ctx.Done():
		return 0, errkind.Wrap(ctx.Err(), errkind.Timeout, "timed out waiting for the commit; the change may still be accepted")
	}
}

// TransferLeadership transfers leadership to a replica, or to Core.Successor if to is 0.
// It retries until ctx is done while the target lacks entries.
func (r *Replica) TransferLeadership(ctx context.Context, to uint64) error {
	for {
		reply := make(chan error, 1)
		err := r.runOnLoop(ctx, func() {
			target := to
			if target == 0 {
				target = r.core.Successor()
			}
			err := r.core.Transfer(r.opt.Now(), target)
			if err == nil {
				r.publishStatus() // before the successor gets the message, as it may be elected within the lease
			}
			reply <- err
		})
		if err != nil {
			return err
		}
		select {
		case err = <-reply:
		case <-r.done:
			return errkind.New(errkind.NotLeader, "replica %d has stopped", r.opt.Core.ID)
		}
		if !errkind.Is(err, errkind.Overloaded) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readRetryDelay):
		}
	}
}

// Drain refuses new proposals and transfers leadership to another replica.
func (r *Replica) Drain(ctx context.Context) error {
	r.draining.Store(true)
	status := r.Status()
	if status.Role != Leader || len(status.Members.voters()) < 2 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*r.opt.Core.ElectionTimeout)
	defer cancel()
	if err := r.TransferLeadership(ctx, 0); err != nil && !errkind.Is(err, errkind.NotLeader) {
		return err
	}
	return nil
}

// transferWhileDraining transfers leadership if the replica was elected after the begin of Drain. It may have to be
// elected because only its log is complete, but it refuses proposals.
func (r *Replica) transferWhileDraining() {
	if !r.draining.Load() || r.core.role != Leader || len(r.core.members.voters()) < 2 {
		return
	}
	// An error means that the successor still lacks entries; the next tick retries.
	if r.core.Transfer(r.opt.Now(), r.core.Successor()) == nil {
		r.publishStatus() // before the successor gets the message, as it may be elected within the lease
	}
}

// yieldOnSlowDisk ends the leadership of a replica whose disk is much slower than those of a
// majority.
func (r *Replica) yieldOnSlowDisk() {
	yielded, transferred := r.core.YieldOnSlowDisk(r.opt.Now())
	if !yielded {
		return
	}
	r.opt.Logger.Warn("leadership given up, a write to the store takes too long", zap.Bool("transferred", transferred))
	r.publishStatus() // before the successor gets the message, as it may be elected within the lease
}

// Stop stops the replica and closes its transport and storage.
func (r *Replica) Stop() error {
	var err error
	r.stopOnce.Do(func() {
		close(r.stop)
		if r.core != nil {
			<-r.done
		}
		r.opt.Transport.Close()
		err = r.opt.Storage.Close()
	})
	return err
}
