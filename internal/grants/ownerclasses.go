package grants

import (
	"time"

	"eelgrasshollow/internal/grants/urgency"
)

// grantOf returns the grant that the account's classes share.
func grantOf(l Limit) urgency.Grant {
	return urgency.Grant{Rate: float64(l.Rate), Burst: float64(l.Burst)}
}

// observeClasses counts the demand by class that a holder reports. Only the part of each
// total that has not been counted before counts. A holder's first report of a class sets the
// total: it may include demand of a long time, or what a former owner has counted. A lower
// total than before starts from 0, as the holder had forgotten the class. The report must not
// be outdated.
func (a *account) observeClasses(now time.Duration, s *ownedSlice, e SyncEntry) {
	if len(e.Classes) == 0 {
		if a.classes.Several() { // an older build
			a.classes.Observe(now, grantOf(a.limit), a.classes.Lowest(), e.Need)
		}
		return
	}
	if s.requested == nil {
		s.requested = map[int]int64{}
	}
	for _, c := range e.Classes[:min(len(e.Classes), urgency.MaxClasses)] {
		total, known := s.requested[c.Priority]
		if !known {
			total = c.Requested - c.Need
			if len(s.requested) >= maxReportedPriorities {
				clear(s.requested)
			}
		}
		if c.Requested < total {
			total = 0
		}
		a.classes.Observe(now, grantOf(a.limit), c.Priority, c.Requested-total)
		s.requested[c.Priority] = c.Requested
	}
}

// maxReportedPriorities bounds the totals that the owner keeps for one holder and account.
const maxReportedPriorities = 16

// demandByClass returns the needs of a report, most urgent first. The need of an older build
// counts in the lowest class: its small requests would otherwise keep the bucket empty.
func (a *account) demandByClass(e SyncEntry) []ClassDemand {
	if len(e.Classes) > 0 {
		return e.Classes
	}
	return []ClassDemand{{Priority: a.classes.Lowest(), Need: e.Need, Waiting: e.Need}}
}

// grantClasses grants tokens for the waiting requests of each class, as far as the class may
// take them, and nothing ahead of requests. For each class it grants at least the need of the
// first request or nothing.
func (o *Owner) grantClasses(now time.Duration, a *account, s *ownedSlice, e SyncEntry, reply *SyncGrant) {
	reply.Divided = true
	for _, c := range a.demandByClass(e) {
		if c.Need <= 0 && c.Waiting <= 0 {
			continue
		}
		need, waiting := max(c.Need, 1), max(c.Need, c.Waiting)
		g := ClassGrant{Priority: c.Priority}
		allowed := a.classes.Available(now, grantOf(a.limit), a.balance(), c.Priority, need)
		free := min(allowed, max(0, a.grantable()))
		switch {
		case free >= waiting:
			g.Tokens = waiting
		case free >= need:
			// Only the size of the first request is known, so the rest is granted in
			// multiples of it: a remainder would be of no use to the holder.
			g.Tokens = free / need * need
			g.RetryAfter, g.Uncommitted = o.refuseClass(now, a, c.Priority, waiting-g.Tokens, allowed-g.Tokens, free-g.Tokens)
		default:
			g.RetryAfter, g.Uncommitted = o.refuseClass(now, a, c.Priority, need, allowed, free)
			if reply.RetryAfter == 0 {
				reply.RetryAfter = g.RetryAfter
			}
		}
		s.granted += g.Tokens
		a.outstanding += g.Tokens
		a.classes.Take(c.Priority, g.Tokens)
		reply.Classes = append(reply.Classes, g)
	}
}

// minClassRetryAfter is the least retry time of a class. It bounds the reports of a VM whose
// requests are refused: without it, each of 57 VMs sent 77 a second in the load of
// TestUrgentRequestsFirst.
const minClassRetryAfter = 100 * time.Millisecond

// refuseClass returns the time after which the need of a class can be met, and whether only a bound that
// is not committed yet prevents it. allowed is what the class may take of the balance, and free the part
// of it that the durable bounds permit.
func (o *Owner) refuseClass(now time.Duration, a *account, priority int, need, allowed, free int64) (retryAfter time.Duration, uncommitted bool) {
	if allowed >= need {
		return o.refuse(now, a, need, free) // a durable bound prevents the grant
	}
	a.classes.Short(now)
	wait := a.classes.Wait(now, grantOf(a.limit), a.balance(), priority, need)
	return min(max(wait, minClassRetryAfter), maxRetryAfter), false
}
