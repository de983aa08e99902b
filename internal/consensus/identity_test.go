package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// spoilt runs a group, takes an image of a follower's disk, accepts more, and gives
// the follower the disk that change returns.
func spoilt(t *testing.T, change func(s *sim, n *simNode)) (*sim, *simNode) {
	s := newSim(t, 5, 3)
	s.settleDown()
	l := s.leader()
	n := s.nodes[l.id%3+1]
	n.image = n.disk.clone()
	var reads uint64
	for range 5 {
		s.propose(l, &reads)
		s.pass(simBeat)
	}
	s.pass(2 * simBeat)
	n.core = nil
	change(s, n)
	s.boot(n)
	return s, n
}

func TestRolledBackDiskIsRefused(t *testing.T) {
	s, n := spoilt(t, func(_ *sim, n *simNode) { n.disk = n.image.clone() })
	s.pass(simElection)
	assert.Assert(t, n.fatal)
}

func TestLostDiskIsRefused(t *testing.T) {
	s, n := spoilt(t, func(s *sim, n *simNode) { s.format(n, n.disk.snapshot.Membership) })
	s.pass(simElection)
	assert.Assert(t, n.fatal)
}

// TestRolledBackDiskDoesNotVote: with the leader gone, the spoiled replica is all
// that the third one needs for a majority. It gets no vote from it.
func TestRolledBackDiskDoesNotVote(t *testing.T) {
	s, n := spoilt(t, func(s *sim, n *simNode) {
		n.disk = n.image.clone()
		s.isolate(s.leader().id)
	})
	s.pass(10 * simElection)
	assert.Assert(t, n.fatal)
	for _, x := range s.nodes {
		if x.core != nil {
			assert.Assert(t, !s.serving(x))
		}
	}
}

func TestWholeDiskIsRecognised(t *testing.T) {
	s, n := spoilt(t, func(*sim, *simNode) {})
	s.pass(simElection)
	assert.Assert(t, !n.fatal && n.core.trusted())
}

// TestReadBarrierAfterAPause: a leader that stood still does not answer from memory.
func TestReadBarrierAfterAPause(t *testing.T) {
	s := newSim(t, 3, 3)
	s.settleDown()
	old := s.leader()
	old.paused = s.now + 6*simElection
	var reads uint64
	for old.paused > s.now {
		if l := s.leader(); l != nil && l != old {
			s.propose(l, &reads)
		}
		s.pass(10 * simStep)
	}
	assert.Assert(t, s.leader() != old)
	reads++
	s.reads[reads] = uint64(len(s.accepted))
	if old.core.ReadIndex(s.clock(old), reads) == nil {
		old.core.FlushReads()
	}
	s.settle(old) // fails when the read is answered with less
	s.pass(2 * time.Second)
}

// TestRestartKeepsThePromise: a replica that restarts within the leader's lease does
// not help another one to be elected before the lease ends.
func TestRestartKeepsThePromise(t *testing.T) {
	for seed := range uint64(200) {
		s := newSim(t, seed, 3)
		s.settleDown()
		l := s.leader()
		other, restarting := s.nodes[l.id%3+1], s.nodes[(l.id+1)%3+1]
		s.cut[[2]uint64{l.id, other.id}], s.cut[[2]uint64{other.id, l.id}] = true, true
		s.pass(simElection + time.Duration(s.rng.Int64N(int64(simElection)))) // the other one asks for votes
		assert.Assert(t, s.serving(l))
		s.cut[[2]uint64{l.id, restarting.id}] = true // it hears the other one only
		s.boot(restarting)
		s.pass(2 * simElection) // fails when two hold a lease
	}
}

// Pattern: a follower of five restarts under a live leader. The other followers leave its
// store to the leader, whose word must be enough: else it acknowledges nothing for as long
// as the leader lives.
func TestLeaderAloneRecognisesARestartedFollower(t *testing.T) {
	s := newSim(t, 7, 5)
	s.settleDown()
	l := s.leader()
	n := s.nodes[l.id%5+1]
	s.boot(n)
	s.pass(2 * simElection)
	assert.Equal(t, s.leader(), l)
	assert.Assert(t, n.core.trusted())
	var reads uint64
	s.propose(l, &reads)
	s.pass(2 * simBeat)
	assert.Equal(t, l.core.progress[n.id].match, l.core.log.last())
}

// Pattern: a member with an empty disk is replaced by a new one while its old number still
// counts as a voter. The new one gets its vote before anyone but the leader knows its
// store; it must neither stand still nor keep the group from electing.
func TestNewMemberBesideALostOneIsRecognised(t *testing.T) {
	for seed := range uint64(30) {
		s := newSim(t, seed, 3)
		s.settleDown()
		l := s.leader()
		lost := s.nodes[l.id%3+1]
		lost.core = nil
		s.add(9, Membership{})
		_, err := l.core.AddLearner(9, "9")
		assert.NilError(t, err)
		s.settle(l)
		s.pass(2 * simElection)
		assert.Assert(t, s.nodes[9].core.members.isVoter(9), "seed %d", seed)
		assert.Assert(t, s.nodes[9].core.trusted(), "seed %d", seed)
		_, err = s.leader().core.RemoveMember(lost.id)
		assert.NilError(t, err)
		s.settle(s.leader())
		s.pass(2 * simElection)
		assert.Equal(t, len(s.nodes[9].core.members.Members), 3, "seed %d", seed)
	}
}
