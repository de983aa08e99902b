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
	if old.core.Read(s.clock(old), reads) == nil {
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
