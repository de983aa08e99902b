// Package firstwrite tells when the first byte of a request is about to leave on a connection,
// and can keep it from leaving. Until then the request has certainly not run. A request that is given up
// before the peer has sent anything is not delivered any more.
package firstwrite

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrPeerFirst is the error of Write if the peer has sent something, or has closed or reset the
// connection, before the first byte of the request. Nothing is written then: what the peer has
// sent can't be the answer to the request.
var ErrPeerFirst = errors.New("peer sent a response or ended the connection before the request")

// Conn calls a function immediately before its first write. Reads wait for that write. Write and
// Close may be used beside Read, but not beside each other's first call.
type Conn struct {
	net.Conn
	begin func() error
	begun bool  // begin has succeeded
	err   error // error of begin
	early error // marked with ErrPeerFirst, if the peer was first

	written  atomic.Bool // a byte may have left
	answered atomic.Bool // the peer has sent something after that

	opened sync.Once
	open   chan struct{} // closed when Read may read
}

// New returns a connection that calls begin on the first Write. If begin fails, nothing is
// written and every Write returns its error.
func New(conn net.Conn, begin func() error) *Conn {
	return &Conn{Conn: conn, begin: begin, open: make(chan struct{})}
}

// Begun reports whether begin has been called and has succeeded.
func (c *Conn) Begun() bool { return c.begun }

// Err returns the error of begin, if it has failed.
func (c *Conn) Err() error { return c.err }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.begun {
		if err := c.beginOnce(); err != nil {
			return 0, err
		}
	}
	c.written.Store(true)
	return c.Conn.Write(p)
}

func (c *Conn) beginOnce() error {
	defer c.allowReads()
	if c.err != nil {
		return c.err
	}
	if c.early == nil {
		c.early = checkSilent(c.Conn)
	}
	if c.early != nil {
		return c.early
	}
	c.err = c.begin()
	c.begun = c.err == nil
	return c.err
}

// Read implements net.Conn. Without the wait it might take bytes of a peer that spoke first.
func (c *Conn) Read(p []byte) (int, error) {
	<-c.open
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.answered.Store(true)
	}
	return n, err
}

// Close implements net.Conn. It aborts the connection of a request that was given up without any response: closed in order, a
// path that comes back would deliver the request when nobody waits for it.
func (c *Conn) Close() error {
	c.allowReads()
	if c.written.Load() && !c.answered.Load() {
		abortOnClose(c.Conn)
	}
	return c.Conn.Close()
}

// abortOnClose makes Close reset a connection and drop what the peer has not received. It does nothing on a
// connection that is no TCP socket.
func abortOnClose(conn net.Conn) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok { // TLS
		conn = wrapped.NetConn()
	}
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails only if the connection is closed already
	}
}

func (c *Conn) allowReads() { c.opened.Do(func() { close(c.open) }) }

// checkSilent returns an error if there is something to read on a connection. Connections that are
// no sockets are taken to be silent.
func checkSilent(conn net.Conn) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Mark(errors.Wrap(err, "access the socket"), ErrPeerFirst) // it has been closed
	}
	var n int
	var readErr error
	controlErr := raw.Control(func(fd uintptr) {
		n, _, readErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case controlErr != nil:
		return errors.Mark(errors.Wrap(controlErr, "access the socket"), ErrPeerFirst)
	case errors.Is(readErr, unix.EAGAIN):
		return nil
	case readErr != nil:
		return errors.Mark(errors.Wrap(readErr, "connection failed before the request"), ErrPeerFirst)
	case n == 0:
		return errors.Mark(errors.Wrap(io.EOF, "connection ended before the request"), ErrPeerFirst)
	}
	return errors.WithStack(ErrPeerFirst)
}
