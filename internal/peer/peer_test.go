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
