package consensus

import (
	"bytes"
	"time"

	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
)

const (
	// assumedSnapshotBytesPerSecond estimates the duration of a snapshot until the replica
	// has taken one.
	assumedSnapshotBytesPerSecond = 100 << 20
	// staggerSteps is the number of offsets that spread the replicas' snapshots in time.
	staggerSteps = 8
)

func estimateSnapshotDuration(sizeBytes int) time.Duration {
	return time.Duration(sizeBytes) * time.Second / assumedSnapshotBytesPerSecond
}

// snapshotDue reports whether enough entries, or entries with enough data, were applied since
// the last snapshot. Both bounds depend on the replica ID, so that replicas do not take
// snapshots at the same time. The entries must also add up to the size of the last snapshot,
// so that a large state is not rewritten too often.
func (r *Replica) snapshotDue() bool {
	step := r.opt.Core.ID % staggerSteps
	entries := r.opt.EntriesPerSnapshot + r.opt.EntriesPerSnapshot/staggerSteps*step
	size := r.opt.Limits.SnapshotInterval + r.opt.Limits.SnapshotInterval/staggerSteps*int(step)
	return (r.appliedIndex >= r.snapshotIndex+entries || r.appliedBytes >= size) && r.appliedBytes >= r.snapshotBytes
}

// takeSnapshot stores the applied state and discards the log before it, except for the
// last entries within Options.RetainedEntries and Limits.Retained. It does nothing while mustTransferFirst returns
// true.
func (r *Replica) takeSnapshot() error {
	if r.mustTransferFirst() {
		return nil
	}
	r.publishStatus() // waiters must not wait for a replica that is blocked by its snapshot
	start := time.Now()
	var data bytes.Buffer
	if err := r.opt.Machine.Snapshot(&data); err != nil {
		return errors.Wrap(err, "take snapshot")
	}
	snapshot := Snapshot{Index: r.appliedIndex, Term: r.appliedTerm, Membership: r.core.MembershipAt(r.appliedIndex), Data: data.Bytes()}
	dropTo := r.core.RetainFrom(r.appliedIndex, r.opt.RetainedEntries, r.opt.Limits.Retained)
	writeStart := time.Now()
	if err := r.opt.Storage.SaveSnapshot(snapshot, dropTo); err != nil {
		return errkind.Wrap(err, errkind.Corrupt, "write snapshot")
	}
	r.observeWrite(time.Since(writeStart), 0, true)
	r.core.Compact(dropTo, r.core.MembershipAt(dropTo), len(snapshot.Data))
	r.snapshotIndex, r.snapshotBytes, r.appliedBytes = r.appliedIndex, len(snapshot.Data), 0
	r.snapshotDuration, r.transferSince = time.Since(start), time.Time{}
	return nil
}

// mustTransferFirst reports whether the snapshot must wait for a leadership transfer. A
// replica processes nothing while it takes a snapshot. A leader whose snapshot takes a
// quarter of an election timeout or longer therefore transfers leadership first, so that
// changes are still accepted. The snapshot waits for at most one election timeout.
func (r *Replica) mustTransferFirst() bool {
	now, electionTimeout := r.opt.Now(), r.opt.Core.ElectionTimeout
	if r.transferSince.IsZero() {
		if r.core.role != Leader || r.snapshotDuration < electionTimeout/4 || len(r.core.members.voters()) < 2 {
			return false
		}
		r.transferSince = now
	}
	if now.Sub(r.transferSince) > electionTimeout {
		return false
	}
	if r.core.role == Leader {
		// An error means that the successor still lacks entries; the next call retries.
		_ = r.core.Transfer(now, r.core.Successor())
		return true
	}
	return r.core.leaderID == 0
}
