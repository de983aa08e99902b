package scenario

import "sync"

// registry maps the names of running scripts to their fleets.
type registry struct {
	mu     sync.Mutex
	fleets map[string]*fleet
}

func newRegistry() *registry { return &registry{fleets: map[string]*fleet{}} }

func (r *registry) get(script string) *fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleets[script]
}

func (r *registry) set(script string, f *fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleets[script] = f
}
