package oracle

import (
	"cmp"
	"slices"
	"time"
)

// Interval is a request seen from outside: its tokens were admitted at some moment
// between From and To.
type Interval struct {
	From, To time.Duration
	Tokens   int64
}

// Overrun is a window in which more was surely admitted than a grant allows.
type Overrun struct {
	From, To time.Duration
	Tokens   int64 // over the bound
}

// CheckIntervals returns the worst window that breaks burst + rate × length, counting
// only requests that lie in the window as a whole, so that it never accuses wrongly.
func CheckIntervals(rate, burst float64, trace []Interval) (Overrun, bool) {
	byEnd := slices.Clone(trace)
	slices.SortFunc(byEnd, func(a, b Interval) int { return cmp.Compare(a.To, b.To) })
	var worst Overrun
	for _, first := range trace {
		sum := int64(0)
		for _, r := range byEnd {
			if r.From < first.From {
				continue
			}
			sum += r.Tokens
			bound := burst + rate*(r.To-first.From).Seconds()
			if over := float64(sum) - bound; over > 0 && int64(over) >= worst.Tokens {
				worst = Overrun{From: first.From, To: r.To, Tokens: int64(over) + 1}
			}
		}
	}
	return worst, worst.Tokens > 0
}

// CheckRuns judges one request ID of a non-idempotent route: how often it ran, against
// what its caller was told. notRun counts attempts answered "not run", others all the
// rest; completed says that one of them brought the answer.
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
