package placement

import (
	"time"

	"eelgrasshollow/internal/statemachine"
)

// FencingNumber is the fencing number of an order. Numbers are compared by term, then by
// sequence.
type FencingNumber struct{ Term, Sequence uint64 }

// Less reports whether n is below o.
func (n FencingNumber) Less(o FencingNumber) bool {
	return n.Term < o.Term || n.Term == o.Term && n.Sequence < o.Sequence
}

// fence assigns fencing numbers to the orders of this replica while it leads. For endpoints
// that don't check the numbers, it withholds the first order of a term until the previous
// leader can no longer send.
type fence struct {
	leadership statemachine.Leadership
	// successorWait is the time from termStart for which orders to endpoints that don't check
	// fencing numbers are withheld. It covers the previous leader's lease and its longest call.
	successorWait time.Duration

	term      uint64
	sequence  uint64 // of the last number that was assigned or read back
	termStart time.Time
	// readBackDone has the endpoints whose last order was read in this term.
	readBackDone map[string]bool
}

// leading reports whether this replica leads now, and in newTerm whether it leads in another
// term than at the previous call.
func (f *fence) leading(now time.Time) (newTerm, ok bool) {
	term, ok := f.leadership.Leading()
	if !ok {
		return false, false
	}
	if term != f.term {
		*f = fence{leadership: f.leadership, successorWait: f.successorWait, term: term, termStart: now, readBackDone: map[string]bool{}}
		return true, true
	}
	return false, true
}

// nextNumber returns the fencing number of an order; false if the order must not be sent now.
// checksFencing reports whether the endpoint checks fencing numbers.
func (f *fence) nextNumber(now time.Time, checksFencing bool) (FencingNumber, bool) {
	if term, ok := f.leadership.Leading(); !ok || term != f.term {
		return FencingNumber{}, false
	}
	if !checksFencing && now.Sub(f.termStart) < f.successorWait {
		return FencingNumber{}, false
	}
	f.sequence++
	return FencingNumber{Term: f.term, Sequence: f.sequence}, true
}

// recordLastOrder processes the number of the last order that an endpoint accepted, so that
// the sequence continues after it. It returns false if that order was sent in a later term.
func (f *fence) recordLastOrder(endpoint string, last FencingNumber) bool {
	if last.Term > f.term {
		return false
	}
	if last.Term == f.term {
		f.sequence = max(f.sequence, last.Sequence)
	}
	f.readBackDone[endpoint] = true
	return true
}
