package standin

import (
	"container/list"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"eelgrasshollow/internal/engineapi"
)

// Store is a kept-cache store: block hashes in limited memory, oldest out first.
type Store struct {
	capacity int
	faults   *faults
	mu       sync.Mutex
	blocks   map[string]*list.Element
	order    *list.List
	stats    StoreStats
}

// StoreStats is what a kept-cache store counted.
type StoreStats struct {
	Blocks int `json:"blocks"`
	Hits   int `json:"hits"`
	Misses int `json:"misses"`
	Puts   int `json:"puts"`
}

// NewStore returns an empty store.
func NewStore(capacity int) *Store {
	return &Store{capacity: capacity, faults: newFaults(), blocks: map[string]*list.Element{}, order: list.New()}
}

// Handler serves the store and its admin paths.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /blocks/{hash}", s.get)
	mux.HandleFunc("PUT /blocks/{hash}", s.put)
	mux.HandleFunc("POST /admin/fault", s.faults.handler(s.Crash))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	return mux
}

// Crash forgets every block.
func (s *Store) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks, s.order = map[string]*list.Element{}, list.New()
}

// Stats returns a copy of the counts.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Blocks = len(s.blocks)
	return stats
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.faults.before(r) {
		return
	}
	s.mu.Lock()
	e := s.blocks[r.PathValue("hash")]
	if e != nil {
		s.order.MoveToFront(e)
		s.stats.Hits++
	} else {
		s.stats.Misses++
	}
	s.mu.Unlock()
	if e == nil {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	if !s.faults.before(r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Puts++
	hash := r.PathValue("hash")
	if e := s.blocks[hash]; e != nil {
		s.order.MoveToFront(e)
	} else {
		s.blocks[hash] = s.order.PushFront(hash)
	}
	for len(s.blocks) > s.capacity {
		delete(s.blocks, s.order.Remove(s.order.Back()).(string))
	}
	w.WriteHeader(http.StatusNoContent)
}

// Weights is a rate-limited weight store: a load takes its time, and longer when more
// than a few go on at once.
type Weights struct {
	time   time.Duration
	atOnce int
	faults *faults
	mu     sync.Mutex
	active int
	stats  WeightsStats
}

// WeightsStats is what a weight store counted.
type WeightsStats struct {
	Loads     int `json:"loads"`
	MostAtOne int `json:"most_at_once"`
}

// NewWeights returns a store whose loads take d while at most atOnce go on.
func NewWeights(d time.Duration, atOnce int) *Weights {
	return &Weights{time: d, atOnce: atOnce, faults: newFaults()}
}

// Handler serves the store and its admin paths.
func (s *Weights) Handler() http.Handler {
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

func (s *Weights) load(w http.ResponseWriter, r *http.Request) {
	if !s.faults.before(r) {
		return
	}
	s.mu.Lock()
	s.active++
	s.stats.Loads++
	s.stats.MostAtOne = max(s.stats.MostAtOne, s.active)
	took := s.time
	if s.active > s.atOnce {
		took = s.time * time.Duration(s.active) / time.Duration(s.atOnce)
	}
	s.mu.Unlock()
	done := sleep(r.Context(), took)
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
	if done {
		w.WriteHeader(http.StatusOK)
	}
}

// VMs is the platform's lagging list of VMs.
type VMs struct {
	lag     time.Duration
	faults  *faults
	mu      sync.Mutex
	history []vmVersion // oldest first; the first is old enough to be seen
}

type vmVersion struct {
	at  time.Time
	vms []engineapi.VM
}

// NewVMs returns a list that shows each change only after lag.
func NewVMs(lag time.Duration) *VMs { return &VMs{lag: lag, faults: newFaults()} }

// Set changes the true list.
func (v *VMs) Set(vms []engineapi.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history = append(v.history, vmVersion{time.Now(), vms})
}

// Visible returns the list as the platform tells it now.
func (v *VMs) Visible() engineapi.VMList {
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

// Handler serves the list and its admin paths; PUT /admin/vms sets the true list.
func (v *VMs) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		if v.faults.before(r) {
			writeJSON(w, http.StatusOK, v.Visible())
		}
	})
	mux.HandleFunc("PUT /admin/vms", v.put)
	mux.HandleFunc("POST /admin/fault", v.faults.handler(func() {}))
	return mux
}

func (v *VMs) put(w http.ResponseWriter, r *http.Request) {
	var list engineapi.VMList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.Set(list.VMs)
	w.WriteHeader(http.StatusNoContent)
}
