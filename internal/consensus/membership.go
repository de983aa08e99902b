package consensus

import (
	"encoding/json"
	"slices"

	"eelgrasshollow/internal/errkind"
)

func (m Membership) encode() []byte {
	b, _ := json.Marshal(m) // strings and numbers always encode
	return b
}

func decodeMembership(b []byte) Membership {
	var m Membership
	_ = json.Unmarshal(b, &m) // b comes from encode and has a checksum on disk
	return m
}

// Find returns the member with an ID, and whether there is one.
func (m Membership) Find(id uint64) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (m Membership) voters() []uint64 {
	var ids []uint64
	for _, member := range m.Members {
		if !member.Learner {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func (m Membership) isVoter(id uint64) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

func (m Membership) quorum() int { return len(m.voters())/2 + 1 }

// withMember returns a copy in which member is added or replaces the one with its ID.
func (m Membership) withMember(member Member) Membership {
	out := m.withoutMember(member.ID)
	out.Members = append(out.Members, member)
	slices.SortFunc(out.Members, func(a, b Member) int { return int(a.ID) - int(b.ID) })
	return out
}

func (m Membership) withoutMember(id uint64) Membership {
	var out Membership
	for _, member := range m.Members {
		if member.ID != id {
			out.Members = append(out.Members, member)
		}
	}
	return out
}

// AddLearner appends a membership entry that adds a new replica without a vote, and
// returns the entry's index. The leader promotes the replica to a voter once it holds
// the committed log.
func (c *Core) AddLearner(id uint64, address string) (uint64, error) {
	if err := c.checkMembershipChange(); err != nil {
		return 0, err
	}
	if _, known := c.members.Find(id); known {
		return 0, errkind.New(errkind.AlreadyExists, "replica %d is already a member", id)
	}
	if _, used := c.hardState.Witnesses[id]; used {
		return 0, errkind.New(errkind.AlreadyExists, "replica number %d was used before; choose a new one", id)
	}
	return c.appendMembership(c.members.withMember(Member{ID: id, Address: address, Learner: true})), nil
}

// RemoveMember appends a membership entry without a replica and returns the entry's
// index. The leader does not remove itself.
func (c *Core) RemoveMember(id uint64) (uint64, error) {
	if err := c.checkMembershipChange(); err != nil {
		return 0, err
	}
	if id == c.id {
		return 0, errkind.New(errkind.InvalidRequest, "replica %d is the leader; transfer leadership first", id)
	}
	if _, known := c.members.Find(id); !known {
		return 0, errkind.New(errkind.NotFound, "replica %d not found", id)
	}
	return c.appendMembership(c.members.withoutMember(id)), nil
}

// checkMembershipChange returns an error unless this replica leads, the no-op entry of
// its term is committed and no other membership change is in progress.
func (c *Core) checkMembershipChange() error {
	if c.role != Leader || c.commitIndex < c.termStartIndex {
		return errkind.New(errkind.NotLeader, "replica %d is not the leader", c.id)
	}
	if c.membersIndex > c.commitIndex {
		return errkind.New(errkind.Overloaded, "another membership change is in progress").WithRetryAfter(c.cfg.ElectionTimeout)
	}
	return nil
}

func (c *Core) appendMembership(membership Membership) uint64 {
	index := c.appendEntry(EntryMembership, membership.encode())
	c.broadcastAppend()
	return index
}

// setMembership sets the current membership, found at index in the log. On the leader,
// it also updates the set of replicas whose progress is tracked.
func (c *Core) setMembership(membership Membership, index uint64) {
	c.members, c.membersIndex = membership, index
	if c.role != Leader {
		return
	}
	for _, member := range membership.Members {
		if c.progress[member.ID] == nil {
			c.progress[member.ID] = &progress{nextIndex: c.log.lastIndex() + 1, lastContact: c.now}
		}
	}
	for id := range c.progress {
		if _, ok := membership.Find(id); !ok {
			delete(c.progress, id)
		}
	}
}

// reloadMembership sets the membership from the newest membership entry of the log, or
// else from the snapshot.
func (c *Core) reloadMembership() {
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if e := c.log.entries[i]; e.Kind == EntryMembership {
			c.setMembership(decodeMembership(e.Data), e.Index)
			return
		}
	}
	c.setMembership(c.log.snapshotMembership, c.log.snapshotIndex)
}

// promoteLearner promotes one learner that has caught up to a voter.
func (c *Core) promoteLearner() {
	if c.checkMembershipChange() != nil {
		return
	}
	for _, member := range c.members.Members {
		if follower := c.progress[member.ID]; member.Learner && follower != nil && c.hasCaughtUp(follower) {
			member.Learner = false
			c.appendMembership(c.members.withMember(member))
			return
		}
	}
}

// hasCaughtUp reports whether a replica holds every entry that was committed an election timeout
// ago. While changes go on without a pause, a replica on a slower disk never holds all of them.
func (c *Core) hasCaughtUp(follower *progress) bool {
	return follower.matchIndex > 0 && (follower.matchIndex >= c.commitIndex || c.inContact(follower) && follower.matchIndex >= c.recentCommit())
}

// markCommit records the commit index, and drops marks that are older than recentCommit needs.
func (c *Core) markCommit() {
	c.commitMarks = append(c.commitMarks, commitMark{c.now, c.commitIndex})
	for len(c.commitMarks) > 1 && !c.commitMarks[1].at.Add(c.cfg.ElectionTimeout).After(c.now) {
		c.commitMarks = c.commitMarks[1:]
	}
}

// recentCommit returns the commit index of an election timeout ago, or the current one if this
// replica has led for a shorter time.
func (c *Core) recentCommit() uint64 {
	if len(c.commitMarks) == 0 || c.commitMarks[0].at.Add(c.cfg.ElectionTimeout).After(c.now) {
		return c.commitIndex
	}
	return c.commitMarks[0].index
}
