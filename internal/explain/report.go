package explain

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"eelgrasshollow/internal/admission"
	"eelgrasshollow/internal/errkind"
)

const (
	// activityWindow is the largest difference between the end times of the request and
	// of another request that ServerActivity counts.
	activityWindow = time.Second
	// warningWindow is how long before the request's start a warning of its VM may be to
	// be reported.
	warningWindow = 5 * time.Second
	// maxRelatedRequests bounds the number of earlier requests of the same prefix that are
	// reported.
	maxRelatedRequests = 3
)

// Event is a log line with its time on the common time scale.
type Event struct {
	*Line
	When time.Time
}

// Report is the explanation of one request from the logs.
type Report struct {
	ID       string
	Compared bool                     // lines of different VMs are ordered by the collector's times
	Offsets  map[string]time.Duration // clock offset of each VM in the report; 0 without Compared
	Begin    time.Time                // start of the request on the common time scale
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
	Server *ServerActivity
	// Namespace is the use of the cache namespace of the request's last attempt; nil if the
	// request was sent to no server, or the namespace was not logged.
	Namespace *NamespaceUse
	// NamespaceOthers are the last lines of earlier requests of other client accounts with
	// the same cache namespace.
	NamespaceOthers []Event
	Verdict         Verdict
}

// ServerActivity counts the other requests of one server that ended within activityWindow
// of the request's end. Failed is part of Ended.
type ServerActivity struct {
	Server        string
	Ended, Failed int
}

// stateMessage is a log message that states what a process acts on, such as a change of its
// view or role. The last line with the message before the request's end applies.
type stateMessage struct {
	message string
	scope   scope
}

// scope selects the lines that a stateMessage applies to.
type scope int

const (
	requestVM     scope = iota // lines of the VM that handled the request
	anyVM                      // lines of any VM
	requestServer              // lines of any VM that name the request's server
)

// stateMessages lists every log message that can explain a decision about a request.
var stateMessages = []stateMessage{
	{"start", requestVM}, {"settings reloaded", requestVM}, {"configuration in force", requestVM}, {"servers known", requestVM},
	{"control lost", requestVM}, {"control regained", requestVM}, {"no further requests are taken", requestVM}, {"stop", requestVM},
	{"prompt part quarantined", anyVM}, {"prompt part released from quarantine", anyVM},
	{"repeated request quarantined", anyVM}, {"repeated request released from quarantine", anyVM},
	{"endpoint notice", requestVM}, {"endpoint rate limit changed", requestVM}, {"silent attempts given up, their server is unreachable", requestVM},
	{"configuration sent by an operator", anyVM}, {"list of servers changed", anyVM}, {"owning grants", anyVM},
	{"another document overtook a change of the configuration", anyVM},
	{"leader lease lapsed, nothing is ordered", anyVM}, {"leader lease held again", anyVM},
	{"consensus role changed", anyVM}, {"weights named", anyVM}, {"weights ordered", requestServer}, {"server weights checked", requestServer},
	// Former texts of "consensus role changed" and "server weights checked", in logs of earlier versions.
	{"agreement", anyVM}, {"server looked at", requestServer},
}

// OnCommonTime returns the lines of all VMs in order of time, on one time scale.
func OnCommonTime(lines []Line) []Event {
	c := estimateClocks(lines)
	return c.order(lines)
}

// order returns the lines in order of time.
func (c clocks) order(lines []Line) []Event {
	events := make([]Event, len(lines))
	for i := range lines {
		events[i] = Event{Line: &lines[i], When: c.when(&lines[i])}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.When.Compare(b.When) })
	return events
}

// Explain returns the report on the request with the given ID. Its lines are in order of
// time. A request without any line is an error of kind errkind.NotFound.
func Explain(lines []Line, id string) (*Report, error) {
	c := estimateClocks(lines)
	r := &Report{ID: id, Compared: c.compared, Offsets: map[string]time.Duration{}}
	events := c.order(lines)
	for _, e := range events {
		if e.Request == id {
			r.RequestLines = append(r.RequestLines, e)
		}
	}
	if len(r.RequestLines) == 0 {
		return nil, errkind.New(errkind.NotFound, "no log line of request %s: the log of its VM is missing, or the line was dropped (metric eelgrass_log_lines_dropped_total)", id)
	}
	last := r.RequestLines[len(r.RequestLines)-1]
	r.Begin = r.RequestLines[0].When
	for _, e := range r.RequestLines {
		r.Begin = earlier(r.Begin, e.When.Add(-took(e)))
	}
	r.ProcessState = processState(events, last)
	for _, e := range events {
		if e.VM == last.VM && e.Request == "" && e.Level != "info" && !e.When.Before(r.Begin.Add(-warningWindow)) && !e.When.After(last.When) {
			r.PrecedingWarnings = append(r.PrecedingWarnings, e)
		}
	}
	r.Server = serverActivity(events, last)
	r.RelatedRequests = relatedRequests(events, last)
	r.Namespace, r.NamespaceOthers = namespaceUse(lines, events, r.RequestLines)
	for _, group := range [][]Event{r.RequestLines, r.ProcessState, r.PrecedingWarnings, r.RelatedRequests, r.NamespaceOthers} {
		for _, e := range group {
			r.Offsets[e.VM] = c.offset[e.VM]
		}
	}
	r.Verdict = newVerdict(last, r)
	return r, nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// took returns how long a request took, from the field "took" of its last line, in ms;
// 0 for other lines.
func took(e Event) time.Duration {
	return time.Duration(e.Number("took") * float64(time.Millisecond))
}

// processState returns the last line of each stateMessage before the request's end, in order
// of time. Lines of the request's VM from before its last start are ignored, since the process
// that wrote them has ended.
func processState(events []Event, last Event) []Event {
	var found []Event
	started := time.Time{}
	for _, e := range events {
		if e.Message == "start" && e.VM == last.VM && !e.When.After(last.When) {
			started = e.When
		}
	}
	for _, m := range stateMessages {
		for _, e := range slices.Backward(events) {
			if e.Message != m.message || e.When.After(last.When) {
				continue
			}
			if m.scope == requestVM && (e.VM != last.VM || e.When.Before(started)) || m.scope == requestServer && (e.Text("server") == "" || e.Text("server") != last.Text("server")) {
				continue
			}
			found = append(found, e)
			break
		}
	}
	slices.SortStableFunc(found, func(a, b Event) int { return a.When.Compare(b.When) })
	return found
}

// isLastLine reports whether a line ends its request.
func isLastLine(e Event) bool {
	return e.Request != "" && e.Text("outcome") != ""
}

// serverActivity counts the other requests of the request's server, or returns nil if the
// request was sent to no server.
func serverActivity(events []Event, last Event) *ServerActivity {
	activity := &ServerActivity{Server: last.Text("server")}
	if activity.Server == "" {
		return nil
	}
	for _, e := range events {
		if !isLastLine(e) || e.Text("server") != activity.Server || e.Request == last.Request || e.When.Sub(last.When).Abs() > activityWindow {
			continue
		}
		activity.Ended++
		if e.Text("kind") != "" {
			activity.Failed++
		}
	}
	return activity
}

// relatedRequests returns the last lines of the latest earlier requests with the same prefix
// and weights, at most maxRelatedRequests.
func relatedRequests(events []Event, last Event) []Event {
	prefix := last.Text("prefix")
	if prefix == "" {
		return nil
	}
	var found []Event
	for _, e := range events {
		if isLastLine(e) && e.Request != last.Request && e.When.Before(last.When) && e.Text("prefix") == prefix && e.Text("weights") == last.Text("weights") {
			found = append(found, e)
		}
	}
	return found[max(0, len(found)-maxRelatedRequests):]
}

// Verdict is the outcome of a request and the input that decided it.
type Verdict struct {
	Outcome string // text of errkind.Outcome; "" if the request's last line is missing
	Kind    string // text of errkind.Kind; "" for a success
	Reason  string // the decisive input
	Next    string // what to check next; "" if Reason is the cause
}

// reasons gives Reason and Next of the verdict for each kind of failure.
var reasons = map[errkind.Kind]Verdict{
	errkind.RateLimited:     {Reason: "the client account's tokens", Next: `line "owning grants": just after a change of owner, VMs refuse requests that they can't count against a grant`},
	errkind.Overloaded:      {Reason: "no server could take the request in time", Next: `lines "servers known" and "weights ordered": servers out of use, or loading`},
	errkind.Stale:           {Reason: "the VM's view was too old, or missing", Next: `lines "control lost" and "consensus role changed"`},
	errkind.NoQuorum:        {Reason: "the owner of the grants did not respond", Next: `lines "consensus role changed" and "owning grants" of the control VMs`},
	errkind.NotLeader:       {Reason: "control had no leader", Next: `lines "consensus role changed"`},
	errkind.NoEndpoint:      {Reason: "no usable server", Next: `lines "servers known" and "list of servers changed"`},
	errkind.Draining:        {Reason: "the VM was stopping", Next: `line "no further requests are taken"`},
	errkind.EndpointFailed:  {Reason: "the server's answer failed", Next: "the other requests of that server at the time"},
	errkind.StreamBroken:    {Reason: "the stream broke and could not be resumed", Next: "the other requests of that server at the time"},
	errkind.Timeout:         {Reason: "the request's deadline passed", Next: "the other requests of that server, and what was cached of the prompt"},
	errkind.Canceled:        {Reason: "the client canceled the request"},
	errkind.NotFound:        {Reason: "the configuration in force had no such route", Next: `line "configuration in force": its version and age`},
	errkind.Unauthenticated: {Reason: "the configuration in force had no such key", Next: `line "configuration in force": its version and age`},
}

// newVerdict finds the decisive input from the request's last line.
func newVerdict(last Event, r *Report) Verdict {
	if !isLastLine(last) {
		return Verdict{Reason: "its last line is missing: the request was still running, or the line was dropped"}
	}
	v := Verdict{Outcome: last.Text("outcome"), Kind: last.Text("kind")}
	if v.Kind == "" {
		v.Reason = "it was answered"
		if status := last.Number("status"); status >= http.StatusInternalServerError {
			v.Reason = fmt.Sprintf("the server's own failure, status %.0f", status)
		}
		return v
	}
	v.Reason = "no explanation for this kind: see the field error"
	for kind, entry := range reasons {
		if kind.String() == v.Kind {
			v.Reason, v.Next = entry.Reason, entry.Next
		}
	}
	if v.Kind == errkind.Overloaded.String() && strings.Contains(last.Text("error"), admission.RefusalText) {
		v.Reason = "more urgent or earlier requests had the slots of a crowded service, and this one would have missed its deadline"
		v.Next = `"eelctl losses" for the time: how many were held and refused; metric eelgrass_routing_admission_total of its VM`
	}
	serverFailure := slices.Contains([]string{errkind.EndpointFailed.String(), errkind.StreamBroken.String(), errkind.Timeout.String()}, v.Kind)
	if r.Server != nil && r.Server.Ended > 0 && r.Server.Failed == r.Server.Ended && serverFailure {
		v.Reason += ", as for every other request of that server at the time: the server was down"
		v.Next = `lines "list of servers changed" and "servers known" after it`
	}
	return v
}

// Failed returns the last lines of failed requests, at most n of each kind of failure,
// ordered by kind and then by time.
func Failed(lines []Line, n int) []Event {
	c := estimateClocks(lines)
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
