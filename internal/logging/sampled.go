package logging

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap/zapcore"
)

const (
	// sampleFromFill is the used share of the buffer from which on lines below the level warn
	// are sampled. From warningsOnlyFill on they are all dropped: the rest of the buffer is
	// reserved for warnings and errors, so that lines about failed and refused requests are
	// kept longest.
	sampleFromFill, warningsOnlyFill = 0.5, 0.75
	// sampleInterval is the number of lines with the same message of which one is kept while
	// lines are sampled.
	sampleInterval = 10
)

// sampledCore drops lines below the level warn while the output is behind. It counts them
// as dropped lines of the output.
type sampledCore struct {
	zapcore.Core
	out    *BoundedWriter
	counts *sync.Map // lines seen while sampling: *atomic.Int64 by message; messages are constants
}

// With implements zapcore.Core.
func (s sampledCore) With(fields []zapcore.Field) zapcore.Core {
	s.Core = s.Core.With(fields)
	return s
}

// Check implements zapcore.Core.
func (s sampledCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !s.Enabled(e.Level) {
		return c
	}
	if e.Level < zapcore.WarnLevel && !s.admits(e.Message) {
		s.out.dropped.Add(1)
		return c
	}
	return c.AddCore(e, s)
}

// admits reports whether a line below the level warn is kept. While lines are sampled, the
// first of every sampleInterval lines with the same message is kept.
func (s sampledCore) admits(message string) bool {
	fill := float64(len(s.out.lines)) / maxBufferedLines
	switch {
	case fill < sampleFromFill:
		return true
	case fill >= warningsOnlyFill:
		return false
	}
	n, _ := s.counts.LoadOrStore(message, &atomic.Int64{})
	return n.(*atomic.Int64).Add(1)%sampleInterval == 1
}
