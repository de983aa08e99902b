package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	simStep     = 5 * time.Millisecond
	simElection = 500 * time.Millisecond
	simBeat     = 50 * time.Millisecond
)

// simDisk is what a simulated replica has synced.
type simDisk struct {
	store    string
	boot     uint64
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d simDisk) clone() simDisk {
	d.hard.Witnesses = maps.Clone(d.hard.Witnesses)
	d.entries = slices.Clone(d.entries)
	return d
}

func (d *simDisk) save(r Ready) {
	d.hard = *r.HardState
	if r.InstallSnapshot != nil {
		d.snapshot, d.entries = *r.InstallSnapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - d.snapshot.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), r.Entries...)
	}
}

type simNode struct {
	id    uint64
	rate  float64 // of its clock
	core  *Core
	disk  simDisk
	image simDisk // an earlier state of the disk
	fatal bool
	gone  bool // removed or lost for good
	// paused until then: the process stands still, messages wait.
	paused time.Duration
}

type simMessage struct {
	at time.Duration
	m  Message
}

// reporter is what a check of the simulation needs of a test.
type reporter interface {
	Fatalf(format string, args ...any)
}

// sim is a group over a lossy network, with every invariant checked at each step.
type sim struct {
	t         reporter
	rng       *rand.Rand
	now       time.Duration
	nodes     map[uint64]*simNode
	flight    []simMessage
	cut       map[[2]uint64]bool
	loss      float64
	odd       float64 // chance of a repeated or very late message
	brittle   float64 // chance of a crash around a sync
	committed map[uint64]Entry
	accepted  []time.Duration // when index i+1 was first committed at a leader
	reads     map[uint64]uint64
	stores    int
	highest   uint64 // replica number in use
}

var simBase = time.Unix(1_000_000, 0)

func newSim(t reporter, seed uint64, n int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[uint64]*simNode{},
		cut: map[[2]uint64]bool{}, committed: map[uint64]Entry{}, reads: map[uint64]uint64{}}
	var first Membership
	for id := range uint64(n) {
		first = first.with(Member{ID: id + 1})
	}
	for _, x := range first.Members {
		s.add(x.ID, first)
	}
	return s
}

func (s *sim) add(id uint64, first Membership) {
	n := &simNode{id: id, rate: 1 + (s.rng.Float64()*2-1)*DriftBound}
	s.nodes[id] = n
	s.format(n, first)
	s.boot(n)
}

func (s *sim) format(n *simNode, first Membership) {
	s.stores++
	n.disk = simDisk{store: fmt.Sprint("store", s.stores), snapshot: Snapshot{Membership: first}}
	n.image = n.disk.clone()
}

func (s *sim) clock(n *simNode) time.Time {
	return simBase.Add(time.Duration(float64(s.now) * n.rate))
}

// globalTime turns a node's clock reading into the simulation's time.
func (s *sim) globalTime(n *simNode, at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(simBase)) / n.rate)
}

func (s *sim) boot(n *simNode) {
	n.disk.boot++
	n.disk.hard.Writes++
	d := n.disk.clone()
	n.core = NewCore(Config{ID: n.id, ElectionTimeout: simElection, HeartbeatInterval: simBeat, MaxAppendBytes: 4, Random: s.rng},
		StoredState{Identity: Identity{Store: d.store, Boot: d.boot, Nonce: s.rng.Uint64(), WritesAtBoot: d.hard.Writes},
			HardState: d.hard, Snapshot: d.snapshot, Entries: d.entries}, s.clock(n))
	n.fatal = false
	s.settle(n)
}

// settle carries out what a core asks; a crash may come between the sync and the
// messages that rest on it.
func (s *sim) settle(n *simNode) {
	for n.core != nil {
		r := n.core.Ready()
		if r.Fatal != nil {
			n.core, n.fatal = nil, true
			return
		}
		if r.Empty() {
			return
		}
		s.transmit(r.SendBeforeSync)
		if r.HardState != nil {
			if s.rng.Float64() < s.brittle { // nothing of the step is synced
				n.core = nil
				return
			}
			n.disk.save(r)
			if s.rng.Float64() < s.brittle { // all is synced, nothing is sent
				n.core = nil
				return
			}
			n.core.Persisted(s.clock(n), r)
		}
		s.transmit(r.SendAfterSync)
		s.commit(n, r)
		for _, read := range r.Reads {
			if !read.Aborted && read.Index < s.reads[read.ID] {
				s.t.Fatalf("read %d sees %d of %d", read.ID, read.Index, s.reads[read.ID])
			}
		}
	}
}

func (s *sim) transmit(msgs []Message) {
	for _, m := range msgs {
		if s.cut[[2]uint64{m.From, m.To}] || s.rng.Float64() < s.loss {
			continue
		}
		if m.Kind == MsgSnapshot {
			snap := s.nodes[m.From].disk.snapshot
			m.Snapshot = &snap
		}
		s.flight = append(s.flight, simMessage{s.now + s.delay(), m})
		if s.rng.Float64() < s.odd { // a repeat that comes late
			s.flight = append(s.flight, simMessage{s.now + s.delay(), m})
		}
	}
}

// delay is how long a message takes: rarely long enough to outlive a leader.
func (s *sim) delay() time.Duration {
	if s.rng.Float64() < s.odd {
		return time.Duration(s.rng.Int64N(int64(4 * simElection)))
	}
	return simStep + time.Duration(s.rng.Int64N(int64(4*simStep)))
}

// commit checks that all replicas commit the same entries.
func (s *sim) commit(n *simNode, r Ready) {
	if r.InstallSnapshot != nil {
		if e, ok := s.committed[r.InstallSnapshot.Index]; !ok || e.Term != r.InstallSnapshot.Term {
			s.t.Fatalf("replica %d installs an uncommitted snapshot %d", n.id, r.InstallSnapshot.Index)
		}
	}
	for _, e := range r.Committed {
		if old, ok := s.committed[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
			s.t.Fatalf("entry %d: term %d committed, replica %d commits term %d", e.Index, old.Term, n.id, e.Term)
		}
		s.committed[e.Index] = e
		for uint64(len(s.accepted)) < e.Index {
			s.accepted = append(s.accepted, s.now)
		}
	}
}

// pass lets time go by, with ticks, deliveries and checks.
func (s *sim) pass(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		due := s.flight
		s.flight = nil
		for _, x := range due {
			if n := s.nodes[x.m.To]; x.at > s.now || n != nil && n.paused > s.now {
				s.flight = append(s.flight, x)
			} else if n != nil && n.core != nil {
				n.core.Step(s.clock(n), x.m)
				s.settle(n)
			}
		}
		for _, id := range slices.Sorted(maps.Keys(s.nodes)) {
			if n := s.nodes[id]; n.core != nil && n.paused <= s.now {
				n.core.Tick(s.clock(n))
				s.settle(n)
			}
		}
		s.check()
	}
}

func (s *sim) serving(n *simNode) bool {
	if n.core == nil {
		return false
	}
	st := n.core.Status()
	return st.Role == Leader && st.Serving && s.clock(n).Before(st.LeaseEnd)
}

// check: one leader at most holds a lease, and nobody attests a state that lacks
// what was accepted before.
func (s *sim) check() {
	leader := uint64(0)
	for _, id := range slices.Sorted(maps.Keys(s.nodes)) {
		n := s.nodes[id]
		if n.core == nil {
			continue
		}
		if s.serving(n) {
			if leader != 0 {
				s.t.Fatalf("replicas %d and %d both hold a lease", leader, id)
			}
			leader = id
		}
		st := n.core.Status()
		if st.AttestedAt.IsZero() {
			continue
		}
		at := s.globalTime(n, st.AttestedAt)
		for i := st.AttestedIndex; i < uint64(len(s.accepted)); i++ {
			if s.accepted[i] < at {
				s.t.Fatalf("replica %d attests %d as of %s; entry %d was accepted at %s", id, st.AttestedIndex, at, i+1, s.accepted[i])
			}
		}
	}
}

func (s *sim) leader() *simNode {
	for _, id := range slices.Sorted(maps.Keys(s.nodes)) {
		if s.serving(s.nodes[id]) {
			return s.nodes[id]
		}
	}
	return nil
}

// settleDown heals the network, starts what can start and waits for a leader.
func (s *sim) settleDown() {
	s.cut, s.loss, s.brittle, s.odd = map[[2]uint64]bool{}, 0, 0, 0
	for _, n := range s.nodes {
		n.paused = 0
	}
	for _, id := range slices.Sorted(maps.Keys(s.nodes)) {
		if n := s.nodes[id]; n.core == nil && !n.fatal && !n.gone {
			s.boot(n)
		}
	}
	for range 40 {
		s.pass(simElection)
		if s.leader() != nil {
			return
		}
	}
	s.t.Fatalf("no leader although the network is whole")
}

func (s *sim) propose(n *simNode, reads *uint64) {
	if n.core == nil || n.paused > s.now {
		return
	}
	if _, _, err := n.core.Propose(s.clock(n), []byte{byte(s.rng.Uint32())}); err == nil {
		n.core.Flush()
	}
	*reads++
	s.reads[*reads] = uint64(len(s.accepted))
	if n.core.ReadIndex(s.clock(n), *reads) == nil {
		n.core.FlushReads()
	}
	s.settle(n)
}

// compact takes a snapshot of the applied state.
func (s *sim) compact(n *simNode) {
	if n.core == nil || n.core.handed <= n.disk.snapshot.Index {
		return
	}
	index := n.core.handed
	term, _ := n.core.log.term(index)
	n.disk.snapshot = Snapshot{Index: index, Term: term, Membership: n.core.MembershipAt(index)}
	n.disk.entries = slices.DeleteFunc(slices.Clone(n.disk.entries), func(e Entry) bool { return e.Index <= index })
	n.core.Compact(index, n.disk.snapshot.Membership)
}

// othersKnow reports whether every other replica remembers writes of n's store
// that are newer than its image.
func (s *sim) othersKnow(n *simNode) bool {
	for _, o := range s.nodes {
		if o != n && !o.gone && !o.fatal && o.disk.hard.Witnesses[n.id].Writes <= n.image.hard.Writes {
			return false
		}
	}
	return n.image.boot > 0
}
