package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// minShownOffset is the smallest clock offset that is printed.
const minShownOffset = 5 * time.Millisecond

// Print writes the report as text. Times are in seconds from the request's start.
func (r *Report) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, handled by %s\n", r.ID, r.RequestLines[len(r.RequestLines)-1].VM)
	b.WriteString(r.clockSummary())
	for _, section := range []struct {
		title  string
		events []Event
	}{
		{"process state at the time", r.ProcessState}, {"preceding warnings on its VM", r.PrecedingWarnings},
		{"earlier requests of the same prefix", r.RelatedRequests},
		{"earlier requests of other client accounts in its cache namespace", r.NamespaceOthers}, {"log lines of the request", r.RequestLines},
	} {
		if len(section.events) == 0 {
			continue
		}
		fmt.Fprintf(&b, "\n%s:\n", section.title)
		for _, e := range section.events {
			fmt.Fprintf(&b, "  %+9.3f  %s  %s", e.When.Sub(r.Begin).Seconds(), e.VM, e.Message)
			if e.Request != "" && e.Request != r.ID {
				fmt.Fprintf(&b, " request=%s", e.Request)
			}
			b.WriteString(formatFields(e.Fields) + "\n")
		}
	}
	if r.Server != nil {
		fmt.Fprintf(&b, "\nserver %s within %v of its end: %d other requests ended, %d of them failed\n", r.Server.Server, activityWindow, r.Server.Ended, r.Server.Failed)
	}
	if r.Namespace != nil {
		fmt.Fprintf(&b, "\ncache namespace of its last attempt: %s\n", r.Namespace)
	}
	fmt.Fprintf(&b, "\noutcome: %s", orUnknown(r.Verdict.Outcome))
	if r.Verdict.Kind != "" {
		fmt.Fprintf(&b, ", %s", r.Verdict.Kind)
	}
	fmt.Fprintf(&b, "\ndecided by: %s\n", r.Verdict.Reason)
	if r.Verdict.Next != "" {
		fmt.Fprintf(&b, "see next: %s\n", r.Verdict.Next)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write report")
}

// clockSummary describes the clock offsets of the VMs in the report.
func (r *Report) clockSummary() string {
	if !r.Compared {
		return "clocks: no collector's time in the input, so lines of different VMs are ordered by the VMs' own clocks\n"
	}
	var offsets []string
	for _, vm := range slices.Sorted(maps.Keys(r.Offsets)) {
		if d := r.Offsets[vm]; d.Abs() >= minShownOffset {
			offsets = append(offsets, fmt.Sprintf("%s %+.3f s", vm, d.Seconds()))
		}
	}
	if len(offsets) == 0 {
		return fmt.Sprintf("clocks: all VMs below agree within %v\n", minShownOffset)
	}
	return "clock offsets relative to the collector: " + strings.Join(offsets, ", ") + "\n"
}

// formatFields formats the fields in order of their names, without empty strings.
func formatFields(all map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		switch v := all[name].(type) {
		case string:
			if v != "" {
				fmt.Fprintf(&b, " %s=%q", name, v)
			}
		default:
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}

func orUnknown(s string) string {
	if s == "" {
		return "unknown"
	}
	return s
}
