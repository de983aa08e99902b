package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/standin"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// fixedInventory lists engines that never change.
type fixedInventory struct{ endpoints []routing.Endpoint }

func (fixedInventory) Revision() (uint64, bool) { return 1, true }
func (i fixedInventory) Snapshot() routing.Snapshot {
	return routing.Snapshot{Revision: 1, Endpoints: i.endpoints}
}
func (fixedInventory) Changed() <-chan struct{} { return nil }

// addCrashing starts an endpoint that ends when it gets a body with the word "crashing", and then
// counts in ended. The handler serves the other requests.
func (b *testFront) addCrashing(e routing.Endpoint, sound http.Handler, ended *atomic.Int32) routing.Endpoint {
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil && bytes.Contains(body, []byte("crashing")) {
			if s.Listener.Close() == nil {
				ended.Add(1)
			}
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		sound.ServeHTTP(w, r)
	}))
	b.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	e.Name, e.Address, e.MaxConcurrent = s.Listener.Addr().String(), s.Listener.Addr().String(), 8
	return e
}

// routeTo makes the front route to the endpoints.
func (b *testFront) routeTo(endpoints ...routing.Endpoint) {
	_, engineSettings := defaults(b.t)
	router := routing.NewModule(routing.Settings{QueuePerEndpoint: 8, LongestWait: time.Second, TrackedPrefixes: 1000, RetryShare: 1},
		fixedInventory{endpoints}, engine.New(engineSettings, nil, nil, zap.NewNop()), time.Now)
	k := kernel.New(zap.NewNop())
	k.Register(routing.ModuleName, router)
	assert.NilError(b.t, k.Start(b.t.Context()))
	b.t.Cleanup(func() { assert.NilError(b.t, k.Stop(context.Background())) })
	b.front.router = router
}

// Guards against repeating a prompt that crashes engines at one engine after the other.
func TestPromptThatCrashesEnginesStopsReachingThem(t *testing.T) {
	b := newTestFront(t, func(s *Settings, e *engine.Settings) { s.MaxAttempts = 2 })
	var ended atomic.Int32
	var engines []routing.Endpoint
	for range 9 {
		engines = append(engines, b.addCrashing(routing.Endpoint{Models: []string{"quote"}}, standin.NewEngine(standin.EngineConfig{
			Models: map[string]string{"quote": "v1"}, CacheBlocks: 100, BatchSlots: 64, PrefillRate: 1e6,
		}).Handler(), &ended))
	}
	b.routeTo(engines...)
	chat := func(prompt string) (*http.Response, string) {
		return b.do("POST", "/v1/chat/completions", strings.Replace(fmt.Sprintf(chatBody, false, 4), "hello", prompt, 1))
	}
	for i := range 6 {
		response, text := chat("crashing")
		if i >= 3 {
			assertRefused(t, response, text, errkind.Quarantined, errkind.NotRun)
		}
		response, text = chat(fmt.Sprint("sound ", i))
		assert.Equal(t, response.StatusCode, http.StatusOK, text)
	}
	assert.Equal(t, ended.Load(), int32(3))
}

// Guards against repeating a call that crashes a plain service at one endpoint after the other. An order
// comes again under another idempotency key.
func TestCallThatCrashesServiceStopsReachingIt(t *testing.T) {
	for _, path := range []string{"/stock/a", "/orders/a"} {
		t.Run(path, func(t *testing.T) {
			b := newTestFront(t, func(s *Settings, e *engine.Settings) { s.MaxAttempts = 2 })
			var ended atomic.Int32
			var services []routing.Endpoint
			for range 9 {
				services = append(services, b.addCrashing(routing.Endpoint{Service: "ordering"}, standin.NewPlainService("ordering", 0).Handler(), &ended))
			}
			b.routeTo(services...)
			call := func(i int, body string) (*http.Response, string) {
				return b.do("POST", path, body, engineapi.HeaderIdempotencyKey, fmt.Sprint(body, i))
			}
			for i := range 8 {
				response, text := call(i, `{"crashing":1}`)
				if i >= 3 {
					assertRefused(t, response, text, errkind.Quarantined, errkind.NotRun)
				}
				response, text = call(i, `{"sound":1}`)
				assert.Equal(t, response.StatusCode, http.StatusOK, text)
			}
			assert.Equal(t, ended.Load(), int32(3))
		})
	}
}
