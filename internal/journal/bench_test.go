package journal

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eelgrasshollow/internal/statemachine"

	"go.uber.org/zap"
)

// syncedLog writes each command to a file and syncs it, one after another.
type syncedLog struct {
	mu      sync.Mutex
	file    *os.File
	machine *Machine
	index   uint64
	syncs   int
}

func (l *syncedLog) Propose(_ context.Context, _ string, command []byte) (statemachine.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(command); err != nil {
		return statemachine.Result{}, err
	}
	if err := l.file.Sync(); err != nil {
		return statemachine.Result{}, err
	}
	l.index++
	l.syncs++
	return statemachine.Result{Index: l.index, Data: l.machine.Apply(l.index, command)}, nil
}

func (l *syncedLog) ReadBarrier(context.Context) error { return nil }

// BenchmarkClaims measures a claim and its settlement by callers that run at once, in
// batches and with one sync for each.
//
//	go test -run '^$' -bench Claims -benchtime 3000x ./internal/journal
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		for _, way := range []struct {
			name  string
			batch int
		}{{"batched", maxBatch}, {"one-sync-per-claim", 1}} {
			b.Run(fmt.Sprintf("callers=%d/%s", callers, way.name), func(b *testing.B) { benchClaims(b, callers, way.batch) })
		}
	}
}

func benchClaims(b *testing.B, callers, batch int) {
	file, err := os.Create(filepath.Join(b.TempDir(), "log"))
	if err != nil {
		b.Fatal(err)
	}
	defer file.Close()
	log := &syncedLog{file: file, machine: NewMachine()}
	l := testLimits()
	l.Records, l.Bytes = 1<<30, 1<<40
	s := NewService(l, log)
	s.batch = batch
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	go s.Run(ctx)
	client := NewClient(time.Minute, &direct{endpoint: &RPCService{s}}, zap.NewNop())
	var next atomic.Int64
	took := make([]time.Duration, b.N)
	var wg sync.WaitGroup
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				took[i] = oneCall(ctx, client, fmt.Sprint(i))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(took[b.N/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[b.N*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(log.syncs)/float64(b.N), "syncs/call")
}

// oneCall claims, begins and settles; it returns what that adds to a call.
func oneCall(ctx context.Context, c *Client, id string) time.Duration {
	start := time.Now()
	claim, _, err := c.Claim(ctx, request(id))
	if err != nil {
		panic(err)
	}
	if err := claim.Begin(); err != nil {
		panic(err)
	}
	if err := claim.Complete(ctx, Answer{Status: 200}); err != nil {
		panic(err)
	}
	return time.Since(start)
}
