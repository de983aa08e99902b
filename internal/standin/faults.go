package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault kinds that POST /admin/fault switches.
const (
	FaultCrash     = "crash"      // cut every connection, come back empty under a new incarnation
	FaultSilent    = "silent"     // take requests and say nothing, on open connections too
	FaultLate      = "late"       // answer after DelayMS
	FaultCrossed   = "crossed"    // answer with the answer to an earlier request
	FaultEmpty     = "empty"      // answer 200 without a body
	FaultLoseEvent = "lose-event" // drop cache events
	FaultCutStream = "cut-stream" // cut the connection after AfterTokens tokens
	FaultClear     = "clear"      // end every fault
)

// Fault is the body of POST /admin/fault.
type Fault struct {
	Kind string `json:"kind"`
	// Count bounds how many requests it strikes; 0 strikes until cleared.
	Count       int   `json:"count,omitempty"`
	DelayMS     int64 `json:"delay_ms,omitempty"`
	AfterTokens int   `json:"after_tokens,omitempty"`
}

// faults are the faults switched on now.
type faults struct {
	mu     sync.Mutex
	active map[string]*Fault
	ended  map[string]chan struct{} // closed when the fault ends
}

func newFaults() *faults {
	return &faults{active: map[string]*Fault{}, ended: map[string]chan struct{}{}}
}

func (f *faults) set(next Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Kind == FaultClear {
		for kind := range f.active {
			f.endLocked(kind)
		}
		return
	}
	f.endLocked(next.Kind)
	f.active[next.Kind] = &next
	f.ended[next.Kind] = make(chan struct{})
}

func (f *faults) endLocked(kind string) {
	if c := f.ended[kind]; c != nil {
		close(c)
	}
	delete(f.active, kind)
	delete(f.ended, kind)
}

// strike reports whether the fault hits this request, and counts it.
func (f *faults) strike(kind string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.active[kind]
	if a == nil {
		return Fault{}, false
	}
	hit := *a
	if a.Count > 0 {
		a.Count--
		if a.Count == 0 && kind != FaultSilent {
			f.endLocked(kind)
		}
	}
	return hit, true
}

// hold blocks while the endpoint is silent; it returns false when ctx ended meanwhile.
func (f *faults) hold(ctx context.Context) bool {
	for {
		f.mu.Lock()
		ended := f.ended[FaultSilent]
		f.mu.Unlock()
		if ended == nil {
			return true
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		}
	}
}

// before applies the faults that come before any answer: silence and lateness.
func (f *faults) before(r *http.Request) bool {
	if !f.hold(r.Context()) {
		return false
	}
	late, ok := f.strike(FaultLate)
	return !ok || sleep(r.Context(), time.Duration(late.DelayMS)*time.Millisecond)
}

// sleep waits for d and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *faults) handler(onCrash func()) http.HandlerFunc {
	known := map[string]bool{FaultCrash: true, FaultSilent: true, FaultLate: true, FaultCrossed: true,
		FaultEmpty: true, FaultLoseEvent: true, FaultCutStream: true, FaultClear: true}
	return func(w http.ResponseWriter, r *http.Request) {
		var next Fault
		if err := json.NewDecoder(r.Body).Decode(&next); err != nil || !known[next.Kind] {
			http.Error(w, "unknown fault", http.StatusBadRequest)
			return
		}
		if next.Kind == FaultCrash {
			onCrash()
		} else {
			f.set(next)
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a caller that went away needs no answer
}
