package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// progressInterval is the interval between lines of progress.
const progressInterval = 2 * time.Second

// progress counts the results of calls and prints the counts while the run goes on.
type progress struct {
	out       io.Writer
	duration  time.Duration
	startedAt time.Time

	mu         sync.Mutex
	answered   int
	refused    int
	failed     int
	violations int
	firstToken *hdrhistogram.Histogram
}

func newProgress(out io.Writer, duration time.Duration) *progress {
	return &progress{out: out, duration: duration, startedAt: time.Now(), firstToken: newHistogram()}
}

// newHistogram returns a histogram of latencies in units of histogramUnit, up to ten minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// histogramUnit is the resolution of latencies in histograms.
const histogramUnit = 10 * time.Microsecond

// recordLatency adds a latency to a histogram; a value out of range counts as the nearest bound.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/histogramUnit), 1), h.HighestTrackableValue())) // the value is clamped to the valid range
}

func (p *progress) add(result CallResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case result.LastAttempt.Violation != "":
		p.violations++
	case result.LastAttempt.OK:
		p.answered++
		if result.LastAttempt.Streamed {
			recordLatency(p.firstToken, result.LastAttempt.FirstByte-result.Due)
		}
	case result.LastAttempt.Refused:
		p.refused++
	default:
		p.failed++
	}
}

// start prints a line every progressInterval until the returned function is called.
func (p *progress) start() func() {
	ticker := time.NewTicker(progressInterval)
	stopped := make(chan struct{})
	var printer sync.WaitGroup
	printer.Go(func() {
		for {
			select {
			case <-ticker.C:
				p.print()
			case <-stopped:
				return
			}
		}
	})
	return func() {
		ticker.Stop()
		close(stopped)
		printer.Wait()
	}
}

func (p *progress) print() {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%5.0fs of %.0fs: %d answered, %d refused, %d failed, %d violations; first token p50 %.1f ms, p99 %.1f ms\n",
		time.Since(p.startedAt).Seconds(), p.duration.Seconds(), p.answered, p.refused, p.failed, p.violations,
		percentileMS(p.firstToken, 50), percentileMS(p.firstToken, 99))
}

// percentileMS returns a percentile of a histogram, in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) * float64(histogramUnit) / float64(time.Millisecond)
}
