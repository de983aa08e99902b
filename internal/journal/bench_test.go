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

// syncedLog is a Proposer that writes each command to a file, syncs the file and applies the
// command, one command at a time.
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

// BenchmarkClaims measures a claim and its settlement with concurrent callers, in batches and
// with one sync per op.
//
//	go test -run '^$' -bench Claims -benchtime 3000x ./internal/journal
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		for _, mode := range []struct {
			name  string
			batch int
		}{{"batched", maxBatchOps}, {"one-sync-per-claim", 1}} {
			b.Run(fmt.Sprintf("callers=%d/%s", callers, mode.name), func(b *testing.B) { benchClaims(b, callers, mode.batch) })
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
	limits := testLimits()
	limits.Records, limits.Bytes = 1<<30, 1<<40
	service := NewService(limits, log)
	service.batchLimit = batch
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	go service.Run(ctx)
	client := NewClient(time.Minute, &directCaller{service: &RPCService{service}}, zap.NewNop())
	var next atomic.Int64
	durations := make([]time.Duration, b.N)
	var wg sync.WaitGroup
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				durations[i] = timeCall(ctx, client, fmt.Sprint(i))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(durations)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(durations[b.N/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(durations[b.N*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(log.syncs)/float64(b.N), "syncs/call")
}

// timeCall claims, begins and completes a request. It returns the time that this takes.
func timeCall(ctx context.Context, c *Client, id string) time.Duration {
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
