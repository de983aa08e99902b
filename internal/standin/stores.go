package standin

import (
	"container/list"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"eelgrasshollow/internal/engineapi"
)

// maxSaltBytes bounds the salt in the body of a request for a block.
const maxSaltBytes = 1 << 10

// KeptCacheStore emulates a kept-cache store. It holds the hashes and salts of blocks up to its
// capacity and evicts the least recently used first. A block is only found under its salt.
type KeptCacheStore struct {
	capacity int
	faults   *faults
	mu       sync.Mutex
	blocks   map[storedBlock]*list.Element
	order    *list.List // of storedBlock, most recently used first
	stats    KeptCacheStats
}

// storedBlock identifies a block in a store.
type storedBlock struct{ salt, hash string }

// requestedBlock returns the block that a request names: its hash in the path, its salt in the body.
func requestedBlock(r *http.Request) (storedBlock, error) {
	salt, err := io.ReadAll(io.LimitReader(r.Body, maxSaltBytes))
	return storedBlock{string(salt), r.PathValue("hash")}, err
}

// KeptCacheStats holds the counts of a kept-cache store.
type KeptCacheStats struct {
	Blocks int `json:"blocks"`
	Hits   int `json:"hits"`
	Misses int `json:"misses"`
	Puts   int `json:"puts"`
}

// NewKeptCacheStore returns an empty store with a capacity in blocks.
func NewKeptCacheStore(capacity int) *KeptCacheStore {
	return &KeptCacheStore{capacity: capacity, faults: newFaults(), blocks: map[storedBlock]*list.Element{}, order: list.New()}
}

// Handler serves the store and its admin paths.
func (s *KeptCacheStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /blocks/{hash}", s.get)
	mux.HandleFunc("PUT /blocks/{hash}", s.put)
	mux.HandleFunc("POST /admin/fault", s.faults.handler(s.Crash))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	return mux
}

// Crash removes all blocks.
func (s *KeptCacheStore) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks, s.order = map[storedBlock]*list.Element{}, list.New()
}

// Stats returns a copy of the counts.
func (s *KeptCacheStore) Stats() KeptCacheStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Blocks = len(s.blocks)
	return stats
}

func (s *KeptCacheStore) get(w http.ResponseWriter, r *http.Request) {
	if !s.faults.delayResponse(r) {
		return
	}
	id, err := requestedBlock(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	element := s.blocks[id]
	if element != nil {
		s.order.MoveToFront(element)
		s.stats.Hits++
	} else {
		s.stats.Misses++
	}
	s.mu.Unlock()
	if element == nil {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *KeptCacheStore) put(w http.ResponseWriter, r *http.Request) {
	if !s.faults.delayResponse(r) {
		return
	}
	id, err := requestedBlock(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Puts++
	if e := s.blocks[id]; e != nil {
		s.order.MoveToFront(e)
	} else {
		s.blocks[id] = s.order.PushFront(id)
	}
	for len(s.blocks) > s.capacity {
		delete(s.blocks, s.order.Remove(s.order.Back()).(storedBlock))
	}
	w.WriteHeader(http.StatusNoContent)
}

// WeightStore emulates a rate-limited weight store. A load takes loadTime, and proportionally
// longer if more than maxConcurrent run concurrently.
type WeightStore struct {
	loadTime      time.Duration
	maxConcurrent int
	faults        *faults
	mu            sync.Mutex
	active        int
	stats         WeightStoreStats
}

// WeightStoreStats holds the counts of a weight store.
type WeightStoreStats struct {
	Loads          int `json:"loads"`
	PeakConcurrent int `json:"most_at_once"`
}

// NewWeightStore returns a store whose loads take loadTime while at most maxConcurrent run.
func NewWeightStore(loadTime time.Duration, maxConcurrent int) *WeightStore {
	return &WeightStore{loadTime: loadTime, maxConcurrent: maxConcurrent, faults: newFaults()}
}

// Handler serves the store and its admin paths.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", s.load)
	mux.HandleFunc("POST /admin/fault", s.faults.handler(func() {}))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, http.StatusOK, s.stats)
	})
	return mux
}

func (s *WeightStore) load(w http.ResponseWriter, r *http.Request) {
	if !s.faults.delayResponse(r) {
		return
	}
	s.mu.Lock()
	s.active++
	s.stats.Loads++
	s.stats.PeakConcurrent = max(s.stats.PeakConcurrent, s.active)
	duration := s.loadTime
	if s.active > s.maxConcurrent {
		duration = s.loadTime * time.Duration(s.active) / time.Duration(s.maxConcurrent)
	}
	s.mu.Unlock()
	completed := sleep(r.Context(), duration)
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
	if completed {
		w.WriteHeader(http.StatusOK)
	}
}

// VMDirectory emulates the platform's list of VMs, which shows changes after a delay.
type VMDirectory struct {
	lag     time.Duration
	faults  *faults
	mu      sync.Mutex
	history []vmVersion // oldest first
}

// vmVersion is the actual list of VMs from a time on.
type vmVersion struct {
	at  time.Time
	vms []engineapi.VM
}

// NewVMDirectory returns an empty list that shows each change after lag.
func NewVMDirectory(lag time.Duration) *VMDirectory {
	return &VMDirectory{lag: lag, faults: newFaults()}
}

// Set replaces the actual list.
func (v *VMDirectory) Set(vms []engineapi.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history = append(v.history, vmVersion{time.Now(), vms})
}

// Visible returns the list as the platform shows it now: the actual list as of lag ago.
func (v *VMDirectory) Visible() engineapi.VMList {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for len(v.history) > 1 && now.Sub(v.history[1].at) >= v.lag {
		v.history = v.history[1:]
	}
	if len(v.history) == 0 || now.Sub(v.history[0].at) < v.lag {
		return engineapi.VMList{AgeMS: v.lag.Milliseconds()}
	}
	return engineapi.VMList{VMs: v.history[0].vms, AgeMS: v.lag.Milliseconds()}
}

// Handler serves the list and its admin paths; PUT /admin/vms replaces the actual list.
func (v *VMDirectory) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		if v.faults.delayResponse(r) {
			writeJSON(w, http.StatusOK, v.Visible())
		}
	})
	mux.HandleFunc("PUT /admin/vms", v.put)
	mux.HandleFunc("POST /admin/fault", v.faults.handler(func() {}))
	return mux
}

func (v *VMDirectory) put(w http.ResponseWriter, r *http.Request) {
	var list engineapi.VMList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.Set(list.VMs)
	w.WriteHeader(http.StatusNoContent)
}
