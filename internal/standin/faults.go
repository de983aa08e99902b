package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/retryafter"
)

// Kinds of faults that POST /admin/fault accepts.
const (
	FaultCrash     = "crash"      // cut every connection and restart with empty state; an engine gets a new incarnation
	FaultSilent    = "silent"     // accept requests but send nothing, on open connections too
	FaultLate      = "late"       // respond after DelayMS
	FaultCrossed   = "crossed"    // respond with the answer to another request
	FaultEmpty     = "empty"      // respond with status 200 and no body
	FaultLoseEvent = "lose-event" // drop cache events
	FaultCutStream = "cut-stream" // cut the connection after AfterTokens tokens; a plain service cuts it before its response
	FaultLeaving   = "leaving"    // announce in every response that the stand-in will stop; it keeps serving
	FaultPause     = "pause"      // refuse requests with status 503 and a Retry-After of DelayMS
	FaultLimit     = "limit"      // state in every response that PerSecond requests are taken; all are
	FaultClear     = "clear"      // end all faults
)

// Fault is the body of POST /admin/fault.
type Fault struct {
	Kind string `json:"kind"`
	// Count is the number of requests (for FaultLoseEvent: of events) that the fault hits; 0 means
	// all until it is cleared. FaultSilent ignores it.
	Count       int   `json:"count,omitempty"`
	DelayMS     int64 `json:"delay_ms,omitempty"`
	AfterTokens int   `json:"after_tokens,omitempty"`
	PerSecond   int   `json:"per_second,omitempty"`
}

// faults holds the active faults of a stand-in by kind.
type faults struct {
	mu     sync.Mutex
	active map[string]*Fault
	ended  map[string]chan struct{} // by kind; closed when the fault ends
}

func newFaults() *faults {
	return &faults{active: map[string]*Fault{}, ended: map[string]chan struct{}{}}
}

// set activates a fault, in place of an active one of its kind; FaultClear ends all.
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

// trigger reports whether a fault of the kind hits this request or event, and counts the hit. A fault
// ends after its last hit.
func (f *faults) trigger(kind string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := f.active[kind]
	if active == nil {
		return Fault{}, false
	}
	hit := *active
	if active.Count > 0 {
		active.Count--
		if active.Count == 0 && kind != FaultSilent {
			f.endLocked(kind)
		}
	}
	return hit, true
}

// waitWhileSilent blocks while FaultSilent is active. It returns false if ctx ends first.
func (f *faults) waitWhileSilent(ctx context.Context) bool {
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

// delayResponse applies FaultSilent and FaultLate. It returns false if the request ended
// meanwhile.
func (f *faults) delayResponse(r *http.Request) bool {
	if !f.waitWhileSilent(r.Context()) {
		return false
	}
	late, ok := f.trigger(FaultLate)
	return !ok || sleep(r.Context(), time.Duration(late.DelayMS)*time.Millisecond)
}

// sleep waits for d. It returns false if ctx ends first.
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

// announce applies FaultLeaving and FaultLimit to the header of a response.
func (f *faults) announce(w http.ResponseWriter) {
	if _, ok := f.trigger(FaultLeaving); ok {
		w.Header().Set(engineapi.HeaderLeaving, engineapi.HeaderLeavingValue)
	}
	if fault, ok := f.trigger(FaultLimit); ok {
		w.Header().Set(engineapi.HeaderLimit, strconv.Itoa(fault.PerSecond))
	}
}

// pause applies FaultPause and reports whether it has refused the request.
func (f *faults) pause(w http.ResponseWriter) bool {
	fault, ok := f.trigger(FaultPause)
	if !ok {
		return false
	}
	delay := time.Duration(fault.DelayMS) * time.Millisecond
	w.Header().Set(retryafter.Header, strconv.FormatFloat(delay.Seconds(), 'f', -1, 64))
	writeError(w, http.StatusServiceUnavailable, "paused", "no requests are taken for now")
	return true
}

// handler serves POST /admin/fault; FaultCrash calls onCrash.
func (f *faults) handler(onCrash func()) http.HandlerFunc {
	known := map[string]bool{FaultCrash: true, FaultSilent: true, FaultLate: true, FaultCrossed: true,
		FaultEmpty: true, FaultLoseEvent: true, FaultCutStream: true, FaultLeaving: true, FaultPause: true, FaultLimit: true, FaultClear: true}
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
	_ = json.NewEncoder(w).Encode(value) // fails only if the client disconnected
}
