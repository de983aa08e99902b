package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/journal"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/settings"
	"eelgrasshollow/internal/standin"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// fakeDirectory provides a configuration that tests can change.
type fakeDirectory struct {
	mu      sync.Mutex
	view    *state.View
	stale   error
	changed chan struct{}
}

func (d *fakeDirectory) View() *state.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

func (d *fakeDirectory) Fresh() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stale
}

func (d *fakeDirectory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *fakeDirectory) set(view *state.View, stale error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view, d.stale = view, stale
	close(d.changed)
	d.changed = make(chan struct{})
}

// fakeLimiter counts reserved and used tokens.
type fakeLimiter struct {
	mu             sync.Mutex
	reserved, used int64
	reserveErr     error
}

func (l *fakeLimiter) Reserve(_ context.Context, _ string, tokens int64, _ int) (grants.Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserveErr != nil {
		return nil, l.reserveErr
	}
	l.reserved += tokens
	return &fakeReservation{l: l}, nil
}

type fakeReservation struct {
	l    *fakeLimiter
	once sync.Once
}

func (r *fakeReservation) Settle(used int64) {
	r.once.Do(func() {
		r.l.mu.Lock()
		defer r.l.mu.Unlock()
		r.l.used += used
	})
}

// fakeJournal keeps claims in memory.
type fakeJournal struct {
	mu       sync.Mutex
	records  map[string]*fakeClaim
	beginErr error
	released int
}

type fakeClaim struct {
	j        *fakeJournal
	id       string
	body     [32]byte
	response *journal.Answer
	lost     bool
}

func (j *fakeJournal) Claim(_ context.Context, r journal.Request) (journal.Claim, *journal.Answer, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := r.Account + "/" + r.Route + "/" + r.ID
	c := j.records[id]
	switch {
	case c == nil:
		c = &fakeClaim{j: j, id: id, body: r.Body}
		j.records[id] = c
		return c, nil, nil
	case c.body != r.Body:
		return nil, nil, errkind.New(errkind.BodyMismatch, "different body")
	case c.lost:
		return nil, nil, errkind.New(errkind.OutcomeUnknown, "lost")
	case c.response != nil:
		return nil, c.response, nil
	}
	return nil, nil, errkind.New(errkind.InProgress, "running")
}

func (c *fakeClaim) Begin() error { return c.j.beginErr }

func (c *fakeClaim) Complete(_ context.Context, a journal.Answer) error {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	c.response = &a
	return nil
}

func (c *fakeClaim) Release(context.Context) error {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	delete(c.j.records, c.id)
	c.j.released++
	return nil
}

func (c *fakeClaim) MarkLost(context.Context) error {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	c.lost = true
	return nil
}

// fakeRouter picks the first endpoint of the right kind that is not excluded.
type fakeRouter struct {
	mu        sync.Mutex
	endpoints []routing.Decision
	requests  []routing.Request
	results   []routing.Result
	notices   []routing.Notice
	refusal   error // of CheckQuarantine
}

func (r *fakeRouter) CheckQuarantine(routing.Request) error { return r.refusal }

func (r *fakeRouter) Pick(_ context.Context, q routing.Request) (routing.Ticket, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
	for _, d := range r.endpoints {
		if !slices.Contains(q.Exclude, d.Endpoint) && strings.HasPrefix(d.Endpoint, endpointKind(q)) {
			return &fakeTicket{r, d}, nil
		}
	}
	return nil, errkind.New(errkind.NoEndpoint, "no endpoint")
}

func endpointKind(q routing.Request) string {
	if q.Service != "" {
		return "plain"
	}
	return "engine"
}

type fakeTicket struct {
	r *fakeRouter
	d routing.Decision
}

func (t *fakeTicket) Decision() routing.Decision { return t.d }
func (t *fakeTicket) Started()                   {}
func (*fakeTicket) Resend() bool                 { return true }

func (t *fakeTicket) Notify(n routing.Notice) {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	if !n.Empty() {
		t.r.notices = append(t.r.notices, n)
	}
}
func (t *fakeTicket) Done(result routing.Result) {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	t.r.results = append(t.r.results, result)
}

// testFront is a Front with fake dependencies and stand-in endpoints, served over loopback.
type testFront struct {
	t         *testing.T
	front     *Front
	directory *fakeDirectory
	limiter   *fakeLimiter
	journal   *fakeJournal
	router    *fakeRouter
	logs      *observer.ObservedLogs
	server    *httptest.Server
	token     string
	config    *pb.Configuration
}

const testHashKey = "hash-key-of-tests"

// defaults returns the default settings.
func defaults(t testing.TB) (Settings, engine.Settings) {
	t.Helper()
	var all struct {
		Entry  Settings        `ini:"entry"`
		Engine engine.Settings `ini:"engine"`
	}
	assert.NilError(t, settings.Parse("defaults", nil, &all))
	return all.Entry, all.Engine
}

func newTestFront(t *testing.T, change func(*Settings, *engine.Settings)) *testFront {
	t.Helper()
	entrySettings, engineSettings := defaults(t)
	entrySettings.LookupTTL, entrySettings.RetryPause = 10*time.Millisecond, time.Millisecond
	if change != nil {
		change(&entrySettings, &engineSettings)
	}
	b := &testFront{
		t: t, limiter: &fakeLimiter{}, journal: &fakeJournal{records: map[string]*fakeClaim{}}, router: &fakeRouter{},
	}
	hasher := keys.NewHasher(testHashKey)
	token := keys.New()
	b.token = token.Text()
	b.config = testConfiguration(hasher, token)
	b.directory = &fakeDirectory{view: state.NewView(b.config), changed: make(chan struct{})}
	core, logs := observer.New(zapcore.DebugLevel)
	b.logs = logs
	b.front = NewFront(entrySettings, Deps{
		Directory: b.directory, Limiter: b.limiter, Journal: b.journal, Router: b.router,
		Engine: engine.New(engineSettings, nil, nil, zap.New(core)), Hasher: hasher, Log: zap.New(core),
		Fleet: singleVMFleet{watch.VM{Name: "e1", Address: "127.0.0.1:7001", FailureDomain: "a"}}, Memory: membudget.New(membudget.LimitsFor(0).Requests, "requests"),
	})
	b.server = httptest.NewUnstartedServer(nil)
	l, err := liveness.Listen(t.Context(), "127.0.0.1:0", entrySettings.AckTimeout, int(entrySettings.SendBuffer), 64<<10)
	assert.NilError(t, err)
	assert.NilError(t, b.server.Listener.Close())
	b.server.Listener = l
	b.server.Config = b.front.Server(zap.New(core))
	b.server.Start()
	ctx, cancel := context.WithCancel(t.Context())
	var background sync.WaitGroup
	background.Go(func() { b.front.recheckKeys(ctx) })
	t.Cleanup(func() { cancel(); background.Wait(); b.server.CloseClientConnections(); b.server.Close() })
	return b
}

func testConfiguration(hasher keys.Hasher, token keys.Token) *pb.Configuration {
	return &pb.Configuration{
		Revision:       1,
		ClientAccounts: []*pb.ClientAccount{{Name: "litoral", RateTokens: 1000, BurstTokens: 1000}},
		Keys:           []*pb.Key{{Id: token.ID, ClientAccount: "litoral", SecretHash: hasher.Hash(token.Secret)}},
		Models:         []*pb.Model{{Name: "quote", WeightsVersion: "v1"}},
		Routes: []*pb.Route{
			{Name: "quotes", Kind: pb.RouteKind_ROUTE_KIND_MODEL, Model: "quote"},
			{Name: "stock", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, PathPrefix: "/stock", Service: "ordering", Idempotent: true, CallTokens: 5},
			{Name: "orders", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, PathPrefix: "/orders", Service: "ordering", CallTokens: 5},
			{Name: "news", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, PathPrefix: "/news", Service: "ordering", Idempotent: true, Open: true},
		},
	}
}

// addEngine starts a stand-in engine.
func (b *testFront) addEngine(tokenTime time.Duration) *httptest.Server {
	return b.addHandler("engine", standin.NewEngine(engineConfig(tokenTime)).Handler())
}

func engineConfig(tokenTime time.Duration) standin.EngineConfig {
	return standin.EngineConfig{
		Models: map[string]string{"quote": "v1"}, CacheBlocks: 100, BatchSlots: 64, PrefillRate: 1e6, TokenTime: tokenTime,
	}
}

// addHandler starts an endpoint that the handler serves.
func (b *testFront) addHandler(kind string, handler http.Handler) *httptest.Server {
	s := httptest.NewServer(handler)
	b.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	b.addEndpoint(kind, s)
	return s
}

func (b *testFront) addPlain() *httptest.Server {
	return b.addHandler("plain", standin.NewPlainService("ordering", 0).Handler())
}

func (b *testFront) addEndpoint(kind string, s *httptest.Server) {
	b.addAddress(kind, s.Listener.Addr().String())
}

func (b *testFront) addAddress(kind, address string) {
	b.router.mu.Lock()
	defer b.router.mu.Unlock()
	name := kind + "-" + address
	b.router.endpoints = append(b.router.endpoints, routing.Decision{Endpoint: name, Address: address})
	b.change(func(c *pb.Configuration) {
		c.Endpoints = append(c.Endpoints, &pb.Endpoint{Name: name, Address: address})
	})
}

// change edits the configuration and brings the result into force.
func (b *testFront) change(edit func(*pb.Configuration)) {
	b.config = proto.CloneOf(b.config)
	edit(b.config)
	b.directory.set(state.NewView(b.config), nil)
}

func (b *testFront) injectFault(s *httptest.Server, fault standin.Fault) {
	b.t.Helper()
	body, err := json.Marshal(fault)
	assert.NilError(b.t, err)
	r, err := http.Post(s.URL+"/admin/fault", "application/json", strings.NewReader(string(body)))
	assert.NilError(b.t, err)
	assert.NilError(b.t, r.Body.Close())
	if fault.Kind == standin.FaultSilent {
		b.t.Cleanup(func() { b.injectFault(s, standin.Fault{Kind: standin.FaultClear}) })
	}
}

// do sends a request with the test's key and reads the response. The body must be complete, unless it is a stream without
// its last event, whose body must not look complete.
func (b *testFront) do(method, path, body string, header ...string) (*http.Response, string) {
	b.t.Helper()
	r, err := http.NewRequestWithContext(b.t.Context(), method, b.server.URL+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	r.Header.Set("Authorization", "Bearer "+b.token)
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if response.Header.Get("Content-Type") == "text/event-stream" && !strings.HasSuffix(string(data), "\ndata: [DONE]\n\n") {
		assert.Assert(b.t, err != nil, "a stream without its last event looks complete: %q", data)
	} else {
		assert.NilError(b.t, err)
	}
	return response, string(data)
}

// assertRefused checks the status, kind and outcome of an error response, in header and body.
func assertRefused(t *testing.T, response *http.Response, body string, kind errkind.Kind, outcome errkind.Outcome) {
	t.Helper()
	var e errorBody
	assert.NilError(t, json.Unmarshal([]byte(body), &e), body)
	assert.Equal(t, e.Error.Code, kind.String())
	assert.Equal(t, e.Error.Outcome, outcome)
	assert.Equal(t, response.StatusCode, kind.Properties().HTTP)
	assert.Equal(t, response.Header.Get(errkind.OutcomeHeader), string(outcome))
	assert.Equal(t, response.Header.Get("Retry-After") != "", kind.Properties().Retryable)
}

const chatBody = `{"model":"quote","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`
