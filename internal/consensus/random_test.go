package consensus

import (
	"maps"
	"slices"
	"testing"
	"time"

	_ "eelgrasshollow/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFaultsKeepAgreement drives random faults at a group of three or five.
func TestFaultsKeepAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), size)
		s.settleDown()
		s.pass(4 * simBeat)
		var reads uint64
		spoiled := 0
		next := uint64(size)
		s.highest = next
		pick := func() *simNode {
			return s.nodes[rapid.SampledFrom(slices.Sorted(maps.Keys(s.nodes))).Draw(t, "node")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(*rapid.T) { s.propose(pick(), &reads); s.pass(simStep) },
			"busy": func(*rapid.T) {
				for range 10 {
					if n := s.leader(); n != nil {
						s.propose(n, &reads)
					}
					s.pass(2 * simStep)
				}
			},
			"pass":    func(t *rapid.T) { s.pass(time.Duration(rapid.IntRange(1, 200).Draw(t, "steps")) * simStep) },
			"cut":     func(*rapid.T) { s.cut[[2]uint64{pick().id, pick().id}] = true },
			"isolate": func(*rapid.T) { s.isolate(pick().id) },
			"heal":    func(*rapid.T) { s.cut = map[[2]uint64]bool{}; s.pass(2 * simElection) },
			"loss":    func(t *rapid.T) { s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss") },
			"odd":     func(t *rapid.T) { s.odd = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "odd") },
			"brittle": func(t *rapid.T) { s.brittle = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "brittle") },
			"crash":   func(*rapid.T) { pick().core = nil },
			"start": func(*rapid.T) {
				if n := pick(); n.core == nil && !n.fatal && !n.gone {
					s.boot(n)
				}
			},
			"compact": func(*rapid.T) { s.compact(pick()) },
			"image":   func(*rapid.T) { n := pick(); n.image = n.disk.clone() },
			"spoil": func(t *rapid.T) { // one disk at a time is lost or rolled back
				n := pick()
				if spoiled > 0 || n.gone || n.fatal || !s.whole(size) {
					return
				}
				if rapid.Bool().Draw(t, "lost") {
					s.format(n, n.disk.snapshot.Membership)
				} else if s.othersKnow(n) {
					n.disk = n.image.clone()
				} else {
					return
				}
				spoiled++
				s.boot(n)
			},
			"replace": func(*rapid.T) { s.replace(&spoiled, &next) },
			"transfer": func(*rapid.T) {
				if n := s.leader(); n != nil {
					_ = n.core.Transfer(s.clock(n), n.core.Successor())
					s.settle(n)
				}
			},
		})
		s.settleDown()
		before := len(s.accepted)
		s.propose(s.leader(), &reads)
		s.pass(simElection)
		if len(s.accepted) <= before {
			t.Fatalf("nothing is accepted although the network is whole")
		}
	})
}

// whole reports whether the group has all its voters, in a membership that all of
// them hold.
func (s *sim) whole(size int) bool {
	l := s.leader()
	if l == nil || len(l.core.members.voters()) != size || l.core.membersIndex > l.core.commit {
		return false
	}
	for _, id := range l.core.members.voters() {
		if n := s.nodes[id]; n == nil || n.core == nil || n.core.membersIndex != l.core.membersIndex {
			return false
		}
	}
	return true
}

func (s *sim) isolate(id uint64) {
	for other := range s.nodes {
		s.cut[[2]uint64{id, other}], s.cut[[2]uint64{other, id}] = true, true
	}
}

// replace puts a new replica in the place of one that refused its spoiled disk:
// the new one is added and has its vote before the old one is removed.
func (s *sim) replace(spoiled *int, next *uint64) {
	for _, id := range slices.Sorted(maps.Keys(s.nodes)) {
		l := s.leader()
		if !s.nodes[id].fatal || l == nil {
			continue
		}
		if *next == s.highest {
			*next++
			if _, err := l.core.AddLearner(*next, ""); err != nil {
				*next--
				return
			}
			s.add(*next, Membership{})
			s.settle(l)
			s.pass(simElection)
		}
		if l = s.leader(); l == nil || !l.core.members.isVoter(*next) || l.core.membersIndex > l.core.commit {
			return
		}
		if _, err := l.core.RemoveMember(id); err == nil {
			s.settle(l)
			s.pass(simElection)
			s.nodes[id].gone = true
			delete(s.nodes, id)
			*spoiled--
			s.highest = *next
		}
		return
	}
}

// TestFirstElection shows that a whole group elects one leader and accepts.
func TestFirstElection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), 3)
		s.settleDown()
		var reads uint64
		s.propose(s.leader(), &reads)
		s.pass(10 * simBeat)
		assert.Assert(t, len(s.accepted) >= 2)
		for _, n := range s.nodes {
			assert.Equal(t, n.core.commit, uint64(len(s.accepted)))
		}
	})
}
