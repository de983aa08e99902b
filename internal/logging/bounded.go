package logging

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// boundedLines is how many lines may wait for the output, a few seconds' worth at the
	// heaviest load of one VM.
	boundedLines = 4096
	// droppedEvery is the least time between two lines that tell of dropped ones.
	droppedEvery = time.Second
)

// BoundedWriter hands lines to an output in the background. It never blocks: lines that find
// no room are dropped and counted, and a line says how many.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	stop    sync.Once
}

// NewBoundedWriter returns a writer to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements zapcore.WriteSyncer.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (b *BoundedWriter) Sync() error { return nil }

// Dropped counts the lines that were dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits, for a bounded time, and ends the work.
func (b *BoundedWriter) Close(wait time.Duration) {
	b.stop.Do(func() { b.lines <- nil })
	select {
	case <-b.done:
	case <-time.After(wait):
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	var told int64
	var toldAt time.Time
	for line := range b.lines {
		if line == nil {
			return
		}
		_, _ = b.out.Write(line) // there is nowhere left to report to
		if n := b.dropped.Load(); n > told && time.Since(toldAt) >= droppedEvery {
			_, _ = io.WriteString(b.out, `{"level":"warn","msg":"log lines dropped","lines":`+strconv.FormatInt(n-told, 10)+"}\n")
			told, toldAt = n, time.Now()
		}
	}
}

// NewWithOutput returns a logger through a bounded writer, named after the daemon and its VM.
func NewWithOutput(s Settings, daemon, vm string, out *BoundedWriter) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := sampled{Core: zapcore.NewCore(zapcore.NewJSONEncoder(c), out, level), out: out, kinds: &sync.Map{}}
	return zap.New(core).Named(daemon).With(zap.String("vm", vm)), nil
}
