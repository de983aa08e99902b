package rollout

import (
	"time"

	"eelgrasshollow/internal/fleet"
)

const (
	// maxFailedLoads is the number of servers that are lost while they load weights which no server
	// has loaded yet, from which on the weights are taken for the cause: they are ordered at one
	// server at a time, with growing pauses.
	maxFailedLoads   = 3
	firstOrderPause  = 2 * time.Second
	orderPauseGrowth = 4
	maxOrderPause    = time.Hour
)

// failedLoads counts the servers that were lost while they loaded certain weights.
type failedLoads struct {
	count  int
	nextAt time.Time // no order before; zero while count is below maxFailedLoads
}

// recordFailure records that the server of a change is lost, if it was ordered to load. It may have
// been lost before it accepted the order.
func (p *Planner) recordFailure(now time.Time, c *change) {
	if c.sentVersion == 0 {
		return
	}
	weights := fleet.Weights{Model: c.model, Version: c.sentVersion}
	f := p.failed[weights]
	if f == nil {
		f = &failedLoads{}
		p.failed[weights] = f
	}
	if f.count++; f.count >= maxFailedLoads {
		f.nextAt = now.Add(f.pause())
	}
}

// pause returns the time from the last failure to the next order.
func (f *failedLoads) pause() time.Duration {
	pause := firstOrderPause
	for n := f.count; n > maxFailedLoads && pause < maxOrderPause; n-- {
		pause *= orderPauseGrowth
	}
	return min(pause, maxOrderPause)
}

// paused reports whether weights must not be ordered now.
func (p *Planner) paused(now time.Time, weights fleet.Weights) bool {
	f := p.failed[weights]
	return f != nil && now.Before(f.nextAt)
}

// takeTurn reports whether weights may be ordered now. If servers were lost under them, the next
// order has to wait for the result of this one.
func (p *Planner) takeTurn(now time.Time, weights fleet.Weights) bool {
	if p.paused(now, weights) {
		return false
	}
	if f := p.failed[weights]; f != nil && f.count >= maxFailedLoads {
		f.nextAt = now.Add(max(f.pause(), p.config.SlotTimeout))
	}
	return true
}

// recordLoaded forgets the failures of weights that a server has loaded.
func (p *Planner) recordLoaded(weights fleet.Weights) { delete(p.failed, weights) }

// FailedLoads returns the number of servers that were lost while they loaded weights which no server
// has loaded yet.
func (p *Planner) FailedLoads(weights fleet.Weights) int {
	if f := p.failed[weights]; f != nil {
		return f.count
	}
	return 0
}
