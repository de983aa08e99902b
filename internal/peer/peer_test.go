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

type echo struct{ kind errkind.Kind }

func (e echo) Say(in string, out *string) error {
	if e.kind != errkind.Internal {
		return EncodeError(errkind.New(e.kind, "no").WithRetryAfter(time.Second))
	}
	*out = in
	return nil
}

// pipes dials in-memory connections to the servers by address; a nil server takes
// the connection, reads it and says nothing. (It reads because synctest's clock does
// not pass while a writer waits for net/rpc's mutex.)
func pipes(servers map[string]*Server) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) {
		near, far := net.Pipe()
		if s := servers[address]; s != nil {
			s.ServeConn(far)
		} else {
			go func() { _, _ = io.Copy(io.Discard, far) }()
		}
		return near, nil
	}
}

func newEcho(t *testing.T, kind errkind.Kind) *Server {
	s := NewServer(zap.NewNop(), DefaultLivenessTimeout)
	assert.NilError(t, s.Register("Echo", echo{kind}))
	return s
}

func TestErrorsKeepTheirKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEcho(t, errkind.RateLimited)
		p := NewPool(Options{Dial: pipes(map[string]*Server{"a": s})})
		var out string
		err := p.Call(t.Context(), "a", "Echo.Say", "x", &out)
		assert.Equal(t, errkind.Of(err).Kind, errkind.RateLimited)
		assert.Equal(t, errkind.Of(err).RetryAfter, time.Second)
		p.Close()
		s.Close()
	})
}

func TestSilentConnectionIsGivenUpAndRedialled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := map[string]*Server{}
		p := NewPool(Options{Dial: pipes(servers)})
		start := time.Now()
		var out string
		err := p.Call(t.Context(), "a", "Echo.Say", "x", &out)
		assert.Equal(t, errkind.Of(err).Kind, errkind.Timeout)
		assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown)
		assert.Assert(t, time.Since(start) <= DefaultPingInterval+DefaultLivenessTimeout)
		s := newEcho(t, errkind.Internal)
		servers["a"] = s
		assert.NilError(t, p.Call(t.Context(), "a", "Echo.Say", "x", &out))
		assert.Equal(t, out, "x")
		p.Close()
		s.Close()
	})
}

func TestLeaderClientFollowsNotLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newEcho(t, errkind.NotLeader), newEcho(t, errkind.Internal)
		p := NewPool(Options{Dial: pipes(map[string]*Server{"a": a, "b": b})})
		c := NewLeaderClient(p, []string{"a", "b"})
		var out string
		assert.NilError(t, c.Call(t.Context(), "Echo.Say", "x", &out))
		assert.Equal(t, c.last, 1)
		p.Close()
		a.Close()
		b.Close()
	})
}

// A replica that takes connections and never answers must not hold the client for good.
func TestLeaderClientLeavesASilentReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := newEcho(t, errkind.Internal)
		p := NewPool(Options{Dial: pipes(map[string]*Server{"b": leader})})
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

// BenchmarkDigestCall is one call of a digest's size over loopback, both sides together.
func BenchmarkDigestCall(b *testing.B) {
	s := NewServer(zap.NewNop(), DefaultLivenessTimeout)
	assert.NilError(b, s.Register("Echo", echo{}))
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
