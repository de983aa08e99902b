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
	// maxBufferedLines bounds the lines that wait for the output. It covers a few seconds at
	// the heaviest load of one VM.
	maxBufferedLines = 4096
	// dropReportInterval is the minimum time between two lines that report dropped lines.
	dropReportInterval = time.Second
)

// BoundedWriter writes log lines to an output in the background. Write never blocks: if
// maxBufferedLines lines are waiting, the line is dropped and counted. The number of dropped
// lines is written to the output as a log line, at most once in dropReportInterval.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	stop    sync.Once
}

// NewBoundedWriter returns a BoundedWriter to out and starts its goroutine, which ends with
// Close.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
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

// Dropped returns the number of lines dropped since the start.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the buffered lines and ends the goroutine. It waits at most timeout for this:
// while the output is blocked, lines and the goroutine remain.
func (b *BoundedWriter) Close(timeout time.Duration) {
	expired := time.After(timeout)
	queued := true
	b.stop.Do(func() {
		select {
		case b.lines <- nil:
		case <-expired:
			queued = false
		}
	})
	if !queued {
		return
	}
	select {
	case <-b.done:
	case <-expired:
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	var reported int64
	var reportedAt time.Time
	for line := range b.lines {
		if line == nil {
			return
		}
		_, _ = b.out.Write(line) // an error of the log output can't be logged
		if n := b.dropped.Load(); n > reported && time.Since(reportedAt) >= dropReportInterval {
			_, _ = io.WriteString(b.out, `{"level":"warn","msg":"log lines dropped","lines":`+strconv.FormatInt(n-reported, 10)+"}\n")
			reported, reportedAt = n, time.Now()
		}
	}
}

// NewWithOutput returns a JSON logger to out, named after the daemon and with the VM's name
// as a field. While out is behind, lines below the level warn are sampled, see sampledCore.
// Settings.Format is ignored.
func NewWithOutput(s Settings, daemon, vm string, out *BoundedWriter) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := sampledCore{Core: zapcore.NewCore(zapcore.NewJSONEncoder(c), out, level), out: out, counts: &sync.Map{}}
	return zap.New(core).Named(daemon).With(zap.String("vm", vm)), nil
}
