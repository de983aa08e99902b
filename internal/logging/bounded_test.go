package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuck blocks every write until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestBlockedOutputDelaysNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	log, err := NewWithOutput(Settings{Level: "info"}, "d", "vm", b)
	assert.NilError(t, err)
	for range 3 * boundedLines { // would hang for good if a line could wait for the output
		log.Info("line")
	}
	assert.Assert(t, b.Dropped() >= boundedLines)
	close(out.release)
	b.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Assert(t, strings.Contains(out.got.String(), "log lines dropped"))
	assert.Assert(t, strings.Contains(out.got.String(), `"vm":"vm"`))
}

// TestFailuresKeepTheirLineLongest: while the output is behind, usual lines are sampled by
// message and then dropped, and warnings still find room.
func TestFailuresKeepTheirLineLongest(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	log, err := NewWithOutput(Settings{Level: "info"}, "d", "vm", b)
	assert.NilError(t, err)
	log = log.With() // as the modules do
	for range 20 * boundedLines {
		log.Info("request served")
	}
	dropped := b.Dropped()
	log.Info("configuration in force") // another message has its own share
	const failures = boundedLines / 8
	for range failures {
		log.Warn("request failed")
	}
	assert.Equal(t, b.Dropped(), dropped+1, "the usual line comes too late, no failure is lost")
	close(out.release)
	b.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Equal(t, strings.Count(out.got.String(), "request failed"), failures)
	served := strings.Count(out.got.String(), "request served")
	assert.Assert(t, served >= boundedLines*3/4 && served < boundedLines*7/8, "%d usual lines", served)
	assert.Assert(t, strings.Contains(out.got.String(), "log lines dropped"))
}

func TestMessagesAreSampledApart(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	log, err := NewWithOutput(Settings{Level: "info"}, "d", "vm", b)
	assert.NilError(t, err)
	for range boundedLines/2 + 10*sampleOf {
		log.Info("request served")
	}
	log.Info("configuration in force")
	close(out.release)
	b.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Equal(t, strings.Count(out.got.String(), "configuration in force"), 1)
}
