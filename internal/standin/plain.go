package standin

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"eelgrasshollow/internal/engineapi"
)

// PlainStats holds the counts of a plain service.
type PlainStats struct {
	Calls     int            `json:"calls"`
	Runs      map[string]int `json:"runs"`       // by Idempotency-Key
	SawSecret bool           `json:"saw_secret"` // a caller's key reached this endpoint
}

// PlainAnswer is a plain service's response: an echo of the request with the run number.
type PlainAnswer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"idempotency_key,omitempty"`
	Run     int    `json:"run"` // number of runs with this key, including this one; 0 without a key
	Body    string `json:"body"`
}

// PlainService emulates a plain service that counts how often each request ID ran. It does not
// deduplicate requests, so that a request which the system sends twice is counted twice.
type PlainService struct {
	name     string
	workTime time.Duration
	faults   *faults
	mu       sync.Mutex
	stats    PlainStats
}

// NewPlainService returns a service whose calls take workTime.
func NewPlainService(name string, workTime time.Duration) *PlainService {
	return &PlainService{name: name, workTime: workTime, faults: newFaults(), stats: PlainStats{Runs: map[string]int{}}}
}

// Handler serves the service and its admin paths.
func (p *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/fault", p.faults.handler(func() {}))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Stats()) })
	mux.HandleFunc("/", p.serve)
	return mux
}

// Stats returns a copy of the counts.
func (p *PlainService) Stats() PlainStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Runs = make(map[string]int, len(p.stats.Runs))
	for k, n := range p.stats.Runs {
		s.Runs[k] = n
	}
	return s
}

// serve runs the call after it has received the whole body. The run counts even if the client
// has disconnected by then, because the effect of a real service would remain.
func (p *PlainService) serve(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	p.faults.announce(w)
	if p.faults.pause(w) {
		return
	}
	key := r.Header.Get(engineapi.HeaderIdempotencyKey)
	run := p.count(key, carriesSecret(r))
	sleep(context.WithoutCancel(r.Context()), p.workTime)
	if !p.faults.delayResponse(r) {
		return
	}
	w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
	if _, ok := p.faults.trigger(FaultEmpty); ok {
		w.WriteHeader(http.StatusOK)
		return
	}
	if _, ok := p.faults.trigger(FaultCutStream); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := p.faults.trigger(FaultCrossed); ok {
		w.Header().Set(engineapi.HeaderRequestID, "another-request")
	}
	writeJSON(w, http.StatusOK, PlainAnswer{p.name, r.Method, r.URL.Path, key, run, string(data)})
}

// count counts a call and returns the run number of its key, 0 without a key.
func (p *PlainService) count(key string, secret bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Calls++
	p.stats.SawSecret = p.stats.SawSecret || secret
	if key == "" {
		return 0
	}
	p.stats.Runs[key]++
	return p.stats.Runs[key]
}

// carriesSecret reports whether a header or the query of a request contains a text that looks
// like a caller's key.
func carriesSecret(r *http.Request) bool {
	for _, values := range r.Header {
		for _, v := range values {
			if looksLikeKey(v) {
				return true
			}
		}
	}
	return looksLikeKey(r.URL.RawQuery)
}
