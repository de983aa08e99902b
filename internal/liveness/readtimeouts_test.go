package liveness

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pipes is a listener of in-memory connections.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// pipe closes as a whole only.
type pipe struct{ net.Conn }

func (p pipe) CloseWrite() error { return p.Close() }

// start serves with constant bounds of a minute and the given ones in force.
func start(t *testing.T, patience *atomic.Pointer[ReadTimeouts]) pipes {
	l := make(pipes)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }),
	}
	go func() { _ = server.Serve(WithReadTimeouts(server, l, func() ReadTimeouts { return *patience.Load() })) }()
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return l
}

// ended waits until the server ends a connection.
func ended(t *testing.T, c net.Conn, within time.Duration) bool {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	for {
		_, err := c.Read(make([]byte, 1024))
		if err == nil {
			continue
		}
		var late net.Error
		if e, ok := err.(net.Error); ok {
			late = e
		}
		return late == nil || !late.Timeout()
	}
}

func dial(t *testing.T, l pipes, send string) net.Conn {
	near, far := net.Pipe()
	l <- pipe{far}
	t.Cleanup(func() { _ = near.Close() })
	_, err := io.WriteString(near, send)
	assert.NilError(t, err)
	return near
}

const (
	request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
	short   = 3 * time.Second
	long    = 200 * time.Second
)

func TestBoundsInForceCount(t *testing.T) {
	for _, c := range []struct {
		name     string
		patience ReadTimeouts
		send     string
		ends     bool
	}{
		{"head too slow", ReadTimeouts{Header: short, Idle: long}, "POST / HTTP/1.1\r\nHos", true},
		{"head in time", ReadTimeouts{Header: long, Idle: long}, "POST / HTTP/1.1\r\nHos", false},
		{"idle for too long", ReadTimeouts{Header: long, Idle: short}, request, true},
		{"idle within the bound", ReadTimeouts{Header: short, Idle: long}, request, false},
		{"no bound: the server's own", ReadTimeouts{}, request, false},
		{"a slow body is no head", ReadTimeouts{Header: short, Idle: short}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nok", false},
	} {
		synctest.Test(t, func(t *testing.T) {
			patience := &atomic.Pointer[ReadTimeouts]{}
			patience.Store(&c.patience)
			assert.Equal(t, ended(t, dial(t, start(t, patience), c.send), 4*short), c.ends, c.name)
		})
	}
}

// TestABoundThatChanges: connections that are open follow the new bound.
func TestABoundThatChanges(t *testing.T) {
	synctest.Test(t, changeBound)
}

func changeBound(t *testing.T) {
	patience := &atomic.Pointer[ReadTimeouts]{}
	patience.Store(&ReadTimeouts{Idle: long})
	c := dial(t, start(t, patience), request)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	assert.Assert(t, !ended(t, c, 2*short))
	patience.Store(&ReadTimeouts{Idle: short})
	_, err = io.WriteString(c, request)
	assert.NilError(t, err)
	assert.Assert(t, ended(t, c, long))
}
