package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/fleet"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// stallingBody returns some text and then nothing until its context ends.
type stallingBody struct {
	io.Reader
	ctx context.Context
}

func (b stallingBody) Read(p []byte) (int, error) {
	if n, _ := b.Reader.Read(p); n > 0 {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// A stopping VM has no time left for its requests. Each must get a response that says whether it has run, and a stream that has
// begun must not look complete.
func TestRequestsEndWithTheirVM(t *testing.T) {
	begins := func(ctx context.Context, a Attempt) (*Reply, error) {
		a.OnSend()
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Stream: true, Body: io.NopCloser(stallingBody{strings.NewReader("id: 1\ndata: x\n\n"), ctx})}, nil
	}
	half := func(ctx context.Context, a Attempt) (*Reply, error) {
		a.OnSend()
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: io.NopCloser(stallingBody{strings.NewReader("half"), ctx})}, nil
	}
	for name, c := range map[string]struct {
		setup     setup
		forwarded bool
		status    int
		complete  bool
		notRun    string
	}{
		"waits for a slot":             {setup: setup{kind: fleet.NonIdempotent, waitForever: true}, status: http.StatusServiceUnavailable, complete: true},
		"waits, of another VM":         {setup: setup{kind: fleet.NonIdempotent, waitForever: true}, forwarded: true, status: http.StatusServiceUnavailable, complete: true, notRun: "draining"},
		"at its server":                {setup: setup{kind: fleet.NonIdempotent, servers: servers{"a": hang}}, status: http.StatusBadGateway, complete: true},
		"at its server, of another VM": {setup: setup{kind: fleet.NonIdempotent, servers: servers{"a": hang}}, forwarded: true, status: http.StatusBadGateway, complete: true},
		"may be repeated":              {setup: setup{kind: fleet.Idempotent, attempts: 2, budget: 10, servers: servers{"a": hang, "b": hang}}, status: http.StatusBadGateway, complete: true},
		"half of the response":         {setup: setup{kind: fleet.NonIdempotent, servers: servers{"a": half}}, status: http.StatusBadGateway, complete: true},
		"stream without an event":      {setup: setup{kind: fleet.Stream, servers: servers{"a": hang}}, status: http.StatusBadGateway, complete: true},
		"stream that has begun":        {setup: setup{kind: fleet.Stream, servers: servers{"a": begins}}, status: http.StatusOK},
		"stream that may be resumed":   {setup: setup{kind: fleet.Stream, resumable: true, attempts: 2, budget: 10, servers: servers{"a": begins, "b": begins}}, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.setup.timeout = time.Minute
				g, _ := newGateway(t, c.setup, zap.NewNop())
				ending, end := context.WithCancel(t.Context())
				g.Ending = ending
				r := newRequest()
				r.ClientTimeout, r.Forwarded = time.Minute, c.forwarded
				time.AfterFunc(50*time.Millisecond, end)
				w, began := httptest.NewRecorder(), time.Now()
				complete := g.Serve(t.Context(), w, r)
				assert.Equal(t, time.Since(began), 50*time.Millisecond)
				assert.Equal(t, complete, c.complete)
				assert.Equal(t, w.Code, c.status, w.Body.String())
				assert.Equal(t, w.Header().Get(HeaderNotRun), c.notRun)
			})
		})
	}
}

// A request that was passed on to another VM may run there when the VM that did so ends.
func TestForwardedRequestEndsWithItsVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGateway(t, setup{kind: fleet.NonIdempotent, timeout: time.Minute, servers: servers{"a": hang}}, zap.NewNop())
		f := &fakeForwarding{isolated: true, helpers: []string{"b"}, replies: peers{"b": func(ctx context.Context, a ForwardAttempt) (*Reply, error) {
			a.OnSend()
			<-ctx.Done()
			return nil, ctx.Err()
		}}}
		g.Forwarding = &Forwarding{Reach: f, Peers: f}
		ending, end := context.WithCancel(t.Context())
		g.Ending = ending
		time.AfterFunc(50*time.Millisecond, end)
		r := newRequest()
		r.ClientTimeout = time.Minute
		w := httptest.NewRecorder()
		assert.Assert(t, g.Serve(t.Context(), w, r))
		assert.Equal(t, w.Code, http.StatusBadGateway)
	})
}
