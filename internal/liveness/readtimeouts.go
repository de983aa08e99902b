package liveness

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ReadTimeouts bounds how long a client may take for a request's head, and leave a
// connection idle. Zero sets no bound.
type ReadTimeouts struct {
	Header, Idle time.Duration
}

// WithReadTimeouts lets a server's connections keep the bounds that are in force when a wait
// begins; http.Server knows constant ones only. The server must have a ReadHeaderTimeout
// and an IdleTimeout, which say when such a wait begins and bound it where Patience does
// not; it must not have a ReadTimeout.
func WithReadTimeouts(server *http.Server, l net.Listener, now func() ReadTimeouts) net.Listener {
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if b, ok := c.(*boundConn); ok && s == http.StateIdle {
			b.idle.Store(true)
		}
	}
	return &boundListener{Listener: l, now: now}
}

type boundListener struct {
	net.Listener
	now func() ReadTimeouts
}

// Accept returns a connection with the bounds.
func (l *boundListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // the listener's own error, which http.Server looks at
	}
	h, ok := c.(halfCloser)
	if !ok {
		return nil, errors.CombineErrors(errors.New("connections of this listener can't be closed by halves"), c.Close())
	}
	return &boundConn{halfCloser: h, now: l.now}, nil
}

// halfCloser is a connection that http.Server can close without losing an answer to a
// request that it has not read whole.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// boundConn changes the read deadlines that http.Server sets: the first one after the
// connection became idle ends the idle wait, every other one the wait for a head.
type boundConn struct {
	halfCloser
	now  func() ReadTimeouts
	idle atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *boundConn) SetReadDeadline(t time.Time) error {
	// A deadline that has passed interrupts a read, and none means no wait.
	if time.Until(t) > 0 {
		limit := c.now().Header
		if c.idle.Swap(false) {
			limit = c.now().Idle
		}
		if limit > 0 {
			t = time.Now().Add(limit)
		}
	}
	return c.halfCloser.SetReadDeadline(t)
}
