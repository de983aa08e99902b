package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Part is a cached part of a prompt.
type Part struct {
	Tenant  string // whose request made it
	Version int64  // of the weights that made it
}

// Run is a request that a server has run.
type Run struct {
	Server, Request, Tenant, Path, Salt string
	Version                             int64
	// Used holds the cached parts that the request was served from, by their names.
	Used map[string]Part
}

// ModelServer is a stand-in for a model server: it answers with a short stream and caches the parts of
// prompts under the salt that it is told.
type ModelServer struct {
	rig     *Rig
	ID      string
	Address string
	model   string

	// LoadTime is how long new weights take.
	LoadTime time.Duration

	mu      sync.Mutex
	version int64
	busy    bool
	cache   map[string]Part // by salt, model and the names of all parts up to it
	seq     int64
	runs    []Run
	orders  []Order
}

// Order is an order that has arrived at a server.
type Order struct {
	Server, Holder string
	Fence, Version int64
	At             time.Time
	Status         int
}

// peers holds all servers by address, for copies between them.
var peers sync.Map

// StartModelServer starts a model server on a host.
func (r *Rig) StartModelServer(id string, host int, model string) (*ModelServer, error) {
	listener, err := net.Listen("tcp", r.Addr(host, listPort))
	if err != nil {
		return nil, err
	}
	s := &ModelServer{rig: r, ID: id, Address: listener.Addr().String(), model: model, version: 1, cache: map[string]Part{}}
	peers.Store(s.Address, s)
	go func() { _ = http.Serve(listener, s) }() // ends with the process
	return s, nil
}

// Instance returns the server's entry of the platform's list.
func (s *ModelServer) Instance(service, zone string) Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Instance{
		ID: s.ID, Service: service, Address: s.Address, Zone: zone, Version: "v1", Slots: 64, State: "ready", Stage: "both",
		Models: []Model{{Name: s.model, Version: s.version, Adapters: []string{}}}, Born: s.rig.start.UnixMilli(),
	}
}

// Runs returns what the server has run.
func (s *ModelServer) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *ModelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender has disconnected
	}
	w.Header().Set("X-Instance-Id", s.ID)
	switch {
	case r.URL.Path == "/health":
	case r.URL.Path == "/v1/report":
		s.report(w)
	case r.URL.Path == "/v1/order":
		s.order(w, r, body)
	default:
		s.serve(w, r)
	}
}

func (s *ModelServer) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	text, _ := json.Marshal(map[string]any{ // maps of strings always encode
		"stage": "both", "models": []Model{{Name: s.model, Version: s.version, Adapters: []string{}}}, "busy": s.busy, "seq": s.seq, "queued": 0, "active": 0,
		"kvUsed": 0, "kvTotal": 300000, "handles": 0, "born": s.rig.start.UnixMilli(),
	})
	_, _ = w.Write(text) // the reader may have disconnected
}

func (s *ModelServer) order(w http.ResponseWriter, r *http.Request, body []byte) {
	var o struct {
		OpType, Model, Holder string
		Version, FencingToken int64
		Precondition          *int64
	}
	if r.Header.Get("X-Target-Instance") != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case s.busy || o.Precondition != nil && *o.Precondition != s.seq:
		status = http.StatusConflict
	case o.Version <= s.version:
		status = http.StatusOK
	default:
		s.seq++
		s.busy, s.cache = true, map[string]Part{}
		time.AfterFunc(s.LoadTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.busy, s.version = false, o.Version
		})
	}
	s.orders = append(s.orders, Order{Server: s.ID, Holder: o.Holder, Fence: o.FencingToken, Version: o.Version, At: time.Now(), Status: status})
	s.rig.Log("server %s: order of %s for version %d with fence %d: %d", s.ID, o.Holder, o.Version, o.FencingToken, status)
	w.WriteHeader(status)
}

// Orders returns the orders that have arrived.
func (s *ModelServer) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order{}, s.orders...)
}

// serve runs a request.
func (s *ModelServer) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if want := r.Header.Get("X-Expect-Version"); want != "" && want != strconv.FormatInt(s.version, 10) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := Run{
		Server: s.ID, Request: id, Tenant: r.Header.Get("X-Tenant"), Path: r.URL.Path, Salt: r.Header.Get("X-Cache-Salt"), Version: s.version, Used: map[string]Part{},
	}
	version := s.version
	s.mu.Unlock()
	key := run.Salt + "|" + r.Header.Get("X-Model")
	cached := true
	for _, entry := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		name, _, _ := strings.Cut(entry, ":")
		key += "|" + name
		part, found := s.lookUp(key)
		if !found {
			if other, ok := peers.Load(r.Header.Get("X-Kv-Fetch")); ok {
				part, found = other.(*ModelServer).lookUp(key)
			}
		}
		if cached = cached && found; cached {
			run.Used[name] = part
		} else {
			part = Part{Tenant: run.Tenant, Version: version}
		}
		s.store(key, part)
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.rig.Log("server %s runs request %s of tenant %s, salt %q, from cache: %v", s.ID, id, run.Tenant, run.Salt, run.Used)
	h := w.Header()
	h.Set("X-Response-Stamp", "stamp."+id+"."+s.ID)
	h.Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	h.Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", event) // the sender may have disconnected
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *ModelServer) lookUp(key string) (Part, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part, found := s.cache[key]
	return part, found
}

func (s *ModelServer) store(key string, part Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache[key] = part
}
