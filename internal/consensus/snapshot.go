package consensus

import (
	"bytes"
	"time"

	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
)

const (
	// snapshotBytesPerSecond estimates how fast a snapshot is taken and stored until
	// one was timed.
	snapshotBytesPerSecond = 100 << 20
	// staggerSteps keeps replicas from taking their snapshots at the same time.
	staggerSteps = 8
)

func estimate(size int) time.Duration {
	return time.Duration(size) * time.Second / snapshotBytesPerSecond
}

// snapshotDue reports whether enough entries were applied since the last snapshot.
// The log also grows by the size of a snapshot first, so that large states are not
// written over and over; the count differs from replica to replica.
func (r *Replica) snapshotDue() bool {
	stagger := r.opt.EntriesPerSnapshot / staggerSteps * (r.opt.Core.ID % staggerSteps)
	return r.applied >= r.snapAt+r.opt.EntriesPerSnapshot+stagger && r.logBytes >= r.snapBytes
}

// snapshot stores the applied state and forgets the log before it, unless
// leadership has to be handed over first.
func (r *Replica) snapshot() error {
	if r.handOverFirst() {
		return nil
	}
	r.publish() // nobody shall wait for a leader that stands still
	start := time.Now()
	var b bytes.Buffer
	if err := r.opt.Machine.Snapshot(&b); err != nil {
		return errors.Wrap(err, "take snapshot")
	}
	s := Snapshot{Index: r.applied, Term: r.appliedTerm, Membership: r.core.MembershipAt(r.applied), Data: b.Bytes()}
	dropTo := r.applied - min(r.applied, r.opt.RetainedEntries)
	if err := r.opt.Storage.SaveSnapshot(s, dropTo); err != nil {
		return errkind.Wrap(err, errkind.Corrupt, "write snapshot")
	}
	r.core.Compact(dropTo, r.core.MembershipAt(dropTo))
	r.snapAt, r.snapBytes, r.logBytes = r.applied, len(s.Data), 0
	r.snapTook, r.handing = time.Since(start), time.Time{}
	return nil
}

// handOverFirst reports whether the snapshot has to wait. A replica stands still
// while it takes one; a leader for which that takes long lets another lead first, so
// that changes go on. It waits an election timeout at most.
func (r *Replica) handOverFirst() bool {
	now, election := r.opt.Now(), r.opt.Core.ElectionTimeout
	if r.handing.IsZero() {
		if r.core.role != Leader || r.snapTook < election/4 || len(r.core.members.voters()) < 2 {
			return false
		}
		r.handing = now
	}
	if now.Sub(r.handing) > election {
		return false
	}
	if r.core.role == Leader {
		// A refusal means that the successor lacks entries yet; it is tried again.
		_ = r.core.Transfer(now, r.core.Successor())
		return true
	}
	return r.core.leader == 0
}
