package placement

import (
	"time"

	"eelgrasshollow/internal/statemachine"
)

// FencingNumber is a fencing number; the term is compared first.
type FencingNumber struct{ Term, Sequence uint64 }

// Less orders numbers.
func (n FencingNumber) Less(o FencingNumber) bool {
	return n.Term < o.Term || n.Term == o.Term && n.Sequence < o.Sequence
}

// fence numbers the orders of one leadership. For endpoints that don't check numbers,
// it holds the first order back until the sender before has stopped for sure.
type fence struct {
	leadership statemachine.Leadership
	wait       time.Duration // a lease and the longest call of the sender before

	term     uint64
	sequence uint64
	since    time.Time
	read     map[string]bool // endpoints whose last order was read back in this term
}

// leading reports whether this replica may send now; changed tells that a new term
// has begun.
func (f *fence) leading(now time.Time) (changed, ok bool) {
	term, ok := f.leadership.Leading()
	if !ok {
		return false, false
	}
	if term != f.term {
		*f = fence{leadership: f.leadership, wait: f.wait, term: term, since: now, read: map[string]bool{}}
		return true, true
	}
	return false, true
}

// next returns the number for an order; false when it may not be sent now.
func (f *fence) next(now time.Time, checks bool) (FencingNumber, bool) {
	if term, ok := f.leadership.Leading(); !ok || term != f.term {
		return FencingNumber{}, false
	}
	if !checks && now.Sub(f.since) < f.wait {
		return FencingNumber{}, false
	}
	f.sequence++
	return FencingNumber{Term: f.term, Sequence: f.sequence}, true
}

// readBack takes in the last order that an endpoint obeyed; false when a later sender
// has been there.
func (f *fence) readBack(endpoint string, last FencingNumber) bool {
	if last.Term > f.term {
		return false
	}
	if last.Term == f.term {
		f.sequence = max(f.sequence, last.Sequence)
	}
	f.read[endpoint] = true
	return true
}
