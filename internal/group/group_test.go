package group

import (
	"context"
	"testing"
	"time"

	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

var seeds = []string{"c:1", "a:1", "b:1"}

func TestFirstStartMakesTheSeedsMembers(t *testing.T) {
	var memberships []consensus.Membership
	for i, self := range []string{"a:1", "b:1", "c:1"} {
		id, err := Identify(t.TempDir(), self, seeds, true)
		assert.NilError(t, err)
		assert.Equal(t, id.ReplicaID, uint64(i+1))
		memberships = append(memberships, id.InitialMembership)
	}
	assert.DeepEqual(t, memberships[0], memberships[1])
	assert.DeepEqual(t, memberships[0], memberships[2])
}

func TestEmptyDiskIsANewMember(t *testing.T) {
	for _, firstStart := range []bool{true, false} {
		self := "a:1"
		if firstStart {
			self = "d:1" // no seed
		}
		one, err := Identify(t.TempDir(), self, seeds, firstStart)
		assert.NilError(t, err)
		two, err := Identify(t.TempDir(), self, seeds, firstStart)
		assert.NilError(t, err)
		assert.Assert(t, one.ReplicaID >= firstDrawn && two.ReplicaID >= firstDrawn && one.ReplicaID != two.ReplicaID)
		assert.Equal(t, len(one.InitialMembership.Members), 0)
	}
}

func TestStoreOnTheDiskKeepsItsNumber(t *testing.T) {
	dir := t.TempDir()
	store, _, err := consensus.OpenStore(consensus.StoreDir(dir, 77), 77, consensus.Membership{})
	assert.NilError(t, err)
	assert.NilError(t, store.Close())
	id, err := Identify(dir, "a:1", seeds, true)
	assert.NilError(t, err)
	assert.Equal(t, id.ReplicaID, uint64(77))
	assert.NilError(t, RemoveStore(dir, 77))
	id, err = Identify(dir, "a:1", seeds, false)
	assert.NilError(t, err)
	assert.Assert(t, id.ReplicaID != 77)
}

// replica is a leader's or follower's public side.
type replica struct {
	p       consensus.ReplicaStatus
	leads   bool
	added   []consensus.Member
	removed []uint64
	addErr  error
}

func (r *replica) Status() *consensus.ReplicaStatus { return &r.p }
func (r *replica) Leading() (uint64, bool)          { return 1, r.leads }
func (r *replica) AddReplica(_ context.Context, id uint64, address string) (uint64, error) {
	r.added = append(r.added, consensus.Member{ID: id, Address: address})
	return 1, r.addErr
}
func (r *replica) RemoveReplica(_ context.Context, id uint64) (uint64, error) {
	r.removed = append(r.removed, id)
	return 1, nil
}

func newModule(r *replica, members ...consensus.Member) (*Module, *time.Time) {
	now := time.Unix(100, 0)
	r.p.Leader, r.p.Members = 1, consensus.Membership{Members: members}
	m := NewModule("a:1", 1, seeds, func() time.Time { return now }, func(error) {})
	m.replica, m.log = r, zap.NewNop()
	return m, &now
}

func member(id uint64, address string) consensus.Member {
	return consensus.Member{ID: id, Address: address}
}

func TestLeaderTakesNewMembersAndRefusesOldNumbers(t *testing.T) {
	r := &replica{leads: true}
	m, _ := newModule(r, member(1, "a:1"), member(2, "b:1"))
	var reply JoinReply
	assert.NilError(t, m.join(&JoinArgs{ID: firstDrawn + 5, Address: "d:1"}, &reply))
	assert.Assert(t, reply.Member)
	assert.DeepEqual(t, r.added, []consensus.Member{member(firstDrawn+5, "d:1")})
	reply = JoinReply{}
	assert.NilError(t, m.join(&JoinArgs{ID: 3, Address: "c:1"}, &reply))
	assert.Assert(t, reply.Refused, "a first member that was taken out must begin anew")
	reply = JoinReply{}
	r.addErr = errkind.New(errkind.AlreadyExists, "number was used before")
	assert.NilError(t, m.join(&JoinArgs{ID: firstDrawn + 6, Address: "e:1"}, &reply))
	assert.Assert(t, reply.Refused)
	r.leads = false
	reply = JoinReply{}
	assert.NilError(t, m.join(&JoinArgs{ID: firstDrawn + 7, Address: "f:1"}, &reply))
	assert.Assert(t, !reply.Member && !reply.Refused)
	assert.Equal(t, reply.Leader, "a:1")
}

func tendFor(m *Module, r *replica, now *time.Time, d time.Duration) {
	for end := now.Add(d); now.Before(end); *now = now.Add(checkEvery) {
		m.tend(context.Background(), *now, &r.p)
	}
}

func TestSilentMemberIsTakenOutOfAnEvenGroupOnly(t *testing.T) {
	r := &replica{leads: true}
	m, now := newModule(r, member(1, "a:1"), member(2, "b:1"), member(3, "c:1"))
	r.p.Unreachable = map[uint64]bool{3: true}
	tendFor(m, r, now, 4*deadAfter)
	assert.Equal(t, len(r.removed), 0, "two of three would not bear another loss")
	r.p.Members.Members = append(r.p.Members.Members, member(firstDrawn+1, "d:1"))
	m.tend(context.Background(), *now, &r.p)
	assert.DeepEqual(t, r.removed, []uint64{3})
}

func TestShortSilenceTakesNobodyOut(t *testing.T) {
	r := &replica{leads: true}
	m, now := newModule(r, member(1, "a:1"), member(2, "b:1"), member(3, "c:1"), member(4, "d:1"))
	for range 5 {
		r.p.Unreachable = map[uint64]bool{3: true}
		tendFor(m, r, now, deadAfter-checkEvery)
		r.p.Unreachable = nil
		tendFor(m, r, now, checkEvery)
	}
	assert.Equal(t, len(r.removed), 0)
}

func TestWipedMemberIsReplacedAtOnceWhenItsSuccessorVotes(t *testing.T) {
	r := &replica{leads: true}
	m, now := newModule(r, member(1, "a:1"), member(2, "b:1"), member(3, "c:1"), consensus.Member{ID: firstDrawn, Address: "c:1", Learner: true})
	r.p.Unreachable = map[uint64]bool{3: true}
	m.tend(context.Background(), *now, &r.p)
	assert.Equal(t, len(r.removed), 0, "the successor does not hold the log yet")
	r.p.Members.Members[3].Learner = false
	m.tend(context.Background(), *now, &r.p)
	assert.DeepEqual(t, r.removed, []uint64{3})
}
