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
	benchGrace   = 10 * time.Second
)

// bench is a group of control replicas on loopback, each the whole daemon.
type bench struct {
	tb        testing.TB
	dir       string
	kernels   []*kernel.Kernel
	addresses []string
	extra     string // more lines of [control]
	op        atomic.Int64
}

func freeAddress(tb testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newBench(tb testing.TB, size int, extra string) *bench {
	b := &bench{tb: tb, dir: tb.TempDir(), extra: extra, kernels: make([]*kernel.Kernel, size)}
	assert.NilError(tb, os.WriteFile(filepath.Join(b.dir, "key"), []byte("bench"), 0o600))
	assert.NilError(tb, os.WriteFile(filepath.Join(b.dir, "operators"), []byte("ana token"), 0o600))
	for range size {
		if size == 1 { // nobody must know it
			b.addresses = append(b.addresses, "127.0.0.1:0")
			continue
		}
		b.addresses = append(b.addresses, freeAddress(tb))
	}
	for i := range size {
		b.start(i)
	}
	tb.Cleanup(func() {
		for i := range b.kernels {
			b.stop(i)
		}
	})
	return b
}

func (b *bench) start(i int) {
	replicas := ""
	for j, a := range b.addresses {
		replicas += fmt.Sprintf("%d=%s,", j+1, a)
	}
	text := fmt.Sprintf("[node]\nname = c%d\ndata_dir = %s\npeer_address = %s\noperator_address = 127.0.0.1:0\n[control]\nreplica_id = %d\nreplicas = %s\n%s\n[security]\nhash_key_file = %s/key\noperator_tokens_file = %s/operators\n",
		i+1, filepath.Join(b.dir, fmt.Sprint(i)), b.addresses[i], i+1, replicas, b.extra, b.dir, b.dir)
	var s Settings
	assert.NilError(b.tb, settings.Parse("bench.ini", []byte(text), &s))
	k, err := Build(&s, zap.NewNop(), func(err error) { b.tb.Errorf("replica stopped: %v", err) })
	assert.NilError(b.tb, err)
	assert.NilError(b.tb, k.Start(context.Background()))
	b.kernels[i] = k
}

func (b *bench) stop(i int) {
	if b.kernels[i] == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), benchGrace)
	defer cancel()
	_ = b.kernels[i].Stop(ctx)
	b.kernels[i] = nil
}

func (b *bench) replica(i int) *consensus.Module {
	m, err := kernel.Lookup[*consensus.Module](b.kernels[i], consensus.ModuleName)
	assert.NilError(b.tb, err)
	return m
}

// operatorAddress is where a replica serves operators.
func (b *bench) operatorAddress(i int) string {
	m, err := kernel.Lookup[*control.Module](b.kernels[i], control.ModuleName)
	assert.NilError(b.tb, err)
	return m.Address()
}

func (b *bench) leader() int {
	for {
		for i, k := range b.kernels {
			if k == nil {
				continue
			}
			if _, ok := b.replica(i).Leading(); ok {
				return i
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// change proposes a change at a replica and returns its revision.
func (b *bench) change(i int) (uint64, error) {
	n := b.op.Add(1)
	cmd, err := proto.Marshal(&pb.StateCommand{Operator: "ana", OperationId: fmt.Sprint(n), AcceptedUnixMs: time.Now().UnixMilli(),
		Mutations: []*pb.Mutation{{AnyRevision: true, Change: &pb.Mutation_PutClientAccount{
			PutClientAccount: &pb.ClientAccount{Name: fmt.Sprint("account", n%benchClients), RateTokens: n}}}}})
	assert.NilError(b.tb, err)
	ctx, cancel := context.WithTimeout(context.Background(), benchGrace)
	defer cancel()
	res, err := b.replica(i).Propose(ctx, state.Namespace, cmd)
	if err != nil {
		return 0, err
	}
	r, err := state.DecodeResult(res.Data)
	return r.GetRevision(), err
}

// many makes n changes from benchClients clients and returns the times they took.
func (b *bench) many(i, n int) []time.Duration {
	times := make([]time.Duration, n)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range benchClients {
		wg.Go(func() {
			for at := next.Add(1) - 1; at < int64(n); at = next.Add(1) - 1 {
				start := time.Now()
				if _, err := b.change(i); err != nil {
					b.tb.Errorf("change: %v", err)
					return
				}
				times[at] = time.Since(start)
			}
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times
}

// BenchmarkCommits compares group commit with one sync per change.
func BenchmarkCommits(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, batch := range []int{consensus.DefaultMaxBatch, 1} {
			b.Run(fmt.Sprintf("replicas=%d/batch=%d", size, batch), func(b *testing.B) {
				g := newBench(b, size, fmt.Sprintf("batch = %d", batch))
				l := g.leader()
				b.ResetTimer()
				times := g.many(l, b.N)
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
			})
		}
	}
}

// BenchmarkLeaderGap measures the time from a stop of the leader to the next
// accepted change.
func BenchmarkLeaderGap(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(fmt.Sprintf("planned=%t", planned), func(b *testing.B) {
			g := newBench(b, 3, "")
			var worst time.Duration
			for b.Loop() {
				l := g.leader()
				_, err := g.change(l)
				assert.NilError(b, err)
				b.StopTimer()
				time.Sleep(time.Second)
				b.StartTimer()
				start := time.Now()
				done := make(chan struct{})
				go func() {
					defer close(done)
					if !planned { // no draining: the process is gone at once
						g.crash(l)
						return
					}
					g.stop(l)
				}()
				if planned {
					time.Sleep(time.Millisecond)
				} else {
					<-done
				}
				for {
					next := g.leaderBut(l)
					if _, err = g.change(next); err == nil {
						break
					}
				}
				worst = max(worst, time.Since(start))
				b.StopTimer()
				<-done
				g.start(l)
				time.Sleep(2 * time.Second)
				b.StartTimer()
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

// crash ends a replica without draining: it falls silent at once.
func (b *bench) crash(i int) {
	server, err := kernel.Lookup[*peer.ServerModule](b.kernels[i], peer.ServerName)
	assert.NilError(b.tb, err)
	_ = b.replica(i).Stop(context.Background())
	_ = server.Stop(context.Background())
	k := b.kernels[i]
	b.kernels[i] = nil
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = k.Stop(ctx)
}

func (b *bench) leaderBut(not int) int {
	for {
		for i, k := range b.kernels {
			if i == not || k == nil {
				continue
			}
			if _, ok := b.replica(i).Leading(); ok {
				return i
			}
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// watchers starts n watchers, each with its own connections.
func (b *bench) watchers(n int, bytes *atomic.Int64) []*watch.Client {
	var out []*watch.Client
	for i := range n {
		pool := peer.NewPool(peer.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			return counted{conn, bytes}, err
		}})
		w := watch.NewClient(watch.ClientConfig{ControlAddresses: b.addresses, VM: membership.VM{Name: fmt.Sprint("vm", i)}, Caller: pool})
		assert.NilError(b.tb, w.Start(context.Background()))
		b.tb.Cleanup(func() { _ = w.Stop(context.Background()); pool.Close() })
		out = append(out, w)
	}
	for _, w := range out {
		for w.Fresh() != nil {
			time.Sleep(time.Millisecond)
		}
	}
	return out
}

// BenchmarkInForce measures from acceptance to in force on every watcher, and until
// Wait says so.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{9, 200} {
		b.Run(fmt.Sprintf("watchers=%d", n), func(b *testing.B) {
			g := newBench(b, 3, "")
			l := g.leader()
			_, err := g.change(l)
			assert.NilError(b, err)
			ws := g.watchers(n, &atomic.Int64{})
			server, err := kernel.Lookup[*watch.Module](g.kernels[l], watch.ModuleName)
			assert.NilError(b, err)
			time.Sleep(time.Second)
			var everywhere, confirmed []time.Duration
			for b.Loop() {
				r, err := g.change(l)
				assert.NilError(b, err)
				start := time.Now()
				for _, w := range ws {
					for changed := w.Changed(); w.View().Revision() < r; changed = w.Changed() {
						<-changed
					}
				}
				everywhere = append(everywhere, time.Since(start))
				ok, _ := server.Wait(context.Background(), r)
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

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleWatchers measures what a watcher costs while nothing changes, both
// sides together; the difference between two counts is the slope.
func BenchmarkIdleWatchers(b *testing.B) {
	const span = 4 * time.Second
	for _, n := range []int{0, 9, 200} {
		b.Run(fmt.Sprintf("watchers=%d", n), func(b *testing.B) {
			g := newBench(b, 3, "")
			_, err := g.change(g.leader())
			assert.NilError(b, err)
			var bytes atomic.Int64
			g.watchers(n, &bytes)
			time.Sleep(time.Second)
			for b.Loop() {
				cpu, sent := cpuTime(), bytes.Load()
				time.Sleep(span)
				each := span.Seconds() * float64(max(n, 1))
				b.ReportMetric(float64(bytes.Load()-sent)/each, "B/s/watcher")
				b.ReportMetric(float64(cpuTime()-cpu)/float64(span)*100, "cpu-%-all")
			}
		})
	}
}

// BenchmarkRecovery measures the restart of a replica after 100,000 changes.
func BenchmarkRecovery(b *testing.B) {
	const changes = 100_000
	for _, every := range []int{10_000, 1_000_000} {
		b.Run(fmt.Sprintf("snapshot_every=%d", every), func(b *testing.B) {
			g := newBench(b, 1, fmt.Sprintf("snapshot_every = %d", every))
			g.many(g.leader(), changes)
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
