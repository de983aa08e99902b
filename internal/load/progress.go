package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// progressEvery is the time between lines of live progress.
const progressEvery = 2 * time.Second

// progress prints what has come of the load so far.
type progress struct {
	out      io.Writer
	duration time.Duration
	begin    time.Time

	mu         sync.Mutex
	ok         int
	refused    int
	failed     int
	violations int
	first      *hdrhistogram.Histogram
}

func newProgress(out io.Writer, duration time.Duration) *progress {
	return &progress{out: out, duration: duration, begin: time.Now(), first: newHistogram()}
}

// newHistogram holds milliseconds in hundredths, up to ten minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

const histogramUnit = 10 * time.Microsecond

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/histogramUnit), 1), h.HighestTrackableValue())) // within bounds by min and max
}

func (p *progress) add(f CallResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case f.LastAttempt.Violation != "":
		p.violations++
	case f.LastAttempt.OK:
		p.ok++
		if f.LastAttempt.Streamed {
			record(p.first, f.LastAttempt.FirstByte-f.Due)
		}
	case f.LastAttempt.Refused:
		p.refused++
	default:
		p.failed++
	}
}

// start prints every so often until the returned function is called.
func (p *progress) start() func() {
	ticker := time.NewTicker(progressEvery)
	ended := make(chan struct{})
	var printing sync.WaitGroup
	printing.Go(func() {
		for {
			select {
			case <-ticker.C:
				p.print()
			case <-ended:
				return
			}
		}
	})
	return func() {
		ticker.Stop()
		close(ended)
		printing.Wait()
	}
}

func (p *progress) print() {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%5.0fs of %.0fs: %d answered, %d refused, %d failed, %d violations; first token p50 %.1f ms, p99 %.1f ms\n",
		time.Since(p.begin).Seconds(), p.duration.Seconds(), p.ok, p.refused, p.failed, p.violations,
		milliseconds(p.first, 50), milliseconds(p.first, 99))
}

func milliseconds(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) * float64(histogramUnit) / float64(time.Millisecond)
}
