// Package oracle holds the checks that decide whether a trace kept what the system
// promises. They share no code with the parts they judge.
package oracle

import "time"

// Grant is the bound on a client account: rate in tokens a second, burst in tokens.
type Grant struct {
	Rate  int64
	Burst int64
}

// Admission is a number of tokens admitted at one moment of the trace.
type Admission struct {
	At     time.Duration
	Tokens int64
}

// Excess is the worst break of the bound: the tokens over the bound in some window
// that ends at At. Tokens is 0 when no window passes its bound.
type Excess struct {
	At     time.Duration
	Tokens int64
}

// nano is the number of parts that a token is counted in, so that rate × nanoseconds is exact.
const nano = int64(time.Second)

// WindowChecker checks that over every closed window of the trace the admitted tokens stay
// within burst + rate × length, in constant work per admission.
//
// With A the tokens admitted in [s, t], the fill max over s of A − rate × (t − s)
// is a virtual bucket that drains at the rate and never below zero. All windows that
// end at t keep their bound exactly if the fill is at most the burst.
//
// Admissions must come in order of time. After a change of the grant, the larger rate
// counts until the end of the change's grace, and the larger burst for all windows
// that start before it.
type WindowChecker struct {
	rate     int64
	former   int64 // rate that counts until graceEnd
	graceEnd time.Duration
	last     time.Duration
	phases   []phase
	worst    Excess
}

// phase checks the windows that start at from or later.
type phase struct {
	from  time.Duration
	burst int64
	fill  int64 // tokens × nano
}

// NewWindowChecker returns a check of a grant that is in force from time zero on.
func NewWindowChecker(g Grant) *WindowChecker {
	return &WindowChecker{rate: g.Rate, former: g.Rate, phases: []phase{{burst: g.Burst}}}
}

// Add records admitted tokens.
func (w *WindowChecker) Add(at time.Duration, tokens int64) {
	w.drain(at)
	for i := range w.phases {
		p := &w.phases[i]
		if at < p.from {
			continue
		}
		p.fill += tokens * nano
		over := (p.fill - p.burst*nano + nano - 1) / nano
		if over > w.worst.Tokens {
			w.worst = Excess{At: at, Tokens: over}
		}
	}
}

// Change puts another grant in force; what was granted before it ends within grace.
func (w *WindowChecker) ChangeGrant(at time.Duration, g Grant, grace time.Duration) {
	w.drain(at)
	w.former, w.rate = max(w.former, w.rate), g.Rate
	w.graceEnd = at + grace
	for i := range w.phases {
		w.phases[i].burst = max(w.phases[i].burst, g.Burst)
	}
	w.phases = append(w.phases, phase{from: w.graceEnd, burst: g.Burst})
}

// Worst returns the worst break so far.
func (w *WindowChecker) Worst() Excess { return w.worst }

// drain lets the fills run out at the rate up to the moment at.
func (w *WindowChecker) drain(at time.Duration) {
	if w.last < w.graceEnd {
		w.drainAt(min(at, w.graceEnd), max(w.former, w.rate))
	}
	if at >= w.graceEnd {
		w.former = w.rate
		w.drainAt(at, w.rate)
	}
}

func (w *WindowChecker) drainAt(at time.Duration, rate int64) {
	elapsed := int64(at - w.last)
	if elapsed <= 0 {
		return
	}
	w.last = at
	for i := range w.phases {
		p := &w.phases[i]
		if float64(elapsed)*float64(rate) >= float64(p.fill) {
			p.fill = 0
		} else {
			p.fill -= elapsed * rate
		}
	}
}

// CheckWindows checks a whole trace, which must be in order of time.
func CheckWindows(g Grant, trace []Admission) Excess {
	w := NewWindowChecker(g)
	for _, a := range trace {
		w.Add(a.At, a.Tokens)
	}
	return w.Worst()
}
