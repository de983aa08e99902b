// Package entry serves callers: completions, streams, plain services, the lookup of
// addresses, health and metrics.
//
// Invariants: a request is run only for the client account whose key came with it, or
// on an open route; a refusal that says not-run is given only while no byte of the
// request can have reached an endpoint that would run it; a stream ends with its end
// mark or with an error event.
package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"path"
	"strings"
	"time"

	"eelgrasshollow/internal/budget"
	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/journal"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/watch"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

// Headers of answers to callers, and of plain calls to endpoints.
const (
	// HeaderStream names a stream for GET /v1/streams/{stream} at any entry VM.
	HeaderStream = "Eelgrass-Stream"
	// HeaderRequest is the request ID in logs and at endpoints.
	HeaderRequest = "Eelgrass-Request-Id"
	// HeaderAccount tells a plain service the client account that a call runs for.
	HeaderAccount = "Eelgrass-Account"
)

// Deps is what a Front works with.
type Deps struct {
	Directory watch.Directory
	Limiter   grants.Limiter
	Journal   journal.Journal
	Router    routing.Router
	Engine    *engine.Client
	Hasher    keys.Hasher
	Fleet     watch.Fleet
	Log       *zap.Logger
}

// Front serves callers.
type Front struct {
	settings  Settings
	directory watch.Directory
	limiter   grants.Limiter
	journal   journal.Journal
	router    routing.Router
	engine    *engine.Client
	hasher    keys.Hasher
	fleet     watch.Fleet
	log       *zap.Logger
	metrics   *metrics
	budget    *budget.Budget
	open      *openRequests
	tokens    *tokenCounter
}

// NewFront returns a front.
func NewFront(s Settings, d Deps) *Front {
	return &Front{
		settings: s, directory: d.Directory, limiter: d.Limiter, journal: d.Journal, router: d.Router,
		engine: d.Engine, hasher: d.Hasher, fleet: d.Fleet, log: d.Log,
		metrics: newMetrics(), budget: budget.New(s.RetryShare, s.RetryBurst), open: newOpenRequests(), tokens: newTokenCounter(),
	}
}

// Handler serves every path.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(f.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", f.health)
	mux.Handle("GET /v1/entries", f.serve(f.entries))
	mux.Handle("GET /v1/models", f.serve(f.models))
	mux.Handle("GET /v1/models/{model}", f.serve(f.oneModel))
	mux.Handle("GET /v1/streams/{stream}", f.serve(f.resumeStream))
	mux.Handle("POST /v1/chat/completions", f.serve(f.completions(true)))
	mux.Handle("POST /v1/completions", f.serve(f.completions(false)))
	mux.Handle("/v1/", f.serve(func(*exchange) error {
		return errkind.New(errkind.NotFound, "no such path or method")
	}))
	plain := f.serve(f.plain)
	// The mux would redirect an unclean path; a refusal is plainer.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A connection keeps the deadline of its last request.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if strings.HasPrefix(r.URL.Path, "/v1/") || r.URL.Path == "/metrics" || r.URL.Path == "/healthz" {
			mux.ServeHTTP(w, r)
			return
		}
		plain.ServeHTTP(w, r)
	})
}

// exchange is one request of a caller and its answer.
type exchange struct {
	w       http.ResponseWriter
	control *http.ResponseController
	r       *http.Request
	ctx     context.Context // ends when the caller leaves or may not go on
	id      string
	token   string
	account string
	route   string
	start   time.Time
	begun   bool // the head of the answer has been written
}

// serve wraps a handler: request ID, count of open requests, key rechecks, refusals.
func (f *Front) serve(handle func(*exchange) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		x := &exchange{
			w: w, control: http.NewResponseController(w), r: r, ctx: ctx,
			id: uuid.NewString(), token: tokenOf(r), start: time.Now(),
		}
		w.Header().Set(engineapi.HeaderRequestID, x.id)
		w.Header().Set(HeaderRequest, x.id)
		f.echo(x)
		open := &openRequest{token: x.token, route: r.URL.Path, cancel: cancel}
		if err := f.open.add(open); err != nil {
			w.Header().Set("Connection", "close")
			f.fail(x, err)
			return
		}
		defer f.open.remove(open)
		if f.open.now() == leaving {
			w.Header().Set("Connection", "close")
		}
		if err := handle(x); err != nil {
			f.fail(x, err)
		}
	})
}

// echo gives a caller its own request ID back. It goes nowhere else, as only ours is
// known to be one request's and to hold no key.
func (f *Front) echo(x *exchange) {
	own := x.r.Header.Get(engineapi.HeaderRequestID)
	if own == "" || len(own) > f.settings.MaxIDBytes || (x.token != "" && strings.Contains(own, x.token)) {
		return
	}
	x.w.Header().Set(engineapi.HeaderRequestID, own)
}

// fail ends an exchange with an error: a refusal, or the last event of a stream.
func (f *Front) fail(x *exchange, err error) {
	e := reason(x.ctx, err)
	f.metrics.refusals.WithLabelValues(x.account, x.route, e.Kind.String()).Inc()
	f.log.Info("request refused or failed",
		zap.String("request_id", x.id), zap.String("route", x.route), zap.String("account", x.account),
		zap.String("kind", e.Kind.String()), zap.String("outcome", string(e.Outcome)), zap.String("reason", e.Text))
	f.bound(x)
	if x.begun {
		body, _ := bodyOf(e)
		_, _ = x.w.Write(append(append([]byte("data: "), body...), "\n\n"...))
		_ = x.control.Flush() // the caller may have left
		return
	}
	refuse(x.w, e)
}

// reason prefers why an exchange was ended over what broke because of it.
func reason(ctx context.Context, err error) *errkind.Error {
	e := errkind.Of(err)
	var cause *errkind.Error
	if ctx.Err() == nil || !errors.As(context.Cause(ctx), &cause) {
		return e
	}
	return cause.WithOutcome(e.Outcome)
}

// bound limits the time of the next write to the caller.
func (f *Front) bound(x *exchange) {
	// A writer without deadlines has none to set.
	_ = x.control.SetWriteDeadline(time.Now().Add(f.settings.WriteTimeout))
}

// unbound ends the limit of bound: what follows is a wait for an endpoint.
func (f *Front) unbound(x *exchange) { _ = x.control.SetWriteDeadline(time.Time{}) }

// readBody reads the body within the limits of size and time.
func (f *Front) readBody(x *exchange) ([]byte, error) {
	_ = x.control.SetReadDeadline(time.Now().Add(f.settings.ReadBodyTimeout))
	defer func() { _ = x.control.SetReadDeadline(time.Time{}) }()
	limit := int64(f.settings.MaxBody)
	if x.r.ContentLength > limit {
		x.w.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.TooLarge, "body of more than %d bytes", limit)
	}
	body, err := readAll(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, errkind.New(errkind.TooLarge, "body of more than %d bytes", limit)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "body did not arrive whole in time")
	case leaksKey(x.token, x.r, body):
		return nil, errkind.New(errkind.InvalidRequest, "the key may stand in the Authorization header only")
	}
	return body, nil
}

// readAll reads to the end; length is what the caller announced, or below 0. Memory
// is taken in steps, as an announced length costs a caller nothing.
func readAll(r io.Reader, length int64) ([]byte, error) {
	const firstStep = 1 << 20
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(length, 0), firstStep)+bytes.MinRead))
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}

// cleanPath reports whether a path means the same to every reader.
func cleanPath(p string) bool {
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}
