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

// leastOffset is the difference of clocks that is worth a word.
const leastOffset = 5 * time.Millisecond

// Print writes the story as text. Times are in seconds from the request's start.
func (s *Report) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, taken by %s\n", s.ID, s.RequestLines[len(s.RequestLines)-1].VM)
	b.WriteString(s.clocks())
	for _, part := range []struct {
		title  string
		events []Event
	}{
		{"what was believed then", s.ProcessState}, {"warnings on its VM before", s.PrecedingWarnings},
		{"earlier requests of the same prefix", s.RelatedRequests}, {"the request", s.RequestLines},
	} {
		if len(part.events) == 0 {
			continue
		}
		fmt.Fprintf(&b, "\n%s:\n", part.title)
		for _, e := range part.events {
			fmt.Fprintf(&b, "  %+9.3f  %s  %s", e.When.Sub(s.Begin).Seconds(), e.VM, e.Message)
			if e.Request != "" && e.Request != s.ID {
				fmt.Fprintf(&b, " request=%s", e.Request)
			}
			b.WriteString(fields(e.Fields) + "\n")
		}
	}
	if s.Server != nil {
		fmt.Fprintf(&b, "\nserver %s within %v of its end: %d other requests ended, %d of them failed\n", s.Server.Server, activityWindow, s.Server.Ended, s.Server.Failed)
	}
	fmt.Fprintf(&b, "\noutcome: %s", orNone(s.Verdict.Outcome))
	if s.Verdict.Kind != "" {
		fmt.Fprintf(&b, ", %s", s.Verdict.Kind)
	}
	fmt.Fprintf(&b, "\ndecided by: %s\n", s.Verdict.Reason)
	if s.Verdict.Next != "" {
		fmt.Fprintf(&b, "look next at: %s\n", s.Verdict.Next)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write story")
}

// clocks says how the times of the VMs compare.
func (s *Report) clocks() string {
	if !s.Compared {
		return "clocks: no collector's time in the input, so the order between VMs is that of their own clocks\n"
	}
	var off []string
	for _, vm := range slices.Sorted(maps.Keys(s.Offsets)) {
		if d := s.Offsets[vm]; d.Abs() >= leastOffset {
			off = append(off, fmt.Sprintf("%s %+.3f s", vm, d.Seconds()))
		}
	}
	if len(off) == 0 {
		return fmt.Sprintf("clocks: all VMs below agree within %v\n", leastOffset)
	}
	return "clocks off, as the collector saw them: " + strings.Join(off, ", ") + "\n"
}

// fields writes the fields that say something, by name.
func fields(all map[string]any) string {
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

func orNone(s string) string {
	if s == "" {
		return "not known"
	}
	return s
}
