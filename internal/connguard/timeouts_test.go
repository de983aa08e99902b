package connguard

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

// pipeListener is a net.Listener that accepts in-memory connections from a channel.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipeConn adds CloseWrite, which closes the whole connection.
type pipeConn struct{ net.Conn }

func (p pipeConn) CloseWrite() error { return p.Close() }

// startServer serves with http.Server timeouts of one minute and the given timeouts in
// force.
func startServer(t *testing.T, timeouts *atomic.Pointer[HTTPLimits]) pipeListener {
	l := make(pipeListener)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }),
	}
	go func() {
		_ = server.Serve(testGuard(Bounds{Connections: 100, Bytes: unlimitedBytes}).HTTP(server, l, HTTPOptions{Name: "test", Limits: func() HTTPLimits { return *timeouts.Load() }}))
	}()
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return l
}

// closedWithin reports whether the server closes a connection within the given time.
func closedWithin(t *testing.T, c net.Conn, within time.Duration) bool {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	for {
		_, err := c.Read(make([]byte, 1024))
		if err == nil {
			continue
		}
		var netErr net.Error
		if e, ok := err.(net.Error); ok {
			netErr = e
		}
		return netErr == nil || !netErr.Timeout()
	}
}

// dial connects to l and sends a string.
func dial(t *testing.T, l pipeListener, send string) net.Conn {
	clientSide, serverSide := net.Pipe()
	l <- pipeConn{serverSide}
	t.Cleanup(func() { _ = clientSide.Close() })
	_, err := io.WriteString(clientSide, send)
	assert.NilError(t, err)
	return clientSide
}

const (
	request      = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
	shortTimeout = 3 * time.Second
	longTimeout  = 200 * time.Second
)

func TestReadTimeoutsInForceApply(t *testing.T) {
	for _, c := range []struct {
		name     string
		timeouts HTTPLimits
		send     string
		closed   bool
	}{
		{"header too slow", HTTPLimits{HeadTime: shortTimeout, IdleTime: longTimeout}, "POST / HTTP/1.1\r\nHos", true},
		{"header within the timeout", HTTPLimits{HeadTime: longTimeout, IdleTime: longTimeout}, "POST / HTTP/1.1\r\nHos", false},
		{"idle for too long", HTTPLimits{HeadTime: longTimeout, IdleTime: shortTimeout}, request, true},
		{"idle within the timeout", HTTPLimits{HeadTime: shortTimeout, IdleTime: longTimeout}, request, false},
		{"no timeout: the default applies", HTTPLimits{}, request, false},
		{"a slow body is not a slow header", HTTPLimits{HeadTime: shortTimeout, IdleTime: shortTimeout}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nok", false},
	} {
		synctest.Test(t, func(t *testing.T) {
			timeouts := &atomic.Pointer[HTTPLimits]{}
			timeouts.Store(&c.timeouts)
			assert.Equal(t, closedWithin(t, dial(t, startServer(t, timeouts), c.send), 4*shortTimeout), c.closed, c.name)
		})
	}
}

// TestChangedTimeoutsApplyToOpenConnections changes the timeouts while a connection is open.
// The connection must apply the new ones from its next wait.
func TestChangedTimeoutsApplyToOpenConnections(t *testing.T) {
	synctest.Test(t, checkChangedTimeouts)
}

func checkChangedTimeouts(t *testing.T) {
	timeouts := &atomic.Pointer[HTTPLimits]{}
	timeouts.Store(&HTTPLimits{IdleTime: longTimeout})
	c := dial(t, startServer(t, timeouts), request)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, !closedWithin(t, c, 2*shortTimeout))
	timeouts.Store(&HTTPLimits{IdleTime: shortTimeout})
	_, err = io.WriteString(c, request)
	assert.NilError(t, err)
	assert.Assert(t, closedWithin(t, c, longTimeout))
}
