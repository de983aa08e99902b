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

// Windows checks that over every closed window of the trace the admitted tokens stay
// within burst + rate × length, in constant work per admission.
//
// With A the tokens admitted in [s, t], the fill max over s of A − rate × (t − s)
// is a virtual bucket that drains at the rate and never below zero. All windows that
// end at t keep their bound exactly if the fill is at most the burst.
//
// Admissions must come in order of time. After a change of the grant the larger
// burst counts until the end of the change's grace.
type Windows struct {
	grant    Grant
	former   int64 // burst that still counts during the grace of a change
	graceEnd time.Duration
	fill     int64 // tokens × nano
	last     time.Duration
	worst    Excess
}

// NewWindows returns a check of a grant that is in force from time zero on.
func NewWindows(g Grant) *Windows { return &Windows{grant: g} }

// Add records admitted tokens.
func (w *Windows) Add(at time.Duration, tokens int64) {
	w.drain(at)
	w.fill += tokens * nano
	burst := w.grant.Burst
	if at <= w.graceEnd {
		burst = max(burst, w.former)
	}
	over := w.fill - burst*nano
	if over <= 0 {
		return
	}
	if tokensOver := (over + nano - 1) / nano; tokensOver > w.worst.Tokens {
		w.worst = Excess{At: at, Tokens: tokensOver}
	}
}

// Change puts another grant in force. Until grace has passed the larger of both
// bursts counts, and the larger of both rates.
func (w *Windows) Change(at time.Duration, g Grant, grace time.Duration) {
	w.drain(at)
	w.former = max(w.grant.Burst, g.Burst)
	w.graceEnd = at + grace
	if extra := w.grant.Rate - g.Rate; extra > 0 {
		// The old rate may be spent until the grace ends.
		w.former += int64(float64(extra) * grace.Seconds())
	}
	w.grant = g
}

// Worst returns the worst break so far.
func (w *Windows) Worst() Excess { return w.worst }

// drain lets the fill run out at the rate up to the moment at.
func (w *Windows) drain(at time.Duration) {
	elapsed := int64(at - w.last)
	w.last = at
	if elapsed <= 0 || w.fill == 0 {
		return
	}
	if float64(elapsed)*float64(w.grant.Rate) >= float64(w.fill) {
		w.fill = 0
		return
	}
	w.fill -= elapsed * w.grant.Rate
}

// CheckWindows checks a whole trace, which must be in order of time.
func CheckWindows(g Grant, trace []Admission) Excess {
	w := NewWindows(g)
	for _, a := range trace {
		w.Add(a.At, a.Tokens)
	}
	return w.Worst()
}
