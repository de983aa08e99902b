package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	log, err := NewWithOutput(Settings{Level: "info"}, "d", "vm", b)
	assert.NilError(t, err)
	for range 3 * maxBufferedLines { // would block forever if logging waited for the output
		log.Info("line")
	}
	assert.Assert(t, b.Dropped() >= maxBufferedLines)
	close(out.release)
	b.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Assert(t, strings.Contains(out.written.String(), "log lines dropped"))
	assert.Assert(t, strings.Contains(out.written.String(), `"vm":"vm"`))
}

// While the output is behind, lines below the level warn are first sampled by message and
// then dropped; warnings still fit into the buffer.
func TestWarningsAreKeptLongest(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	log, err := NewWithOutput(Settings{Level: "info"}, "d", "vm", b)
	assert.NilError(t, err)
	log = log.With() // as the modules do: With must keep the sampling
	for range 20 * maxBufferedLines {
		log.Info("request served")
	}
	dropped := b.Dropped()
	log.Info("configuration in force") // the buffer is at warningsOnlyFill: dropped as well
	const failures = maxBufferedLines / 8
	for range failures {
		log.Warn("request failed")
	}
	assert.Equal(t, b.Dropped(), dropped+1, "the info line is dropped, no warning is")
	close(out.release)
	b.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Equal(t, strings.Count(out.written.String(), "request failed"), failures)
	served := strings.Count(out.written.String(), "request served")
	assert.Assert(t, served >= maxBufferedLines*3/4 && served < maxBufferedLines*7/8, "%d lines of served requests", served)
	assert.Assert(t, strings.Contains(out.written.String(), "log lines dropped"))
}

func TestMessagesAreSampledSeparately(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBoundedWriter(out)
	log, err := NewWithOutput(Settings{Level: "info"}, "d", "vm", b)
	assert.NilError(t, err)
	for range maxBufferedLines/2 + 10*sampleInterval {
		log.Info("request served")
	}
	log.Info("configuration in force")
	close(out.release)
	b.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Equal(t, strings.Count(out.written.String(), "configuration in force"), 1)
}

// A daemon that stops while its output is blocked and the buffer is full must still exit.
func TestCloseOfFullBufferEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		b := NewBoundedWriter(out)
		for range 2 * maxBufferedLines {
			_, err := b.Write([]byte("line"))
			assert.NilError(t, err)
		}
		start := time.Now()
		b.Close(300 * time.Millisecond)
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
		b.Close(300 * time.Millisecond)
		assert.Equal(t, time.Since(start), 600*time.Millisecond)
		close(out.release)
		b.lines <- nil // ends the goroutine
		<-b.done
	})
}
