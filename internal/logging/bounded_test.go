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
	b := NewBounded(out)
	log, err := NewOutput(Settings{Level: "info"}, "d", "vm", b)
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
