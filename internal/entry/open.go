package entry

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/state"
)

// openRequest is a request being served.
type openRequest struct {
	token  string // the caller's key, "" on an open route
	route  string
	cancel context.CancelCauseFunc
}

// phase is how far this VM is on its way out.
type phase int

const (
	serving  phase = iota
	leaving        // the lookup no longer names this VM
	draining       // new work is refused
)

// openRequests counts requests being served, checks their keys, and ends them.
type openRequests struct {
	mu    sync.Mutex
	phase phase
	all   map[*openRequest]struct{}
	idle  chan struct{} // closed when draining and none is left
}

func newOpenRequests() *openRequests {
	return &openRequests{all: map[*openRequest]struct{}{}, idle: make(chan struct{})}
}

// add takes a request in, or refuses it as not run when draining.
func (o *openRequests) add(r *openRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.phase == draining {
		return errkind.New(errkind.Draining, "this VM is stopping; ask for another address")
	}
	o.all[r] = struct{}{}
	return nil
}

func (o *openRequests) remove(r *openRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, r)
	o.closeWhenIdle()
}

func (o *openRequests) setPhase(p phase) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p <= o.phase {
		return
	}
	o.phase = p
	o.closeWhenIdle()
}

func (o *openRequests) closeWhenIdle() {
	if o.phase != draining || len(o.all) > 0 {
		return
	}
	select {
	case <-o.idle:
	default:
		close(o.idle)
	}
}

func (o *openRequests) now() phase {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.phase
}

// end gives up every request that check refuses, with its error as the reason.
func (o *openRequests) end(check func(*openRequest) error) {
	for _, r := range o.list() {
		if err := check(r); err != nil {
			r.cancel(err)
		}
	}
}

func (o *openRequests) list() []*openRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*openRequest, 0, len(o.all))
	for r := range o.all {
		list = append(list, r)
	}
	return list
}

// recheck checks the keys of open requests at every change of the configuration or of
// its freshness, and at least once in every pause, until ctx ends. While the
// configuration is not attested as fresh, open requests go on for a bounded time: a
// short loss of the control VMs must not end every stream.
func (f *Front) recheck(ctx context.Context) {
	ticker := time.NewTicker(f.settings.KeyRecheckInterval)
	defer ticker.Stop()
	var checked *state.View
	lastFresh := time.Now()
	for {
		changed := f.directory.Changed()
		view, err := f.currentView()
		switch {
		case err == nil:
			lastFresh = time.Now()
			if view != checked {
				f.open.end(f.stillAllowed)
			}
			checked = view
		case time.Since(lastFresh) > f.settings.StaleGrace:
			f.open.end(f.stillAllowed)
			checked = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}
