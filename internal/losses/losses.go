// Package losses accounts for the requests of a period from the structured logs of all entry
// VMs: by time, who waited and who was refused, and which shared prompt tokens were sent to be
// computed again, with the reason.
//
// The logs show where a prompt was sent and what its VM believed, not what the server had in
// its cache. So a prompt that was sent to a server which had it before counts as cached, even
// if the server has evicted it since.
package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"eelgrasshollow/internal/explain"

	"github.com/cockroachdb/errors"
)

// Reason is why shared tokens were sent to a server that had not computed them.
type Reason string

// The reasons.
const (
	RestartedVM   Reason = "VM restarted, its index is lost"
	SiblingFlight Reason = "another request was computing them"
	NewsOnItsWay  Reason = "news of another VM was not heard yet"
	ImportFailed  Reason = "an import was named"
	NoImport      Reason = "no import was named"
)

const (
	// reuseWindow is the time after the last use of a shared part within which computing it
	// again counts as a loss.
	reuseWindow = 10 * time.Second
	// newsDelay is the age up to which the first use at another VM may not have been heard of.
	newsDelay = 500 * time.Millisecond
	// longWait is the time before a request is sent from which it counts as waiting.
	longWait = 50 * time.Millisecond
)

// Row accounts for the requests that arrived in one interval.
type Row struct {
	From      time.Duration // since the first request of the logs
	Requests  int
	Waited    int // sent later than longWait after their arrival
	Longest   time.Duration
	Held      int            // waited because their service was crowded, see package admission; part of Waited if they waited long
	Refused   map[string]int // by error text, with digits removed
	Failed    map[string]int // by error kind
	Again     map[Reason]int // shared tokens sent to be computed again
	FirstRead int            // shared tokens that nobody had computed within reuseWindow
}

// request is a request with a log line of its end.
type request struct {
	vm, server, part, weights string
	arrived, sent, answered   time.Time // answered is zero without a response
	tokens                    int       // of the shared parts
	imports                   bool
	line                      *explain.Event
}

// Account returns one row for each interval with requests, in order of time.
func Account(lines []explain.Line, interval time.Duration) []Row {
	events := explain.OnCommonTime(lines)
	restarts := map[string][]time.Time{}
	var requests []request
	for i := range events {
		e := &events[i]
		switch e.Message {
		case "start":
			restarts[e.VM] = append(restarts[e.VM], e.When)
		case "request served", "request failed":
			requests = append(requests, newRequest(e))
		}
	}
	if len(requests) == 0 {
		return nil
	}
	slices.SortStableFunc(requests, func(a, b request) int { return a.arrived.Compare(b.arrived) })
	first := requests[0].arrived
	rows := map[int]*Row{}
	reads := map[string][]request{}
	for _, r := range requests {
		n := int(r.arrived.Sub(first) / interval)
		row := rows[n]
		if row == nil {
			row = &Row{From: time.Duration(n) * interval, Refused: map[string]int{}, Failed: map[string]int{}, Again: map[Reason]int{}}
			rows[n] = row
		}
		row.add(r)
		if r.part == "" || r.server == "" {
			continue
		}
		key := r.weights + "\x00" + r.part
		row.addRead(r, reads[key], restarts[r.vm])
		reads[key] = append(reads[key], r)
	}
	var sorted []Row
	for _, n := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, *rows[n])
	}
	return sorted
}

func newRequest(e *explain.Event) request {
	field := func(name string) time.Duration { return time.Duration(e.Number(name) * float64(time.Millisecond)) }
	arrived := e.When.Add(-field("took"))
	r := request{
		vm: e.VM, server: e.Text("server"), part: e.Text("shared_part"), weights: e.Text("weights"),
		arrived: arrived, sent: arrived.Add(field("sent_after")), tokens: int(e.Number("shared_tokens")), imports: e.Text("import_from") != "", line: e,
	}
	if after := field("first_event_after"); after > 0 {
		r.answered = arrived.Add(after)
	}
	return r
}

// add counts a request and its end.
func (row *Row) add(r request) {
	row.Requests++
	if wait := r.sent.Sub(r.arrived); wait > longWait {
		row.Waited++
		row.Longest = max(row.Longest, wait)
	}
	if r.line.Number("held") > 0 {
		row.Held++
	}
	switch {
	case r.line.Message != "request failed":
	case r.line.Text("outcome") == "not-run":
		row.Refused[withoutDigits(r.line.Text("error"))]++
	default:
		row.Failed[r.line.Text("kind")]++
	}
}

// addRead counts the shared tokens of a request that its server had not computed. earlier are
// the requests with the same shared part and weights, and restarts the starts of the request's
// VM.
func (row *Row) addRead(r request, earlier []request, restarts []time.Time) {
	var recent []request
	for _, e := range earlier {
		if e.sent.After(r.sent) || r.sent.Sub(e.sent) > reuseWindow {
			continue
		}
		if e.server == r.server {
			return // it is cached there
		}
		recent = append(recent, e)
	}
	if len(recent) == 0 {
		row.FirstRead += r.tokens
		return
	}
	row.Again[reasonOf(r, recent, restarts)] += r.tokens
}

func reasonOf(r request, recent []request, restarts []time.Time) Reason {
	var computed []request
	for _, e := range recent {
		if !e.answered.IsZero() && e.answered.Before(r.sent) {
			computed = append(computed, e)
		}
	}
	switch {
	case r.imports && len(computed) > 0:
		return ImportFailed
	case len(computed) == 0:
		return SiblingFlight
	}
	last := slices.MaxFunc(computed, func(a, b request) int { return a.sent.Compare(b.sent) })
	if slices.ContainsFunc(restarts, func(at time.Time) bool { return at.After(last.sent) && at.Before(r.sent) }) {
		return RestartedVM
	}
	own := slices.ContainsFunc(computed, func(e request) bool { return e.vm == r.vm })
	earliest := slices.MinFunc(computed, func(a, b request) int { return a.sent.Compare(b.sent) })
	if !own && r.sent.Sub(earliest.sent) < newsDelay {
		return NewsOnItsWay
	}
	return NoImport
}

// withoutDigits replaces the digits of an error text, so that texts that differ in numbers
// only are counted together.
func withoutDigits(text string) string {
	return strings.Map(func(c rune) rune {
		if c >= '0' && c <= '9' {
			return '#'
		}
		return c
	}, text)
}

// Print writes the rows as text, with totals by reason.
func Print(w io.Writer, rows []Row) error {
	var b strings.Builder
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "from s\trequests\twaited\tlongest ms\theld\trefused\tfailed\tshared tokens read first\tagain\t") // a Builder never fails
	refused, failed, again := map[string]int{}, map[string]int{}, map[Reason]int{}
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.From.Seconds(), r.Requests, r.Waited, r.Longest.Milliseconds(), r.Held,
			sum(r.Refused), sum(r.Failed), r.FirstRead, sum(r.Again))
		merge(refused, r.Refused)
		merge(failed, r.Failed)
		merge(again, r.Again)
	}
	_ = table.Flush() // a Builder never fails
	printTotals(&b, "shared tokens sent to be computed again, by reason", again)
	printTotals(&b, "refused, by error", refused)
	printTotals(&b, "failed, by kind", failed)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write the account")
}

func sum[K comparable](counts map[K]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func merge[K comparable](into, from map[K]int) {
	for key, n := range from {
		into[key] += n
	}
}

// printTotals writes counts, the highest first.
func printTotals[K ~string](b *strings.Builder, title string, counts map[K]int) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%s:\n", title)
	for _, key := range slices.SortedFunc(maps.Keys(counts), func(a, c K) int {
		return cmp.Or(cmp.Compare(counts[c], counts[a]), cmp.Compare(a, c))
	}) {
		fmt.Fprintf(b, "  %9d  %s\n", counts[key], key)
	}
}
