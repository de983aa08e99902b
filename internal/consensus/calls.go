package consensus

import (
	"context"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/statemachine"
)

// readRetryPause is the wait before a read barrier is asked for again.
const readRetryPause = 20 * time.Millisecond

// do runs f on the goroutine that owns the core.
func (r *Replica) do(ctx context.Context, f func()) error {
	select {
	case r.inbox <- f:
		return nil
	case <-r.done:
		return errkind.New(errkind.NotLeader, "replica %d has stopped", r.opt.Core.ID)
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "replica is busy").WithOutcome(errkind.NotRun)
	}
}

// Deliver takes messages from other replicas in. It drops them when the replica
// is overloaded, as a network would.
func (r *Replica) Deliver(msgs []Message) {
	select {
	case r.inbox <- func() {
		for _, m := range msgs {
			if m.ReplyTo != "" {
				r.addresses[m.From] = m.ReplyTo
			}
			r.core.Step(r.opt.Now(), m)
		}
	}:
	default:
	}
}

// Propose puts a command in the log and returns its result once it is applied here.
func (r *Replica) Propose(ctx context.Context, namespace string, command []byte) (statemachine.Result, error) {
	if r.draining.Load() {
		return statemachine.Result{}, errkind.New(errkind.NotLeader, "replica %d is stopping", r.opt.Core.ID)
	}
	data := statemachine.Command(namespace, command)
	arrived := time.Now()
	reply := make(chan proposed, 1)
	err := r.do(ctx, func() {
		if !r.handing.IsZero() {
			reply <- proposed{err: errkind.New(errkind.NotLeader, "replica %d hands over", r.opt.Core.ID)}
			return
		}
		index, term, err := r.core.Propose(r.opt.Now(), data)
		if err != nil {
			reply <- proposed{err: err}
			return
		}
		r.waiting[index] = waiter{term: term, reply: reply}
		r.pending = true
	})
	if err != nil {
		return statemachine.Result{}, err
	}
	select {
	case p := <-reply:
		if p.err == nil {
			r.commitTime.Observe(time.Since(arrived).Seconds())
		}
		return p.result, p.err
	case <-r.done:
		return afterStop(reply)
	case <-ctx.Done():
		return statemachine.Result{}, errkind.Wrap(ctx.Err(), errkind.Timeout, "not accepted in time; it may still be")
	}
}

// afterStop prefers an answer that was given before the replica stopped.
func afterStop(reply chan proposed) (statemachine.Result, error) {
	select {
	case p := <-reply:
		return p.result, p.err
	default:
		return statemachine.Result{}, errkind.New(errkind.Timeout, "replica stopped; the change may still be accepted")
	}
}

// ReadIndex returns an index behind which everything accepted before the call
// lies. It works on the leader alone.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	reply := make(chan ReadReady, 1)
	refused := make(chan error, 1)
	err := r.do(ctx, func() {
		r.readID++
		if err := r.core.ReadIndex(r.opt.Now(), r.readID); err != nil {
			refused <- err
			return
		}
		r.reads[r.readID] = reply
	})
	if err != nil {
		return 0, err
	}
	select {
	case got := <-reply:
		if got.Aborted {
			return 0, errkind.New(errkind.NotLeader, "leadership was lost")
		}
		return got.Index, nil
	case err := <-refused:
		return 0, err
	case <-r.done:
		return 0, errkind.New(errkind.NotLeader, "replica %d has stopped", r.opt.Core.ID)
	case <-ctx.Done():
		return 0, errkind.Wrap(ctx.Err(), errkind.NoQuorum, "no majority confirmed the read")
	}
}

// ReadBarrier returns once this replica has applied everything that was committed
// anywhere before the call.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	for {
		index, err := r.barrierIndex(ctx)
		if err == nil {
			return r.WaitApplied(ctx, index)
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(err, errkind.NoQuorum, "read barrier")
		case <-r.done:
			return err
		case <-time.After(readRetryPause):
		}
	}
}

func (r *Replica) barrierIndex(ctx context.Context) (uint64, error) {
	p := r.Status()
	if p.Role == Leader {
		return r.ReadIndex(ctx)
	}
	address := r.Leader()
	if address == "" {
		return 0, errkind.New(errkind.NoQuorum, "no leader is known")
	}
	return r.opt.Transport.ReadIndex(ctx, address)
}

// WaitApplied returns once the entry at index is applied here.
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
			return errkind.Wrap(ctx.Err(), errkind.NoQuorum, "entry %d is not applied in time", index)
		}
	}
}

// Changed returns a channel that is closed when entries are applied or the
// leadership changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Status returns the state after the last step.
func (r *Replica) Status() *ReplicaStatus { return r.published.Load() }

// Leading reports whether this replica holds the leader lease now, and its term.
func (r *Replica) Leading() (uint64, bool) {
	p := r.Status()
	ok := p.Role == Leader && p.Serving && p.Applied >= p.TermStart && r.opt.Now().Before(p.LeaseEnd)
	return p.Term, ok
}

// Leader returns the peer address of the believed leader, or "".
func (r *Replica) Leader() string {
	p := r.Status()
	x, _ := p.Members.Find(p.Leader)
	return x.Address
}

// Health returns why the replica doesn't serve, or nil.
func (r *Replica) Health() error {
	if err := r.fatal.Load(); err != nil {
		return err
	}
	if r.Status().Leader == 0 {
		return errkind.New(errkind.NoQuorum, "no leader is known")
	}
	return nil
}

// AddReplica puts a new replica into the group as a learner.
func (r *Replica) AddReplica(ctx context.Context, id uint64, address string) (uint64, error) {
	return r.changeMembership(ctx, func() (uint64, error) { return r.core.AddLearner(id, address) })
}

// RemoveReplica takes a replica out of the group.
func (r *Replica) RemoveReplica(ctx context.Context, id uint64) (uint64, error) {
	return r.changeMembership(ctx, func() (uint64, error) { return r.core.RemoveMember(id) })
}

func (r *Replica) changeMembership(ctx context.Context, change func() (uint64, error)) (uint64, error) {
	reply := make(chan proposed, 1)
	err := r.do(ctx, func() {
		index, err := change()
		if err != nil {
			reply <- proposed{err: err}
			return
		}
		r.waiting[index] = waiter{term: r.core.hard.Term, reply: reply}
	})
	if err != nil {
		return 0, err
	}
	select {
	case p := <-reply:
		return p.result.Index, p.err
	case <-r.done:
		p, err := afterStop(reply)
		return p.Index, err
	case <-ctx.Done():
		return 0, errkind.Wrap(ctx.Err(), errkind.Timeout, "not accepted in time; it may still be")
	}
}

// TransferLeadership hands leadership to a replica; 0 takes the best one. It
// retries until ctx ends.
func (r *Replica) TransferLeadership(ctx context.Context, to uint64) error {
	for {
		reply := make(chan error, 1)
		err := r.do(ctx, func() {
			target := to
			if target == 0 {
				target = r.core.Successor()
			}
			err := r.core.Transfer(r.opt.Now(), target)
			if err == nil {
				r.publish() // before the successor hears of it, and may be elected within the lease
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
		case <-time.After(readRetryPause):
		}
	}
}

// Drain refuses new proposals and hands leadership over.
func (r *Replica) Drain(ctx context.Context) error {
	r.draining.Store(true)
	p := r.Status()
	if p.Role != Leader || len(p.Members.voters()) < 2 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*r.opt.Core.ElectionTimeout)
	defer cancel()
	if err := r.TransferLeadership(ctx, 0); err != nil && !errkind.Is(err, errkind.NotLeader) {
		return err
	}
	return nil
}

// Stop ends the work and closes the store.
func (r *Replica) Stop() error {
	var err error
	r.stopped.Do(func() {
		close(r.stop)
		if r.core != nil {
			<-r.done
		}
		r.opt.Transport.Close()
		err = r.opt.Storage.Close()
	})
	return err
}
