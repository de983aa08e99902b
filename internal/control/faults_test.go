package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestEveryReplicaTakesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.leader()
		for id := range uint64(3) {
			n := c.nodes[addressOf(id+1)]
			_, err := c.change(n, fmt.Sprint("op", id), putAccount(fmt.Sprint("a", id), 1, 0))
			assert.NilError(t, err)
			got, err := n.service.Get(t.Context(), nil)
			assert.NilError(t, err)
			assert.Equal(t, got.Msg.GetConfiguration().GetRevision(), id+1)
		}
	})
}

func TestResendThroughAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		l := c.leader()
		first, err := c.change(l, "op", putAccount("a", 1, 0))
		assert.NilError(t, err)
		c.isolate(addressOf(l.id), true) // its answer is lost, and so is the leader
		other := c.nodes[addressOf(l.id%3+1)]
		again, err := c.change(other, "op", putAccount("a", 1, 0))
		assert.NilError(t, err)
		assert.Equal(t, again.GetRevision(), first.GetRevision())
		assert.Assert(t, again.GetRepeated())
		assert.Equal(t, other.machine.Revision(), uint64(1))
	})
}

func TestTwoOperatorsUnderEqualRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		_, err := c.change(c.leader(), "op", putAccount("a", 1, 0))
		assert.NilError(t, err)
		errs := make(chan error, 2)
		for id := range uint64(2) {
			go func() {
				_, err := c.change(c.nodes[addressOf(id+1)], fmt.Sprint("race", id), putAccount("a", int64(id)+5, 1))
				errs <- err
			}()
		}
		lost := errors.CombineErrors(<-errs, <-errs)
		assert.Equal(t, errkind.Of(lost).Kind, errkind.RevisionConflict)
		assert.Equal(t, errkind.Of(lost).Revision, uint64(2))
	})
}

// TestCutOffLeaderComesBack: it serves nothing while it is cut off, and takes over
// what was accepted meanwhile.
func TestCutOffLeaderComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		old := c.leader()
		c.isolate(addressOf(old.id), true)
		time.Sleep(2 * testElection)
		_, leads := old.replica.Leading()
		assert.Assert(t, !leads)
		l := c.leader()
		assert.Assert(t, l != old)
		_, err := c.change(l, "op", putAccount("a", 1, 0))
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, errkind.Of(old.replica.ReadBarrier(ctx)).Kind, errkind.NoQuorum)
		c.isolate(addressOf(old.id), false)
		time.Sleep(testElection)
		assert.Equal(t, old.machine.Revision(), uint64(1))
	})
}

// TestAsymmetricPartition: a follower that hears nobody but is heard does not
// disturb the leader.
func TestAsymmetricPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		l := c.leader()
		term, _ := l.replica.Leading()
		deaf := addressOf(l.id%3 + 1)
		c.mu.Lock()
		for other := range c.nodes {
			c.cut[[2]string{other, deaf}] = true
		}
		c.mu.Unlock()
		time.Sleep(10 * testElection)
		now, leads := l.replica.Leading()
		assert.Assert(t, leads)
		assert.Equal(t, now, term)
	})
}

func TestRestartOfAllAfterHundredsOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		l := c.leader()
		for i := range 350 {
			_, err := c.change(l, fmt.Sprint("op", i), putAccount("a", int64(i), uint64(i)))
			assert.NilError(t, err)
		}
		for _, n := range c.nodes {
			c.stop(n)
		}
		for _, n := range c.nodes {
			c.start(n)
		}
		l = c.leader()
		assert.NilError(t, l.replica.ReadBarrier(t.Context()))
		assert.Equal(t, l.machine.Revision(), uint64(350))
		again, err := c.change(l, "op349", putAccount("a", 349, 349))
		assert.NilError(t, err)
		assert.Assert(t, again.GetRepeated())
	})
}

// TestSecondReplicaLostAfterRepair: a replica with a lost disk is refused under its
// number, comes back under a new one, and the next loss costs nothing.
func TestSecondReplicaLostAfterRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		l := c.leader()
		for i := range 150 { // more than a snapshot holds back
			_, err := c.change(l, fmt.Sprint("op", i), putAccount("a", int64(i), uint64(i)))
			assert.NilError(t, err)
		}
		gone := c.nodes[addressOf(l.id%3+1)]
		c.stop(gone)
		gone.store = &memStore{name: "new", snap: consensus.Snapshot{Membership: gone.store.snap.Membership}}
		c.start(gone)
		time.Sleep(2 * testElection)
		assert.Equal(t, errkind.Of(gone.fatal).Kind, errkind.Corrupt)

		c.add(4, consensus.Membership{})
		_, err := l.service.member(t.Context(), &MemberArgs{Op: MemberAdd, ID: 4, Address: addressOf(4)})
		assert.NilError(t, err)
		time.Sleep(2 * testElection)
		_, err = l.service.member(t.Context(), &MemberArgs{Op: MemberRemove, ID: gone.id})
		assert.NilError(t, err)
		time.Sleep(testElection)
		c.stop(l) // the second one
		l = c.leader()
		assert.NilError(t, l.replica.ReadBarrier(t.Context()))
		assert.Equal(t, l.machine.Revision(), uint64(150))
		_, err = c.change(l, "after", putAccount("b", 1, 0))
		assert.NilError(t, err)
	})
}

func TestDiskErrorStopsTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		l := c.leader()
		l.store.mu.Lock()
		l.store.broken = errors.New("no space left on device")
		l.store.mu.Unlock()
		_, err := c.change(l, "op", putAccount("a", 1, 0))
		assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown)
		time.Sleep(testBeat)
		assert.ErrorContains(t, l.fatal, "no space left")
		_, err = c.change(c.leader(), "op", putAccount("a", 1, 0))
		assert.NilError(t, err)
	})
}

func TestPlannedStopLeavesNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		l := c.leader()
		start := time.Now()
		assert.NilError(t, l.replica.Drain(t.Context()))
		assert.Assert(t, c.leader() != l)
		assert.Assert(t, time.Since(start) < testElection/2, "the successor does not wait for a timeout")
	})
}

// TestWithdrawnKeyDuringPartition: a VM on the far side of a partition serves
// nothing with the key once the bound is over, on open connections too.
func TestWithdrawnKeyDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		l := c.leader()
		_, err := c.change(l, "op", putAccount("a", 1, 0))
		assert.NilError(t, err)
		ctx := context.WithValue(t.Context(), operatorKey{}, "ana")
		key, err := l.service.IssueKey(ctx, connect.NewRequest(&pb.IssueKeyRequest{Meta: &pb.ChangeMeta{OperationId: "key"}, ClientAccount: "a"}))
		assert.NilError(t, err)
		vm := c.client("vm1")
		defer func() { _ = vm.Stop(context.Background()) }()
		time.Sleep(time.Second)
		assert.NilError(t, vm.Fresh())
		_, err = vm.View().Authenticate(keys.NewHasher(testHashKey), key.Msg.GetToken())
		assert.NilError(t, err)

		// The VM keeps a connection to one replica; both are cut off from the rest.
		follower := c.nodes[addressOf(l.id%3+1)]
		c.isolate(addressOf(follower.id), true)
		c.mu.Lock()
		for address := range c.nodes {
			c.cut[[2]string{"", address}] = address != addressOf(follower.id)
		}
		c.mu.Unlock()
		_, err = c.change(l, "withdraw", &pb.Mutation{Change: &pb.Mutation_WithdrawKey{WithdrawKey: key.Msg.GetId()}})
		assert.NilError(t, err)
		accepted := time.Now()
		ok, _ := l.watch.Wait(t.Context(), 3)
		assert.Assert(t, ok)
		assert.Assert(t, time.Since(accepted) < 2*testFreshness)
		assert.Equal(t, errkind.Of(vm.Fresh()).Kind, errkind.Stale)
		assert.Equal(t, errkind.Of(vm.Fresh()).Outcome, errkind.NotRun)
		time.Sleep(20 * time.Second)
		assert.Equal(t, errkind.Of(vm.Fresh()).Kind, errkind.Stale)

		c.isolate(addressOf(follower.id), false)
		c.mu.Lock()
		clear(c.cut)
		c.mu.Unlock()
		time.Sleep(4 * time.Second)
		assert.NilError(t, vm.Fresh())
		_, err = vm.View().Authenticate(keys.NewHasher(testHashKey), key.Msg.GetToken())
		assert.Equal(t, errkind.Of(err).Kind, errkind.Unauthenticated)
	})
}

// TestHerdOfWatchers: 50 restarting VMs all get a fresh view within the bound.
func TestHerdOfWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		l := c.leader()
		_, err := c.change(l, "op", putAccount("a", 1, 0))
		assert.NilError(t, err)
		var herd []*watch.Client
		for i := range 50 {
			herd = append(herd, c.client(fmt.Sprint("vm", i)))
		}
		time.Sleep(testFreshness)
		for _, w := range herd {
			assert.NilError(t, w.Fresh())
			assert.Equal(t, w.View().Revision(), uint64(1))
			assert.Equal(t, len(w.VMs()), len(herd))
		}
		r, err := c.change(l, "op2", putAccount("a", 2, 1))
		assert.NilError(t, err)
		ok, _ := l.watch.Wait(t.Context(), r.GetRevision())
		assert.Assert(t, ok)
		for _, w := range herd {
			assert.Equal(t, w.View().Revision(), r.GetRevision())
			assert.NilError(t, w.Stop(context.Background()))
		}
	})
}

// TestRestartedVMDoesNotGoBack: it takes nothing from a replica that lags.
func TestRestartedVMDoesNotGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		l := c.leader()
		lagging := addressOf(l.id%3 + 1)
		c.isolate(lagging, true)
		c.mu.Lock()
		for address := range c.nodes {
			c.cut[[2]string{"", address}] = address != lagging
		}
		c.mu.Unlock()
		_, err := c.change(l, "op", putAccount("a", 1, 0))
		assert.NilError(t, err)
		vm := c.client("vm1")
		defer func() { _ = vm.Stop(context.Background()) }()
		time.Sleep(10 * time.Second)
		assert.Assert(t, vm.View() == nil)
		assert.Equal(t, errkind.Of(vm.Fresh()).Kind, errkind.Stale)
		c.mu.Lock()
		clear(c.cut)
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.NilError(t, vm.Fresh())
		assert.Equal(t, vm.View().Revision(), uint64(1))
	})
}

// TestLeavingVM is listed as leaving on every replica.
func TestLeavingVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.leader()
		one, two := c.client("vm1"), c.client("vm2")
		defer func() { _, _ = one.Stop(context.Background()), two.Stop(context.Background()) }()
		time.Sleep(2 * time.Second)
		assert.NilError(t, one.Leave(t.Context()))
		time.Sleep(2 * time.Second)
		vms := two.VMs()
		assert.Equal(t, len(vms), 2)
		assert.Assert(t, vms[0].Leaving && !vms[1].Leaving)
		assert.NilError(t, one.Stop(context.Background()))
		time.Sleep(2 * testFreshness)
		assert.Equal(t, len(two.VMs()), 1)
	})
}

func TestEndpointsOnLeavingVMs(t *testing.T) {
	v := state.NewView(&pb.Configuration{Endpoints: []*pb.Endpoint{
		{Name: "by-name", Address: "10.0.0.1:1", Revision: 3}, {Name: "b", Address: "10.0.0.2:1"}, {Name: "c", Address: "10.0.0.3:1"},
		{Name: "d", Address: "10.0.0.2:2", Leaving: true}}})
	muts := leavingEndpoints(v, map[string]bool{"by-name": true, "10.0.0.2": true})
	assert.Equal(t, len(muts), 2)
	assert.Equal(t, muts[0].GetExpectedRevision(), uint64(3))
	assert.Assert(t, muts[1].GetPutEndpoint().GetLeaving())
}

// TestSlowSnapshotsDoNotStopChanges: after the first, which nobody has timed yet,
// a leader hands over before it stands still.
func TestSlowSnapshotsDoNotStopChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.leader()
		c.slow = 2 * testElection
		var worst time.Duration
		handovers := map[string]bool{}
		for i := range 1500 {
			time.Sleep(200 * time.Millisecond)
			start := time.Now()
			_, err := c.change(c.nodes[addressOf(uint64(i%3+1))], fmt.Sprint("op", i), putAccount("a", int64(i), uint64(i)))
			assert.NilError(t, err)
			if i > 500 {
				worst = max(worst, time.Since(start))
				handovers[c.nodes[addressOf(1)].replica.Leader()] = true
			}
		}
		assert.Assert(t, len(handovers) > 1)
		assert.Assert(t, worst < testElection/2, "a change took %s", worst)
	})
}
