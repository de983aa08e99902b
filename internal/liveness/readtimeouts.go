package liveness

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ReadTimeouts bounds how long a client may take to send a request's header, and how
// long it may leave a connection idle. Zero sets no bound.
type ReadTimeouts struct {
	Header, Idle time.Duration
}

// WithReadTimeouts returns a listener whose connections apply the timeouts that are in
// force when a wait for the client begins; http.Server itself supports only constant
// ones. The server must have a ReadHeaderTimeout and an IdleTimeout: they mark the start
// of such a wait and bound it where timeouts returns zero. The server must not have a
// ReadTimeout.
func WithReadTimeouts(server *http.Server, l net.Listener, timeouts func() ReadTimeouts) net.Listener {
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if b, ok := c.(*timeoutConn); ok && s == http.StateIdle {
			b.idle.Store(true)
		}
	}
	return &timeoutListener{Listener: l, timeouts: timeouts}
}

type timeoutListener struct {
	net.Listener
	timeouts func() ReadTimeouts
}

// Accept returns a connection that applies the timeouts.
func (l *timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped: http.Server inspects the listener's error
	}
	closer, ok := c.(halfCloser)
	if !ok {
		return nil, errors.CombineErrors(errors.New("connections of this listener do not support CloseWrite"), c.Close())
	}
	return &timeoutConn{halfCloser: closer, timeouts: l.timeouts}, nil
}

// halfCloser is a connection that http.Server can close without losing the response to
// a request whose body it has not read completely.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// timeoutConn replaces the read deadlines that http.Server sets: the first deadline after
// the connection became idle bounds the idle time, and every other one the time for a
// request's header.
type timeoutConn struct {
	halfCloser
	timeouts func() ReadTimeouts
	idle     atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *timeoutConn) SetReadDeadline(deadline time.Time) error {
	// A deadline in the past interrupts a read, and a zero deadline removes the bound;
	// both are passed on unchanged.
	if time.Until(deadline) > 0 {
		timeout := c.timeouts().Header
		if c.idle.Swap(false) {
			timeout = c.timeouts().Idle
		}
		if timeout > 0 {
			deadline = time.Now().Add(timeout)
		}
	}
	return c.halfCloser.SetReadDeadline(deadline)
}
