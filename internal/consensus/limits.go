package consensus

import "eelgrasshollow/internal/errkind"

// Limits bounds in bytes what a replica keeps of the log. A command may hold a configuration of
// several megabytes, so a bound on the number of entries does not bound memory or store.
// A single message or snapshot above its bound is kept alone. Messages without data, such as
// heartbeats, don't count.
type Limits struct {
	SnapshotInterval int   // work of the entries applied between two snapshots; see statemachine.Mux.AppliedWork
	Retained         int   // data of the entries kept before a snapshot, for slow replicas
	Cached           int   // data of stored entries kept in memory
	Proposals        int64 // commands that are queued or not applied yet; more are refused
	Received         int64 // messages of other replicas in the queue; more are dropped
	Sent             int64 // messages in the queue to one replica; more are dropped
}

const (
	// entryShare and queueShare are the parts of the memory limit, as divisors. Commands and
	// messages are copied some three times while they are encoded and stored, of which the
	// bounds together must leave half of the limit.
	entryShare = 16
	queueShare = 32
	// minProposalBytes admits one configuration of the largest size that an operator may send,
	// 4 MiB, under any memory limit.
	minProposalBytes = 5 << 20
	// assumedMemoryBytes is the memory limit for a process without one.
	assumedMemoryBytes = 512 << 20
)

// LimitsFor returns the limits under a memory limit in bytes; 0 means that there is none.
func LimitsFor(memoryBytes int64) Limits {
	if memoryBytes <= 0 {
		memoryBytes = assumedMemoryBytes
	}
	return Limits{
		SnapshotInterval: int(memoryBytes / entryShare),
		Retained:         int(memoryBytes / entryShare),
		Cached:           int(memoryBytes / queueShare),
		Proposals:        max(memoryBytes/entryShare, minProposalBytes),
		Received:         max(memoryBytes/entryShare, minProposalBytes),
		Sent:             memoryBytes / queueShare,
	}
}

// acquireProposal counts a command of size bytes until releaseProposal, or refuses it.
func (r *Replica) acquireProposal(size int) error {
	limit := r.opt.Limits.Proposals
	if int64(size) > limit {
		return errkind.New(errkind.TooLarge, "change has %d bytes, at most %d can be held", size, limit)
	}
	if held := r.proposalBytes.Add(int64(size)); held > limit {
		r.proposalBytes.Add(-int64(size))
		return errkind.New(errkind.Overloaded, "changes of %d bytes wait for agreement, at most %d can be held", held-int64(size), limit)
	}
	return nil
}

func (r *Replica) releaseProposal(size int) { r.proposalBytes.Add(-int64(size)) }

// loadData reads the data of those entries whose data is only in the store.
func (r *Replica) loadData(entries []Entry) error {
	for i := range entries {
		if entries[i].storedBytes == 0 {
			continue
		}
		stored, err := r.opt.Storage.Entry(entries[i].Index)
		if err != nil {
			return errkind.Wrap(err, errkind.Corrupt, "read log entry %d", entries[i].Index)
		}
		if stored.Term != entries[i].Term || len(stored.Data) != entries[i].storedBytes {
			return errkind.New(errkind.Corrupt, "store holds another log entry %d than was written", entries[i].Index)
		}
		entries[i] = stored
	}
	return nil
}

// evictData drops data of stored entries from memory. It does so in steps of a quarter of
// Limits.Cached, as each call looks at the whole log.
func (r *Replica) evictData() {
	if r.storedBytes > r.opt.Limits.Cached/4 {
		r.core.EvictData(r.opt.Limits.Cached)
		r.storedBytes = 0
	}
}
