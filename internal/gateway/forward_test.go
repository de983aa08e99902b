package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// fakeForwarding is a VM's reach and its helpers, which are tried in order.
type fakeForwarding struct {
	mu                sync.Mutex // guards failed and silent
	isolated, suspect bool
	helpers           []string
	replies           map[string]func(context.Context, ForwardAttempt) (*Reply, error)
	sent              []ForwardAttempt
	failed, silent    []string
	answers           int
	unusable          []string
}

func (f *fakeForwarding) Answered(string, time.Duration) { f.answers++ }
func (f *fakeForwarding) Failed(address, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = append(f.failed, address)
}
func (f *fakeForwarding) Silent(address, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = append(f.silent, address)
}
func (f *fakeForwarding) Direct(float64) bool { return !f.isolated }
func (f *fakeForwarding) Doubtful() bool      { return f.isolated || f.suspect }
func (f *fakeForwarding) Unusable(address string, _ bool) {
	f.unusable = append(f.unusable, address)
}

func (f *fakeForwarding) Helper(_ context.Context, tried []string) (string, bool) {
	for _, h := range f.helpers {
		if !slices.Contains(tried, h) {
			return h, true
		}
	}
	return "", false
}

func (f *fakeForwarding) SendToPeer(ctx context.Context, address string, a ForwardAttempt) (*Reply, error) {
	f.sent = append(f.sent, a)
	return f.replies[address](ctx, a)
}

type peers = map[string]func(context.Context, ForwardAttempt) (*Reply, error)

func helperReplies(status int, body string, stream bool) func(context.Context, ForwardAttempt) (*Reply, error) {
	return func(_ context.Context, a ForwardAttempt) (*Reply, error) {
		a.OnSend()
		return &Reply{Status: status, Header: http.Header{"Sign": {"s"}}, Signed: true, Stream: stream, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// helperStreams streams the events after the client's last one up to an event, then breaks or ends.
func helperStreams(upTo int, breaks bool) func(context.Context, ForwardAttempt) (*Reply, error) {
	return func(ctx context.Context, a ForwardAttempt) (*Reply, error) {
		first := 1
		if a.LastEventID != "" {
			first = int(a.LastEventID[0]-'0') + 1
		}
		reply, _ := helperReplies(200, streamEvents(first, upTo), true)(ctx, a)
		if breaks {
			reply.Body = io.NopCloser(io.MultiReader(reply.Body, resetReader{}))
		}
		return reply, nil
	}
}

// helperRefusal is a refusal that every helper would give, which is for the client.
func helperRefusal(ctx context.Context, a ForwardAttempt) (*Reply, error) {
	reply, err := helperReplies(429, "x", false)(ctx, a)
	reply.NotRun = true
	return reply, err
}

func helperGone(context.Context, ForwardAttempt) (*Reply, error) {
	return nil, errkind.New(errkind.EndpointFailed, "refused").WithOutcome(errkind.NotRun)
}

func helperLost(_ context.Context, a ForwardAttempt) (*Reply, error) {
	a.OnSend()
	return nil, errkind.New(errkind.EndpointFailed, "no response")
}

func helperRefuses(_ context.Context, a ForwardAttempt) (*Reply, error) {
	a.OnSend()
	return nil, errkind.New(errkind.NoEndpoint, "isolated").WithOutcome(errkind.NotRun)
}

// Guards against requests of a VM that is cut off which are not served, or run more than once.
func TestIsolatedVMForwards(t *testing.T) {
	for _, c := range []struct {
		name      string
		setup     setup
		replies   peers
		status    int
		sends     int
		body      string
		truncated bool
	}{
		{"served", setup{kind: fleet.NonIdempotent}, peers{"p": helperReplies(201, "x", false)}, 201, 1, "x", false},
		{"helper's refusal", setup{kind: fleet.NonIdempotent}, peers{"p": helperRefusal}, 429, 1, "x", false},
		{"no helper", setup{kind: fleet.NonIdempotent}, peers{}, 503, 0, "no-endpoint\n", false},
		{"helpers gone or cut off, once only", setup{kind: fleet.NonIdempotent}, peers{"p": helperGone, "q": helperRefuses, "r": helperReplies(200, "x", false)}, 200, 3, "x", false},
		{"two others at most", setup{kind: fleet.NonIdempotent}, peers{"p": helperGone, "q": helperRefuses, "r": helperGone, "s": helperReplies(200, "x", false)}, 503, 3, "no-endpoint\n", false},
		{"lost after the first byte, once only", setup{kind: fleet.NonIdempotent, attempts: 3}, peers{"p": helperLost, "q": helperReplies(200, "x", false)}, 502, 1, "endpoint-failed\n", false},
		{"lost after the first byte, idempotent", setup{kind: fleet.Idempotent, attempts: 2}, peers{"p": helperLost, "q": helperReplies(200, "x", false)}, 200, 2, "x", false},
		{"idempotent, one attempt allowed", setup{kind: fleet.Idempotent, attempts: 1}, peers{"p": helperLost, "q": helperReplies(200, "x", false)}, 502, 1, "endpoint-failed\n", false},
		{"then refused: it may have run", setup{kind: fleet.Idempotent, attempts: 2}, peers{"p": helperLost, "q": helperRefuses}, 502, 2, "endpoint-failed\n", false},
		{"stream resumed", setup{kind: fleet.Stream, resumable: true, attempts: 2}, peers{"p": helperStreams(2, true), "q": helperStreams(4, false)}, 200, 2, streamEvents(1, 4), false},
		{"stream not resumable", setup{kind: fleet.Stream, attempts: 2}, peers{"p": helperStreams(2, true), "q": helperStreams(4, false)}, 200, 1, streamEvents(1, 2), true},
	} {
		synctest.Test(t, func(t *testing.T) {
			c.setup.limitErr = errkind.New(errkind.RateLimited, "this VM's grant must not be used")
			g, up := newGateway(t, c.setup, zap.NewNop())
			f := &fakeForwarding{isolated: true, replies: c.replies}
			for name := range c.replies {
				f.helpers = append(f.helpers, name)
			}
			slices.Sort(f.helpers)
			g.Forwarding = &Forwarding{f, f}
			w := httptest.NewRecorder()
			complete := g.Serve(t.Context(), w, newRequest())
			assert.Equal(t, w.Code, c.status, c.name)
			assert.Equal(t, len(f.sent), c.sends, c.name)
			assert.Equal(t, w.Body.String(), c.body, c.name)
			assert.Equal(t, complete, !c.truncated, c.name)
			assert.Equal(t, len(up.sent), 0, c.name)
			if c.status == http.StatusServiceUnavailable {
				assert.Assert(t, w.Header().Get(headerRetryAfter) != "", c.name)
			}
		})
	}
}

// Guards against a helper that is given up for all services because it has no endpoint of one: a VM that is cut off then
// refused the requests of all services until its next round of questions (soak seed 5000).
func TestHelperWithoutEndpointOfOneServiceStays(t *testing.T) {
	for name, c := range map[string]struct {
		reply    func(context.Context, ForwardAttempt) (*Reply, error)
		unusable int
	}{
		"cut off": {helperRefuses, 1},
		"no endpoint of the service": {func(ctx context.Context, a ForwardAttempt) (*Reply, error) {
			_, err := helperRefuses(ctx, a)
			return nil, errors.Mark(err, ErrPeerLacksEndpoint)
		}, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, _ := newGateway(t, setup{kind: fleet.NonIdempotent}, zap.NewNop())
			f := &fakeForwarding{isolated: true, helpers: []string{"p", "q"}, replies: peers{"p": c.reply, "q": helperReplies(200, "x", false)}}
			g.Forwarding = &Forwarding{f, f}
			w := httptest.NewRecorder()
			assert.Assert(t, g.Serve(t.Context(), w, newRequest()))
			assert.Equal(t, w.Code, 200, name)
			assert.Equal(t, len(f.unusable), c.unusable, name)
		})
	}
}

// Guards against loops: two VMs that are cut off must not pass a request to each other.
func TestForwardedRequestIsNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, up := newGateway(t, setup{kind: fleet.NonIdempotent, servers: servers{"a": unreachable}}, zap.NewNop())
		f := &fakeForwarding{isolated: true, helpers: []string{"p"}, replies: peers{"p": helperReplies(200, "x", false)}}
		g.Forwarding = &Forwarding{f, f}
		r, w := newRequest(), httptest.NewRecorder()
		r.Forwarded = true
		assert.Assert(t, g.Serve(t.Context(), w, r))
		assert.Equal(t, len(f.sent), 0)
		assert.Equal(t, len(up.sent), 1)
		assert.Equal(t, w.Header().Get(HeaderNotRun), errkind.NoEndpoint.String())
	})
}

// Guards against requests that fail at a VM before it knows that it is cut off, and against a
// second run of those that a server may have run.
func TestSuspectVMForwardsWhatFailed(t *testing.T) {
	for _, c := range []struct {
		name    string
		suspect bool
		setup   setup
		status  int
		tries   int
		sent    int
		prior   int
	}{
		{"no byte sent", true, setup{kind: fleet.NonIdempotent, servers: servers{"a": unreachable, "b": reply(200, "y", false)}}, 201, 1, 1, 0},
		{"no server available", true, setup{kind: fleet.NonIdempotent}, 201, 0, 1, 0},
		{"may have run, once only", true, setup{kind: fleet.NonIdempotent, servers: servers{"a": loseReply}}, 502, 1, 0, 0},
		{"may have run, idempotent", true, setup{kind: fleet.Idempotent, attempts: 2, servers: servers{"a": loseReply}}, 201, 1, 1, 1},
		{"connected", false, setup{kind: fleet.NonIdempotent, servers: servers{"a": unreachable, "b": reply(200, "y", false)}}, 200, 2, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, up := newGateway(t, c.setup, zap.NewNop())
			f := &fakeForwarding{suspect: c.suspect, helpers: []string{"p"}, replies: peers{"p": helperReplies(201, "x", false)}}
			g.Forwarding = &Forwarding{f, f}
			w := httptest.NewRecorder()
			assert.Assert(t, g.Serve(t.Context(), w, newRequest()), c.name)
			assert.Equal(t, w.Code, c.status, c.name)
			assert.Equal(t, len(up.sent), c.tries, c.name)
			assert.Equal(t, len(f.sent), c.sent, c.name)
			if c.sent > 0 {
				assert.Equal(t, f.sent[0].PriorRuns, c.prior, c.name)
			}
		})
	}
}

// Guards against a suspect VM without helpers that stops to try the servers: they may be down for
// all VMs.
func TestSuspectVMWithoutHelperTriesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGateway(t, setup{kind: fleet.NonIdempotent, servers: servers{"a": unreachable, "b": reply(200, "y", false)}}, zap.NewNop())
		f := &fakeForwarding{suspect: true}
		g.Forwarding = &Forwarding{f, f}
		w := httptest.NewRecorder()
		assert.Assert(t, g.Serve(t.Context(), w, newRequest()))
		assert.Equal(t, w.Code, http.StatusOK)
		assert.DeepEqual(t, f.failed, []string{"a"})
		assert.Equal(t, f.answers, 1)
	})
}

// Guards against more servers that may run a request than its route allows, over all VMs, and
// against repeats beyond the retry budget.
func TestHelperCountsPriorRuns(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   fleet.Kind
		budget float64
		prior  int
		status int
	}{
		{"allowed", fleet.Idempotent, 9, 1, 200},
		{"no budget", fleet.Idempotent, 0, 1, 503},
		{"all attempts used", fleet.Idempotent, 9, 2, 503},
		{"once only", fleet.NonIdempotent, 9, 1, 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, up := newGateway(t, setup{kind: c.kind, attempts: 2, budget: c.budget, servers: servers{"a": reply(200, "x", false)}}, zap.NewNop())
			r, w := newRequest(), httptest.NewRecorder()
			r.Forwarded, r.PriorRuns = true, c.prior
			assert.Assert(t, g.Serve(t.Context(), w, r), c.name)
			assert.Equal(t, w.Code, c.status, c.name)
			assert.Equal(t, len(up.sent) == 1, c.status == 200, c.name)
			assert.Equal(t, w.Header().Get(HeaderNotRun) != "", c.status != 200, c.name)
		})
	}
}

// Guards against a VM with streams and few new requests that does not notice that it is cut off, and
// against streams that are given up there although another VM can resume them.
func TestFailedProbesOfSilentStreamsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, up := newGateway(t, setup{kind: fleet.Stream, resumable: true, attempts: 2, timeout: 3 * time.Second, servers: servers{
			"a": replyWithPauses(time.Hour, streamEvents(1, 2), streamEvents(3, 4)),
		}}, zap.NewNop())
		silenceFor(up, "a", time.Hour)
		f := &fakeForwarding{suspect: true, helpers: []string{"p"}, replies: peers{"p": helperStreams(4, false)}}
		g.Forwarding = &Forwarding{f, f}
		start, w := time.Now(), httptest.NewRecorder()
		assert.Assert(t, g.Serve(t.Context(), w, promptRequest()))
		assert.Equal(t, w.Body.String(), streamEvents(1, 4))
		assert.Equal(t, f.sent[0].LastEventID, "2")
		assert.Equal(t, f.sent[0].PriorRuns, 1)
		assert.Assert(t, time.Since(start) <= lossAfter+minProbeTime)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Assert(t, len(f.failed) > 3 && f.failed[0] == "a")
	})
}
