package oracle

import (
	"cmp"
	"slices"
	"time"
)

// Interval is a request as its client observes it: its tokens were admitted at an unknown time
// between From and To, both counted from the start of the trace.
type Interval struct {
	From, To time.Duration
	Tokens   int64
}

// Overrun is a window of the trace in which more tokens were certainly admitted than the grant
// allows.
type Overrun struct {
	From, To time.Duration
	Tokens   int64 // above the bound
}

// CheckIntervals returns the window that exceeds burst + rate × length by the most tokens, and
// whether there is one. It counts only requests whose whole interval lies in the window, so it
// never reports a trace that kept the bound.
func CheckIntervals(rate, burst float64, trace []Interval) (Overrun, bool) {
	byEnd := slices.Clone(trace)
	slices.SortFunc(byEnd, func(a, b Interval) int { return cmp.Compare(a.To, b.To) })
	var worst Overrun
	for _, first := range trace {
		sum := int64(0)
		for _, request := range byEnd {
			if request.From < first.From {
				continue
			}
			sum += request.Tokens
			bound := burst + rate*(request.To-first.From).Seconds()
			if over := float64(sum) - bound; over > 0 && int64(over) >= worst.Tokens {
				worst = Overrun{From: first.From, To: request.To, Tokens: int64(over) + 1}
			}
		}
	}
	return worst, worst.Tokens > 0
}

// CheckRuns checks one request ID of a non-idempotent route: it compares how often the request
// ran with the responses that the client received. notRun is the number of attempts with the
// outcome not-run, others the number of all other attempts; completed is true if one attempt
// returned the answer. The result describes the violation; it is empty if there is none.
func CheckRuns(runs, notRun, others int, completed bool) string {
	switch {
	case runs > 1:
		return "ran more than once"
	case runs > 0 && others == 0 && notRun > 0:
		return "ran although every attempt was answered not-run"
	case runs == 0 && completed:
		return "was answered as completed but never ran"
	}
	return ""
}
