package routing

import (
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/ratelimit"
)

const (
	// ownerHandover is how long a new owner gives no permits: those of another one may be in use
	// for that long.
	ownerHandover = permitHorizon + permitTTL
	// minAskerTimeout and askerTimeoutGaps, in mean times between two asks of a VM, are the time
	// after which a VM no longer counts among those that want permits.
	minAskerTimeout  = time.Second
	askerTimeoutGaps = 4
	// pacerTTL is how long an owner keeps the times of an endpoint for which nobody asks.
	pacerTTL = time.Minute
)

// pacer spaces the permits of one incarnation of an endpoint.
type pacer struct {
	limit   digest.RateLimit
	next    time.Time // time of the next permit
	askers  map[string]time.Time
	askedAt time.Time
}

// GivePermits answers an ask as the owner of the endpoint.
func (c *Core) GivePermits(now time.Time, ask PermitAsk) PermitReply {
	c.mergeLimit(now, ask.Limit)
	p := c.pacers[ask.Limit.EndpointRun]
	if p == nil {
		p = &pacer{next: now.Add(ownerHandover), askers: map[string]time.Time{}}
		c.pacers[ask.Limit.EndpointRun] = p
	}
	if ask.Limit.Version >= p.limit.Version {
		p.limit = ask.Limit
	}
	if s := c.byRun[ask.Limit.EndpointRun]; s != nil && s.selfReport.limit.version >= p.limit.Version {
		p.limit = s.digestLimit()
	}
	p.askedAt = now
	p.askers[ask.VM] = now
	timeout := max(askerTimeoutGaps*askGap(ask.VMs), minAskerTimeout)
	for vm, at := range p.askers {
		if now.Sub(at) > timeout {
			delete(p.askers, vm)
		}
	}
	reply := PermitReply{Limit: p.limit, Askers: len(p.askers)}
	if p.limit.MilliPerSecond == 0 {
		return reply // the VM applies that there is no limit any more
	}
	interval := time.Duration(1 / (ratelimit.Limit(p.limit.MilliPerSecond).PerSecond() * c.reachableShare(ask.VMs)) * float64(time.Second))
	if saved := now.Add(-interval); p.next.Before(saved) {
		p.next = saved // one permit that nobody asked for in time is kept
	}
	for len(reply.Begin) < ask.Count && p.next.Sub(now) <= permitHorizon {
		reply.Begin = append(reply.Begin, max(p.next.Sub(now), 0))
		p.next = p.next.Add(interval)
	}
	reply.AskAfter = max(p.next.Sub(now)-permitHorizon, 0)
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

// expirePacers drops the pacers of endpoints for which nobody asks.
func (c *Core) expirePacers(now time.Time) {
	for run, p := range c.pacers {
		if now.Sub(p.askedAt) > pacerTTL {
			delete(c.pacers, run)
		}
	}
}
