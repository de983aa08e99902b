package permits

import (
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/ratelimit"
)

const (
	// Handover is how long a new owner gives no permits: those of another one may be in use for
	// that long.
	Handover = horizon + TTL
	// minAskerTimeout and askerTimeoutGaps, in mean times between two asks of a VM, are the time
	// after which a VM no longer counts among those that want permits.
	minAskerTimeout  = time.Second
	askerTimeoutGaps = 4
	// spacerTTL is how long an owner keeps the times of an endpoint for which nobody asks.
	spacerTTL = time.Minute
)

// Owner gives the permits of the endpoints that a VM owns. It is not safe for concurrent use.
type Owner struct {
	spacers map[digest.EndpointRun]*spacer
}

// spacer spaces the permits of one incarnation of an endpoint.
type spacer struct {
	limit         digest.RateLimit
	next          time.Time // time of the next permit
	askers        map[string]time.Time
	askedAt       time.Time
	handoverUntil time.Time
	pace          *endpointPace // nil if only a limit applies
}

// NewOwner returns an owner that has given no permits.
func NewOwner() *Owner {
	return &Owner{spacers: map[digest.EndpointRun]*spacer{}}
}

// Give answers an ask. known is the limit that this VM knows of the ask's incarnation, or zero; it
// gives the part reachable of all permits.
func (o *Owner) Give(now time.Time, ask Ask, known digest.RateLimit, reachable float64) Reply {
	p := o.spacers[ask.Limit.EndpointRun]
	if p == nil {
		p = &spacer{next: now.Add(Handover), handoverUntil: now.Add(Handover), askers: map[string]time.Time{}}
		o.spacers[ask.Limit.EndpointRun] = p
	}
	if ask.Limit.Version >= p.limit.Version {
		p.limit = ask.Limit
	}
	if known.EndpointRun == ask.Limit.EndpointRun && known.Version >= p.limit.Version {
		p.limit = known
	}
	p.recordAsker(now, ask)
	reply := Reply{Limit: p.limit, Askers: len(p.askers)}
	rate, ahead := ratelimit.Limit(p.limit.MilliPerSecond).PerSecond(), horizon
	if o.observe(now, p, ask) {
		reply.Rate = p.pace.controller.Rate(now)
		if rate == 0 || reply.Rate < rate {
			rate = reply.Rate
		}
		if p.next.Before(p.pace.stoppedUntil) {
			p.next = p.pace.stoppedUntil
		}
		ahead = p.pace.horizon(rate)
	}
	if ask.Pace.WarmingUp && p.pace == nil {
		reply.Rate, reply.PaceDone = ask.Pace.fair(), true
	}
	if rate == 0 {
		return reply // the VM applies that there is no limit any more
	}
	gap := interval(rate * reachable)
	if saved := now.Add(-gap); p.next.Before(saved) {
		p.next = saved // one permit that nobody asked for in time is kept
	}
	for len(reply.Begin) < ask.Count && p.next.Sub(now) <= ahead {
		reply.Begin = append(reply.Begin, max(p.next.Sub(now), 0))
		p.next = p.next.Add(gap)
	}
	if p.pace != nil && len(reply.Begin) < ask.Count {
		p.pace.controller.Limited(now)
	}
	reply.AskAfter = max(p.next.Sub(now)-ahead, 0)
	return reply
}

// recordAsker counts the VM of an ask among those that want permits, and drops those that no longer
// do.
func (p *spacer) recordAsker(now time.Time, ask Ask) {
	p.askedAt = now
	p.askers[ask.VM] = now
	timeout := max(askerTimeoutGaps*askGap(ask.VMs), minAskerTimeout)
	for vm, at := range p.askers {
		if now.Sub(at) > timeout {
			delete(p.askers, vm)
		}
	}
}

// Expire drops the times of the endpoints for which nobody asks.
func (o *Owner) Expire(now time.Time) {
	for run, p := range o.spacers {
		if now.Sub(p.askedAt) > spacerTTL {
			delete(o.spacers, run)
		}
	}
}
