package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/errkind"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// echoService returns its argument, or an error of the given kind unless that is Internal.
type echoService struct{ kind errkind.Kind }

func (e echoService) Say(in string, out *string) error {
	if e.kind != errkind.Internal {
		return EncodeError(errkind.New(e.kind, "no").WithRetryAfter(time.Second))
	}
	*out = in
	return nil
}

// pipeDialer returns a dial function for in-memory connections to the servers, by address. At
// an address without a server, the connection is accepted and read but never answered. (It is
// read because synctest's clock does not advance while a goroutine waits for the mutex of
// net/rpc's writer.)
func pipeDialer(servers map[string]*Server) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		if s := servers[address]; s != nil {
			s.ServeConn(serverConn)
		} else {
			go func() { _, _ = io.Copy(io.Discard, serverConn) }()
		}
		return clientConn, nil
	}
}

func newEchoServer(t *testing.T, kind errkind.Kind) *Server {
	s := NewServer(zap.NewNop(), DefaultLivenessTimeout)
	assert.NilError(t, s.Register("Echo", echoService{kind}))
	return s
}

func TestErrorsKeepTheirKindOverRPC(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t, errkind.RateLimited)
		p := NewPool(Options{Dial: pipeDialer(map[string]*Server{"a": s})})
		var out string
		err := p.Call(t.Context(), "a", "Echo.Say", "x", &out)
		assert.Equal(t, errkind.Of(err).Kind, errkind.RateLimited)
		assert.Equal(t, errkind.Of(err).RetryAfter, time.Second)
		p.Close()
		s.Close()
	})
}

// A VM drops the SYN of a connection while it is off, and accepts one soon after. The pool
// must not wait until TCP repeats the SYN.
func TestLostSYNIsRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t, errkind.Internal)
		start := time.Now()
		on := start.Add(150 * time.Millisecond)
		dials := 0
		p := NewPool(Options{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			dials++
			if time.Now().Before(on) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			s.ServeConn(far)
			return near, nil
		}})
		var out string
		assert.NilError(t, p.Call(t.Context(), "a", "Echo.Say", "x", &out))
		assert.Assert(t, time.Since(start) <= 400*time.Millisecond, "%v", time.Since(start))
		on = time.Now().Add(time.Hour)
		dials = 0
		assert.Assert(t, errkind.Is(p.Call(t.Context(), "b", "Echo.Say", "x", &out), errkind.NoQuorum))
		assert.Assert(t, dials <= 5, "%d dials within the timeout", dials)
		p.Close()
		s.Close()
	})
}

func TestUnresponsiveConnectionIsClosedAndRedialed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := map[string]*Server{}
		p := NewPool(Options{Dial: pipeDialer(servers)})
		start := time.Now()
		var out string
		err := p.Call(t.Context(), "a", "Echo.Say", "x", &out)
		assert.Equal(t, errkind.Of(err).Kind, errkind.Timeout)
		assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown)
		assert.Assert(t, time.Since(start) <= DefaultPingInterval+DefaultLivenessTimeout)
		s := newEchoServer(t, errkind.Internal)
		servers["a"] = s
		assert.NilError(t, p.Call(t.Context(), "a", "Echo.Say", "x", &out))
		assert.Equal(t, out, "x")
		p.Close()
		s.Close()
	})
}

func TestLeaderClientFollowsNotLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newEchoServer(t, errkind.NotLeader), newEchoServer(t, errkind.Internal)
		p := NewPool(Options{Dial: pipeDialer(map[string]*Server{"a": a, "b": b})})
		c := NewLeaderClient(p, []string{"a", "b"})
		var out string
		assert.NilError(t, c.Call(t.Context(), "Echo.Say", "x", &out))
		assert.Equal(t, c.current, 1)
		p.Close()
		a.Close()
		b.Close()
	})
}

// After a timeout, the client must call another replica first. Otherwise a replica that accepts
// connections but never responds would fail every call.
func TestLeaderClientSkipsUnresponsiveReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := newEchoServer(t, errkind.Internal)
		p := NewPool(Options{Dial: pipeDialer(map[string]*Server{"b": leader})})
		l := NewLeaderClient(p, []string{"a", "b"})
		var out string
		err := l.Call(t.Context(), "Echo.Say", "x", &out)
		assert.Equal(t, errkind.Of(err).Kind, errkind.Timeout)
		assert.NilError(t, l.Call(t.Context(), "Echo.Say", "y", &out))
		assert.Equal(t, out, "y")
		p.Close()
		leader.Close()
	})
}

// BenchmarkDigestCall measures one call with an argument of a digest's size over loopback,
// including client and server.
func BenchmarkDigestCall(b *testing.B) {
	s := NewServer(zap.NewNop(), DefaultLivenessTimeout)
	assert.NilError(b, s.Register("Echo", echoService{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go s.Serve(l, nil)
	defer s.Close()
	p := NewPool(Options{})
	defer p.Close()
	text := strings.Repeat("d", 1024)
	for b.Loop() {
		var out string
		assert.NilError(b, p.Call(b.Context(), l.Addr().String(), "Echo.Say", text, &out))
	}
}

// A VM that changes its relay or control replica must not keep and ping its connection to the
// former one for good. A call that lasts longer than the idle timeout keeps its connection.
func TestIdleConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t, errkind.Internal)
		dials := 0
		p := NewPool(Options{Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			near, far := net.Pipe()
			s.ServeConn(far)
			return near, nil
		}})
		var out string
		for range 4 {
			assert.NilError(t, p.Call(t.Context(), "a", "Echo.Say", "x", &out))
			time.Sleep(DefaultIdleTimeout / 2)
		}
		assert.Equal(t, dials, 1)
		time.Sleep(2 * DefaultIdleTimeout)
		p.mu.Lock()
		assert.Equal(t, len(p.conns), 0)
		p.mu.Unlock()
		assert.NilError(t, p.Call(t.Context(), "a", "Echo.Say", "x", &out))
		assert.Equal(t, dials, 2)
		c, err := p.get(t.Context(), "a") // a call in progress
		assert.NilError(t, err)
		time.Sleep(3 * DefaultIdleTimeout)
		p.release(c)
		assert.NilError(t, p.Call(t.Context(), "a", "Echo.Say", "x", &out))
		assert.Equal(t, dials, 2)
		p.Close()
		s.Close()
	})
}

// A call to a leader that no longer responds ends as soon as another leader is named.
func TestCallEndsWhenAnotherLeaderIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t, errkind.Internal)
		p := NewPool(Options{Dial: pipeDialer(map[string]*Server{"new": s})})
		l := NewLeaderClient(p, []string{"frozen", "new"})
		time.AfterFunc(200*time.Millisecond, func() { l.Prefer("new") })
		start := time.Now()
		var out string
		err := l.Call(t.Context(), "Echo.Say", "x", &out)
		assert.Equal(t, errkind.Of(err).Kind, errkind.Timeout)
		assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown)
		assert.Equal(t, time.Since(start), 200*time.Millisecond)
		assert.NilError(t, l.Call(t.Context(), "Echo.Say", "x", &out))
		p.Close()
		s.Close()
	})
}
