package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restartWithDisk runs a group, copies a follower's disk to oldDisk, commits more entries
// and restarts the follower after change has modified its disk.
func restartWithDisk(t *testing.T, change func(s *sim, node *simNode)) (*sim, *simNode) {
	s := newSim(t, 5, 3)
	s.restoreAndElect()
	leader := s.leader()
	node := s.nodes[leader.id%3+1]
	node.oldDisk = node.disk.clone()
	var lastRead uint64
	for range 5 {
		s.proposeAndRead(leader, &lastRead)
		s.advance(simHeartbeat)
	}
	s.advance(2 * simHeartbeat)
	node.core = nil
	change(s, node)
	s.boot(node)
	return s, node
}

func TestRolledBackDiskIsRefused(t *testing.T) {
	s, n := restartWithDisk(t, func(_ *sim, n *simNode) { n.disk = n.oldDisk.clone() })
	s.advance(simElection)
	assert.Assert(t, n.fatal)
}

func TestLostDiskIsRefused(t *testing.T) {
	s, n := restartWithDisk(t, func(s *sim, n *simNode) { s.formatDisk(n, n.disk.snapshot.Membership) })
	s.advance(simElection)
	assert.Assert(t, n.fatal)
}

// TestRolledBackDiskDoesNotVote guards against a vote from a rolled-back store. The
// leader is isolated, so the third replica needs that vote for a majority.
func TestRolledBackDiskDoesNotVote(t *testing.T) {
	s, n := restartWithDisk(t, func(s *sim, n *simNode) {
		n.disk = n.oldDisk.clone()
		s.isolate(s.leader().id)
	})
	s.advance(10 * simElection)
	assert.Assert(t, n.fatal)
	for _, x := range s.nodes {
		if x.core != nil {
			assert.Assert(t, !s.holdsLease(x))
		}
	}
}

func TestUnchangedDiskIsAccepted(t *testing.T) {
	s, n := restartWithDisk(t, func(*sim, *simNode) {})
	s.advance(simElection)
	assert.Assert(t, !n.fatal && n.core.isStoreVerified())
}

// TestReadBarrierAfterLeaderPause guards against a stale read: a leader resumes from a
// pause during which another leader was elected, and gets a read.
func TestReadBarrierAfterLeaderPause(t *testing.T) {
	s := newSim(t, 3, 3)
	s.restoreAndElect()
	oldLeader := s.leader()
	oldLeader.pausedUntil = s.now + 6*simElection
	var lastRead uint64
	for oldLeader.pausedUntil > s.now {
		if l := s.leader(); l != nil && l != oldLeader {
			s.proposeAndRead(l, &lastRead)
		}
		s.advance(10 * simStep)
	}
	assert.Assert(t, s.leader() != oldLeader)
	lastRead++
	s.reads[lastRead] = uint64(len(s.committedAt))
	if oldLeader.core.ReadIndex(s.clock(oldLeader), lastRead) == nil {
		oldLeader.core.FlushReads()
	}
	s.processReady(oldLeader) // fails if the read returns a lower index
	s.advance(2 * time.Second)
}

// TestRestartedReplicaHonoursLeaderLease guards against two leases at a time: a replica
// that restarts during the leader's lease must not vote for another one before it ends.
func TestRestartedReplicaHonoursLeaderLease(t *testing.T) {
	for seed := range uint64(200) {
		s := newSim(t, seed, 3)
		s.restoreAndElect()
		leader := s.leader()
		other, restarting := s.nodes[leader.id%3+1], s.nodes[(leader.id+1)%3+1]
		s.blocked[[2]uint64{leader.id, other.id}], s.blocked[[2]uint64{other.id, leader.id}] = true, true
		s.advance(simElection + time.Duration(s.rng.Int64N(int64(simElection)))) // the other replica requests votes
		assert.Assert(t, s.holdsLease(leader))
		s.blocked[[2]uint64{leader.id, restarting.id}] = true // it receives only from the other replica
		s.boot(restarting)
		s.advance(2 * simElection) // fails if two replicas hold a lease
	}
}

// TestLeaderAloneVerifiesRestartedFollower restarts a follower of five under a live
// leader. The other followers do not accept its store. If the leader's reply alone did
// not verify the store, the follower would acknowledge nothing while the leader lives.
func TestLeaderAloneVerifiesRestartedFollower(t *testing.T) {
	s := newSim(t, 7, 5)
	s.restoreAndElect()
	leader := s.leader()
	follower := s.nodes[leader.id%5+1]
	s.boot(follower)
	s.advance(2 * simElection)
	assert.Equal(t, s.leader(), leader)
	assert.Assert(t, follower.core.isStoreVerified())
	var lastRead uint64
	s.proposeAndRead(leader, &lastRead)
	s.advance(2 * simHeartbeat)
	assert.Equal(t, leader.core.progress[follower.id].matchIndex, leader.core.log.lastIndex())
}

// TestReadsDoNotDelayPromotion reads more often than the leader sends heartbeats, so that every round is that of a read. A new
// replica must become a voter all the same: otherwise the loss of another one ends the group for good.
func TestReadsDoNotDelayPromotion(t *testing.T) {
	s := newSim(t, 11, 3)
	s.restoreAndElect()
	leader := s.leader()
	s.nodes[leader.id%3+1].core = nil
	s.add(9, Membership{})
	_, err := leader.core.AddLearner(9, "9")
	assert.NilError(t, err)
	s.processReady(leader)
	for read := uint64(1); !leader.core.members.isVoter(9); read++ {
		assert.Assert(t, time.Duration(read)*simStep < 2*simElection, "no voter after %v", 2*simElection)
		s.reads[read] = uint64(len(s.committedAt))
		assert.NilError(t, leader.core.ReadIndex(s.clock(leader), read))
		leader.core.FlushReads()
		s.processReady(leader)
		s.advance(simStep)
	}
}

// TestNewMemberIsVerifiedBesideLostMember replaces a lost member while its old ID is still
// a voter. The new member becomes a voter before any replica but the leader has recorded
// its store. It must neither stay unverified nor prevent an election.
func TestNewMemberIsVerifiedBesideLostMember(t *testing.T) {
	for seed := range uint64(30) {
		s := newSim(t, seed, 3)
		s.restoreAndElect()
		leader := s.leader()
		lost := s.nodes[leader.id%3+1]
		lost.core = nil
		s.add(9, Membership{})
		_, err := leader.core.AddLearner(9, "9")
		assert.NilError(t, err)
		s.processReady(leader)
		s.advance(2 * simElection)
		assert.Assert(t, s.nodes[9].core.members.isVoter(9), "seed %d", seed)
		assert.Assert(t, s.nodes[9].core.isStoreVerified(), "seed %d", seed)
		_, err = s.leader().core.RemoveMember(lost.id)
		assert.NilError(t, err)
		s.processReady(s.leader())
		s.advance(2 * simElection)
		assert.Equal(t, len(s.nodes[9].core.members.Members), 3, "seed %d", seed)
	}
}
