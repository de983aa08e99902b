package connguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

func testGuard(b Bounds) *Guard { return New(b, zap.NewNop()) }

// admitted returns a tracked connection and its other end.
func admitted(g *Guard, peer bool) (*tracked, net.Conn) {
	near, far := net.Pipe()
	return g.admit(&tracked{raw: far, listener: "test", peer: peer}), near
}

// closedFor returns how many connections the guard has closed for a reason.
func closedFor(t *testing.T, g *Guard, reason closeReason) float64 {
	var m dto.Metric
	assert.NilError(t, g.closed.WithLabelValues("test", string(reason)).Write(&m))
	return m.GetCounter().GetValue()
}

// isClosed reports whether the guard or its server has closed a connection.
func isClosed(c *tracked) bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.gone
}

// Guards against connections of callers with requests that are closed while others serve nobody.
func TestConnectionsThatServeNobodyAreClosedFirst(t *testing.T) {
	synctest.Test(t, checkOrder)
}

func checkOrder(t *testing.T) {
	const connections = 5
	g := testGuard(Bounds{Connections: connections, Bytes: unlimitedBytes})
	var list [connections]*tracked
	for i := range list {
		list[i], _ = admitted(g, false)
	}
	for i, s := range []state{serving, receiving, idle, fresh, fresh} {
		assert.NilError(t, list[i].update(s, 0))
	}
	time.Sleep(requestGrace)
	for _, next := range []int{3, 4, 2, 1} { // the older fresh one, the other one, the idle one, the incomplete one
		assert.Assert(t, !isClosed(list[next]))
		newer, _ := admitted(g, false)
		assert.Assert(t, newer != nil && isClosed(list[next]), "connection %d", next)
		assert.NilError(t, newer.update(serving, 0))
	}
	refused, _ := admitted(g, false)
	assert.Assert(t, refused == nil && !isClosed(list[0]), "a request is being served on each connection")
	assert.Equal(t, closedFor(t, g, reasonNoRequest), 2.0)
	assert.Equal(t, closedFor(t, g, reasonNoRoom), 1.0)
}

// Guards against a crowd of new connections that closes those of callers before they can send a request, and against one
// that closes those of callers between two requests.
func TestNewConnectionsHaveTimeForARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGuard(Bounds{Connections: 3, Bytes: unlimitedBytes})
		used, _ := admitted(g, false)
		assert.NilError(t, used.update(serving, 0))
		assert.NilError(t, used.update(idle, 0))
		_, _ = admitted(g, false)
		_, _ = admitted(g, false)
		time.Sleep(requestGrace)
		caller, _ := admitted(g, false) // in the place of the first of the crowd
		_, _ = admitted(g, false)       // in the place of the second
		assert.Assert(t, !isClosed(used) && !isClosed(caller))
		_, _ = admitted(g, false)
		assert.Assert(t, isClosed(used) && !isClosed(caller))
	})
}

// Guards against a client that keeps its place by sending a byte now and then.
func TestPartOfAHeadDoesNotKeepAPlace(t *testing.T) {
	g := testGuard(Bounds{Connections: 2, Bytes: unlimitedBytes})
	slow, _ := admitted(g, false)
	other, _ := admitted(g, false)
	for i := range 10 {
		assert.NilError(t, slow.update(fresh, int64(i)))
	}
	_, _ = admitted(g, false)
	assert.Assert(t, isClosed(slow) && !isClosed(other))
}

// Guards against bytes beyond the bound, also with many connections at once, and bytes that are never given back.
func TestBytesHeldStayWithinTheBound(t *testing.T) {
	const bound = 20 * connectionBytes
	g := testGuard(Bounds{Connections: 1000, Bytes: bound})
	var wg sync.WaitGroup
	var excess atomic.Int64
	for range 50 {
		wg.Go(func() {
			for range 20 {
				c, _ := admitted(g, false)
				if c == nil {
					continue
				}
				for held := int64(0); held < 4*connectionBytes && c.update(fresh, held) == nil; held += 1000 {
					excess.Store(max(excess.Load(), g.Held()-bound))
				}
				c.forget()
			}
		})
	}
	wg.Wait()
	assert.Assert(t, excess.Load() <= 0, "%d bytes beyond the bound", excess.Load())
	assert.Equal(t, g.Held(), int64(0))
	assert.Equal(t, g.connections, 0)
}

// Guards against a single connection that may hold all there is, and closes the others for it without effect.
func TestHeadBeyondTheBoundEndsItsConnection(t *testing.T) {
	g := testGuard(Bounds{Connections: 10, Bytes: 3 * connectionBytes})
	c, _ := admitted(g, false)
	assert.ErrorIs(t, c.update(fresh, 3*connectionBytes), errAtBound)
	assert.Equal(t, g.Held(), int64(0))
}

// Guards against a configuration that reaches no replica because it is larger than the bound for all connections, and against
// strangers who hold that place.
func TestOneLargeMessageOfAPeerPasses(t *testing.T) {
	const bound = 10 * connectionBytes
	g := testGuard(Bounds{Connections: 20, Bytes: bound})
	client, _ := admitted(g, false)
	stranger, _ := admitted(g, true)
	peer, _ := admitted(g, true)
	assert.NilError(t, peer.update(idle, 0))
	assert.NilError(t, stranger.updateMessage(fresh, 2*bound, 2*bound))
	assert.NilError(t, peer.updateMessage(receiving, 2*bound, 2*bound))
	assert.Assert(t, isClosed(stranger), "it has sent nothing whole")
	assert.Assert(t, !isClosed(client), "closing it would make no room")
	other, _ := admitted(g, true)
	assert.ErrorIs(t, other.updateMessage(receiving, 2*bound, 2*bound), errAtBound)
	assert.NilError(t, peer.update(idle, 0))
	another, _ := admitted(g, true)
	assert.NilError(t, another.updateMessage(receiving, 2*bound, 2*bound))
}

// Guards against peers' connections that leave none for clients.
func TestPeersHaveAPartOfTheConnections(t *testing.T) {
	const connections = 10
	g := testGuard(Bounds{Connections: connections, Bytes: unlimitedBytes})
	for i := range connections {
		c, _ := admitted(g, true)
		assert.Equal(t, c != nil, i < connections*partShare)
		if c != nil {
			assert.NilError(t, c.update(serving, 0))
		}
	}
}

// Guards against a crowd at a listener such as that for lookups that takes the connections of callers between two requests.
func TestListenersOfShortMessagesHaveAPart(t *testing.T) {
	const connections = 10
	g := testGuard(Bounds{Connections: 2 * connections, Bytes: connections * connectionBytes})
	var callers []*tracked
	for range connections / 2 {
		c, _ := admitted(g, false)
		assert.NilError(t, c.update(serving, 0))
		assert.NilError(t, c.update(idle, 0))
		callers = append(callers, c)
	}
	for range 3 * connections {
		_, far := net.Pipe()
		c := g.admit(&tracked{raw: far, listener: "lookup", part: true})
		assert.NilError(t, c.update(serving, 0))
		assert.NilError(t, c.update(idle, 0))
	}
	for _, c := range callers {
		assert.Assert(t, !isClosed(c))
	}
}

// Guards against log lines that grow with the crowd, and against closed connections that no line counts.
func TestLogLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		g := New(Bounds{Connections: 1, Bytes: unlimitedBytes}, zap.New(core))
		for range 100 {
			_, _ = admitted(g, false)
		}
		time.Sleep(2 * logInterval)
		_, _ = admitted(g, false)
		lines := logs.All()
		assert.Equal(t, len(lines), 2)
		assert.Equal(t, lines[0].ContextMap()["closed"].(int64)+lines[1].ContextMap()["closed"].(int64), int64(100))
	})
}

// httpServer runs a server whose connections a guard bounds.
type httpServer struct {
	listener pipeListener
	guard    *Guard
	limits   atomic.Pointer[HTTPLimits]
	served   atomic.Int64
	release  chan struct{} // lets requests to /wait go on
}

func newHTTPServer(t *testing.T, b Bounds) *httpServer {
	s := &httpServer{listener: make(pipeListener), guard: testGuard(b), release: make(chan struct{})}
	s.limits.Store(&HTTPLimits{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.served.Add(1)
		switch r.URL.Path {
		case "/wait":
			<-s.release
		case "/ignore":
			return
		}
		_, _ = io.Copy(w, r.Body)
	})}
	l := s.guard.HTTP(server, s.listener, HTTPOptions{Name: "test", Limits: func() HTTPLimits { return *s.limits.Load() }})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return s
}

// connect opens a connection and sends a text in the background.
func (s *httpServer) connect(t *testing.T, send string) (net.Conn, *bufio.Reader) {
	near, far := net.Pipe()
	s.listener <- pipeConn{far}
	t.Cleanup(func() { _ = near.Close() })
	go func() { _, _ = io.WriteString(near, send) }() // the server may close the connection
	return near, bufio.NewReader(near)
}

// status returns the status of the next response, or 0 if the connection ends before.
func status(reader *bufio.Reader) int {
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

const okRequest = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"

// Guards against a head over the limit that is served or gets no response, and against limits that a change of
// the configuration does not reach.
func TestHeadsOverTheLimitInForceGet431(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 10, Bytes: unlimitedBytes})
		long := "GET /x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1000) + "\r\n\r\n"
		conn, reader := s.connect(t, long)
		assert.Equal(t, status(reader), http.StatusOK)
		s.limits.Store(&HTTPLimits{HeadBytes: 500})
		go func() { _, _ = io.WriteString(conn, long) }()
		assert.Equal(t, status(reader), http.StatusRequestHeaderFieldsTooLarge)
		_, reader = s.connect(t, okRequest+okRequest)
		assert.Equal(t, status(reader), http.StatusOK)
		assert.Equal(t, status(reader), http.StatusOK)
		time.Sleep(2 * lingerTime)
		assert.Equal(t, closedFor(t, s.guard, reasonHeadSize), 1.0)
		assert.Equal(t, s.served.Load(), int64(3))
	})
}

// Guards against heads without any limit while no configuration is known.
func TestDefaultLimitForHeadsApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 10, Bytes: unlimitedBytes})
		const start, end = "GET /x HTTP/1.1\r\nHost: a\r\nX: ", "\r\n"
		for size, want := range map[int]int{DefaultHeadBytes: http.StatusOK, DefaultHeadBytes + 1: http.StatusRequestHeaderFieldsTooLarge} {
			_, reader := s.connect(t, start+strings.Repeat("x", size-len(start)-len(end))+end+"\r\n")
			assert.Equal(t, status(reader), want, "%d bytes", size)
		}
		time.Sleep(2 * lingerTime)
	})
}

// Guards against a request that loses its response because what follows it on the connection is over the limit.
func TestRequestBeforeALongHeadIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 10, Bytes: unlimitedBytes})
		s.limits.Store(&HTTPLimits{HeadBytes: 500})
		_, reader := s.connect(t, okRequest+"GET /"+strings.Repeat("x", 2000))
		assert.Equal(t, status(reader), http.StatusOK)
		assert.Assert(t, status(reader) != http.StatusOK)
		assert.Equal(t, s.served.Load(), int64(1))
	})
}

// Guards against a request that runs although its connection was closed for room.
func TestRequestOfAClosedConnectionDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 1, Bytes: unlimitedBytes})
		first, reader := s.connect(t, "GET /x HTTP/1.1\r\n")
		synctest.Wait()
		_, second := s.connect(t, okRequest)
		assert.Equal(t, status(second), http.StatusOK)
		_, _ = io.WriteString(first, "Host: a\r\n\r\n")
		assert.Equal(t, status(reader), 0)
		assert.Equal(t, s.served.Load(), int64(1))
	})
}

// Guards against a connection that is closed while its request is served, and memory that is held after that.
func TestServedRequestKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 2, Bytes: unlimitedBytes})
		_, waiting := s.connect(t, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		synctest.Wait()
		for range 5 {
			_, reader := s.connect(t, okRequest)
			assert.Equal(t, status(reader), http.StatusOK)
			synctest.Wait() // until the server waits for the next request
		}
		close(s.release)
		assert.Equal(t, status(waiting), http.StatusOK)
		synctest.Wait()
		assert.Equal(t, s.guard.Held(), int64(2*connectionBytes))
	})
}

// Guards against a body that never ends on a listener whose handler does not read it, and against a deadline for the body
// that ends the request after it.
func TestBodiesEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 10, Bytes: unlimitedBytes})
		s.limits.Store(&HTTPLimits{BodyTime: time.Second})
		begin := time.Now()
		_, reader := s.connect(t, "POST /ignore HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nok")
		status(reader)
		_, err := reader.ReadByte()
		assert.Assert(t, err != nil && time.Since(begin) < 10*time.Second)
		_, reader = s.connect(t, "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(time.Minute)
		close(s.release)
		assert.Equal(t, status(reader), http.StatusOK)
	})
}

// Guards against bodies that are never completed and can't be told from others.
func TestOldestIncompleteBodyIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 10, Bytes: unlimitedBytes})
		_, reader := s.connect(t, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nok")
		synctest.Wait()
		assert.Assert(t, !s.guard.CloseStalled(), "it has just begun")
		time.Sleep(stalledTime)
		assert.Assert(t, s.guard.CloseStalled())
		assert.Equal(t, status(reader), 0)
		assert.Assert(t, !s.guard.CloseStalled())
	})
}

// Guards against responses that nobody reads and that hold memory until the server's own limits end them, and against a client that is
// closed while it reads.
func TestUnreadResponseIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 10, Bytes: unlimitedBytes})
		_, reader := s.connect(t, okRequest)
		time.Sleep(unreadTime - time.Millisecond)
		assert.Assert(t, !s.guard.CloseStalled())
		time.Sleep(time.Millisecond)
		assert.Assert(t, s.guard.CloseStalled())
		assert.Equal(t, status(reader), 0)
		assert.Equal(t, closedFor(t, s.guard, reasonUnread), 1.0)
	})
}

// Guards against responses that nobody reads on all connections, so that no new client is served.
func TestUnreadResponseYieldsToANewClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 1, Bytes: unlimitedBytes})
		_, unread := s.connect(t, okRequest)
		time.Sleep(unreadTime - time.Millisecond)
		_, early := s.connect(t, okRequest)
		assert.Equal(t, status(early), 0, "the other client may still read")
		time.Sleep(time.Millisecond)
		_, reader := s.connect(t, okRequest)
		assert.Equal(t, status(reader), http.StatusOK)
		assert.Equal(t, status(unread), 0)
		assert.Equal(t, closedFor(t, s.guard, reasonUnread), 1.0)
	})
}

// Guards against uploads that are closed while they go on, and against clients that keep their place with a byte now and then.
func TestUploadsThatGoOnHaveTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 10, Bytes: unlimitedBytes})
		conn, _ := s.connect(t, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nok")
		for begin := time.Now(); time.Since(begin) < incompleteTime; time.Sleep(stalledTime / 2) {
			_, err := io.WriteString(conn, "b")
			assert.NilError(t, err)
			synctest.Wait()
			assert.Assert(t, !s.guard.CloseStalled())
		}
		assert.Assert(t, s.guard.CloseStalled())
	})
}

// Guards against fields for the framing that others may read differently.
func TestContinuedFramingFieldIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(t, Bounds{Connections: 10, Bytes: unlimitedBytes})
		_, reader := s.connect(t, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 2\r\n\r\nok")
		assert.Equal(t, status(reader), http.StatusBadRequest)
		assert.Equal(t, s.served.Load(), int64(0))
	})
}

// Guards against bounds that do not fit into the limits of a VM.
func TestBoundsFollowTheLimitsOfTheVM(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		memory      int64
		descriptors int
	}{{112 * mb, 4100}, {284 * mb, 4100}, {134 * mb, 600}, {0, 1000}, {112 * mb, 100}} {
		b := BoundsFor(c.memory, c.descriptors)
		t.Run(fmt.Sprint(c.memory/mb, " MB, ", c.descriptors), func(t *testing.T) {
			t.Logf("%d connections, %.1f MB, messages of %.1f MB", b.Connections, float64(b.Bytes)/mb, float64(b.MessageBytes)/mb)
			assert.Assert(t, b.Connections <= max(c.descriptors/2, minConnections) && b.Connections >= minConnections)
			assert.Assert(t, c.memory == 0 || b.Bytes <= c.memory/4)
		})
	}
}
