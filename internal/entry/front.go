// Package entry implements the HTTP server for clients: completions, streams, calls to
// plain services, lookup of entry VMs, health and metrics.
//
// Invariants:
//   - A request runs only for the client account of its API key, or on an open route.
//   - A refusal has the outcome not-run only if no byte of the request can have reached an
//     endpoint that would run it.
//   - A stream ends with a [DONE] event, or with an error event and a connection that breaks off.
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
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/watch"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

// Headers of responses to clients and of calls to plain services.
const (
	// HeaderStream is the name of a stream for GET /v1/streams/{stream} at any entry VM.
	HeaderStream = "Eelgrass-Stream"
	// HeaderRequest is the request ID that logs and endpoints use.
	HeaderRequest = "Eelgrass-Request-Id"
	// HeaderAccount is the client account of a call to a plain service.
	HeaderAccount = "Eelgrass-Account"
)

// maxMetricsRequests limits the responses with metrics that are written at a time. Each is held in memory.
const maxMetricsRequests = 4

// Deps holds the dependencies of a Front.
type Deps struct {
	Directory watch.Directory
	Limiter   grants.Limiter
	Journal   journal.Journal
	Router    routing.Router
	Engine    *engine.Client
	Hasher    keys.Hasher
	Fleet     watch.Fleet
	Log       *zap.Logger
	// Memory bounds what requests hold.
	Memory *membudget.Budget
}

// Front is the HTTP front end for clients.
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
	memory    *membudget.Budget
	metrics   *metrics
	budget    *budget.Budget
	open      *openRequests
	tokens    *tokenCounter
	// ending ends when a stopping VM must respond to all requests; end ends it.
	ending context.Context
	end    context.CancelFunc
}

// NewFront returns a Front with the given settings and dependencies.
func NewFront(s Settings, d Deps) *Front {
	ending, end := context.WithCancel(context.Background())
	return &Front{
		ending: ending, end: end, settings: s, directory: d.Directory, limiter: d.Limiter, journal: d.Journal, router: d.Router,
		engine: d.Engine, hasher: d.Hasher, fleet: d.Fleet, log: d.Log, memory: d.Memory,
		metrics: newMetrics(), budget: budget.New(s.RetryShare, s.RetryBurst), open: newOpenRequests(), tokens: newTokenCounter(),
	}
}

// Handler returns the HTTP handler of all paths.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(f.metrics.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
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
	plain := f.serve(f.servePlain)
	// Paths of plain services bypass the mux, which would redirect a path that is not
	// canonical instead of refusing it.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A connection keeps the write deadline of its previous request, so it is cleared.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if strings.HasPrefix(r.URL.Path, "/v1/") || r.URL.Path == "/metrics" || r.URL.Path == "/healthz" {
			mux.ServeHTTP(w, r)
			return
		}
		plain.ServeHTTP(w, r)
	})
}

// exchange is one client request and its response.
type exchange struct {
	w       http.ResponseWriter
	control *http.ResponseController
	r       *http.Request
	ctx     context.Context // ends when the client disconnects or the request is canceled
	id      string
	token   string
	account string // "" on an open route
	// cacheAccount is the client account whose cache namespaces a completion has: that of its key, also on an open
	// route; "" without a valid key.
	cacheAccount string
	cacheSalt    string // of a completion's last attempt; see cacheSpace
	route        string
	start        time.Time
	headWritten  bool // the response header has been written
	dryRun       bool // nothing may be changed; see Front.DryRun
	held         *membudget.Held
	response     *membudget.Lease // memory of what is read of endpoints' responses
	open         *openRequest
	// actAs is the client account of a dry run without a key.
	actAs string
}

// serve wraps a handler: it sets the request ID, registers the request as open, and writes the
// error that the handler returns.
func (f *Front) serve(handle func(*exchange) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		x := &exchange{
			w: w, control: http.NewResponseController(w), r: r, ctx: ctx,
			id: uuid.NewString(), token: bearerToken(r), start: time.Now(), held: membudget.NewHeld(f.memory, 1), response: f.engine.NewLease(),
		}
		defer x.held.Release()
		defer x.response.Release()
		w.Header().Set(engineapi.HeaderRequestID, x.id)
		w.Header().Set(HeaderRequest, x.id)
		f.echoRequestID(x)
		open := &openRequest{route: r.URL.Path, cancel: cancel}
		x.open = open
		if err := f.open.add(open); err != nil {
			w.Header().Set("Connection", "close")
			f.fail(x, err)
			return
		}
		defer f.open.remove(open)
		if f.open.currentPhase() == leaving {
			w.Header().Set("Connection", "close")
		}
		err := x.held.Begin(ctx, r.ContentLength)
		if err != nil {
			w.Header().Set("Connection", "close")
			err = errkind.Wrap(err, errkind.Overloaded, "no memory for another request").WithOutcome(errkind.NotRun)
		} else {
			err = handle(x)
		}
		if err != nil {
			f.fail(x, err)
		}
	})
}

// echoRequestID returns the client's own request ID in the response. The client's ID is used
// nowhere else, because only an ID that the router generated is certain to be unique and to
// contain no key.
func (f *Front) echoRequestID(x *exchange) {
	clientID := x.r.Header.Get(engineapi.HeaderRequestID)
	if clientID == "" || len(clientID) > f.settings.MaxIDBytes || (x.token != "" && strings.Contains(clientID, x.token)) {
		return
	}
	x.w.Header().Set(engineapi.HeaderRequestID, clientID)
}

// fail ends an exchange with an error: as an error response, or as the last event of a stream
// that has begun. It then aborts the connection: an end of the body would look like that of the
// whole stream to clients that look for no last event.
func (f *Front) fail(x *exchange, err error) {
	e := withCause(x.ctx, err)
	f.metrics.refusals.WithLabelValues(x.account, x.route, e.Kind.String()).Inc()
	f.log.Info("request refused or failed",
		zap.String("request_id", x.id), zap.String("route", x.route), zap.String("account", x.account),
		zap.String("kind", e.Kind.String()), zap.String("outcome", string(e.Outcome)), zap.String("reason", e.Text))
	f.setWriteDeadline(x)
	if x.headWritten {
		body, _ := marshalError(e)
		_, _ = x.w.Write(append(append([]byte("data: "), body...), "\n\n"...))
		_ = x.control.Flush() // the client may have disconnected
		panic(http.ErrAbortHandler)
	}
	refuse(x.w, withoutPromise(e))
}

// withoutPromise returns the error for a response to a request that may have run. Clients take some statuses for the promise
// that it has not.
func withoutPromise(e *errkind.Error) *errkind.Error {
	properties := e.Kind.Properties()
	if e.Outcome == errkind.NotRun || properties.Outcome != errkind.NotRun {
		return e
	}
	switch properties.HTTP {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errkind.New(errkind.OutcomeUnknown, "%s", e.Text).WithOutcome(e.Outcome)
	}
	return e
}

// withCause returns the cause of ctx if it has ended with an errkind error, because err is then
// only a consequence of the cancelation. The outcome is that of err.
func withCause(ctx context.Context, err error) *errkind.Error {
	e := errkind.Of(err)
	var cause *errkind.Error
	if ctx.Err() == nil || !errors.As(context.Cause(ctx), &cause) {
		return e
	}
	return cause.WithOutcome(e.Outcome)
}

// setWriteDeadline limits the time of the next write to the client.
func (f *Front) setWriteDeadline(x *exchange) {
	// An error means that the writer does not support deadlines, and is ignored.
	_ = x.control.SetWriteDeadline(time.Now().Add(f.settings.WriteTimeout))
}

// clearWriteDeadline removes the write deadline while the exchange waits for an endpoint.
func (f *Front) clearWriteDeadline(x *exchange) { _ = x.control.SetWriteDeadline(time.Time{}) }

// readBody reads the request body within MaxBody and ReadBodyTimeout. It refuses a body that
// contains the client's key.
func (f *Front) readBody(x *exchange) ([]byte, error) {
	_ = x.control.SetReadDeadline(time.Now().Add(f.settings.ReadBodyTimeout))
	defer func() { _ = x.control.SetReadDeadline(time.Time{}) }()
	limit := int64(f.settings.MaxBody)
	if x.r.ContentLength > limit {
		x.w.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.TooLarge, "request body exceeds %d bytes", limit)
	}
	body, err := readAll(http.MaxBytesReader(x.w, x.held.Body(x.ctx, x.r.Body), limit), x.r.ContentLength)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, membudget.ErrNoMemory):
		x.w.Header().Set("Connection", "close")
		return nil, errkind.Wrap(err, errkind.Overloaded, "no memory for another request").WithOutcome(errkind.NotRun)
	case errors.As(err, &large):
		return nil, errkind.New(errkind.TooLarge, "request body exceeds %d bytes", limit)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "request body is incomplete or was not received before the timeout")
	case containsSecret(x.token, x.r, body):
		return nil, errkind.New(errkind.InvalidRequest, "the key is only allowed in the Authorization header")
	}
	return body, nil
}

// readAll reads r to the end. length is the announced Content-Length, or negative if unknown.
// The buffer starts with at most firstStep bytes and grows as data arrives, because a client
// can announce any length without sending that much.
func readAll(r io.Reader, length int64) ([]byte, error) {
	const maxInitialBytes = 1 << 20
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(length, 0), maxInitialBytes)+bytes.MinRead))
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}

// cleanPath reports whether a path is in canonical form, so that the router and the service
// interpret it in the same way.
func cleanPath(p string) bool {
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}
