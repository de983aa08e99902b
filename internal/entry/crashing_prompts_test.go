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

// addCrashingEngine adds an engine that ends when it gets a prompt with the word "crashing". It
// then counts in ended.
func (b *testFront) addCrashingEngine(ended *atomic.Int32) routing.Endpoint {
	sound := standin.NewEngine(standin.EngineConfig{
		Models: map[string]string{"quote": "v1"}, CacheBlocks: 100, BatchSlots: 64, PrefillRate: 1e6,
	}).Handler()
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
	address := s.Listener.Addr().String()
	return routing.Endpoint{Name: address, Address: address, Models: []string{"quote"}, MaxConcurrent: 8}
}

// Guards against repeating a prompt that crashes engines at one engine after the other.
func TestPromptThatCrashesEnginesStopsReachingThem(t *testing.T) {
	b := newTestFront(t, func(s *Settings, e *engine.Settings) { s.MaxAttempts = 2 })
	var inventory fixedInventory
	var ended atomic.Int32
	for range 9 {
		inventory.endpoints = append(inventory.endpoints, b.addCrashingEngine(&ended))
	}
	_, engineSettings := defaults(t)
	router := routing.NewModule(routing.Settings{QueuePerEndpoint: 8, LongestWait: time.Second, TrackedPrefixes: 1000, RetryShare: 1}, inventory, engine.New(engineSettings, nil), time.Now)
	k := kernel.New(zap.NewNop())
	k.Register(routing.ModuleName, router)
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
	b.front.router = router

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
