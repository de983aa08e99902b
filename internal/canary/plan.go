package canary

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// MaxEvidenceAge is the age up to which evidence counts as fresh.
const MaxEvidenceAge = 1500 * time.Millisecond

const (
	// initialShare is the share of each route until evidence shows how the traffic is distributed.
	initialShare = 0.03
	// minReported is the share of VMs that must have reported for a step forward.
	minReported = 0.5
	// The canary share of the service is canaryExposure of the exposure share, and canarySlack of the
	// slack spread over the time until the first ramp step: small services get more evidence by it.
	canaryExposure = 0.5
	canarySlack    = 0.75
	// maxRouteShare bounds the share of a route before the ramp. A comparison with concurrent requests of
	// the old release gains most from a share of 1/e: a greater one leaves too few of them.
	maxRouteShare = 0.36
	// A release that isn't Good at undecidedAt of the duration gets up to wantedRequests until the ramp, if the
	// budget allows them: beside unhealthy old servers about 130 are needed to find 30% of failures.
	undecidedAt    = 0.15
	wantedRequests = 150
	// raisedBudget is the part of the budget that a raised share may use; the rest allows for an error of the
	// expected traffic.
	raisedBudget = 0.9
	// budgetUsed is the part of the exposure budget that may be used before the ramp.
	budgetUsed = 0.85
	// continueBelow is the part of that budget below which a rollout that had used it up continues,
	// which happens if traffic grows.
	continueBelow = 0.8
	// The distribution over the routes is estimated from minDistribution requests, after settleTime.
	minDistribution = 20
	settleTime      = 500 * time.Millisecond
	// Shares are adjusted at most every adjustInterval of the duration, and only if one of them changes by
	// a factor of adjustFactor, as each change is replicated and sent to all VMs.
	adjustInterval = 0.1
	adjustFactor   = 1.4
)

// Times of the steps, as shares of the duration. With them a release that becomes bad just before the
// last step has had 8.25% of the traffic.
const (
	rampAt  = 0.45
	halfAt  = 0.60
	allAt   = 0.66
	minStay = 0.05 // of each step, if an earlier one was late
	// After skipAt a release that was suspected for long skips the rest of the ramp.
	skipAt = 0.80
	// latestStep is the time after which a release that isn't in the ramp yet doesn't enter it any more,
	// and giveUpAt the time at which a rollout that doesn't have all traffic is rolled back.
	latestStep = 0.85
	giveUpAt   = 0.93
	// completeAt is the earliest time of completion: until then the release can be rolled back. At least
	// completeMargin remains until the deadline, but never more than 1-earliestComplete of the duration.
	completeAt       = 0.85
	earliestComplete = 0.70
	// suspectedUntil is the time until which a suspected release that has all traffic isn't decided on.
	suspectedUntil = 0.97
)

const (
	completeMargin = 1500 * time.Millisecond
	// drainReserve is the time for the requests at the old release to end after the last step, which
	// may advance the steps by minStepFactor at most.
	drainReserve  = 2 * time.Second
	minStepFactor = 0.8
)

const (
	rampShare = 0.20
	halfShare = 0.50
	// Where the requests of some routes last long, the others get minRampShare of their requests at least,
	// and those routes may have maxLongTraffic of the traffic together at the first step.
	minRampShare   = 0.15
	maxLongTraffic = 0.3
	// longQuantile of the durations, of which minDurations are needed, stands for the longest request in
	// flight. reportReserve is the time for the stage to take effect and for the VMs' reports that no
	// request is on an old server.
	longQuantile  = 0.99
	minDurations  = 20
	reportReserve = time.Second
)

// PlanConfig describes a rollout.
type PlanConfig struct {
	Duration time.Duration // from the order to the deadline
	// ExposureShare and ExposureSlack bound the requests that a bad release may get: the share of all
	// requests of the service from the order to the deadline, plus the slack.
	ExposureShare float64
	ExposureSlack float64
	// LongestTimeout is the longest timeout of the service's routes.
	LongestTimeout time.Duration
}

// at returns a share of the duration.
func (c PlanConfig) at(share float64) time.Duration {
	return time.Duration(share * float64(c.Duration))
}

// step returns the time of a step, which is given as a share of the duration. Steps of short rollouts are
// earlier, so that at least drainReserve is left after the last one.
func (c PlanConfig) step(share float64) time.Duration {
	factor := min(1, max(float64(c.Duration-drainReserve)/float64(c.at(allAt)), minStepFactor))
	return time.Duration(factor * float64(c.at(share)))
}

// Plan determines the stages of a rollout. It is not safe for concurrent use.
type Plan struct {
	config  PlanConfig
	stage   Stage
	since   time.Duration // time of the last change of Shares or Phase
	stopped bool          // the exposure budget before the ramp is used up
}

// NewPlan returns the plan of a rollout that has just been ordered.
func NewPlan(c PlanConfig) *Plan { return &Plan{config: c, stage: InitialStage()} }

// InitialStage returns the stage of a rollout that has just been ordered.
func InitialStage() Stage {
	return Stage{Phase: Canary, Default: initialShare, ServerShare: initialShare}
}

// Resume continues a rollout at its last committed stage: at a new leader or after a restart. now is the
// time since the order.
func (p *Plan) Resume(now time.Duration, s Stage) { p.stage, p.since = s, now }

// Step returns the stage from now on, which is the time since the order. Final stages don't change. Age,
// ReportedShare and Drained of the evidence must be set; without them the rollout makes no step forward.
func (p *Plan) Step(now time.Duration, e Evidence, v Verdict) Stage {
	if p.stage.Final() {
		return p.stage
	}
	if v.Decision == Bad {
		return p.rollBack(now, v.Reason)
	}
	fresh := e.Age <= MaxEvidenceAge && e.ReportedShare >= minReported
	mayStep := fresh && !v.Suspected
	c := p.config
	switch {
	case p.stage.Phase == All:
		return p.stepAll(now, e, v)
	case now >= c.at(giveUpAt) && v.Suspected:
		return p.rollBack(now, "still suspected near the deadline: "+v.Reason)
	case now >= c.at(giveUpAt):
		return p.rollBack(now, "no time left for the remaining steps")
	case p.stage.Phase == Canary && mayStep && now >= c.step(rampAt) && now <= c.at(latestStep):
		return p.set(now, p.rampStage(now, e, v, max(rampShare, p.stage.ServerShare), halfAt))
	case p.stage.Phase == Canary:
		return p.stepCanary(now, e, fresh, v)
	case p.stage.Phase == Ramp && mayStep && now-p.since >= c.at(minStay):
		if p.stage.ServerShare >= halfShare && now >= c.step(allAt) || now >= c.at(skipAt) {
			return p.set(now, Stage{Phase: All, Default: 1, ServerShare: 1})
		}
		if p.stage.ServerShare < halfShare && now >= c.step(halfAt) {
			return p.set(now, p.rampStage(now, e, v, halfShare, allAt))
		}
	}
	return p.stage
}

// ramp returns a stage of the ramp with the same share of all routes.
func ramp(share float64) Stage { return Stage{Phase: Ramp, Default: share, ServerShare: share} }

// rampStage returns a stage of the ramp with a share of the service. The requests of a route that last too long to
// end between the next step, given as a share of the duration, and the deadline all go to the new release
// now, and the other routes get less for it; that requires a promising release, as the releases can't be
// compared on these routes any more. Routes keep a greater share that they have had.
func (p *Plan) rampStage(now time.Duration, e Evidence, v Verdict, share, nextStep float64) Stage {
	s := ramp(share)
	s.Shares = map[string]float64{}
	byRoute, total, _ := traffic(e)
	long := map[string]time.Duration{}
	for route, n := range byRoute {
		drain := drainTime(durations(e, route))
		late := p.config.Duration-drain < max(p.config.step(nextStep), now)
		if n > 0 && drain > 0 && late && (v.Decision == Good || v.Promising) {
			long[route] = drain
		}
		if had := p.stage.Shares[route]; had > share {
			s.Shares[route] = had
		}
	}
	// The longest first, up to the share of the service: the bound of the exposure comes first.
	routes := slices.SortedFunc(maps.Keys(long), func(a, b string) int {
		return cmp.Or(cmp.Compare(long[b], long[a]), cmp.Compare(a, b))
	})
	given, others := 0.0, total
	for _, route := range routes {
		if given+byRoute[route] <= max(share, maxLongTraffic)*total {
			s.Shares[route] = 1
			given += byRoute[route]
			others -= byRoute[route]
		}
	}
	if given > 0 && others > 0 {
		s.Default = roundShare(max(minRampShare, (share*total-given)/others))
	}
	if len(s.Shares) == 0 {
		s.Shares = nil
	}
	return s
}

// durations returns the counts of a route's requests at the old release, also from before the order.
func durations(e Evidence, route string) Counts {
	c := e.Old[route]
	c.Merge(e.Before[route])
	return c
}

// drainTime returns the time for which requests of a route may hold up the completion after the last of
// them was sent to the old release; 0 if it isn't known.
func drainTime(c Counts) time.Duration {
	if c.Duration.Count() < minDurations {
		return 0
	}
	return time.Duration(c.Duration.Quantile(longQuantile)*float64(time.Second)) + reportReserve
}

// set changes the stage.
func (p *Plan) set(now time.Duration, s Stage) Stage {
	p.stage, p.since = s, now
	return s
}

func (p *Plan) rollBack(now time.Duration, reason string) Stage {
	return p.set(now, Stage{Phase: RolledBack, Reason: reason})
}

// stepAll completes a rollout that has all traffic.
func (p *Plan) stepAll(now time.Duration, e Evidence, v Verdict) Stage {
	c := p.config
	if now < max(min(c.at(completeAt), c.Duration-completeMargin), c.at(earliestComplete)) {
		return p.stage
	}
	if v.Suspected {
		if now < c.at(suspectedUntil) {
			return p.stage
		}
		return p.rollBack(now, "still suspected at the deadline: "+v.Reason)
	}
	// No request that went to the old release before the last step runs longer than the timeout.
	if e.Drained || now-p.since >= c.LongestTimeout+MaxEvidenceAge && now >= c.Duration {
		return p.set(now, Stage{Phase: Completed, Default: 1, ServerShare: 1})
	}
	return p.stage
}

// traffic returns the requests of each route, of both releases, and their sums.
func traffic(e Evidence) (byRoute map[string]float64, total, exposed float64) {
	byRoute = map[string]float64{}
	for route, c := range e.Old {
		n := float64(c.Requests) + float64(c.Pending)
		byRoute[route] += n
		total += n
	}
	for route, c := range e.New {
		n := float64(c.Requests) + float64(c.Pending)
		byRoute[route] += n
		total += n
		exposed += n
	}
	return byRoute, total, exposed
}

// stepCanary divides the canary share among the routes and keeps the exposure within its budget.
func (p *Plan) stepCanary(now time.Duration, e Evidence, fresh bool, v Verdict) Stage {
	byRoute, total, exposed := traffic(e)
	if !fresh || now < settleTime || total < minDistribution {
		return p.stage
	}
	c := p.config
	perSecond := total / now.Seconds()
	budget := budgetUsed * (c.ExposureShare*perSecond*c.Duration.Seconds() + c.ExposureSlack)
	// Requests that are sent until the next evidence arrives are exposed, too, in bad luck more than expected.
	inTransit := p.share(byRoute, total) * perSecond * MaxEvidenceAge.Seconds()
	inTransit += math.Sqrt(inTransit)
	p.stopped = exposed+inTransit >= budget || p.stopped && exposed >= continueBelow*budget
	if p.stopped {
		return p.change(now, Stage{Phase: Canary, ServerShare: p.stage.ServerShare})
	}
	untilRamp := perSecond * c.step(rampAt).Seconds()
	share := min(canaryExposure*c.ExposureShare+canarySlack*c.ExposureSlack/untilRamp, maxRouteShare)
	ahead := perSecond * max(c.step(rampAt)-now, 0).Seconds()
	if now >= c.at(undecidedAt) && v.Decision != Good && !v.Suspected && ahead > 0 {
		share = max(share, min((min(raisedBudget*budget, wantedRequests)-exposed)/(ahead+perSecond*MaxEvidenceAge.Seconds()), maxRouteShare))
	}
	if v.Suspected && ahead > 0 { // it needs more evidence, but gets no greater share than it had
		share = max(share, p.stage.ServerShare)
	}
	if ahead > 0 {
		share = min(share, (budget-exposed)/ahead)
	}
	shares := equalCounts(byRoute, total, share)
	for route := range rareRoutes(e.Before) {
		untilRamp := byRoute[route] / now.Seconds() * c.step(rampAt).Seconds()
		if byRoute[route] <= rareTraffic*total && untilRamp >= minRareRequests && untilRamp <= maxRareRequests {
			shares[route] = max(shares[route], maxRareShare)
		}
	}
	next := Stage{Phase: Canary, Shares: shares, Default: share, ServerShare: share}
	first := p.stage.Shares == nil // or continued
	if !first && (now-p.since < c.at(adjustInterval) || !p.differs(next)) {
		return p.stage
	}
	return p.change(now, next)
}

// change sets the stage if it differs from the current one.
func (p *Plan) change(now time.Duration, s Stage) Stage {
	if s.Equal(p.stage) {
		return p.stage
	}
	return p.set(now, s)
}

// share returns the share of the service that the new release gets in the current stage.
func (p *Plan) share(byRoute map[string]float64, total float64) float64 {
	sum := 0.0
	for route, n := range byRoute {
		sum += n * p.stage.Share(route)
	}
	return sum / total
}

// differs reports whether a route's share would change by adjustFactor or more.
func (p *Plan) differs(s Stage) bool {
	for route, share := range s.Shares {
		if current := p.stage.Share(route); share > current*adjustFactor || share*adjustFactor < current {
			return true
		}
	}
	return false
}

// equalCounts divides a share of the service so that the new release gets the same number of requests of
// each route, at most maxRouteShare of it.
func equalCounts(byRoute map[string]float64, total, share float64) map[string]float64 {
	routes := slices.Collect(maps.Keys(byRoute))
	slices.SortFunc(routes, func(a, b string) int {
		if byRoute[a] != byRoute[b] {
			if byRoute[a] < byRoute[b] {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	shares := map[string]float64{}
	remaining := share * total
	for i, route := range routes { // the smallest first: what they lack is divided among the others
		n := byRoute[route]
		if n <= 0 {
			continue
		}
		count := min(remaining/float64(len(routes)-i), maxRouteShare*n)
		remaining -= count
		shares[route] = roundShare(count / n)
	}
	return shares
}

// roundShare rounds a share, so that the results of different orders of addition are equal.
func roundShare(share float64) float64 { return math.Round(share*1e4) / 1e4 }
