package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"eelgrasshollow/internal/engineapi"
)

// maxEvents bounds the events stored for readers that resume.
const maxEvents = 4096

// eventLog holds the latest cache events of an incarnation. It delays every event and drops a
// share of them.
type eventLog struct {
	delay time.Duration
	loss  float64 // share of events lost at random, 0 to 1

	mu          sync.Mutex
	random      *rand.Rand
	incarnation string
	seq         uint64 // number of the last event, lost ones included
	events      []timedEvent
	changed     chan struct{} // closed and replaced at each change
}

type timedEvent struct {
	event engineapi.Event
	due   time.Time
}

func newEventLog(delay time.Duration, loss float64, seed uint64) *eventLog {
	return &eventLog{delay: delay, loss: loss, random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

// reset removes all events and starts a new incarnation.
func (l *eventLog) reset(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation, l.seq, l.events = incarnation, 0, nil
	l.notifyLocked()
}

// notifyLocked wakes the readers that wait for a change.
func (l *eventLog) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// publish numbers and stores an event. A lost event is not stored and leaves a gap in the
// numbers.
func (l *eventLog) publish(lost bool, kind, salt string, hashes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if lost || l.random.Float64() < l.loss {
		return
	}
	e := engineapi.Event{Incarnation: l.incarnation, Seq: l.seq, Kind: kind, Salt: salt, Hashes: hashes}
	l.events = append(l.events, timedEvent{e, time.Now().Add(l.delay)})
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
	l.notifyLocked()
}

// dueAfter returns the due events with numbers above seq, the time when the next event is due
// (zero: none is pending), and a channel that is closed at the next change. If incarnation is
// not the current one, it returns events from the first on.
func (l *eventLog) dueAfter(seq uint64, incarnation string) (due []engineapi.Event, next time.Time, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation {
		seq = 0
	}
	now := time.Now()
	for _, stored := range l.events {
		if stored.event.Seq <= seq {
			continue
		}
		if stored.due.After(now) {
			return due, stored.due, l.changed
		}
		due = append(due, stored.event)
	}
	return due, time.Time{}, l.changed
}

// serveEvents streams cache events until the client disconnects or the engine crashes.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	ctx, stop := e.untilCrash(r.Context())
	defer stop()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	seq, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // absent: from the first event on
	incarnation := e.Incarnation()
	for e.faults.waitWhileSilent(ctx) {
		due, next, changed := e.events.dueAfter(seq, incarnation)
		for _, event := range due {
			if writeEvent(w, event) != nil {
				return
			}
			seq, incarnation = event.Seq, event.Incarnation
		}
		flush(w)
		if !waitFor(ctx, next, changed) {
			break
		}
	}
	if e.endedByEngine(ctx, r.Context()) {
		panic(http.ErrAbortHandler)
	}
}

func writeEvent(w http.ResponseWriter, event engineapi.Event) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Seq, data)
	return err
}

// waitFor waits until next (zero: no time limit) or a change. It returns false if ctx ends.
func waitFor(ctx context.Context, next time.Time, changed <-chan struct{}) bool {
	var due <-chan time.Time
	if !next.IsZero() {
		t := time.NewTimer(time.Until(next))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-due:
		return true
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
