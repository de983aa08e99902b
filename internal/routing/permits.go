package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/ratelimit"
)

// A request to an endpoint that states a rate limit needs a permit. One VM, the owner, spaces the
// permits of an endpoint evenly at its limit, and gives them to the VMs that ask for them. All
// VMs together therefore send at most the limit, as far as permits are used within permitTTL, and
// whichever VM has requests can use all of it. While the owner does not answer, a VM uses its
// equal share.
const (
	// permitHorizon is how far ahead of its time a permit is given. A request that would have to
	// wait longer goes to another endpoint, if one has room.
	permitHorizon = 100 * time.Millisecond
	// permitTTL is how long a permit may be used.
	permitTTL = 500 * time.Millisecond
	// maxAsksPerSecond limits how often all VMs together ask for the permits of one endpoint.
	maxAsksPerSecond = 40
	// fallbackShare is the part of an endpoint's limit that all VMs together use while its owner
	// does not answer. Their clocks are not coordinated, so by chance more than their mean
	// falls into a short time.
	fallbackShare = 0.7
)

// permit is the right to send one request to an endpoint from begin to end.
type permit struct{ begin, end time.Time }

// permitQueue is a VM's permits for one incarnation of an endpoint.
type permitQueue struct {
	permits  []permit  // in the order of their begin
	asked    int       // permits that the VM has asked for and got no reply yet
	askAfter time.Time // earliest time to ask again
	// interval is the time between two permits that this VM may expect while all VMs that
	// compete for them get as many. It is 0 while the VM has got all that it asked for.
	interval time.Duration
	// lastShare is the time of the last permit that the VM took from its equal share.
	lastShare time.Time
}

// expire drops the permits that can't be used any more.
func (q *permitQueue) expire(now time.Time) {
	q.permits = slices.DeleteFunc(q.permits, func(p permit) bool { return now.After(p.end) })
}

// usable reports whether a permit may be used now.
func (q *permitQueue) usable(now time.Time) bool {
	q.expire(now)
	return len(q.permits) > 0 && !q.permits[0].begin.After(now)
}

// add adds the permits of a reply that arrived now to an ask sent at the given time. Each ends no
// later than its owner assumes, however long the reply took.
func (q *permitQueue) add(now, sentAt time.Time, begin []time.Duration) {
	for _, after := range begin {
		if p := (permit{now.Add(after), sentAt.Add(after + permitTTL)}); p.begin.Before(p.end) {
			q.permits = append(q.permits, p)
		}
	}
	slices.SortFunc(q.permits, func(a, b permit) int { return a.begin.Compare(b.begin) })
}

// wait returns the time until a permit may be expected when ahead requests are to get theirs
// first.
func (q *permitQueue) wait(now time.Time, ahead int) time.Duration {
	if ahead < len(q.permits) {
		return max(q.permits[ahead].begin.Sub(now), 0)
	}
	return max(q.askAfter.Sub(now), 0) + time.Duration(ahead-len(q.permits))*q.interval
}

// hasPermit reports whether the endpoint takes a request of this VM now as far as its rate limit
// says.
func (s *State) hasPermit(now time.Time) bool { return !s.limited() || s.permits.usable(now) }

// usePermit removes the permit that a request uses.
func (s *State) usePermit() {
	if s.limited() {
		s.permits.permits = s.permits.permits[1:]
	}
}

// permitWait returns the time until a permit may be expected when ahead requests are to get
// theirs first.
func (s *State) permitWait(now time.Time, ahead int) time.Duration {
	if !s.limited() {
		return 0
	}
	return s.permits.wait(now, ahead)
}

// Resend reports whether the endpoint of a request that was sent may get it once more, and counts
// that against its rate limit.
func (c *Core) Resend(now time.Time, p *Pending) bool {
	if p.state == nil || !p.state.hasPermit(now) {
		return false
	}
	p.state.usePermit()
	return true
}

// PermitAsk is a VM's question for permits of one incarnation of an endpoint.
type PermitAsk struct {
	Limit digest.RateLimit
	Count int
	VM    string // peer address of the VM
	VMs   int    // entry VMs that the VM knows, including itself

	state    *State
	workload *workload
	sentAt   time.Time
}

// PermitReply is the owner's reply.
type PermitReply struct {
	// Limit is the newest limit that the owner knows.
	Limit digest.RateLimit
	// Begin are the times from the reply on after which each permit may be used.
	Begin []time.Duration
	// AskAfter is the time after which to ask for those that are missing.
	AskAfter time.Duration
	Askers   int // VMs that have asked lately
}

// TakeAsks returns the permits that requests in the queues of endpoints need, for the VM with the
// peer address self. Each of them must be answered by ApplyPermits or ApplyOwnShare.
func (c *Core) TakeAsks(now time.Time, self string) []PermitAsk {
	var asks []PermitAsk
	for _, s := range c.endpoints {
		q := &s.permits
		if !s.limited() || s.queue.Len() == 0 || now.Before(q.askAfter) {
			continue
		}
		q.expire(now)
		if count := s.queue.Len() - len(q.permits) - q.asked; count > 0 {
			q.asked += count
			asks = append(asks, PermitAsk{Limit: s.digestLimit(), Count: count, VM: self, VMs: 1, state: s, workload: c.workloadOf(&s.queue.Peek().Request), sentAt: now})
		}
	}
	return asks
}

// askGap returns the mean time between two asks of one of vms VMs for the permits of an endpoint.
func askGap(vms int) time.Duration {
	return time.Duration(float64(vms) / maxAsksPerSecond * float64(time.Second))
}

// ApplyPermits applies the owner's reply to an ask. Requests that can't be sent now are placed
// again: another endpoint may take them earlier.
func (c *Core) ApplyPermits(now time.Time, ask PermitAsk, reply PermitReply) {
	c.mergeLimit(now, reply.Limit)
	s := ask.state
	if s.removed || digest.EndpointRunOf(s.id, s.run) != ask.Limit.EndpointRun {
		return // the reply is about an incarnation that has ended
	}
	q := &s.permits
	q.asked = max(q.asked-ask.Count, 0)
	for n := range ask.Count {
		ask.workload.addPermit(n >= len(reply.Begin))
	}
	q.add(now, ask.sentAt, reply.Begin)
	q.interval = 0
	if short := ask.Count - len(reply.Begin); short > 0 {
		c.sampleCounter++
		jitter := time.Duration(rendezvous(prefix.Hash(nameHash(ask.VM)), c.sampleCounter) % uint64(askGap(ask.VMs)+1))
		q.askAfter = now.Add(max(reply.AskAfter, askGap(ask.VMs)/2+jitter))
		q.interval = time.Duration(float64(max(reply.Askers, 1)) / max(s.selfReport.limit.value, ratelimit.Min).PerSecond() * float64(time.Second))
	}
	c.dispatch(now, s)
	if s.limited() {
		c.placeQueuedAgain(now, s)
	}
}

// ApplyOwnShare answers an ask whose owner did not reply with this VM's equal share of the limit,
// and returns how many permits that is now. Permits come at fixed times, so that the VMs that have
// used none for a while do not all use theirs together.
func (c *Core) ApplyOwnShare(now time.Time, ask PermitAsk) int {
	s := ask.state
	period := time.Duration(float64(ask.VMs) / (fallbackShare * max(s.selfReport.limit.value, ratelimit.Min).PerSecond()) * float64(time.Second))
	phase := time.Duration(rendezvous(prefix.Hash(nameHash(ask.VM)), uint64(s.id)) % uint64(period))
	sinceLast := time.Duration(now.UnixNano()-int64(phase)) % period
	q := &s.permits
	unused := func(at time.Time) bool { return at.Sub(q.lastShare) >= period/2 }
	next := now.Add(-sinceLast)
	for sinceLast > permitTTL || !unused(next) {
		next, sinceLast = next.Add(period), 0
	}
	reply := PermitReply{Askers: ask.VMs}
	if next.Sub(now) <= permitHorizon {
		q.lastShare = next
		reply.Begin = []time.Duration{max(next.Sub(now), 0)}
		next = next.Add(period)
	}
	reply.AskAfter = max(next.Sub(now)-permitHorizon, 0)
	ask.sentAt = now
	c.ApplyPermits(now, ask, reply)
	return len(reply.Begin)
}
