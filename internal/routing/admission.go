package routing

import (
	"time"

	"eelgrasshollow/internal/admission"
	"eelgrasshollow/internal/errkind"
)

// competition is the state of a service whose requests may compete for slots; see package admission.
type competition struct {
	*admission.Service
	load admission.Load
}

// admissionCounts counts the decisions of admission in crowded services: requests sent at once, held, refused on
// arrival, and refused after they were held.
type admissionCounts struct{ sent, held, refused, expired int }

// crowdedServices returns the number of services in which admission is in effect, and the requests that it holds.
func (c *Core) crowdedServices(now time.Time) (services, held int) {
	for _, k := range c.competitions {
		if k.Crowded(now) {
			services++
		}
		held += k.Held()
	}
	return services, held
}

// SetAdmission selects how requests compete for the slots of a crowded service. It is called before the first
// request.
func (c *Core) SetAdmission(p admission.Policy) { c.admissionPolicy = p }

// competitionOf returns the competition for the slots of a request's service, or nil if the request is of a
// model, or admission is disabled.
func (c *Core) competitionOf(service string) *competition {
	if service == "" || c.admissionPolicy == (admission.Policy{}) {
		return nil
	}
	k := c.competitions[service]
	if k == nil {
		k = &competition{Service: admission.NewService(c.admissionPolicy)}
		c.competitions[service] = k
	}
	return k
}

// updateCompetitions moves the admission of all services to the present load, refuses the waiting requests that
// can't meet their deadline, and sends others.
func (c *Core) updateCompetitions(now time.Time) {
	for service, k := range c.competitions {
		k.load = c.serviceLoad(now, service)
		k.Update(now, k.load)
		for _, refusal := range k.Expire(now) {
			p := refusal.Entry.ID.(*Pending)
			c.admissionCounts.expired++
			p.held = now.Sub(refusal.Entry.ArrivedAt)
			c.refuse(p, notAdmitted(&p.Request, refusal.RetryAfter))
		}
		c.releaseHeld(now, k)
	}
}

// serviceLoad sums up the slots of the endpoints of a service that are in use, and the requests of other VMs.
func (c *Core) serviceLoad(now time.Time, service string) admission.Load {
	l := admission.Load{Age: c.digestRound(), VMs: max(c.vmCount, c.knownVMs), Alone: c.knownVMs > 1 && c.vmCount == 1}
	for _, s := range c.byService[service] {
		if s.Leaving || s.removed || now.Before(s.downUntil) || !s.selfReport.open(now) {
			continue
		}
		l.Slots += s.slots()
		l.Peers += s.PeerInFlight
	}
	return l
}

// admitted reports whether a request may be placed now. Otherwise it waits or has been refused.
func (c *Core) admitted(now time.Time, p *Pending) bool {
	k := c.competitionOf(p.Request.Service)
	if k == nil || p.entry != nil {
		return true
	}
	r := &p.Request
	p.entry = &admission.Entry{ID: p, Request: admission.Request{
		Account: r.Account, Priority: r.Priority, Tokens: p.cost(), Target: r.Target, TimeLeft: r.TimeLeft, ArrivedAt: now,
	}}
	k.Observe(now, &p.entry.Request)
	switch verdict, retryAfter := k.Decide(now, p.entry); verdict {
	case admission.Wait:
		c.admissionCounts.held++
		return false
	case admission.Refuse:
		c.admissionCounts.refused++
		c.refuse(p, notAdmitted(r, retryAfter))
		return false
	}
	if k.Crowded(now) {
		c.admissionCounts.sent++
		r.LongestWait = max(r.LongestWait, r.TimeLeft/2) // late is better than refused
	}
	return true
}

// notAdmitted returns the error of a request that can't be served before its deadline.
func notAdmitted(r *Request, retryAfter time.Duration) *errkind.Error {
	return errkind.New(errkind.Overloaded, "%s", admission.RefusalText).
		WithRetryAfter(spreadRetryAfter(r, max(retryAfter, minRetryAfter)))
}

// releaseHeld places the waiting requests for which the window has room. The time that a request has waited
// counts against its limits.
func (c *Core) releaseHeld(now time.Time, k *competition) {
	for e := k.Next(now); e != nil; e = k.Next(now) {
		p := e.ID.(*Pending)
		r := &p.Request
		waited := now.Sub(e.ArrivedAt)
		p.held = waited
		if r.TimeLeft > 0 {
			r.TimeLeft = max(r.TimeLeft-waited, time.Millisecond)
		}
		if r.LongestWait > 0 {
			if r.LongestWait -= waited; r.LongestWait <= 0 {
				r.LongestWait = max(r.TimeLeft/2, time.Millisecond)
			}
		}
		inFlight := k.InFlight()
		c.place(now, p)
		if k.InFlight() == inFlight {
			return // it waits at an endpoint or was refused
		}
	}
}

// withdrawHeld withdraws a request that waits for admission and reports whether it did.
func (c *Core) withdrawHeld(p *Pending) bool {
	k := c.competitionOf(p.Request.Service)
	return k != nil && p.entry != nil && k.Remove(p.entry)
}

// recordSent counts a sent request in the admission of its service.
func (c *Core) recordSent(p *Pending) {
	k := c.competitionOf(p.Request.Service)
	if k == nil || p.entry == nil {
		return
	}
	k.Sent(&p.entry.Request)
	if p.state.inFlightBy == nil {
		p.state.inFlightBy = map[int]int{}
	}
	p.state.inFlightBy[p.Request.Priority]++
}

// recordEnded counts the end of a sent request.
func (c *Core) recordEnded(now time.Time, p *Pending, r Result) {
	k := c.competitionOf(p.Request.Service)
	if k == nil || p.entry == nil {
		return
	}
	took := now.Sub(p.sentAt)
	if r.Err != nil {
		took = 0
	}
	k.Ended(p.Request.Priority, took, r.FirstToken)
	if p.state.inFlightBy[p.Request.Priority]--; p.state.inFlightBy[p.Request.Priority] == 0 {
		delete(p.state.inFlightBy, p.Request.Priority)
	}
	if k.Held() > 0 {
		c.releaseHeld(now, k)
	}
}

// measuresWait reports whether the time to the first token of a request says more about its wait for a slot than
// about the cost of a token: its own uncached tokens are the lesser part of the work that was ahead of it, in a
// crowded service. With such samples of short requests the cost of a token rose to some 1 ms, and long requests
// were refused because of the work that it predicted.
func (c *Core) measuresWait(now time.Time, p *Pending, uncachedTokens, work int) bool {
	k := c.competitions[p.Request.Service]
	return k != nil && k.Crowded(now) && 2*uncachedTokens < work
}

// visibleLoad returns the requests at an endpoint that count for a request: those of this VM, and the limit that
// the other VMs leave. In a crowded service, less urgent requests don't count: the endpoint runs the most urgent
// one of those that wait first.
func (c *Core) visibleLoad(now time.Time, s *State, r *Request) (inFlight, limit int) {
	k := c.competitions[r.Service]
	if k == nil || !k.Crowded(now) {
		return s.InFlight, s.limit(c.vmCount)
	}
	return s.InFlight - k.LessUrgent(now, r.Priority, s.inFlightBy), s.limitBeside(int(float64(s.PeerInFlight)*k.PeerShare(now, r.Priority)), c.vmCount)
}
