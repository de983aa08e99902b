package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"eelgrasshollow/internal/membudget"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// writeCheckInterval is the time between two checks whether the client of a stream reads.
	writeCheckInterval = 250 * time.Millisecond
	// readAheadAfter is how long a client may not read before the rest of the stream is read ahead.
	readAheadAfter = 500 * time.Millisecond
	// maxReadAheadBytes limits what is read ahead of one client.
	maxReadAheadBytes = 256 << 10
	// readAheadStep is the size of one read, in bytes.
	readAheadStep = 4 << 10
	// maxUnread is how long a response may stay unread at its server, which cuts it off after some
	// seconds. Until then the attempt is stopped, so that the server keeps nothing for it.
	maxUnread = 2500 * time.Millisecond
	// lateWriteTime is how long after a request's deadline its response may still be written.
	lateWriteTime = time.Second
)

// errSlowReader is the cause of the end of an attempt whose client did not read in time.
var errSlowReader = errors.New("client reads too slowly")

// readAhead is the body of a stream. While the client reads, Read reads the body directly: then a
// slow client slows down the server too. When a write to the client has taken readAheadAfter, the rest
// is read into a buffer, up to maxReadAheadBytes and what the budget leaves.
type readAhead struct {
	body   io.Reader
	budget *membudget.Budget
	stop   func() // ends the attempt and the blocked write

	mu        sync.Mutex
	changed   *sync.Cond
	timer     *time.Timer
	writingAt time.Time    // begin of the write to the client that is under way, or zero
	started   bool         // run reads the body
	waiting   bool         // run waits for space
	buffer    bytes.Buffer // read ahead; its bytes are taken from the budget
	err       error        // that ended run
	readAt    time.Time    // last read of run
	ended     bool
}

// newReadAhead returns the body of a stream; stop is called when its client reads too slowly.
func newReadAhead(body io.Reader, budget *membudget.Budget, stop func()) *readAhead {
	r := &readAhead{body: body, budget: budget, stop: stop}
	r.changed = sync.NewCond(&r.mu)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = time.AfterFunc(writeCheckInterval, r.check)
	return r
}

// Read implements io.Reader. It must not be called during a write.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	if !r.started {
		r.mu.Unlock()
		return r.body.Read(p)
	}
	defer r.mu.Unlock()
	for r.buffer.Len() == 0 && r.err == nil {
		r.changed.Wait()
	}
	if r.buffer.Len() == 0 {
		return 0, r.err
	}
	n, err := r.buffer.Read(p)
	r.budget.Release(int64(n))
	r.changed.Broadcast()
	return n, err
}

// write calls a function that writes to the client.
func (r *readAhead) write(to func() error) error {
	r.mu.Lock()
	r.writingAt = time.Now()
	r.mu.Unlock()
	err := to()
	r.mu.Lock()
	r.writingAt = time.Time{}
	r.mu.Unlock()
	return err
}

// check begins to read ahead if the client does not read, and stops the attempt if the server's
// response has been unread for too long.
func (r *readAhead) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.timer.Reset(writeCheckInterval)
	if r.writingAt.IsZero() {
		return
	}
	switch blocked := time.Since(r.writingAt); {
	case !r.started && blocked >= readAheadAfter:
		r.started, r.readAt = true, time.Now()
		go r.run() // ends with the body, or after end
	case r.waiting && time.Since(r.readAt) >= maxUnread && blocked >= readAheadAfter:
		r.timer.Stop()
		r.stop()
	case r.waiting:
		r.changed.Broadcast() // other requests may have released memory
	}
}

// run reads the body until it ends.
func (r *readAhead) run() {
	step := make([]byte, readAheadStep)
	for r.awaitSpace() {
		n, err := r.body.Read(step)
		r.mu.Lock()
		if r.ended {
			n = 0
		}
		r.buffer.Write(step[:n])
		r.budget.Release(int64(readAheadStep - n))
		r.err, r.readAt = err, time.Now()
		r.changed.Broadcast()
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// awaitSpace takes readAheadStep bytes from the budget; false means that the stream has ended.
func (r *readAhead) awaitSpace() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer func() { r.waiting = false }()
	for !r.ended && (r.buffer.Len()+readAheadStep > maxReadAheadBytes || !r.budget.TryAcquire(readAheadStep)) {
		r.waiting = true
		r.changed.Wait()
	}
	return !r.ended
}

// end gives the buffer back. The body must be closed afterwards.
func (r *readAhead) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.timer.Stop()
	r.budget.Release(int64(r.buffer.Len()))
	r.buffer = bytes.Buffer{}
	if r.err == nil {
		r.err = io.ErrClosedPipe
	}
	r.changed.Broadcast()
}

// readAheadOf returns the body of a stream to the client of x. cancel ends the attempt.
func (g *Gateway) readAheadOf(x *exchange, reply *Reply) *readAhead {
	return newReadAhead(reply.Body, g.Memory, func() {
		g.Metrics.slowReaders.Inc()
		g.Log.Info("attempt stopped, the client does not read", zap.String("request", x.ID), zap.String("server", x.server), zap.Int64("held_bytes", g.Memory.Held()), zap.Error(errSlowReader))
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Unix(1, 0)) // ends the blocked write; without support the client's connection times out
	})
}

// limitWrites bounds how long the response may be written: after its deadline the client does not
// wait for it, and what it leaves unread holds memory.
func limitWrites(w http.ResponseWriter, deadline time.Time) {
	if !deadline.IsZero() {
		deadline = deadline.Add(lateWriteTime)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(deadline) // without support the client's connection times out
}
