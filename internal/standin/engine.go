// Package standin emulates the services around the system: model engines, the kept-cache
// store, the weight store, plain services and the platform's VM list. Each serves HTTP,
// accepts POST /admin/fault to inject faults, and all but the VM list GET /admin/stats.
package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/prefix"
)

// EngineConfig configures the behaviour of an engine.
type EngineConfig struct {
	Name            string
	Models          map[string]string // model -> weights version loaded at the start; if empty, every model is served
	CacheBlocks     int               // capacity of the prefix cache
	BlockTTL        time.Duration     // blocks unused for this time are evicted; 0: they do not expire
	BatchSlots      int               // maximum number of requests in the running batch
	PrefillRate     float64           // prompt tokens per second
	TokenTime       time.Duration     // between tokens of a stream that runs alone
	LoadReportLag   time.Duration     // maximum age of a load report
	EventDelay      time.Duration     // between a change of the cache and its event
	EventLoss       float64           // share of events lost at random, 0 to 1
	Seed            uint64            // seed of the random event losses
	ChecksFencing   bool              // refuse orders with an old fencing number
	WeightsLoadTime time.Duration     // time to load weights if the order names no store
	BlockImportTime time.Duration     // time to import one block
}

// maxStreams bounds the streams stored for a resume.
const maxStreams = 10_000

// EngineStats holds the counts of an engine, over all incarnations.
type EngineStats struct {
	Incarnation    string   `json:"incarnation"`
	Requests       int      `json:"requests"`
	Completed      int      `json:"completed"`
	Canceled       int      `json:"canceled"`
	Resumed        int      `json:"resumed"`
	PromptTokens   int      `json:"prompt_tokens"`
	CachedTokens   int      `json:"cached_tokens"`
	ImportedBlocks int      `json:"imported_blocks"`
	ExportedBlocks int      `json:"exported_blocks"`
	Orders         int      `json:"orders"`
	Fenced         int      `json:"fenced"`
	StaleAccepted  int      `json:"stale_obeyed"` // orders accepted with an old fencing number
	Salts          []string `json:"salts"`
	SawSecret      bool     `json:"saw_secret"`
}

// Engine emulates a model engine.
type Engine struct {
	config  EngineConfig
	faults  *faults
	batch   *prioritySemaphore
	prefill *prioritySemaphore
	events  *eventLog
	client  *http.Client

	mu          sync.Mutex
	incarnation string
	crashed     context.Context // ends when the current incarnation crashes
	crash       context.CancelFunc
	cache       *blockCache
	running     int
	models      map[string]string
	adapters    map[string]bool
	loading     map[string]bool
	role        string
	lastOrder   engineapi.Order
	streams     map[string]*stream
	streamOrder []string // keys of streams, oldest first
	lastAnswer  previousAnswer
	loadReport  engineapi.Load // taken at reportAt
	reportAt    time.Time
	salts       map[string]bool
	stats       EngineStats
}

// stream is a call stored for resume and cancel.
type stream struct {
	call   *call
	cancel context.CancelFunc // nil after the end of the stream
}

// NewEngine returns an engine that is ready to serve.
func NewEngine(c EngineConfig) *Engine {
	e := &Engine{
		config:   c,
		faults:   newFaults(),
		batch:    newPrioritySemaphore(c.BatchSlots),
		prefill:  newPrioritySemaphore(1),
		events:   newEventLog(c.EventDelay, c.EventLoss, c.Seed),
		client:   &http.Client{Timeout: 10 * time.Second},
		models:   map[string]string{},
		adapters: map[string]bool{},
		loading:  map[string]bool{},
		salts:    map[string]bool{},
		role:     "any",
	}
	for m, v := range c.Models {
		e.models[m] = v
	}
	e.startIncarnation()
	return e
}

// startIncarnation starts a new incarnation with an empty cache.
func (e *Engine) startIncarnation() {
	e.incarnation = uuid.NewString()
	e.crashed, e.crash = context.WithCancel(context.Background())
	e.cache = newBlockCache(e.config.CacheBlocks, e.config.BlockTTL)
	e.streams = map[string]*stream{}
	e.streamOrder = nil
	e.lastOrder = engineapi.Order{}
	e.reportAt = time.Time{}
	e.stats.Incarnation = e.incarnation
	e.events.reset(e.incarnation)
}

// Crash cuts every connection and starts a new incarnation with an empty cache.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.startIncarnation()
}

// Handler serves the engine and its admin paths.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancelStream)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /events", e.serveEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /orders", e.serveLastOrder)
	mux.HandleFunc("POST /kv/export", e.exportBlocks)
	mux.HandleFunc("POST /kv/import", e.importBlocks)
	mux.HandleFunc("POST /admin/fault", e.faults.handler(e.Crash))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/admin/") && !e.faults.waitWhileSilent(r.Context()) {
			return
		}
		w.Header().Set(engineapi.HeaderIncarnation, e.Incarnation())
		e.faults.announce(w)
		mux.ServeHTTP(w, r)
	})
}

// Incarnation returns the ID of the current incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Stats returns a copy of the counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Salts = make([]string, 0, len(e.salts))
	for salt := range e.salts {
		s.Salts = append(s.Salts, salt)
	}
	return s
}

// cachedBlocks returns the number of leading blocks of chain that are cached in a namespace,
// after evicting expired ones.
func (e *Engine) cachedBlocks(salt string, chain []prefix.Hash) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.publishEvicted(e.cache.expire(now))
	return e.cache.match(salt, chain, now)
}

// storeBlocks adds blocks to the cache and publishes events for added and evicted blocks.
func (e *Engine) storeBlocks(salt string, chain []prefix.Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	added, evicted := e.cache.add(salt, chain, time.Now())
	if len(added) > 0 {
		e.events.publish(e.shouldLoseEvent(), engineapi.EventStored, salt, hexHashes(added))
	}
	e.publishEvicted(evicted)
}

func (e *Engine) publishEvicted(evicted []*block) {
	for _, b := range evicted {
		e.events.publish(e.shouldLoseEvent(), engineapi.EventRemoved, b.salt, []string{hexHash(b.hash)})
	}
}

// shouldLoseEvent reports whether FaultLoseEvent drops the next event.
func (e *Engine) shouldLoseEvent() bool {
	_, lost := e.faults.trigger(FaultLoseEvent)
	return lost
}
