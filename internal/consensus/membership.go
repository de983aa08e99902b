package consensus

import (
	"encoding/json"
	"slices"

	"eelgrasshollow/internal/errkind"
)

func (m Membership) encode() []byte {
	b, _ := json.Marshal(m) // plain strings and numbers always encode
	return b
}

func decodeMembership(b []byte) Membership {
	var m Membership
	_ = json.Unmarshal(b, &m) // checksummed on disk and made by encode
	return m
}

// Find returns the member with a number.
func (m Membership) Find(id uint64) (Member, bool) {
	for _, x := range m.Members {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

func (m Membership) voters() []uint64 {
	var ids []uint64
	for _, x := range m.Members {
		if !x.Learner {
			ids = append(ids, x.ID)
		}
	}
	return ids
}

func (m Membership) isVoter(id uint64) bool {
	x, ok := m.Find(id)
	return ok && !x.Learner
}

func (m Membership) quorum() int { return len(m.voters())/2 + 1 }

// with returns a copy in which x takes the place of the member with its number.
func (m Membership) with(x Member) Membership {
	out := m.without(x.ID)
	out.Members = append(out.Members, x)
	slices.SortFunc(out.Members, func(a, b Member) int { return int(a.ID) - int(b.ID) })
	return out
}

func (m Membership) without(id uint64) Membership {
	var out Membership
	for _, x := range m.Members {
		if x.ID != id {
			out.Members = append(out.Members, x)
		}
	}
	return out
}

// AddLearner puts a new replica into the group without a vote. It gets its vote by
// itself once it holds the committed log.
func (c *Core) AddLearner(id uint64, address string) (uint64, error) {
	if err := c.mayChangeMembership(); err != nil {
		return 0, err
	}
	if _, known := c.members.Find(id); known {
		return 0, errkind.New(errkind.AlreadyExists, "replica %d is a member", id)
	}
	if _, seen := c.hard.Witnesses[id]; seen {
		return 0, errkind.New(errkind.AlreadyExists, "replica number %d was used before; take a new one", id)
	}
	return c.appendMembership(c.members.with(Member{ID: id, Address: address, Learner: true})), nil
}

// RemoveMember takes a replica out of the group. The leader does not remove itself.
func (c *Core) RemoveMember(id uint64) (uint64, error) {
	if err := c.mayChangeMembership(); err != nil {
		return 0, err
	}
	if id == c.id {
		return 0, errkind.New(errkind.InvalidRequest, "replica %d leads; transfer leadership first", id)
	}
	if _, known := c.members.Find(id); !known {
		return 0, errkind.New(errkind.NotFound, "no replica %d", id)
	}
	return c.appendMembership(c.members.without(id)), nil
}

// mayChangeMembership allows one change at a time, after the term's own entry is
// committed.
func (c *Core) mayChangeMembership() error {
	if c.role != Leader || c.commit < c.termStart {
		return errkind.New(errkind.NotLeader, "replica %d does not lead", c.id)
	}
	if c.membersIndex > c.commit {
		return errkind.New(errkind.Overloaded, "another membership change is under way").WithRetryAfter(c.cfg.ElectionTimeout)
	}
	return nil
}

func (c *Core) appendMembership(m Membership) uint64 {
	index := c.appendOwn(EntryMembership, m.encode())
	c.broadcastAppend()
	return index
}

// adopt puts the newest membership of the log in force.
func (c *Core) adopt(m Membership, index uint64) {
	c.members, c.membersIndex = m, index
	if c.role != Leader {
		return
	}
	for _, x := range m.Members {
		if c.progress[x.ID] == nil {
			c.progress[x.ID] = &progress{next: c.log.last() + 1, heard: c.now}
		}
	}
	for id := range c.progress {
		if _, ok := m.Find(id); !ok {
			delete(c.progress, id)
		}
	}
}

// findMembership takes the newest membership entry of the log, or the snapshot's.
func (c *Core) findMembership() {
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if e := c.log.entries[i]; e.Kind == EntryMembership {
			c.adopt(decodeMembership(e.Data), e.Index)
			return
		}
	}
	c.adopt(c.log.base, c.log.snapIndex)
}

// promote gives a learner its vote once it holds every committed entry.
func (c *Core) promote() {
	if c.mayChangeMembership() != nil {
		return
	}
	for _, x := range c.members.Members {
		p := c.progress[x.ID]
		if x.Learner && p != nil && p.match >= c.commit && p.match > 0 {
			x.Learner = false
			c.appendMembership(c.members.with(x))
			return
		}
	}
}
