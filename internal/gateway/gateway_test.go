package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/routing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

type directory struct {
	view *fleetview.View
	age  time.Duration
}

func (d directory) View() *fleetview.View { return d.view }
func (d directory) Age() time.Duration    { return d.age }

// router hands out servers in turn, passing over excluded ones.
type router struct {
	servers []string
	wait    bool
	done    []routing.Result
}

type placed struct {
	r *router
	d routing.Decision
}

func (r *router) Pick(ctx context.Context, q routing.Request) (routing.Ticket, error) {
	if r.wait {
		<-ctx.Done()
		return nil, errkind.New(errkind.Canceled, "left the queue").WithOutcome(errkind.NotRun)
	}
	for _, s := range r.servers {
		if !slices.Contains(q.Exclude, s+"@"+s) {
			return placed{r, routing.Decision{Endpoint: s + "@" + s, Address: s}}, nil
		}
	}
	return nil, errkind.New(errkind.NoEndpoint, "none left").WithRetryAfter(time.Second)
}

func (p placed) Decision() routing.Decision { return p.d }
func (p placed) Started()                   {}
func (p placed) Done(r routing.Result)      { p.r.done = append(p.r.done, r) }

// upstream answers by server.
type upstream struct {
	answers map[string]func(ctx context.Context, a Attempt) (*Reply, error)
	asked   []Attempt
}

func (u *upstream) Send(ctx context.Context, a Attempt) (*Reply, error) {
	u.asked = append(u.asked, a)
	return u.answers[a.Address](ctx, a)
}

type limiter struct{ err error }

func (l limiter) Reserve(context.Context, string, int64) (grants.Reservation, error) {
	if l.err != nil {
		return nil, l.err
	}
	return noReservation{}, nil
}

type noReservation struct{}

func (noReservation) Settle(int64) {}

func reply(status int, body string, stream bool) func(context.Context, Attempt) (*Reply, error) {
	return func(_ context.Context, a Attempt) (*Reply, error) {
		a.OnSend()
		return &Reply{Status: status, Header: http.Header{"Sign": {a.Address}}, Signed: true, Stream: stream, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// breaks ends its body with a reset after some bytes.
func breaks(body string, stream bool) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, a Attempt) (*Reply, error) {
		r, _ := reply(200, body, stream)(ctx, a)
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(body), iotestError{}))
		return r, nil
	}
}

type iotestError struct{}

func (iotestError) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func refuses(_ context.Context, a Attempt) (*Reply, error) {
	a.OnSend()
	return &Reply{Status: 503, NotRun: true, Body: http.NoBody}, nil
}

func unreachable(context.Context, Attempt) (*Reply, error) {
	return nil, errkind.New(errkind.EndpointFailed, "unreachable").WithOutcome(errkind.NotRun)
}

func lost(_ context.Context, a Attempt) (*Reply, error) {
	a.OnSend()
	return nil, errkind.New(errkind.EndpointFailed, "no answer")
}

func silent(ctx context.Context, a Attempt) (*Reply, error) {
	a.OnSend()
	<-ctx.Done()
	return nil, errkind.Wrap(ctx.Err(), errkind.Timeout, "no answer in time")
}

type setup struct {
	kind      fleet.Kind
	resumable bool
	attempts  int
	budget    float64
	limit     error
	wait      bool
	age       time.Duration
	oldest    time.Duration
	servers   map[string]func(context.Context, Attempt) (*Reply, error)
}

// newGateway returns a gateway between stand-ins.
func newGateway(t testing.TB, s setup, log *zap.Logger) (*Gateway, *upstream) {
	config := &fleet.Config{Version: 1, Services: []*fleet.Service{{Name: "s"}}, Accounts: []*fleet.Account{{Name: "acc", Keys: []string{"key"}, Rate: 100, Burst: 100, PlainTokens: 1}},
		Routes: []*fleet.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: s.kind, Resumable: s.resumable, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
			MaxAttempts: max(s.attempts, 1), Split: []fleet.Share{{Service: "s", Weight: 1}}}}}
	assert.NilError(t, config.Check())
	names := make([]string, 0, len(s.servers))
	for name := range s.servers {
		names = append(names, name)
	}
	slices.Sort(names)
	up := &upstream{answers: s.servers}
	g := New(Deps{
		Directory: directory{&fleetview.View{Config: config}, s.age}, Limiter: limiter{s.limit}, Router: &router{servers: names, wait: s.wait}, Upstream: up,
		Retries: NewRetryBudgets(RetryLimits{Share: 0, Burst: s.budget / retrySafety, VMs: func() int { return 1 }}),
		Metrics: NewMetrics(prometheus.NewRegistry()), Closing: func() bool { return false }, MaxViewAge: s.oldest, Log: log,
	})
	return g, up
}

func order() *Request {
	return &Request{ID: "id", Method: "POST", Host: "h", Path: "/x", RequestURI: "/x", APIKey: "key", Arrived: time.Now(), ClientTimeout: 3 * time.Second}
}

// run serves one request and returns its answer, what was sent, and whether the answer
// is complete.
func run(t *testing.T, s setup) (*httptest.ResponseRecorder, *upstream, bool) {
	g, up := newGateway(t, s, zap.NewNop())
	w := httptest.NewRecorder()
	complete := g.Serve(t.Context(), w, order())
	return w, up, complete
}

type servers = map[string]func(context.Context, Attempt) (*Reply, error)

func TestOnceIsNeverSentAgainAfterItMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, up, _ := run(t, setup{kind: fleet.NonIdempotent, attempts: 3, budget: 9, servers: servers{"a": lost, "b": reply(200, "x", false)}})
		assert.Equal(t, len(up.asked), 1)
		assert.Equal(t, w.Code, http.StatusBadGateway)
	})
}

func TestOnceGoesOnWhileItCertainlyHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, up, _ := run(t, setup{kind: fleet.NonIdempotent, attempts: 2, budget: 9, servers: servers{"a": unreachable, "b": refuses, "c": reply(200, "x", false)}})
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, len(up.asked), 3)
	})
}

// A refusal is a promise that nothing has run and nothing will.
func TestRefusalsAreTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, _ := run(t, setup{kind: fleet.NonIdempotent, servers: servers{"a": refuses}})
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Assert(t, w.Header().Get("Retry-After") != "")
		w, _, _ = run(t, setup{kind: fleet.NonIdempotent, servers: servers{"a": silent}})
		assert.Equal(t, w.Code, http.StatusGatewayTimeout)
		w, _, _ = run(t, setup{kind: fleet.Idempotent, attempts: 2, budget: 9, servers: servers{"a": lost, "b": refuses}})
		assert.Equal(t, w.Code, http.StatusBadGateway, "the first server may have run it")
		w, _, _ = run(t, setup{kind: fleet.NonIdempotent, limit: errkind.New(errkind.RateLimited, "over").WithRetryAfter(time.Second)})
		assert.Equal(t, w.Code, http.StatusTooManyRequests)
		assert.Equal(t, w.Header().Get("Retry-After"), "1.000")
	})
}

// Found on a played day: a canceled request ended with an empty 200.
func TestRequestThatIsGivenUpIsNeverASuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, up, complete := run(t, setup{kind: fleet.NonIdempotent, limit: errkind.New(errkind.Canceled, "left").WithOutcome(errkind.NotRun)})
		assert.Assert(t, !complete && w.Body.Len() == 0 && len(up.asked) == 0)
		w, _, complete = run(t, setup{kind: fleet.NonIdempotent, wait: true})
		assert.Assert(t, complete)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	})
}

func TestOldViewIsNotActedOnWhereItMustNotBe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := servers{"a": reply(200, "x", false)}
		w, up, _ := run(t, setup{kind: fleet.NonIdempotent, age: 5 * time.Second, oldest: 4 * time.Second, servers: all})
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, len(up.asked), 0)
		w, _, _ = run(t, setup{kind: fleet.NonIdempotent, age: 3 * time.Second, oldest: 4 * time.Second, servers: all})
		assert.Equal(t, w.Code, http.StatusOK)
		w, _, _ = run(t, setup{kind: fleet.NonIdempotent, age: time.Hour, servers: all})
		assert.Equal(t, w.Code, http.StatusOK)
	})
}

// Pattern: engines crash for good and their addresses go to another service, while the
// list still names them. Every send beyond the first has to come out of the budget.
func TestReusedAddressCostsOneSendAndIsReportedAsFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := func(_ context.Context, a Attempt) (*Reply, error) {
			a.OnSend()
			return &Reply{Status: http.StatusMisdirectedRequest, NotRun: true, WrongServer: true, Body: http.NoBody}, nil
		}
		all := servers{"a": other, "b": reply(200, "x", false)}
		w, up, _ := run(t, setup{kind: fleet.Idempotent, attempts: 2, budget: 1, servers: all})
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, len(up.asked), 2)
		w, up, _ = run(t, setup{kind: fleet.Idempotent, attempts: 2, budget: 0, servers: all})
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, len(up.asked), 1)
	})
}

func TestFailedAnswerIsRepeatedWithinAttemptsAndBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := servers{"a": reply(500, "no", false), "b": reply(200, "yes", false)}
		w, _, _ := run(t, setup{kind: fleet.Idempotent, attempts: 2, budget: 1, servers: all})
		assert.Equal(t, w.Body.String(), "yes")
		w, up, _ := run(t, setup{kind: fleet.Idempotent, attempts: 1, budget: 1, servers: all})
		assert.Equal(t, w.Code, http.StatusInternalServerError)
		assert.Equal(t, w.Header().Get("Sign"), "a", "the server's own failure goes on unchanged")
		assert.Equal(t, len(up.asked), 1)
		w, _, _ = run(t, setup{kind: fleet.Idempotent, attempts: 2, servers: all})
		assert.Equal(t, w.Code, http.StatusInternalServerError, "the budget is spent")
	})
}

// Pattern: a server hangs while its health check is good.
func TestSilentServerIsLeftInTimeForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		w, up, _ := run(t, setup{kind: fleet.Idempotent, attempts: 2, budget: 1, servers: servers{"a": silent, "b": reply(200, "x", false)}})
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, time.Since(start), firstTryTargets*100*time.Millisecond)
		assert.Equal(t, len(up.asked), 2)
	})
}

func TestBrokenAnswersNeverLookComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, _ := run(t, setup{kind: fleet.NonIdempotent, servers: servers{"a": breaks("half", false)}})
		assert.Equal(t, w.Code, http.StatusBadGateway)
		_, _, complete := run(t, setup{kind: fleet.Stream, servers: servers{"a": breaks("id: 1\ndata: x\n\nid: 2\nda", true)}})
		assert.Assert(t, !complete)
		unsigned := func(ctx context.Context, a Attempt) (*Reply, error) {
			r, err := reply(200, "x", false)(ctx, a)
			r.Signed = false
			return r, err
		}
		w, _, _ = run(t, setup{kind: fleet.NonIdempotent, servers: servers{"a": unsigned}})
		assert.Equal(t, w.Code, http.StatusBadGateway)
	})
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString("id: " + strconv.Itoa(i) + "\ndata: x\n\n")
	}
	return b.String()
}

func TestStreamGoesOnElsewhereWithoutAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := servers{"a": breaks(events(1, 2)+"id: 3\nda", true), "b": reply(200, events(2, 4), true)}
		w, up, complete := run(t, setup{kind: fleet.Stream, resumable: true, attempts: 2, budget: 1, servers: all})
		assert.Assert(t, complete)
		assert.Equal(t, w.Body.String(), events(1, 4))
		assert.Equal(t, w.Header().Get("Sign"), "a", "the head stays the first server's")
		assert.Equal(t, up.asked[1].LastEventID, "2")
		_, up, complete = run(t, setup{kind: fleet.Stream, attempts: 2, budget: 1, servers: all})
		assert.Assert(t, !complete && len(up.asked) == 1, "a stream that may not be resumed runs once")
		all["b"] = reply(200, events(4, 4), true)
		_, _, complete = run(t, setup{kind: fleet.Stream, resumable: true, attempts: 2, budget: 1, servers: all})
		assert.Assert(t, !complete, "event 3 is missing")
		all["b"] = reply(500, "no", false)
		w, _, complete = run(t, setup{kind: fleet.Stream, resumable: true, attempts: 2, budget: 1, servers: all})
		assert.Assert(t, !complete)
		assert.Equal(t, w.Body.String(), events(1, 2), "a failure is not joined to a stream")
	})
}

// TestEveryTryHasItsLine: from its ID an engineer finds each server that a request was sent
// to, and what the client got.
func TestEveryTryHasItsLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		g, _ := newGateway(t, setup{kind: fleet.Idempotent, attempts: 3, budget: 9, servers: servers{"a": lost, "b": refuses, "c": reply(500, "no", false)}}, zap.New(core))
		g.Serve(t.Context(), httptest.NewRecorder(), order())
		var got []string
		for _, l := range lines.All() {
			f := l.ContextMap()
			assert.Equal(t, f["request"], "id")
			got = append(got, fmt.Sprint(l.Message, " ", f["server"], " ", f["sends"], " ", f["status"], " ", f["may_have_run"]))
		}
		assert.DeepEqual(t, got, []string{"try failed a 1 <nil> true", "try failed b 2 <nil> true", "request served c 3 500 <nil>"})
	})
}
