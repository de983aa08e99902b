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

// eventsKept bounds the events that a reader can still ask for.
const eventsKept = 4096

// eventLog holds an incarnation's cache events; some are lost, all come late.
type eventLog struct {
	delay time.Duration
	loss  float64

	mu          sync.Mutex
	random      *rand.Rand
	incarnation string
	seq         uint64
	kept        []timedEvent
	changed     chan struct{}
}

type timedEvent struct {
	event engineapi.Event
	due   time.Time
}

func newEventLog(delay time.Duration, loss float64, seed uint64) *eventLog {
	return &eventLog{delay: delay, loss: loss, random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

func (l *eventLog) reset(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation, l.seq, l.kept = incarnation, 0, nil
	l.wakeLocked()
}

func (l *eventLog) wakeLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// publish numbers an event; a lost one leaves a gap in the numbers.
func (l *eventLog) publish(lost bool, kind, salt string, hashes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if lost || l.random.Float64() < l.loss {
		return
	}
	e := engineapi.Event{Incarnation: l.incarnation, Seq: l.seq, Kind: kind, Salt: salt, Hashes: hashes}
	l.kept = append(l.kept, timedEvent{e, time.Now().Add(l.delay)})
	if len(l.kept) > eventsKept {
		l.kept = l.kept[len(l.kept)-eventsKept:]
	}
	l.wakeLocked()
}

// after returns the due events above seq, when the next one falls due (zero: none is
// pending) and what to wait on.
func (l *eventLog) after(seq uint64, incarnation string) (due []engineapi.Event, next time.Time, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation {
		seq = 0
	}
	now := time.Now()
	for _, k := range l.kept {
		if k.event.Seq <= seq {
			continue
		}
		if k.due.After(now) {
			return due, k.due, l.changed
		}
		due = append(due, k.event)
	}
	return due, time.Time{}, l.changed
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	ctx, stop := e.untilCrash(r.Context())
	defer stop()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	seq, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // absent: from the start
	incarnation := e.Incarnation()
	for e.faults.hold(ctx) {
		due, next, changed := e.events.after(seq, incarnation)
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
	if e.hasCrashed(ctx, r.Context()) {
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

// waitFor waits until next (zero: without end) or a change; false when ctx ends.
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
