package routing

import (
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/permits"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/ratelimit"
	"eelgrasshollow/internal/rendezvous"
)

// A request to an endpoint that states a rate limit or is brittle needs a permit; see package permits.

// needsPermit reports whether requests to the endpoint need permits.
func (s *State) needsPermit() bool { return s.limited() || s.paced() }

// paced reports whether the rate of the endpoint is derived from its responses.
func (s *State) paced() bool { return s.brittle > 0 }

// hasPermit reports whether the endpoint takes a request of this VM now as far as permits say.
func (s *State) hasPermit(now time.Time) bool { return !s.needsPermit() || s.permits.Usable(now) }

// usePermit removes the permit that a request uses.
func (s *State) usePermit() {
	if s.needsPermit() {
		s.permits.Use()
	}
}

// permitWait returns the time until a permit may be expected when ahead requests are to get
// theirs first.
func (s *State) permitWait(now time.Time, ahead int) time.Duration {
	if !s.needsPermit() {
		return 0
	}
	return s.permits.Wait(now, ahead)
}

// unknownPaceShare is the share of the fair rate of a brittle endpoint that all VMs together use while no
// owner has told them its rate.
const unknownPaceShare = 0.3

// permitRate returns the rate of the endpoint's permits, for all VMs together.
func (c *Core) permitRate(s *State) float64 {
	limit := max(s.selfReport.limit.value, ratelimit.Min).PerSecond()
	if !s.paced() {
		return limit
	}
	rate := s.permits.Rate()
	if rate <= 0 {
		rate = unknownPaceShare * c.fairRate(s)
	}
	if s.limited() {
		rate = min(rate, limit)
	}
	return rate
}

// Resend reports whether the endpoint of a request that was sent may get it once more, and counts
// that against its permits.
func (c *Core) Resend(now time.Time, p *Pending) bool {
	if p.state == nil || !p.state.hasPermit(now) {
		return false
	}
	p.state.usePermit()
	return true
}

// PermitAsk is an ask of this VM that has not been answered yet.
type PermitAsk struct {
	permits.Ask

	state    *State
	workload *workload
	sentAt   time.Time
}

// TakeAsks returns the permits that requests in the queues of endpoints need, for the VM with the
// peer address self. Each of them must be answered by ApplyPermits or ApplyOwnShare.
func (c *Core) TakeAsks(now time.Time, self string) []PermitAsk {
	var asks []PermitAsk
	for _, s := range c.endpoints {
		if !s.needsPermit() {
			continue
		}
		count := 0
		if s.queue.Len() > 0 && s.permits.MayAsk(now) {
			count = s.permits.Take(now, s.queue.Len())
		}
		report := s.paced() && s.permits.ReportDue(now)
		if count == 0 && !report {
			continue
		}
		ask := PermitAsk{Ask: permits.Ask{Limit: s.digestLimit(), Count: count, VM: self, VMs: 1, Pace: c.permitPace(now, s)}, state: s, sentAt: now}
		if s.paced() {
			ask.Observed = s.permits.TakeObserved(now)
		}
		if count > 0 {
			ask.workload = c.workloadOf(&s.queue.Peek().Request)
		}
		asks = append(asks, ask)
	}
	return asks
}

// GivePermits answers an ask as the owner of the endpoint.
func (c *Core) GivePermits(now time.Time, ask permits.Ask) permits.Reply {
	c.mergeLimit(now, ask.Limit)
	var known digest.RateLimit
	if s := c.byRun[ask.Limit.EndpointRun]; s != nil {
		known = s.digestLimit()
	}
	reply := c.permitOwner.Give(now, ask, known, c.reachableShare(ask.VMs))
	if s := c.byRun[ask.Limit.EndpointRun]; s != nil {
		c.recordPace(now, s, reply.Rate)
	}
	return reply
}

// reachableShare returns the part of vms VMs whose digests arrive at this one. The others may be
// cut off and use their equal shares, or have an owner of their own.
func (c *Core) reachableShare(vms int) float64 {
	if c.relayedVMs > 0 || vms <= 1 {
		return 1
	}
	return min(float64(len(c.peers)+1)/float64(vms), 1)
}

// ApplyPermits applies the owner's reply to an ask. Requests that can't be sent now are placed
// again: another endpoint may take them earlier.
func (c *Core) ApplyPermits(now time.Time, ask PermitAsk, reply permits.Reply) {
	ask.state.permits.OwnerAnswered()
	c.applyPermits(now, ask, reply)
}

func (c *Core) applyPermits(now time.Time, ask PermitAsk, reply permits.Reply) {
	c.mergeLimit(now, reply.Limit)
	s := ask.state
	if s.removed || digest.EndpointRunOf(s.id, s.run) != ask.Limit.EndpointRun {
		return // the reply is about an incarnation that has ended
	}
	for n := range ask.Count {
		ask.workload.addPermit(n >= len(reply.Begin))
	}
	if len(reply.Begin) < ask.Count {
		c.sampleCounter++
	}
	s.permits.Apply(now, ask.sentAt, ask.Ask, reply, c.permitRate(s), rendezvous.Weight(prefix.Hash(rendezvous.Name(ask.VM)), c.sampleCounter))
	c.dispatch(now, s)
	if s.needsPermit() && ask.Count > 0 {
		c.placeQueuedAgain(now, s)
	}
}

// ApplyOwnShare answers an ask whose owner did not reply with this VM's equal share of the limit,
// and returns how many permits that is now.
func (c *Core) ApplyOwnShare(now time.Time, ask PermitAsk) int {
	s := ask.state
	phase := rendezvous.Weight(prefix.Hash(rendezvous.Name(ask.VM)), uint64(s.id))
	s.permits.ReturnObserved(ask.Observed)
	if ask.Count == 0 {
		return 0
	}
	reply := s.permits.OwnShare(now, ask.Ask, c.permitRate(s), phase)
	ask.sentAt = now
	c.applyPermits(now, ask, reply)
	return len(reply.Begin)
}
