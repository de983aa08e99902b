package permits

import (
	"math"
	"slices"
	"time"

	"eelgrasshollow/internal/pace"
)

// FallbackShare is the part of an endpoint's limit that all VMs together use while its owner does
// not answer. Their clocks are not coordinated, so by chance more than their mean falls into a
// short time.
const FallbackShare = 0.7

// brittleOwnShare lowers the share at brittle endpoints: an owner that other VMs reach gives all of the
// rate to them. In a simulation of 9 VMs of which 3 were cut off from it, an endpoint that tolerates 1
// rejection got 2 in a second without this.
const brittleOwnShare = 0.5

// permit is the right to send one request to an endpoint from begin to end.
type permit struct{ begin, end time.Time }

// Queue is a VM's permits for one incarnation of an endpoint. Its zero value has none.
type Queue struct {
	permits  []permit  // in the order of their begin
	asked    int       // permits that the VM has asked for and got no reply yet
	askAfter time.Time // earliest time to ask again
	// interval is the time between two permits that this VM may expect while all VMs that
	// compete for them get as many. It is 0 while the VM has got all that it asked for.
	interval time.Duration
	// lastShare is the time of the last permit that the VM took from its equal share.
	lastShare time.Time

	rateAt     time.Time
	rate       float64 // last rate that an owner has told for the endpoint's pace, or 0
	observed   pace.Feedback
	reportedAt time.Time
	ownerAway  bool
	ownCuts    int // rejections while the owner is away; each lowers the share
}

// Clone returns a copy that changes independently of q.
func (q *Queue) Clone() Queue {
	copied := *q
	copied.permits = slices.Clone(q.permits)
	return copied
}

// expire drops the permits that can't be used any more.
func (q *Queue) expire(now time.Time) {
	q.permits = slices.DeleteFunc(q.permits, func(p permit) bool { return now.After(p.end) })
}

// Usable reports whether a permit may be used now.
func (q *Queue) Usable(now time.Time) bool {
	q.expire(now)
	return len(q.permits) > 0 && !q.permits[0].begin.After(now)
}

// Use removes the permit that a request uses. There must be one.
func (q *Queue) Use() { q.permits = q.permits[1:] }

// Add adds the permits of a reply that arrived now to an ask sent at the given time. Each ends no
// later than its owner assumes, however long the reply took.
func (q *Queue) Add(now, sentAt time.Time, begin []time.Duration) {
	for _, after := range begin {
		if p := (permit{now.Add(after), sentAt.Add(after + TTL)}); p.begin.Before(p.end) {
			q.permits = append(q.permits, p)
		}
	}
	slices.SortFunc(q.permits, func(a, b permit) int { return a.begin.Compare(b.begin) })
}

// Wait returns the time until a permit may be expected when ahead requests are to get theirs
// first.
func (q *Queue) Wait(now time.Time, ahead int) time.Duration {
	if ahead < len(q.permits) {
		return max(q.permits[ahead].begin.Sub(now), 0)
	}
	return max(q.askAfter.Sub(now), 0) + time.Duration(ahead-len(q.permits))*q.interval
}

// Interval returns the time between two permits that this VM may expect, or 0 while it has got all
// that it asked for.
func (q *Queue) Interval() time.Duration { return q.interval }

// MayAsk reports whether the VM may ask for permits now.
func (q *Queue) MayAsk(now time.Time) bool { return !now.Before(q.askAfter) }

// Take returns how many permits to ask for now for that many waiting requests. Apply must follow
// for each result above 0.
func (q *Queue) Take(now time.Time, waiting int) int {
	q.expire(now)
	count := max(waiting-len(q.permits)-q.asked, 0)
	q.asked += count
	return count
}

// Apply applies the reply to an ask that was sent at sentAt. perSecond is the rate of the
// endpoint's permits for all VMs; random varies the time of the next ask between VMs.
func (q *Queue) Apply(now, sentAt time.Time, ask Ask, reply Reply, perSecond float64, random uint64) {
	q.asked = max(q.asked-ask.Count, 0)
	q.Add(now, sentAt, reply.Begin)
	q.interval = 0
	if reply.Rate > 0 {
		q.rate, q.rateAt = reply.Rate, now
	}
	if len(reply.Begin) < ask.Count {
		jitter := time.Duration(random % uint64(askGap(ask.VMs)+1))
		q.askAfter = now.Add(max(reply.AskAfter, askGap(ask.VMs)/2+jitter))
		q.interval = time.Duration(float64(max(reply.Askers, 1)) / perSecond * float64(time.Second))
	}
}

// OwnShare answers an ask whose owner did not reply with this VM's equal share of perSecond.
// Permits come at fixed times, so that the VMs that have used none for a while do not all use theirs
// together; phase differs between VMs and endpoints.
func (q *Queue) OwnShare(now time.Time, ask Ask, perSecond float64, phase uint64) Reply {
	q.ownerAway = true
	if ask.Pace.Brittle > 0 {
		perSecond *= brittleOwnShare
	}
	perSecond *= math.Pow(ownReduction, float64(min(q.ownCuts, maxOwnCuts)))
	period := time.Duration(float64(ask.VMs) / (FallbackShare * perSecond) * float64(time.Second))
	sinceLast := time.Duration(now.UnixNano()-int64(phase%uint64(period))) % period
	unused := func(at time.Time) bool { return at.Sub(q.lastShare) >= period/2 }
	next := now.Add(-sinceLast)
	for sinceLast > TTL || !unused(next) {
		next, sinceLast = next.Add(period), 0
	}
	reply := Reply{Askers: ask.VMs}
	if next.Sub(now) <= horizon {
		q.lastShare = next
		reply.Begin = []time.Duration{max(next.Sub(now), 0)}
		next = next.Add(period)
	}
	reply.AskAfter = max(next.Sub(now)-horizon, 0)
	return reply
}
