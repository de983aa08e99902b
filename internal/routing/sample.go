package routing

import (
	"time"

	"eelgrasshollow/internal/prefix"
)

const (
	// staleAfter is the time between two digests of a peer from which on what it has at the
	// endpoints is no guide any more: a usual prefill is over by then.
	staleAfter = 250 * time.Millisecond
	// sampled is how many endpoints a VM of a fleet with stale knowledge compares, besides
	// those where cache may be. The best of all would be the best of every VM at once, and
	// gets all requests until the next digest; the best of a few random ones gets at most
	// so many times its share.
	sampled = 3
	// drawTokens is the least cached prefix that draws requests to an endpoint in such a
	// fleet: less is computed in about the time of one step of an engine.
	drawTokens = 500
)

// stale reports whether peers are heard too seldom to compare endpoints by their load.
func (c *Core) stale() bool {
	return c.limits.DigestsPerSecond > 0 && float64(len(c.peers))/c.limits.DigestsPerSecond > staleAfter.Seconds()
}

// peerWork is what peers have at an endpoint.
type peerWork struct{ inFlight, pending int }

func (w *peerWork) add(inFlight, pending int) {
	w.inFlight += inFlight
	w.pending += pending
}

// level sets what the peers have at each endpoint to the mean of its service where it was
// told too long ago: the sum over all still says how busy the service is, but not where.
func (c *Core) level() {
	if !c.stale() {
		if c.leveled {
			c.leveled = false
			for _, s := range c.fleet {
				s.PeerInFlight, s.PeerPendingTokens = s.told.inFlight, s.told.pending
			}
		}
		return
	}
	c.leveled = true
	for _, group := range c.byService {
		levelGroup(group)
	}
	for _, group := range c.byModel {
		levelGroup(group)
	}
}

func levelGroup(group []*State) {
	var sum peerWork
	for _, s := range group {
		sum.add(s.told.inFlight, s.told.pending)
	}
	for _, s := range group {
		s.PeerInFlight, s.PeerPendingTokens = sum.inFlight/len(group), sum.pending/len(group)
	}
}

// sample keeps the candidates that hold or shall hold the request's prefix, where that is
// long, and a few random others.
func (c *Core) sample(r *Request) {
	if len(c.candidates) <= sampled || !c.stale() {
		return
	}
	home := 0
	for i := range c.candidates {
		if c.candidates[i].home > c.candidates[home].home {
			home = i
		}
	}
	kept := 0
	keep := func(i int) {
		c.candidates[kept], c.candidates[i] = c.candidates[i], c.candidates[kept]
		kept++
	}
	if r.tokensOf(len(r.Chain)) >= drawTokens {
		keep(home)
		for i := kept; i < len(c.candidates); i++ {
			if r.tokensOf(c.candidates[i].Match.RawDepth) >= drawTokens {
				keep(i)
			}
		}
	}
	c.draws++
	draw := prefix.Hash(nameHash(r.ID))
	for n := uint64(0); n < sampled && kept < len(c.candidates); n++ {
		left := uint64(len(c.candidates) - kept)
		keep(kept + int(rendezvous(draw, c.draws*sampled+n)%left))
	}
	c.candidates = c.candidates[:kept]
}
