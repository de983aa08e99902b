package connguard

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/liveness"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	// bufferBound limits the connections of these tests together, and wideBuffer is the size up to which buffers are enlarged.
	bufferBound = 1 << 20
	wideBuffer  = 64 << 10
	// bufferTime limits the wait for a change. It is not a bound under test.
	bufferTime = 10 * time.Second
)

// bufferServer runs a server on loopback whose connections start with small buffers. It responds with as many bytes as the
// request's path says, once the body has been read.
func bufferServer(t *testing.T) (g *Guard, address string) {
	g = testGuard(Bounds{Connections: 100, Bytes: bufferBound})
	l, err := liveness.Listen(t.Context(), "127.0.0.1:0", bufferTime, InitialBuffer, InitialBuffer)
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a body that is cut ends the request
		size := 0
		_, err := fmt.Sscanf(r.URL.Path, "/%d", &size)
		assert.Check(t, err)
		_, _ = io.WriteString(w, strings.Repeat("r", size))
	})}
	go func() {
		_ = server.Serve(g.HTTP(server, l, HTTPOptions{Name: "test", ReceiveBuffer: wideBuffer, SendBuffer: wideBuffer}))
	}()
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return g, l.Addr().String()
}

// onlyConn returns the open connection of a guard that has one.
func onlyConn(t *testing.T, g *Guard) *net.TCPConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, len(g.all), 1)
	for c := range g.all {
		return c.raw.(*net.TCPConn)
	}
	return nil
}

// bufferSize returns the size of a buffer of a connection as the operating system counts it.
func bufferSize(t *testing.T, c *net.TCPConn, option int) int {
	raw, err := c.SyscallConn()
	assert.NilError(t, err)
	size := 0
	assert.NilError(t, raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, option) }))
	assert.NilError(t, err)
	return size
}

// Guards against clients that fill a large buffer of the operating system without a request that needs it, against buffers that
// no bound counts, and against large requests and responses that go through a small buffer.
func TestBuffersGrowForLargeRequestsAndResponses(t *testing.T) {
	const small, large = InitialBuffer / 4, 4 * wideBuffer
	for _, c := range []struct {
		name              string
		body, response    int
		chunked           bool
		receives, sends   bool // whether the buffer grows
		heldByConnections int64
	}{
		{"small", small, small, false, false, false, 0},
		{"large body", large, small, false, true, false, 0},
		{"large body in chunks", large, small, true, true, false, 0},
		{"large response", small, large, false, false, true, 0},
		{"large, without room", large, large, false, false, false, bufferBound / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, address := bufferServer(t)
			assert.Assert(t, g.acquire(c.heldByConnections))
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for range 3 { // on one connection, whose buffers grow once
				var body io.Reader = strings.NewReader(strings.Repeat("b", c.body))
				if c.chunked {
					body = io.MultiReader(body) // its length is not known
				}
				r, err := (&http.Client{Transport: transport}).Post(fmt.Sprintf("http://%s/%d", address, c.response), "", body)
				assert.NilError(t, err)
				n, err := io.Copy(io.Discard, r.Body)
				assert.NilError(t, errors.CombineErrors(err, r.Body.Close()))
				assert.Equal(t, n, int64(c.response))
			}
			conn, grown := onlyConn(t, g), int64(0)
			for option, wide := range map[int]bool{unix.SO_RCVBUF: c.receives, unix.SO_SNDBUF: c.sends} {
				assert.Equal(t, bufferSize(t, conn, option) > bufferCost*InitialBuffer, wide)
				if wide {
					grown += bufferCost * (wideBuffer - InitialBuffer)
				}
			}
			for end, held := time.Now().Add(bufferTime), c.heldByConnections+connectionBytes+grown; g.Held() != held; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "%d bytes held instead of %d", g.Held(), held) // the last head counts until it is served
			}
			transport.CloseIdleConnections()
			for end := time.Now().Add(bufferTime); g.Held() != c.heldByConnections; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "%d bytes are not given back", g.Held())
			}
		})
	}
}
