package logging

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap/zapcore"
)

const (
	// sampleFrom is the part of the buffer from which on usual lines are sampled, and
	// warningsFrom the part that is left for warnings and errors: what failed or was refused
	// keeps its line longest.
	sampleFrom, warningsFrom = 0.5, 0.75
	// sampleOf lines with one message one is kept while they are sampled.
	sampleOf = 10
)

// sampled drops usual lines while the output is behind, and counts them.
type sampled struct {
	zapcore.Core
	out   *BoundedWriter
	kinds *sync.Map // *atomic.Int64 by message; messages are constants
}

// With implements zapcore.Core.
func (s sampled) With(fields []zapcore.Field) zapcore.Core {
	s.Core = s.Core.With(fields)
	return s
}

// Check implements zapcore.Core.
func (s sampled) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !s.Enabled(e.Level) {
		return c
	}
	if e.Level < zapcore.WarnLevel && !s.keeps(e.Message) {
		s.out.dropped.Add(1)
		return c
	}
	return c.AddCore(e, s)
}

func (s sampled) keeps(message string) bool {
	used := float64(len(s.out.lines)) / boundedLines
	switch {
	case used < sampleFrom:
		return true
	case used >= warningsFrom:
		return false
	}
	n, _ := s.kinds.LoadOrStore(message, &atomic.Int64{})
	return n.(*atomic.Int64).Add(1)%sampleOf == 1
}
