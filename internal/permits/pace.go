package permits

import (
	"math"
	"time"

	"eelgrasshollow/internal/pace"
)

const (
	// minFair is the least fair rate.
	minFair = 2.0
	// paceFloor is the lowest rate of an endpoint, as a share of its fair rate, and minPaceFloor the
	// least: without requests no response would show that it has recovered.
	paceFloor    = 0.02
	minPaceFloor = 0.2
	// brittleStart is the share of its fair rate at which an endpoint is used that has just become
	// brittle: requests of before still wait at it.
	brittleStart = 0.5
	// resumeShare is the share of the rate that VMs got from the former owner with which a new one
	// starts.
	resumeShare = 0.7
	// brittleMargin, in square roots of the slots, is kept free at a brittle endpoint that tolerates
	// up to marginRejections rejections in a second; less beyond. Service times vary, so that
	// the requests at an endpoint do too. In simulations without room to wait, an endpoint of 8 slots
	// that tolerates 1 rejection got 2 in one of 60 seconds without the margin.
	brittleMargin    = 1.25
	marginRejections = 4
	minCeiling       = 0.3 // of the fair rate
	// fairWeight is the weight of an ask in the average of the fair rate.
	fairWeight = 0.05
	// paceTTL is how long an endpoint keeps its pace while asks come from VMs only that know of none.
	paceTTL = 5 * time.Second
	// maxFair bounds the fair rate that a VM states.
	maxFair = 1e5
	// stopShare is the share of the tolerated rejections in a second after which no permits are given
	// until the second ends. Rejections that are not known yet, and those of requests that are on
	// their way, add to it.
	stopShare = 0.25
	// aheadShare is the share of the tolerated rejections up to which permits are given ahead of their
	// time: all of them may meet a full endpoint.
	aheadShare = 0.125
)

// endpointPace is the owner's view of the pace of one incarnation of a brittle endpoint.
type endpointPace struct {
	controller     *pace.Controller
	slots          int
	brittle        uint32
	fair           float64
	started, floor float64     // rate at the start, and the lowest one
	rejections     []rejection // in the last rejectionWindow
	askedAt        time.Time
	stoppedUntil   time.Time
}

// rejection is a number of rejections that the owner heard of at a time.
type rejection struct {
	at    time.Time
	count uint32
}

// fair returns the fair rate within bounds: a VM may state any.
func (p Pace) fair() float64 {
	if math.IsNaN(p.Fair) {
		return minFair
	}
	return min(max(p.Fair, minFair), maxFair)
}

// observe applies the pace and the results in an ask, and reports whether the endpoint has a pace.
func (o *Owner) observe(now time.Time, p *spacer, ask Ask) bool {
	if !ask.Pace.Active() {
		if p.pace != nil && now.Sub(p.pace.askedAt) > paceTTL {
			p.pace = nil
		}
		return p.pace != nil
	}
	fair := ask.Pace.fair()
	if p.pace == nil {
		p.pace = newEndpointPace(ask.Pace, fair)
	}
	e := p.pace
	e.askedAt = now
	if known := resumeShare * min(ask.Pace.Known, maxFair); known > e.started && now.Before(p.handoverUntil) {
		// Several VMs know a rate of the former owner; nothing has been sent at the one taken first.
		e.start(known)
	}
	e.fair += fairWeight * (fair - e.fair)
	e.brittle, e.slots = ask.Pace.Brittle, ask.Pace.Slots
	e.controller.SetCeiling(e.ceiling())
	if now.After(p.handoverUntil) { // results of before are not those of its rate
		e.controller.Observe(now, ask.Observed)
	}
	if ask.Observed.Rejected > 0 {
		e.countRejections(now, ask.Observed.Rejected)
	}
	return true
}

func newEndpointPace(p Pace, fair float64) *endpointPace {
	e := &endpointPace{fair: fair, brittle: p.Brittle, slots: p.Slots}
	e.floor = max(paceFloor*fair, minPaceFloor)
	start := brittleStart * fair
	if p.Known > 0 {
		start = resumeShare * p.Known
	}
	e.start(start)
	return e
}

// start starts the controller at a rate.
func (e *endpointPace) start(rate float64) {
	e.started = rate
	e.controller = pace.NewCareful(rate, e.floor, e.ceiling())
}

// ceiling returns the highest rate.
func (e *endpointPace) ceiling() float64 {
	margin := brittleMargin / math.Sqrt(float64(max(e.slots, 1))) / max(float64(e.brittle)/marginRejections, 1)
	return e.fair * max(1-margin, minCeiling)
}

// horizon returns how far ahead of its time a permit is given at a rate.
func (e *endpointPace) horizon(rate float64) time.Duration {
	return min(horizon, time.Duration(aheadShare*float64(e.brittle)/rate*float64(time.Second)))
}

// countRejections stops the endpoint's permits once it has rejected too many requests within
// rejectionWindow, until that has passed since the first of them.
func (e *endpointPace) countRejections(now time.Time, count uint32) {
	for len(e.rejections) > 0 && now.Sub(e.rejections[0].at) >= rejectionWindow {
		e.rejections = e.rejections[1:]
	}
	e.rejections = append(e.rejections, rejection{now, count})
	sum := 0.0
	for _, r := range e.rejections {
		sum += float64(r.count)
	}
	if sum >= stopShare*float64(e.brittle) {
		e.stoppedUntil = e.rejections[0].at.Add(rejectionWindow)
	}
}
