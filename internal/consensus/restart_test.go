package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restartedGroup returns a group of five that has elected a leader, and the leader's ID.
func restartedGroup(t *testing.T, seed uint64) (*sim, uint64) {
	s := newSim(t, seed, 5)
	s.restoreAndElect()
	s.advance(4 * simHeartbeat)
	return s, s.leader().id
}

// timeToLeader boots the nodes and returns the time until a leader holds a lease.
func timeToLeader(s *sim, boot []uint64) time.Duration {
	start := s.now
	for _, id := range boot {
		s.boot(s.nodes[id])
	}
	for s.leader() == nil {
		s.advance(simStep)
		if s.now-start > 10*simElection {
			s.t.Fatalf("no leader after %s", s.now-start)
		}
	}
	return s.now - start
}

// TestRestartedGroupElectsWithoutWaiting stops all replicas at the same time, as a loss of
// power does. They elect a leader in a few round trips instead of an election timeout.
func TestRestartedGroupElectsWithoutWaiting(t *testing.T) {
	for seed := range uint64(50) {
		s, _ := restartedGroup(t, seed)
		for _, n := range s.nodes {
			n.core = nil
		}
		took := timeToLeader(s, []uint64{1, 2, 3, 4, 5})
		assert.Assert(t, took < simElection/2, "seed %d: %s", seed, took)
	}
}

// TestRestartedQuorumElectsWithoutWaiting restarts a quorum with the leader while the other
// replicas stay down, and then a quorum without the leader: the second one must wait.
func TestRestartedQuorumElectsWithoutWaiting(t *testing.T) {
	for seed := range uint64(50) {
		s, leader := restartedGroup(t, seed)
		for _, n := range s.nodes {
			n.core = nil
		}
		with := []uint64{leader, leader%5 + 1, (leader+1)%5 + 1}
		took := timeToLeader(s, with)
		assert.Assert(t, took < simElection/2, "seed %d: %s", seed, took)

		s, leader = restartedGroup(t, seed)
		for _, n := range s.nodes {
			n.core = nil
		}
		without := []uint64{leader%5 + 1, (leader+1)%5 + 1, (leader+2)%5 + 1}
		took = timeToLeader(s, without)
		assert.Assert(t, took >= simElection*9/10, "seed %d: %s", seed, took)
	}
}

// TestLeaseOutlivesRestartOfFollowers isolates the leader from callers' view only in time:
// its followers restart while it still holds its lease. They must not elect another leader
// before the lease has ended; the simulation checks that at each step.
func TestLeaseOutlivesRestartOfFollowers(t *testing.T) {
	for seed := range uint64(50) {
		s, leader := restartedGroup(t, seed)
		var followers []uint64
		for id, n := range s.nodes {
			if id != leader {
				n.core = nil
				followers = append(followers, id)
			}
		}
		s.isolate(leader)
		for _, id := range followers {
			s.boot(s.nodes[id])
		}
		for s.leader() == nil || s.leader().id == leader {
			s.advance(simStep)
		}
	}
}

// restartedVoter returns replica 1 of three, restarted after it followed leader 3 in term 7.
func restartedVoter() *Core {
	members := Membership{}.withMember(Member{ID: 1}).withMember(Member{ID: 2}).withMember(Member{ID: 3})
	now := time.Unix(1, 0)
	c := NewCore(Config{ID: 1, ElectionTimeout: simElection, HeartbeatInterval: simHeartbeat, MaxAppendBytes: 4, Random: rand.New(rand.NewPCG(1, 1))},
		StoredState{Identity: Identity{Store: "s", Boot: 2}, HardState: HardState{Term: 7, Leader: 3, LeaderTerm: 7}, Snapshot: Snapshot{Membership: members}}, now)
	c.storeVerified = true
	c.Ready()
	return c
}

// TestVoteNeedsRestartOfLastLeader sends vote requests with different proofs. A start of the
// last leader from before it led proves nothing.
func TestVoteNeedsRestartOfLastLeader(t *testing.T) {
	request := Message{Kind: MsgVote, From: 2, To: 1, Term: 8, Identity: Identity{Store: "other", Boot: 1}}
	grants := func(c *Core) bool {
		c.Step(c.now, request)
		for _, m := range c.Ready().SendAfterSync {
			if m.Kind == MsgVoteReply && !m.Reject {
				return true
			}
		}
		return false
	}
	for _, test := range []struct {
		name    string
		terms   map[uint64]uint64
		granted bool
	}{
		{"no proof", nil, false},
		{"start of the last leader is missing", map[uint64]uint64{1: 7, 2: 7}, false},
		{"last leader started before its term", map[uint64]uint64{1: 7, 2: 7, 3: 6}, false},
		{"last leader started after its term", map[uint64]uint64{1: 7, 2: 7, 3: 7}, true},
	} {
		request.StartTerms = test.terms
		assert.Equal(t, grants(restartedVoter()), test.granted, test.name)
	}
	// The last leader has restarted and led again, in a term above that of its start.
	c := restartedVoter()
	c.Step(c.now, Message{Kind: MsgAppend, From: 3, To: 1, Term: 8, Identity: Identity{Store: "leader", Boot: 1}})
	request.Term = 9
	assert.Assert(t, !grants(c))
}

// A store of a program that did not record the last leader proves nothing.
func TestStoreWithoutLastLeaderWaits(t *testing.T) {
	assert.Assert(t, !restartReport{startTerm: 4}.leaseEnded(map[uint64]uint64{0: 9, 1: 9}))
	assert.Assert(t, restartReport{}.leaseEnded(nil), "a new store has acknowledged nothing")
}
