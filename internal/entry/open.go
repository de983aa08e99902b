package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/state"
)

// openRequest is a request that is being served.
type openRequest struct {
	// key is the key that the request was admitted with. It is nil before that, and on an open route, whatever key was sent.
	key    atomic.Pointer[string]
	route  string
	cancel context.CancelCauseFunc
}

// phase is the stage of the graceful stop of this VM.
type phase int

const (
	serving  phase = iota
	leaving        // GET /v1/entries no longer returns this VM
	draining       // new requests are refused
)

// openRequests tracks the requests that are being served, so that they can be counted and
// canceled.
type openRequests struct {
	mu       sync.Mutex
	phase    phase
	requests map[*openRequest]struct{}
	idle     chan struct{} // closed when draining and no request is open
}

func newOpenRequests() *openRequests {
	return &openRequests{requests: map[*openRequest]struct{}{}, idle: make(chan struct{})}
}

// add registers a request, or returns a Draining error.
func (o *openRequests) add(r *openRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.phase == draining {
		return errkind.New(errkind.Draining, "this VM is stopping; look up another address")
	}
	o.requests[r] = struct{}{}
	return nil
}

func (o *openRequests) remove(r *openRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.requests, r)
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
	if o.phase != draining || len(o.requests) > 0 {
		return
	}
	select {
	case <-o.idle:
	default:
		close(o.idle)
	}
}

func (o *openRequests) currentPhase() phase {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.phase
}

// cancelRefused cancels every request for which check returns an error, with that error as
// the cause.
func (o *openRequests) cancelRefused(check func(*openRequest) error) {
	for _, r := range o.list() {
		if err := check(r); err != nil {
			r.cancel(err)
		}
	}
}

func (o *openRequests) list() []*openRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*openRequest, 0, len(o.requests))
	for r := range o.requests {
		list = append(list, r)
	}
	return list
}

// recheckKeys checks the keys of open requests whenever the configuration or its freshness
// changes, and at least once per KeyRecheckInterval, until ctx ends. While the configuration
// is not attested as fresh, open requests continue for up to StaleGrace, because a short
// outage of the control VMs must not end every stream.
func (f *Front) recheckKeys(ctx context.Context) {
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
				f.open.cancelRefused(f.stillAllowed)
			}
			checked = view
		case time.Since(lastFresh) > f.settings.StaleGrace:
			f.open.cancelRefused(f.stillAllowed)
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
