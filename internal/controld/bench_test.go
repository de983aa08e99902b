package controld

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/control"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/settings"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const (
	benchClients = 64
	benchTimeout = 10 * time.Second // of a proposal and of a graceful stop
)

// group is a group of control replicas on loopback. Each is a complete daemon.
type group struct {
	tb            testing.TB
	dir           string
	kernels       []*kernel.Kernel
	addresses     []string
	extraSettings string // further lines of the [control] section
	operations    atomic.Int64
}

// freeAddress returns an unused loopback address.
func freeAddress(tb testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newGroup(tb testing.TB, size int, extraSettings string) *group {
	g := &group{tb: tb, dir: tb.TempDir(), extraSettings: extraSettings, kernels: make([]*kernel.Kernel, size)}
	assert.NilError(tb, os.WriteFile(filepath.Join(g.dir, "key"), []byte("bench"), 0o600))
	assert.NilError(tb, os.WriteFile(filepath.Join(g.dir, "operators"), []byte("ana token"), 0o600))
	for range size {
		if size == 1 { // no other replica needs the address
			g.addresses = append(g.addresses, "127.0.0.1:0")
			continue
		}
		g.addresses = append(g.addresses, freeAddress(tb))
	}
	for i := range size {
		g.start(i)
	}
	tb.Cleanup(func() {
		for i := range g.kernels {
			g.stop(i)
		}
	})
	return g
}

func (g *group) start(i int) {
	replicas := ""
	for j, a := range g.addresses {
		replicas += fmt.Sprintf("%d=%s,", j+1, a)
	}
	text := fmt.Sprintf("[node]\nname = c%d\ndata_dir = %s\npeer_address = %s\noperator_address = 127.0.0.1:0\n[control]\nreplica_id = %d\nreplicas = %s\n%s\n[security]\nhash_key_file = %s/key\noperator_tokens_file = %s/operators\n",
		i+1, filepath.Join(g.dir, fmt.Sprint(i)), g.addresses[i], i+1, replicas, g.extraSettings, g.dir, g.dir)
	var s Settings
	assert.NilError(g.tb, settings.Parse("bench.ini", []byte(text), &s))
	k, err := Build(&s, zap.NewNop(), func(err error) { g.tb.Errorf("replica stopped: %v", err) })
	assert.NilError(g.tb, err)
	assert.NilError(g.tb, k.Start(context.Background()))
	g.kernels[i] = k
}

func (g *group) stop(i int) {
	if g.kernels[i] == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	_ = g.kernels[i].Stop(ctx)
	g.kernels[i] = nil
}

func (g *group) replica(i int) *consensus.Module {
	m, err := kernel.Lookup[*consensus.Module](g.kernels[i], consensus.ModuleName)
	assert.NilError(g.tb, err)
	return m
}

// operatorAddress returns the address at which a replica serves operators.
func (g *group) operatorAddress(i int) string {
	m, err := kernel.Lookup[*control.Module](g.kernels[i], control.ModuleName)
	assert.NilError(g.tb, err)
	return m.Address()
}

// leader waits for a leader and returns its index.
func (g *group) leader() int {
	for {
		for i, k := range g.kernels {
			if k == nil {
				continue
			}
			if _, ok := g.replica(i).Leading(); ok {
				return i
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// change proposes a change at a replica and returns its revision.
func (g *group) change(i int) (uint64, error) {
	n := g.operations.Add(1)
	cmd, err := proto.Marshal(&pb.StateCommand{Operator: "ana", OperationId: fmt.Sprint(n), AcceptedUnixMs: time.Now().UnixMilli(),
		Mutations: []*pb.Mutation{{AnyRevision: true, Change: &pb.Mutation_PutClientAccount{
			PutClientAccount: &pb.ClientAccount{Name: fmt.Sprint("account", n%benchClients), RateTokens: n}}}}})
	assert.NilError(g.tb, err)
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	res, err := g.replica(i).Propose(ctx, state.Namespace, cmd)
	if err != nil {
		return 0, err
	}
	r, err := state.DecodeResult(res.Data)
	return r.GetRevision(), err
}

// measureChanges makes n changes from benchClients concurrent clients and returns their
// durations, sorted.
func (g *group) measureChanges(i, n int) []time.Duration {
	durations := make([]time.Duration, n)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range benchClients {
		wg.Go(func() {
			for index := next.Add(1) - 1; index < int64(n); index = next.Add(1) - 1 {
				start := time.Now()
				if _, err := g.change(i); err != nil {
					g.tb.Errorf("change: %v", err)
					return
				}
				durations[index] = time.Since(start)
			}
		})
	}
	wg.Wait()
	slices.Sort(durations)
	return durations
}

// BenchmarkCommits compares group commit with one sync per change.
func BenchmarkCommits(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, batch := range []int{consensus.DefaultMaxBatch, 1} {
			b.Run(fmt.Sprintf("replicas=%d/batch=%d", size, batch), func(b *testing.B) {
				g := newGroup(b, size, fmt.Sprintf("batch = %d", batch))
				leader := g.leader()
				b.ResetTimer()
				durations := g.measureChanges(leader, b.N)
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds())/1000, "p99-ms")
			})
		}
	}
}

// BenchmarkLeaderGap measures the time from the stop of a leader to the next accepted
// change.
func BenchmarkLeaderGap(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(fmt.Sprintf("planned=%t", planned), func(b *testing.B) {
			g := newGroup(b, 3, "")
			var worst time.Duration
			for b.Loop() {
				leader := g.leader()
				_, err := g.change(leader)
				assert.NilError(b, err)
				b.StopTimer()
				time.Sleep(time.Second)
				b.StartTimer()
				start := time.Now()
				done := make(chan struct{})
				go func() {
					defer close(done)
					if !planned { // without draining, as if the process were killed
						g.crash(leader)
						return
					}
					g.stop(leader)
				}()
				if planned {
					time.Sleep(time.Millisecond)
				} else {
					<-done
				}
				for {
					next := g.leaderOtherThan(leader)
					if _, err = g.change(next); err == nil {
						break
					}
				}
				worst = max(worst, time.Since(start))
				b.StopTimer()
				<-done
				g.start(leader)
				time.Sleep(2 * time.Second)
				b.StartTimer()
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

// crash stops a replica without draining, so that it stops responding immediately.
func (g *group) crash(i int) {
	server, err := kernel.Lookup[*peer.ServerModule](g.kernels[i], peer.ServerName)
	assert.NilError(g.tb, err)
	_ = g.replica(i).Stop(context.Background())
	_ = server.Stop(context.Background())
	k := g.kernels[i]
	g.kernels[i] = nil
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = k.Stop(ctx)
}

// leaderOtherThan waits for a leader other than the excluded replica.
func (g *group) leaderOtherThan(excluded int) int {
	for {
		for i, k := range g.kernels {
			if i == excluded || k == nil {
				continue
			}
			if _, ok := g.replica(i).Leading(); ok {
				return i
			}
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// countingConn counts the bytes that a connection reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startWatchers starts n watchers with separate connections and waits until each has a
// fresh view.
func (g *group) startWatchers(n int, bytes *atomic.Int64) []*watch.Client {
	var out []*watch.Client
	for i := range n {
		pool := peer.NewPool(peer.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			return countingConn{conn, bytes}, err
		}})
		w := watch.NewClient(watch.ClientConfig{ControlAddresses: g.addresses, VM: membership.VM{Name: fmt.Sprint("vm", i)}, Caller: pool})
		assert.NilError(g.tb, w.Start(context.Background()))
		g.tb.Cleanup(func() { _ = w.Stop(context.Background()); pool.Close() })
		out = append(out, w)
	}
	for _, w := range out {
		for w.Fresh() != nil {
			time.Sleep(time.Millisecond)
		}
	}
	return out
}

// BenchmarkInForce measures the time from the acceptance of a revision until it is in
// force on every watcher, and until Wait returns.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{9, 200} {
		b.Run(fmt.Sprintf("watchers=%d", n), func(b *testing.B) {
			g := newGroup(b, 3, "")
			leader := g.leader()
			_, err := g.change(leader)
			assert.NilError(b, err)
			watchers := g.startWatchers(n, &atomic.Int64{})
			server, err := kernel.Lookup[*watch.Module](g.kernels[leader], watch.ModuleName)
			assert.NilError(b, err)
			time.Sleep(time.Second)
			var everywhere, confirmed []time.Duration
			for b.Loop() {
				revision, err := g.change(leader)
				assert.NilError(b, err)
				start := time.Now()
				for _, w := range watchers {
					for changed := w.Changed(); w.View().Revision() < revision; changed = w.Changed() {
						<-changed
					}
				}
				everywhere = append(everywhere, time.Since(start))
				ok, _ := server.Wait(context.Background(), revision)
				assert.Assert(b, ok)
				confirmed = append(confirmed, time.Since(start))
			}
			slices.Sort(everywhere)
			slices.Sort(confirmed)
			b.ReportMetric(float64(everywhere[len(everywhere)/2].Microseconds())/1000, "in-force-p50-ms")
			b.ReportMetric(float64(everywhere[len(everywhere)-1].Microseconds())/1000, "in-force-max-ms")
			b.ReportMetric(float64(confirmed[len(confirmed)/2].Microseconds())/1000, "wait-p50-ms")
		})
	}
}

// cpuTime returns the CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleWatchers measures the bytes and the CPU time of both sides while nothing
// changes. The difference between two numbers of watchers gives the cost per watcher.
func BenchmarkIdleWatchers(b *testing.B) {
	const interval = 4 * time.Second
	for _, n := range []int{0, 9, 200} {
		b.Run(fmt.Sprintf("watchers=%d", n), func(b *testing.B) {
			g := newGroup(b, 3, "")
			_, err := g.change(g.leader())
			assert.NilError(b, err)
			var bytes atomic.Int64
			g.startWatchers(n, &bytes)
			time.Sleep(time.Second)
			for b.Loop() {
				cpuBefore, bytesBefore := cpuTime(), bytes.Load()
				time.Sleep(interval)
				watcherSeconds := interval.Seconds() * float64(max(n, 1))
				b.ReportMetric(float64(bytes.Load()-bytesBefore)/watcherSeconds, "B/s/watcher")
				b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(interval)*100, "cpu-%-all")
			}
		})
	}
}

// BenchmarkRecovery measures the restart of a replica after 100,000 changes.
func BenchmarkRecovery(b *testing.B) {
	const changes = 100_000
	for _, entriesPerSnapshot := range []int{10_000, 1_000_000} {
		b.Run(fmt.Sprintf("snapshot_every=%d", entriesPerSnapshot), func(b *testing.B) {
			g := newGroup(b, 1, fmt.Sprintf("snapshot_every = %d", entriesPerSnapshot))
			g.measureChanges(g.leader(), changes)
			for b.Loop() {
				b.StopTimer()
				g.stop(0)
				b.StartTimer()
				g.start(0)
				g.leader()
			}
		})
	}
}
