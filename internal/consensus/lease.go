package consensus

import "time"

// maxProbes bounds the probes remembered while no answer comes.
const maxProbes = 256

// probeBootShift keeps the probes of two boots apart.
const probeBootShift = 32

// leaseEnd is when the leader's right to act ends by its own clock.
func (c *Core) leaseEnd() time.Time {
	if c.quorumAt.IsZero() {
		return time.Time{}
	}
	return c.quorumAt.Add(c.cfg.LeaseDuration())
}

// Status is what others may know of a replica.
type Status struct {
	ID, Term, Leader                      uint64
	Role                                  Role
	CommitIndex, LastIndex, SnapshotIndex uint64
	Members                               Membership
	MatchIndex                            map[uint64]uint64
	// Silent names the members that the leader has not heard for an election timeout.
	Unreachable map[uint64]bool
	// Serving: the term's own entry is committed, at TermStart.
	Serving   bool
	TermStart uint64
	// LeaseEnd is when the lease ends by this replica's clock.
	LeaseEnd time.Time
	// Attested: the state at AttestedIndex held all that was accepted before.
	AttestedAt    time.Time
	AttestedIndex uint64
	StoreVerified bool
}

// Status returns the replica's present state.
func (c *Core) Status() Status {
	s := Status{ID: c.id, Term: c.hard.Term, Leader: c.leader, Role: c.role, CommitIndex: c.commit,
		LastIndex: c.log.last(), SnapshotIndex: c.log.snapIndex, Members: c.members, StoreVerified: c.trusted(),
		AttestedAt: c.attested, AttestedIndex: c.attestedN}
	if c.role != Leader {
		return s
	}
	s.Serving, s.TermStart, s.LeaseEnd = c.commit >= c.termStart, c.termStart, c.leaseEnd()
	s.MatchIndex, s.Unreachable = map[uint64]uint64{}, map[uint64]bool{}
	for id, p := range c.progress {
		s.MatchIndex[id] = p.match
		if !c.now.Before(p.heard.Add(c.cfg.ElectionTimeout)) {
			s.Unreachable[id] = true
		}
	}
	s.MatchIndex[c.id] = c.durable
	if s.Serving {
		s.AttestedAt, s.AttestedIndex = c.quorumAt, c.commit
		if c.soleVoter() {
			s.AttestedAt = c.now
		}
	}
	return s
}

// nextProbe draws a number whose echo dates the leader's word.
func (c *Core) nextProbe() uint64 {
	c.probe++
	if len(c.probes) >= maxProbes {
		c.probes = map[uint64]time.Time{}
	}
	c.probes[c.probe] = c.now
	return c.probe
}

// takeAttestation dates the leader's word: it was sent after the leader heard the
// probe, so it is no older than the probe plus the age it states.
func (c *Core) takeAttestation(m Message) {
	sent, known := c.probes[m.Probe]
	if !known || !m.Attested {
		return
	}
	age := time.Duration(float64(m.Age) * (1 + DriftBound) / (1 - DriftBound))
	if at := sent.Add(-age); at.After(c.attested) {
		c.attested, c.attestedN = at, max(c.attestedN, m.Commit)
	}
	for n := range c.probes {
		if n < m.Probe {
			delete(c.probes, n)
		}
	}
}
