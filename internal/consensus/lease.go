package consensus

import "time"

// maxPendingProbes limits the probes that are kept while the leader repeats none.
const maxPendingProbes = 256

// probeBootShift puts the boot number above the probe counter, so that the probes of
// two boots never collide.
const probeBootShift = 32

// leaseEnd returns the end of the leader lease by the leader's clock, or the zero time
// if no round is confirmed.
func (c *Core) leaseEnd() time.Time {
	if c.confirmedRoundStart.IsZero() {
		return time.Time{}
	}
	return c.confirmedRoundStart.Add(c.cfg.LeaseDuration())
}

// Status is a Core's public state.
type Status struct {
	ID, Term, Leader                      uint64
	Role                                  Role
	CommitIndex, LastIndex, SnapshotIndex uint64
	Members                               Membership
	// MembersPending reports whether the entry of Members is not known to be committed.
	MembersPending bool
	MatchIndex     map[uint64]uint64
	// Unreachable holds the members that sent the leader no reply for an election
	// timeout. Only the leader sets it and MatchIndex.
	Unreachable map[uint64]bool
	// Serving reports whether the leader's no-op entry, at index TermStart, is committed.
	Serving   bool
	TermStart uint64
	// LeaseEnd is the end of the leader lease by this replica's clock.
	LeaseEnd time.Time
	// Every entry committed before AttestedAt is at or below AttestedIndex.
	AttestedAt    time.Time
	AttestedIndex uint64
	StoreVerified bool
}

// Status returns the current state.
func (c *Core) Status() Status {
	status := Status{ID: c.id, Term: c.hardState.Term, Leader: c.leaderID, Role: c.role, CommitIndex: c.commitIndex,
		LastIndex: c.log.lastIndex(), SnapshotIndex: c.log.snapshotIndex, Members: c.members, MembersPending: c.membersIndex > c.commitIndex, StoreVerified: c.isStoreVerified(),
		AttestedAt: c.attestedAt, AttestedIndex: c.attestedIndex}
	if c.role != Leader {
		return status
	}
	status.Serving, status.TermStart, status.LeaseEnd = c.commitIndex >= c.termStartIndex, c.termStartIndex, c.leaseEnd()
	status.MatchIndex, status.Unreachable = map[uint64]uint64{}, map[uint64]bool{}
	for id, p := range c.progress {
		status.MatchIndex[id] = p.matchIndex
		if !c.inContact(p) {
			status.Unreachable[id] = true
		}
	}
	status.MatchIndex[c.id] = c.durableIndex
	if status.Serving {
		status.AttestedAt, status.AttestedIndex = c.confirmedRoundStart, c.commitIndex
		if c.isSoleVoter() {
			status.AttestedAt = c.now
		}
	}
	return status
}

// nextProbe returns a new probe number and records when it is sent. The leader repeats
// the number, which bounds the age of the leader's message.
func (c *Core) nextProbe() uint64 {
	c.lastProbe++
	if len(c.probeSentAt) >= maxPendingProbes {
		c.probeSentAt = map[uint64]time.Time{}
	}
	c.probeSentAt[c.lastProbe] = c.now
	return c.lastProbe
}

// applyAttestation updates attestedAt from a leader's message. The leader sent the
// message after it received the probe, so the confirmed round behind the message began
// no earlier than the send time of the probe minus the message's Age.
func (c *Core) applyAttestation(m Message) {
	sentAt, known := c.probeSentAt[m.Probe]
	if !known || !m.Attested {
		return
	}
	age := time.Duration(float64(m.Age) * (1 + DriftBound) / (1 - DriftBound))
	if at := sentAt.Add(-age); at.After(c.attestedAt) {
		c.attestedAt, c.attestedIndex = at, max(c.attestedIndex, m.Commit)
	}
	for probe := range c.probeSentAt {
		if probe < m.Probe {
			delete(c.probeSentAt, probe)
		}
	}
}
