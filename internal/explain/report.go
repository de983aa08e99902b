package explain

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"eelgrasshollow/internal/errkind"
)

const (
	// activityWindow is how far from the request's end other requests of its server count.
	activityWindow = time.Second
	// warningWindow is how long before the request's start warnings of its VM are told.
	warningWindow = 5 * time.Second
	// maxRelatedRequests is how many earlier requests of the same prefix are told.
	maxRelatedRequests = 3
)

// Event is a line with its time on the common line.
type Event struct {
	*Line
	When time.Time
}

// Report is what the logs say of one request.
type Report struct {
	ID       string
	Compared bool                     // the order between VMs is the collector's
	Offsets  map[string]time.Duration // of the clocks of the VMs told of; only with Compared
	Begin    time.Time
	// RequestLines are the lines of the request itself, in order of time.
	RequestLines []Event `json:"Own"`
	// ProcessState holds the last line before the request's end for each message of
	// stateMessages: the state by which the processes decided.
	ProcessState []Event `json:"Beliefs"`
	// PrecedingWarnings are the warnings and errors of the request's VM, outside any
	// request, from warningWindow before its start to its end.
	PrecedingWarnings []Event `json:"Trouble"`
	// RelatedRequests are the last lines of earlier requests with the same prefix and
	// weights.
	RelatedRequests []Event `json:"Kin"`
	// Server counts the other requests of the request's server; nil if the request was
	// sent to no server.
	Server  *ServerActivity
	Verdict Verdict
}

// ServerActivity counts the other requests that one server had at about the same time.
type ServerActivity struct {
	Server        string
	Ended, Failed int
}

// stateMessage is a line that says what a process believes. The last one before the request's
// end counts.
type stateMessage struct {
	message string
	scope   scope
}

type scope int

const (
	taker    scope = iota // of the VM that took the request
	anywhere              // of any VM
	server                // of any VM, about the request's server
)

// stateMessages is the closed table of lines that decide about requests.
var stateMessages = []stateMessage{
	{"start", taker}, {"settings reloaded", taker}, {"configuration in force", taker}, {"servers known", taker},
	{"control lost", taker}, {"control regained", taker}, {"no further requests are taken", taker}, {"stop", taker},
	{"configuration sent by an operator", anywhere}, {"list of servers changed", anywhere}, {"owning grants", anywhere},
	{"consensus role changed", anywhere}, {"weights named", anywhere}, {"weights ordered", server}, {"server weights checked", server},
	// Former texts of "consensus role changed" and "server weights checked", in logs of earlier versions.
	{"agreement", anywhere}, {"server looked at", server},
}

// Explain picks what belongs to a request, in order of time. A request without any line
// is errkind NotFound.
func Explain(lines []Line, id string) (*Report, error) {
	c := compare(lines)
	s := &Report{ID: id, Compared: c.compared, Offsets: map[string]time.Duration{}}
	events := make([]Event, len(lines))
	for i := range lines {
		events[i] = Event{Line: &lines[i], When: c.when(&lines[i])}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.When.Compare(b.When) })
	for _, e := range events {
		if e.Request == id {
			s.RequestLines = append(s.RequestLines, e)
		}
	}
	if len(s.RequestLines) == 0 {
		return nil, errkind.New(errkind.NotFound, "no line of request %s: its VM's log is missing, or the line was dropped (metric eelgrass_log_lines_dropped_total)", id)
	}
	last := s.RequestLines[len(s.RequestLines)-1]
	s.Begin = s.RequestLines[0].When
	for _, e := range s.RequestLines {
		s.Begin = earlier(s.Begin, e.When.Add(-took(e)))
	}
	s.ProcessState = believed(events, last)
	for _, e := range events {
		if e.VM == last.VM && e.Request == "" && e.Level != "info" && !e.When.Before(s.Begin.Add(-warningWindow)) && !e.When.After(last.When) {
			s.PrecedingWarnings = append(s.PrecedingWarnings, e)
		}
	}
	s.Server = neighbours(events, last)
	s.RelatedRequests = kindred(events, last)
	for _, group := range [][]Event{s.RequestLines, s.ProcessState, s.PrecedingWarnings, s.RelatedRequests} {
		for _, e := range group {
			s.Offsets[e.VM] = c.offset[e.VM]
		}
	}
	s.Verdict = judge(last, s)
	return s, nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// took is how long the request of a line had lasted, which its last line gives in ms.
func took(e Event) time.Duration {
	return time.Duration(e.Number("took") * float64(time.Millisecond))
}

// believed picks the last line of each stateMessage before the request's end. What the VM that
// took it believed before its last start does not count.
func believed(events []Event, last Event) []Event {
	var found []Event
	started := time.Time{}
	for _, e := range events {
		if e.Message == "start" && e.VM == last.VM && !e.When.After(last.When) {
			started = e.When
		}
	}
	for _, b := range stateMessages {
		for _, e := range slices.Backward(events) {
			if e.Message != b.message || e.When.After(last.When) {
				continue
			}
			if b.scope == taker && (e.VM != last.VM || e.When.Before(started)) || b.scope == server && (e.Text("server") == "" || e.Text("server") != last.Text("server")) {
				continue
			}
			found = append(found, e)
			break
		}
	}
	slices.SortStableFunc(found, func(a, b Event) int { return a.When.Compare(b.When) })
	return found
}

// ended says that the line is a request's last.
func ended(e Event) bool {
	return e.Request != "" && e.Text("outcome") != ""
}

func neighbours(events []Event, last Event) *ServerActivity {
	n := &ServerActivity{Server: last.Text("server")}
	if n.Server == "" {
		return nil
	}
	for _, e := range events {
		if !ended(e) || e.Text("server") != n.Server || e.Request == last.Request || e.When.Sub(last.When).Abs() > activityWindow {
			continue
		}
		n.Ended++
		if e.Text("kind") != "" {
			n.Failed++
		}
	}
	return n
}

// kindred picks the last earlier requests of the same prefix and weights.
func kindred(events []Event, last Event) []Event {
	prefix := last.Text("prefix")
	if prefix == "" {
		return nil
	}
	var found []Event
	for _, e := range events {
		if ended(e) && e.Request != last.Request && e.When.Before(last.When) && e.Text("prefix") == prefix && e.Text("weights") == last.Text("weights") {
			found = append(found, e)
		}
	}
	return found[max(0, len(found)-maxRelatedRequests):]
}

// Verdict is the outcome and the input that decided it.
type Verdict struct {
	Outcome string // errkind's word, or "" when the request's last line is missing
	Kind    string // errkind's word; "" for a success
	Reason  string
	Next    string // where to look next; "" when the reason is the cause
}

// reasons is the closed table of what each kind of failure means here.
var reasons = map[errkind.Kind]Verdict{
	errkind.RateLimited:     {Reason: "the client account's tokens", Next: `the line "owning grants": an owner that changed just before makes VMs refuse what they can't count`},
	errkind.Overloaded:      {Reason: "no server could make it in time", Next: `lines "servers known" and "weights ordered": servers out of use, or loading`},
	errkind.Stale:           {Reason: "the VM's view was too old, or missing", Next: `lines "control lost" and "consensus role changed"`},
	errkind.NoQuorum:        {Reason: "the owner of the grants did not answer", Next: `lines "consensus role changed" and "owning grants" of the control VMs`},
	errkind.NotLeader:       {Reason: "control had no leader", Next: `lines "consensus role changed"`},
	errkind.NoEndpoint:      {Reason: "no server could be used", Next: `lines "servers known" and "list of servers changed"`},
	errkind.Draining:        {Reason: "the VM was stopping", Next: `line "no further requests are taken"`},
	errkind.EndpointFailed:  {Reason: "the server's answer failed", Next: "the other requests of that server at the time"},
	errkind.StreamBroken:    {Reason: "the stream broke and could not be resumed", Next: "the other requests of that server at the time"},
	errkind.Timeout:         {Reason: "the time of the request was up", Next: "the other requests of that server, and what was cached of the prompt"},
	errkind.Canceled:        {Reason: "the caller left"},
	errkind.NotFound:        {Reason: "the configuration in force had no such route", Next: `line "configuration in force": its version and age`},
	errkind.Unauthenticated: {Reason: "the configuration in force had no such key", Next: `line "configuration in force": its version and age`},
}

// judge names the decisive input by the request's last line.
func judge(last Event, s *Report) Verdict {
	if !ended(last) {
		return Verdict{Reason: "its last line is missing: it was still running, or the line was dropped"}
	}
	v := Verdict{Outcome: last.Text("outcome"), Kind: last.Text("kind")}
	if v.Kind == "" {
		v.Reason = "it was answered"
		if status := last.Number("status"); status >= http.StatusInternalServerError {
			v.Reason = fmt.Sprintf("the server's own failure, status %.0f", status)
		}
		return v
	}
	v.Reason = "no rule for this kind: see the error"
	for kind, known := range reasons {
		if kind.String() == v.Kind {
			v.Reason, v.Next = known.Reason, known.Next
		}
	}
	serversFault := slices.Contains([]string{errkind.EndpointFailed.String(), errkind.StreamBroken.String(), errkind.Timeout.String()}, v.Kind)
	if s.Server != nil && s.Server.Ended > 0 && s.Server.Failed == s.Server.Ended && serversFault {
		v.Reason += ", like every request there at that time: the server was down"
		v.Next = `lines "list of servers changed" and "servers known" after it`
	}
	return v
}

// Failed lists the IDs of failed requests, most recent last, at most n of each kind.
func Failed(lines []Line, n int) []Event {
	c := compare(lines)
	byKind := map[string][]Event{}
	for i := range lines {
		if kind := lines[i].Text("kind"); kind != "" && lines[i].Request != "" {
			byKind[kind] = append(byKind[kind], Event{Line: &lines[i], When: c.when(&lines[i])})
		}
	}
	var all []Event
	for _, events := range byKind {
		slices.SortStableFunc(events, func(a, b Event) int { return a.When.Compare(b.When) })
		all = append(all, events[max(0, len(events)-n):]...)
	}
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Text("kind"), b.Text("kind")), a.When.Compare(b.When))
	})
	return all
}
