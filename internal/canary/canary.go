// Package canary decides how the traffic of a service moves from servers of one software release to
// servers of another, and whether the new release is bad.
//
// A Judge compares the results of the new release with those of the old one. A Plan determines which
// share of each route's requests goes to the new release and when the rollout is completed or rolled
// back. Both are deterministic and do no I/O; the time is an argument.
//
// The caller owns the replicated state: it commits each Stage that Plan.Step returns and differs from
// the last one, and passes the stage to the entry VMs, which apply it with ArmFor and ServersInUse.
package canary

import "time"

// Counts sums the results of one release on one route, or of one server.
type Counts struct {
	// Requests is the number of responses and failures that depend on the release. It includes neither
	// refusals in which the server states that it has not run the request, nor cancellations by the
	// client, failed connects and responses with 421.
	Requests uint32
	// Failures is the number of these that are responses with 5xx, or broken or missing responses to
	// requests that were sent.
	Failures uint32
	// Latency holds the latencies of the successful responses: the time to the first event or the whole
	// body, divided by the time that the prompt needs.
	Latency Histogram

	// Pending and Waiting describe the time of the report; they are not cumulative and may be left empty.
	//
	// Pending is the number of requests that were sent and have no result yet. Failures may arrive
	// sooner than other responses: without Pending, the first results of a new release would be mostly
	// failures, whatever their share is.
	Pending uint32
	// Waiting holds, for those of them without a first event or body, the time since they were sent,
	// divided by the time that the prompt needs. With it, a slow response counts before it arrives.
	Waiting Histogram

	// Duration holds the times of the requests from sending to the end of the response, in seconds, whatever
	// their result. It may be left empty.
	Duration Histogram
}

// Merge adds the counts of another part of the same traffic.
func (c *Counts) Merge(other Counts) {
	c.Requests += other.Requests
	c.Failures += other.Failures
	c.Latency.Merge(other.Latency)
	c.Pending += other.Pending
	c.Waiting.Merge(other.Waiting)
	c.Duration.Merge(other.Duration)
}

// Evidence is what all VMs have counted since the order.
type Evidence struct {
	Old, New map[string]Counts // by route
	Servers  map[string]Counts // of the new release, by server; all routes together
	// Before is what was counted by route in the last minute or two before the order, when every server had
	// the old release. It doesn't change during the rollout, except that more VMs report, and may be empty.
	Before map[string]Counts

	// Age is the time since the youngest report that these counts include.
	Age time.Duration
	// ReportedShare is the share of the known entry VMs whose last report is at most MaxEvidenceAge old.
	ReportedShare float64
	// Drained is set if every known entry VM has reported under the current stage that it has no
	// request on a server of the old release.
	Drained bool
}

// Decision is a Judge's opinion of a release.
type Decision uint8

// Decisions of a Judge.
const (
	Undecided Decision = iota
	Good
	Bad
)

// Verdict is the result of an evaluation.
type Verdict struct {
	Decision Decision
	// Suspected is set if the release does worse than the old one, but not yet by enough to be Bad. A
	// suspected release gets no greater share.
	Suspected bool
	// Promising is set if the results of all routes together speak for the release as clearly as Good requires
	// for each of them, and those of no route against it.
	Promising bool
	// Reason says why the release is Bad or Suspected; otherwise it is empty.
	Reason string
}

// Phase is a part of a rollout.
type Phase uint8

// Phases of a rollout, in their order. Completed and RolledBack are final.
const (
	Canary Phase = iota
	Ramp
	All
	Completed
	RolledBack
)

// Stage determines the traffic of the new release. It is encoded with gob in the replicated log, in
// snapshots and in messages to entry VMs, so fields may be added only.
type Stage struct {
	Phase   Phase
	Shares  map[string]float64 // by route: share of requests that go to the new release
	Default float64            // share of the routes that Shares lacks
	// ServerShare is the share of the new release's servers that may be used.
	ServerShare float64
	// Reason says why the rollout was rolled back; empty in other phases.
	Reason string
}

// Final reports whether the rollout has ended.
func (s Stage) Final() bool { return s.Phase == Completed || s.Phase == RolledBack }

// Equal reports whether two stages have the same effect.
func (s Stage) Equal(other Stage) bool {
	if s.Phase != other.Phase || s.Default != other.Default || s.ServerShare != other.ServerShare || len(s.Shares) != len(other.Shares) {
		return false
	}
	for route, share := range s.Shares {
		if o, ok := other.Shares[route]; !ok || o != share {
			return false
		}
	}
	return true
}

func (d Decision) String() string {
	switch d {
	case Good:
		return "good"
	case Bad:
		return "bad"
	default:
		return "undecided"
	}
}

func (p Phase) String() string {
	switch p {
	case Canary:
		return "canary"
	case Ramp:
		return "ramp"
	case All:
		return "all"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	default:
		return "unknown"
	}
}
