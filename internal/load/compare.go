package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// figure is a named value of a report: a row of a comparison.
type figure struct {
	name  string
	value func(*Report) float64
}

func figures() []figure {
	return []figure{
		{"requests", func(r *Report) float64 { return float64(r.Requests) }},
		{"answered", func(r *Report) float64 { return float64(r.OK) }},
		{"refused", func(r *Report) float64 { return float64(r.Refused) }},
		{"failed", func(r *Report) float64 { return float64(r.Failed) }},
		{"refused inside rate (attempts)", func(r *Report) float64 { return float64(r.refusedInRate()) }},
		{"first token p50 ms", func(r *Report) float64 { return r.First.P50 }},
		{"first token p95 ms", func(r *Report) float64 { return r.First.P95 }},
		{"first token p99 ms", func(r *Report) float64 { return r.First.P99 }},
		{"between tokens p95 ms", func(r *Report) float64 { return r.Gap.P95 }},
		{"order p99 ms", func(r *Report) float64 { return r.Order.P99 }},
		{"prefix hit rate", func(r *Report) float64 { return r.Cache.HitRate }},
		{"recomputed tokens", func(r *Report) float64 { return float64(r.Cache.Recomputed) }},
		{"worst account's answered share", func(r *Report) float64 { return r.worstAnsweredShare() }},
		{"oracle breaks", func(r *Report) float64 { return float64(r.violations()) }},
	}
}

// refusedInRate returns the attempts, over all client accounts, that were refused although
// a central token bucket would have admitted them.
func (r *Report) refusedInRate() (n int) {
	for _, a := range r.Accounts {
		n += a.RefusedInRate
	}
	return n
}

// worstAnsweredShare returns the lowest answered share of the client accounts that sent requests.
func (r *Report) worstAnsweredShare() float64 {
	worst := 1.0
	for _, a := range r.Accounts {
		if a.Requests > 0 {
			worst = min(worst, a.AnsweredShare)
		}
	}
	return worst
}

// violations returns the number of violations that all oracles found.
func (r *Report) violations() (n int) {
	for _, v := range r.Verdicts {
		n += v.Broken
	}
	return n
}

// Compare prints two reports side by side.
func Compare(w io.Writer, before, after *Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "figure\t%s\t%s\tratio\t\n", before.Name, after.Name)
	for _, f := range figures() {
		oldValue, newValue := f.value(before), f.value(after)
		ratio := "-"
		if oldValue != 0 {
			ratio = fmt.Sprintf("%.3f", newValue/oldValue)
		}
		fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%s\t\n", f.name, oldValue, newValue, ratio)
	}
	return table.Flush()
}

// Print writes the report as a text table.
func (r *Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, f := range figures() {
		fmt.Fprintf(table, "%s\t%.4g\n", f.name, f.value(r))
	}
	for _, a := range r.Accounts {
		fmt.Fprintf(table, "account %s\trequests=%d answered=%d refused=%d refused-inside-rate=%d tokens=%d share-of-grant=%.3f first-token-p50=%.1fms p99=%.1fms\n",
			a.Name, a.Requests, a.OK, a.Refused, a.RefusedInRate, a.Tokens, a.ShareOfGrant, a.First.P50, a.First.P99)
	}
	for code, n := range r.Codes {
		fmt.Fprintf(table, "attempts without an answer: %s\t%d\n", code, n)
	}
	for _, v := range r.Verdicts {
		fmt.Fprintf(table, "oracle: %s\t%s\n", v.Oracle, v.text())
	}
	return table.Flush()
}

func (v Verdict) text() string {
	switch {
	case v.Skipped != "":
		return "not judged: " + v.Skipped
	case v.Broken > 0:
		return fmt.Sprintf("BROKEN %d times in %d; %q", v.Broken, v.Checked, v.Examples)
	}
	return fmt.Sprintf("held in %d", v.Checked)
}
