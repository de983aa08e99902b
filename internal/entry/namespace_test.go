package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/standin"
	"eelgrasshollow/internal/state"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// sentExtras records the extra fields of the completions that engines get.
type sentExtras struct {
	mu   sync.Mutex
	sent []engineapi.Extra
}

// addTo starts a stand-in engine whose completions are recorded. It runs a version of the test's model.
func (s *sentExtras) addTo(b *testFront, version string) (*standin.Engine, *httptest.Server) {
	config := engineConfig(0)
	config.Models = map[string]string{"quote": version}
	e := standin.NewEngine(config)
	next := e.Handler()
	return e, b.addHandler("engine", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && strings.HasSuffix(r.URL.Path, "/completions") {
			body, err := io.ReadAll(r.Body)
			assert.Check(b.t, err)
			var extra engineapi.Extra
			assert.Check(b.t, json.Unmarshal(body, &extra))
			s.mu.Lock()
			s.sent = append(s.sent, extra)
			s.mu.Unlock()
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		next.ServeHTTP(w, r)
	}))
}

// all returns the recorded fields.
func (s *sentExtras) all() []engineapi.Extra {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// longBody is a completion whose prompt has several pieces.
var longBody = fmt.Sprintf(`{"model":"quote","max_tokens":4,"prompt":%q}`, strings.Repeat("word ", 4*prefix.PieceTokens))

// Guards against one namespace for all weights of a model whose version the configuration does not name: an engine
// would find, under new weights, what former ones had computed.
func TestRequestsWithoutWeightsVersionShareNoNamespace(t *testing.T) {
	b := newTestFront(t, nil)
	b.change(func(c *pb.Configuration) { c.Models[0].WeightsVersion = "" })
	extras := &sentExtras{}
	former, _ := extras.addTo(b, "v1")
	for range 2 {
		response, text := b.do("POST", "/v1/completions", longBody)
		assert.Equal(t, response.StatusCode, http.StatusOK, text)
	}
	b.router.mu.Lock()
	b.router.endpoints = nil
	b.router.mu.Unlock()
	extras.addTo(b, "v2")
	response, text := b.do("POST", "/v1/completions", longBody)
	assert.Equal(t, response.StatusCode, http.StatusOK, text)
	seen := map[string]bool{}
	for _, e := range extras.all() {
		assert.Equal(t, len(e.CacheSalt), len(prefix.Seed(0).Salt()), "a salt has the documented form")
		assert.Assert(t, !seen[e.CacheSalt], "requests on unknown weights share the namespace %q", e.CacheSalt)
		seen[e.CacheSalt] = true
		assert.Equal(t, e.WeightsVersion+e.ImportFrom, "")
	}
	assert.Equal(t, len(seen), 3)
	assert.Equal(t, former.Stats().CachedTokens, 0)
	for _, r := range b.router.requests {
		assert.Equal(t, len(r.Chain), 0, "routing must not expect a prefix that no other request finds")
	}
}

// Guards against a repeated attempt that finds what an engine computed for an earlier one with other weights, where
// their version is not known.
func TestAttemptsWithoutWeightsVersionShareNoNamespace(t *testing.T) {
	b := newTestFront(t, nil)
	b.change(func(c *pb.Configuration) { c.Models[0].WeightsVersion = "" })
	extras := &sentExtras{}
	_, faulty := extras.addTo(b, "v1")
	b.injectFault(faulty, standin.Fault{Kind: standin.FaultEmpty, Count: 1})
	extras.addTo(b, "v1")
	response, text := b.do("POST", "/v1/completions", longBody)
	assert.Equal(t, response.StatusCode, http.StatusOK, text)
	sent := extras.all()
	assert.Equal(t, len(sent), 2)
	assert.Assert(t, sent[0].CacheSalt != sent[1].CacheSalt)
}

// Guards against a send that names no namespace, or a namespace without the weights that it is for.
func TestEachBodyNamesNamespaceAndWeights(t *testing.T) {
	b := newTestFront(t, nil)
	extras := &sentExtras{}
	_, faulty := extras.addTo(b, "v1")
	b.injectFault(faulty, standin.Fault{Kind: standin.FaultEmpty, Count: 1})
	extras.addTo(b, "v1")
	response, text := b.do("POST", "/v1/completions", longBody)
	assert.Equal(t, response.StatusCode, http.StatusOK, text)
	want := prefix.Namespace{Account: "litoral", Model: "quote", Version: "v1"}.Seed().Salt()
	assert.Equal(t, len(extras.all()), 2)
	for _, e := range extras.all() {
		assert.Equal(t, e.CacheSalt, want)
		assert.Equal(t, e.WeightsVersion, "v1")
	}
}

// Guards against a request on an open route that uses what requests without an account made, although its key names
// one: on other routes each client account has namespaces of its own.
func TestKeyOnOpenRouteHasNamespaceOfItsAccount(t *testing.T) {
	b := newTestFront(t, nil)
	extras := &sentExtras{}
	extras.addTo(b, "v1")
	salt := func(open bool, key string) string {
		b.change(func(c *pb.Configuration) { c.Routes[0].Open = open })
		own := b.token
		defer func() { b.token = own }()
		b.token = key
		response, text := b.do("POST", "/v1/completions", longBody)
		assert.Equal(t, response.StatusCode, http.StatusOK, text)
		sent := extras.all()
		return sent[len(sent)-1].CacheSalt
	}
	ofAccount, ofNobody := salt(false, b.token), salt(true, "")
	assert.Assert(t, ofNobody != ofAccount)
	assert.Equal(t, salt(true, b.token), ofAccount, "litoral's request uses what requests without a key made")
	assert.Equal(t, salt(true, "unknown"), ofNobody, "a key that is not valid names no account")
	assert.Equal(t, b.router.requests[len(b.router.requests)-2].Account, "", "an open route has no account")
}

// Guards against a request on an open route that a change of the configuration ends because it has sent a key that is not valid,
// which it does not need, and against a withdrawn key that goes on where it is needed.
func TestChangeEndsOnlyRequestsThatNeedTheirKey(t *testing.T) {
	for _, c := range []struct {
		name       string
		open       bool
		key        string
		wantStatus int
	}{
		{"unknown key on an open route", true, "unknown", http.StatusOK},
		{"withdrawn key on a route that needs one", false, "", http.StatusUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestFront(t, nil)
			running, goOn := make(chan struct{}), make(chan struct{})
			b.addHandler("plain", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(running)
				select {
				case <-goOn:
				case <-r.Context().Done():
				}
				w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
				_, _ = io.WriteString(w, "news")
			}))
			b.change(func(config *pb.Configuration) { config.Routes[3].Open = c.open })
			if c.key != "" {
				b.token = c.key
			}
			status := make(chan int)
			go func() {
				response, _ := b.do("GET", "/news", "")
				status <- response.StatusCode
			}()
			<-running
			b.change(func(config *pb.Configuration) { config.Keys[0].Withdrawn = true })
			if c.wantStatus == http.StatusOK {
				time.Sleep(5 * b.front.settings.KeyRecheckInterval / 4) // both the notice and the regular check have passed
				close(goOn)
			}
			assert.Equal(t, <-status, c.wantStatus)
		})
	}
}

// dryRunRecorder records the requests of dry runs.
type dryRunRecorder struct {
	*fakeRouter
	asked []routing.Request
}

func (r *dryRunRecorder) SelectVersion(_, target string, _ uint64) string { return target }
func (r *dryRunRecorder) DryRunVersion(_, target string, _ uint64) string { return target }

func (r *dryRunRecorder) DryRun(q routing.Request) dryrun.Placement {
	r.asked = append(r.asked, q)
	return dryrun.Placement{}
}

// Guards against a dry run that explains a request in another cache namespace than the one in which it is sent.
func TestDryRunHasNamespaceOfSend(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*pb.Configuration)
		keyless bool
	}{
		{name: "usual", change: func(*pb.Configuration) {}},
		{name: "open route", change: func(c *pb.Configuration) { c.Routes[0].Open = true }},
		{name: "open route, no key", change: func(c *pb.Configuration) { c.Routes[0].Open = true }, keyless: true},
		{name: "unknown weights", change: func(c *pb.Configuration) { c.Models[0].WeightsVersion = "" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestFront(t, nil)
			recorder := &dryRunRecorder{fakeRouter: b.router}
			b.front.router = recorder
			b.addEngine(0)
			b.change(c.change)
			queries := []dryrun.Query{{Body: []byte(longBody), Path: completionPath, Key: b.token}, {Body: []byte(longBody), Path: completionPath, Account: "litoral"}}
			if c.keyless {
				b.token, queries = "", []dryrun.Query{{Body: []byte(longBody), Path: completionPath}}
			}
			response, text := b.do("POST", "/v1/completions", longBody)
			assert.Equal(t, response.StatusCode, http.StatusOK, text)
			sent := b.router.requests[0]
			for i, q := range queries {
				e, err := b.front.DryRun(q)
				assert.NilError(t, err)
				assert.Equal(t, len(recorder.asked), i+1, "%+v", e)
				asked := recorder.asked[i]
				assert.Equal(t, asked.Seed, sent.Seed)
				assert.Equal(t, asked.Version, sent.Version)
				assert.DeepEqual(t, asked.Chain, sent.Chain)
			}
		})
	}
}

// changingRouter changes the configuration between the choice of an endpoint and the send.
type changingRouter struct {
	*fakeRouter
	afterPick func()
}

func (r *changingRouter) Pick(ctx context.Context, q routing.Request) (routing.Ticket, error) {
	ticket, err := r.fakeRouter.Pick(ctx, q)
	r.afterPick()
	return ticket, err
}

// Guards against a completion that is sent in the namespace of an account that its key doesn't name any more: the
// configuration may change while the request waits for an endpoint, and open requests are canceled only after that.
func TestCompletionIsNotSentForFormerAccountOfKey(t *testing.T) {
	for name, change := range map[string]func(*pb.Configuration){
		"key of another account": func(c *pb.Configuration) {
			c.ClientAccounts = append(c.ClientAccounts, &pb.ClientAccount{Name: "meseta", RateTokens: 1000, BurstTokens: 1000})
			c.Keys[0].ClientAccount = "meseta"
		},
		"key withdrawn":    func(c *pb.Configuration) { c.Keys[0].Withdrawn = true },
		"account disabled": func(c *pb.Configuration) { c.ClientAccounts[0].Disabled = true },
		"account deleted":  func(c *pb.Configuration) { c.ClientAccounts = nil },
	} {
		for _, open := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", open ", open), func(t *testing.T) {
				b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.KeyRecheckInterval = time.Hour })
				extras := &sentExtras{}
				extras.addTo(b, "v1")
				b.change(func(c *pb.Configuration) { c.Routes[0].Open = open })
				b.front.router = &changingRouter{b.router, func() {
					c := proto.CloneOf(b.config)
					change(c)
					b.directory.mu.Lock() // without a notice of the change, so that nothing is canceled before the send
					b.directory.view = state.NewView(c)
					b.directory.mu.Unlock()
				}}
				response, text := b.do("POST", "/v1/completions", longBody)
				assertRefused(t, response, text, errkind.Unauthenticated, errkind.NotRun)
				assert.Equal(t, len(extras.all()), 0)
				b.router.mu.Lock()
				defer b.router.mu.Unlock()
				assert.Equal(t, len(b.router.results), 1)
				assert.Equal(t, b.router.results[0].Err.Kind, errkind.Canceled, "the endpoint has not failed")
			})
		}
	}
}

// Guards against lines that don't tell in which cache namespace an attempt was sent: a report of shared KV cache can't be
// followed without.
func TestLineOfAttemptNamesItsNamespace(t *testing.T) {
	for _, version := range []string{"v1", ""} {
		b := newTestFront(t, nil)
		b.change(func(c *pb.Configuration) { c.Models[0].WeightsVersion = version })
		extras := &sentExtras{}
		_, faulty := extras.addTo(b, "v1")
		b.injectFault(faulty, standin.Fault{Kind: standin.FaultEmpty, Count: 1})
		extras.addTo(b, "v1")
		response, text := b.do("POST", "/v1/completions", longBody)
		assert.Equal(t, response.StatusCode, http.StatusOK, text)
		lines := b.logs.FilterMessage("routed").All()
		assert.Equal(t, len(lines), 2)
		for i, e := range extras.all() {
			assert.Equal(t, lines[i].ContextMap()["cache_namespace"], e.CacheSalt)
		}
	}
}

// A key that becomes valid while its completion waits on an open route must not leave the account's prompt in the namespaces
// of requests without a key.
func TestCompletionIsNotSentForNobodyOnceItsKeyIsValid(t *testing.T) {
	b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.KeyRecheckInterval = time.Hour })
	extras := &sentExtras{}
	extras.addTo(b, "v1")
	b.change(func(c *pb.Configuration) { c.Routes[0].Open, c.Keys[0].Withdrawn = true, true })
	b.front.router = &changingRouter{b.router, func() {
		c := proto.CloneOf(b.config)
		c.Keys[0].Withdrawn = false
		b.directory.mu.Lock() // without a notice of the change, so that nothing is canceled before the send
		b.directory.view = state.NewView(c)
		b.directory.mu.Unlock()
	}}
	response, text := b.do("POST", "/v1/completions", longBody)
	for _, sent := range extras.all() {
		assert.Assert(t, sent.CacheSalt != newCacheSpace(prefix.Namespace{Model: "quote", Version: "v1"}).salt(), "sent in the namespace of requests without a key")
	}
	assertRefused(t, response, text, errkind.Stale, errkind.NotRun)
	response, text = b.do("POST", "/v1/completions", longBody)
	assert.Equal(t, response.StatusCode, http.StatusOK, text)
}
