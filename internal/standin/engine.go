// Package standin emulates what the system meets: model engines, the kept-cache
// store, the weight store, plain services and the platform's VM list. Each serves
// HTTP, and has POST /admin/fault to bring about failures and GET /admin/stats.
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

// EngineConfig says how an engine behaves.
type EngineConfig struct {
	Name            string
	Models          map[string]string // model -> weights version loaded at the start; empty serves any
	CacheBlocks     int               // capacity of the prefix cache, in pieces
	BlockTTL        time.Duration     // blocks unused for so long are evicted; 0 keeps them
	BatchSlots      int               // requests in the running batch
	PrefillRate     float64           // tokens a second
	TokenTime       time.Duration     // between tokens of one stream, batch of one
	LoadReportLag   time.Duration
	EventDelay      time.Duration
	EventLoss       float64 // share of events lost
	Seed            uint64
	ChecksFencing   bool
	WeightsLoadTime time.Duration // to load new weights when no store is named
	BlockImportTime time.Duration // to import one block
}

// streamsKept bounds the streams remembered for a resume.
const streamsKept = 10_000

// EngineStats is what an engine counted.
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
	StaleAccepted  int      `json:"stale_obeyed"` // orders obeyed under an old fencing number
	Salts          []string `json:"salts"`
	SawSecret      bool     `json:"saw_secret"`
}

// Engine is a model engine.
type Engine struct {
	config  EngineConfig
	faults  *faults
	batch   *prioritySemaphore
	prefill *prioritySemaphore
	events  *eventLog
	client  *http.Client

	mu          sync.Mutex
	incarnation string
	crashed     context.Context
	crash       context.CancelFunc
	cache       *blockCache
	running     int
	models      map[string]string
	adapters    map[string]bool
	loading     map[string]bool
	role        string
	obeyed      engineapi.Order
	streams     map[string]*stream
	streamOrder []string
	lastAnswer  crossedAnswer
	report      engineapi.Load // as of the last lag
	reportAt    time.Time
	salts       map[string]bool
	stats       EngineStats
}

// stream is a call remembered for resume and cancel.
type stream struct {
	call   *call
	cancel context.CancelFunc // nil once ended
}

// NewEngine returns an engine that serves at once.
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
	e.begin()
	return e
}

// begin starts an incarnation with an empty cache.
func (e *Engine) begin() {
	e.incarnation = uuid.NewString()
	e.crashed, e.crash = context.WithCancel(context.Background())
	e.cache = newBlockCache(e.config.CacheBlocks, e.config.BlockTTL)
	e.streams = map[string]*stream{}
	e.streamOrder = nil
	e.obeyed = engineapi.Order{}
	e.reportAt = time.Time{}
	e.stats.Incarnation = e.incarnation
	e.events.reset(e.incarnation)
}

// Crash cuts every connection and comes back empty.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.begin()
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
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /orders", e.orderState)
	mux.HandleFunc("POST /kv/export", e.export)
	mux.HandleFunc("POST /kv/import", e.importBlocks)
	mux.HandleFunc("POST /admin/fault", e.faults.handler(e.Crash))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/admin/") && !e.faults.hold(r.Context()) {
			return
		}
		w.Header().Set(engineapi.HeaderIncarnation, e.Incarnation())
		mux.ServeHTTP(w, r)
	})
}

// Incarnation names the engine's present run.
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

// lookup returns how many leading blocks of the call's prompt are cached.
func (e *Engine) lookup(chain []prefix.Hash) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.publishEvicted(e.cache.expire(now))
	return e.cache.match(chain, now)
}

// store adds blocks to the cache and publishes what changed.
func (e *Engine) store(salt string, chain []prefix.Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	added, evicted := e.cache.add(salt, chain, time.Now())
	if len(added) > 0 {
		e.events.publish(e.lostEvent(), engineapi.EventStored, salt, hexHashes(added))
	}
	e.publishEvicted(evicted)
}

func (e *Engine) publishEvicted(evicted []*block) {
	for _, b := range evicted {
		e.events.publish(e.lostEvent(), engineapi.EventRemoved, b.salt, []string{hexHash(b.hash)})
	}
}

func (e *Engine) lostEvent() bool {
	_, lost := e.faults.strike(FaultLoseEvent)
	return lost
}
