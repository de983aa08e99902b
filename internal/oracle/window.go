// Package oracle contains the checks that decide whether a trace of requests satisfies the
// guarantees of the system. They share no code with the packages that they check.
package oracle

import "time"

// Grant is the limit of a client account: the rate in tokens per second, the burst in tokens.
type Grant struct {
	Rate  int64
	Burst int64
}

// Admission is a number of tokens admitted at one time, counted from the start of the trace.
type Admission struct {
	At     time.Duration
	Tokens int64
}

// Excess is the largest violation of the bound: Tokens above the bound in some window that ends
// at At. Tokens is 0 if no window exceeds its bound.
type Excess struct {
	At     time.Duration
	Tokens int64
}

// unitsPerToken is the number of integer units in which a token is counted, so that rate ×
// nanoseconds is exact.
const unitsPerToken = int64(time.Second)

// WindowChecker checks that the tokens admitted in every closed window of the trace are at most
// burst + rate × length. The work per admission is constant.
//
// Let A(s, t) be the tokens admitted in [s, t]. The maximum over s of A(s, t) − rate × (t − s) is
// the level of a virtual bucket that drains at the rate and never below zero. All windows that
// end at t are within their bound if and only if the level is at most the burst.
//
// Admissions must be added in order of time. After a change of the grant, the larger rate
// applies until the end of the change's grace period, and the larger burst applies to all
// windows that start before that end.
type WindowChecker struct {
	rate     int64
	oldRate  int64 // largest rate that applies until graceEnd
	graceEnd time.Duration
	last     time.Duration // time up to which the levels are drained
	phases   []phase
	worst    Excess
}

// phase is the virtual bucket of the windows that start at from or later.
type phase struct {
	from  time.Duration
	burst int64
	level int64 // tokens × unitsPerToken
}

// NewWindowChecker returns a checker for a grant that is in force from time 0.
func NewWindowChecker(g Grant) *WindowChecker {
	return &WindowChecker{rate: g.Rate, oldRate: g.Rate, phases: []phase{{burst: g.Burst}}}
}

// Add records admitted tokens.
func (w *WindowChecker) Add(at time.Duration, tokens int64) {
	w.drain(at)
	for i := range w.phases {
		p := &w.phases[i]
		if at < p.from {
			continue
		}
		p.level += tokens * unitsPerToken
		over := (p.level - p.burst*unitsPerToken + unitsPerToken - 1) / unitsPerToken
		if over > w.worst.Tokens {
			w.worst = Excess{At: at, Tokens: over}
		}
	}
}

// ChangeGrant puts another grant in force at the given time. Tokens granted before may still be
// admitted within the grace period.
func (w *WindowChecker) ChangeGrant(at time.Duration, g Grant, grace time.Duration) {
	w.drain(at)
	w.oldRate, w.rate = max(w.oldRate, w.rate), g.Rate
	w.graceEnd = at + grace
	for i := range w.phases {
		w.phases[i].burst = max(w.phases[i].burst, g.Burst)
	}
	w.phases = append(w.phases, phase{from: w.graceEnd, burst: g.Burst})
}

// Worst returns the largest violation so far.
func (w *WindowChecker) Worst() Excess { return w.worst }

// drain lowers the levels to their values at the given time.
func (w *WindowChecker) drain(at time.Duration) {
	if w.last < w.graceEnd {
		w.drainAt(min(at, w.graceEnd), max(w.oldRate, w.rate))
	}
	if at >= w.graceEnd {
		w.oldRate = w.rate
		w.drainAt(at, w.rate)
	}
}

// drainAt lowers the levels at one rate.
func (w *WindowChecker) drainAt(at time.Duration, rate int64) {
	elapsed := int64(at - w.last)
	if elapsed <= 0 {
		return
	}
	w.last = at
	for i := range w.phases {
		p := &w.phases[i]
		if float64(elapsed)*float64(rate) >= float64(p.level) {
			p.level = 0
		} else {
			p.level -= elapsed * rate
		}
	}
}

// CheckWindows returns the largest violation in a trace, which must be in order of time.
func CheckWindows(g Grant, trace []Admission) Excess {
	w := NewWindowChecker(g)
	for _, a := range trace {
		w.Add(a.At, a.Tokens)
	}
	return w.Worst()
}
