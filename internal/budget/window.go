package budget

import (
	"sync"
	"time"
)

// windowSlots is the number of slots in which a Window counts.
const windowSlots = 20

// Window allows retries up to a share of the first attempts of a sliding window of time. Unlike Budget,
// what first attempts have earned is kept for the whole window, so that several failures in short
// succession can be retried at a low request rate. It is safe for concurrent use.
//
// Invariant: at each retry, retries ≤ reserve + share × first attempts, both counted over the window that
// ends with it.
type Window struct {
	mu      sync.Mutex
	share   float64
	reserve float64
	slot    time.Duration
	start   time.Time                 // of slot 0
	current int64                     // slot of the last call
	slots   [windowSlots + 1]attempts // ring by slot number
}

// attempts counts the attempts of a slot.
type attempts struct{ first, retries int }

// NewWindow returns an empty window. share is the number of retries allowed per first attempt,
// between 0 and 1, reserve the number of retries allowed in any case.
func NewWindow(share, reserve float64, length time.Duration) *Window {
	return &Window{share: share, reserve: max(0, reserve), slot: length / windowSlots}
}

// SetReserve changes the number of retries that are allowed in any case.
func (w *Window) SetReserve(reserve float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserve = max(0, reserve)
}

// Deposit counts a first attempt.
func (w *Window) Deposit(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).first++
}

// TryWithdraw reports whether a retry is allowed, and if so counts it.
func (w *Window) TryWithdraw(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := w.advance(now)
	if w.remaining() < 1 {
		return false
	}
	slot.retries++
	return true
}

// Remaining returns the number of retries left, including fractions.
func (w *Window) Remaining(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return max(0, w.remaining())
}

// remaining counts the retries of one slot more than the first attempts, as the oldest slot has ended
// within the window only in part.
func (w *Window) remaining() float64 {
	first, retries := 0, 0
	for i := range w.slots {
		retries += w.slots[i].retries
		first += w.slots[i].first
	}
	first -= w.slots[(w.current+1)%int64(len(w.slots))].first
	return w.reserve + w.share*float64(first) - float64(retries)
}

// advance drops what has left the window and returns the slot of now.
func (w *Window) advance(now time.Time) *attempts {
	if w.start.IsZero() {
		w.start = now
	}
	slots := int64(len(w.slots))
	number := max(int64(now.Sub(w.start)/w.slot), w.current)
	for n := max(w.current, number-slots) + 1; n <= number; n++ {
		w.slots[n%slots] = attempts{}
	}
	w.current = number
	return &w.slots[number%slots]
}
