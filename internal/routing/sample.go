package routing

import (
	"time"

	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/rendezvous"
)

const (
	// staleDigestInterval is the interval between two digests of a peer above which the
	// loads in them are too old to compare endpoints by: a usual prefill takes less time.
	staleDigestInterval = 250 * time.Millisecond
	// uselessLoadInterval is the interval above which the loads say nothing about a single
	// endpoint: a usual request has ended by then.
	uselessLoadInterval = 500 * time.Millisecond
	// sampleSize is how many random candidates a VM compares while digests are stale,
	// besides those that may hold the prefix. The best of all endpoints would be the same
	// for every VM and would receive all requests until the next digest. The best of a few
	// random ones receives at most sampleSize times its share.
	sampleSize = 3
	// minAffinityTokens is the shortest cached prefix that attracts requests to an
	// endpoint while digests are stale: fewer tokens are computed in about the time of one
	// engine step.
	minAffinityTokens = 500
)

// digestsStale reports whether digests arrive too seldom to compare endpoints by load.
func (c *Core) digestsStale() bool {
	return c.digestRound() > staleDigestInterval
}

// reportedLoad is the load of other entry VMs at an endpoint, as of their digests.
type reportedLoad struct{ inFlight, pendingTokens int }

func (l *reportedLoad) add(inFlight, pendingTokens int) {
	l.inFlight += inFlight
	l.pendingTokens += pendingTokens
}

// equalizePeerLoads sets the peer load of each endpoint to the mean of its service or
// model while the reported loads are useless: the sum over all endpoints still shows how busy the
// service is, but the distribution is out of date. Otherwise it restores the reported
// loads.
func (c *Core) equalizePeerLoads() {
	if c.digestRound() <= uselessLoadInterval {
		if c.loadsEqualized {
			c.loadsEqualized = false
			for _, s := range c.endpoints {
				s.PeerInFlight, s.PeerPendingTokens = s.peerReported.inFlight, s.peerReported.pendingTokens
			}
		}
		return
	}
	c.loadsEqualized = true
	for _, group := range c.byService {
		equalizeGroup(group)
	}
	for _, group := range c.byModel {
		equalizeGroup(group)
	}
}

func equalizeGroup(group []*State) {
	var sum reportedLoad
	for _, s := range group {
		sum.add(s.peerReported.inFlight, s.peerReported.pendingTokens)
	}
	for _, s := range group {
		s.PeerInFlight, s.PeerPendingTokens = sum.inFlight/len(group), sum.pendingTokens/len(group)
	}
}

// sampleCandidates reduces the candidates while digests are stale. For a long prompt it
// keeps the home of the prefix and the endpoints that may hold a long part of it; to these
// it adds a few random candidates.
func (c *Core) sampleCandidates(r *Request) {
	if len(c.candidates) <= sampleSize || !c.digestsStale() {
		return
	}
	home := 0
	for i := range c.candidates {
		if c.candidates[i].home > c.candidates[home].home {
			home = i
		}
	}
	chosen := 0
	choose := func(i int) {
		c.candidates[chosen], c.candidates[i] = c.candidates[i], c.candidates[chosen]
		chosen++
	}
	if r.tokensOf(len(r.Chain)) >= minAffinityTokens {
		choose(home)
		for i := chosen; i < len(c.candidates); i++ {
			if r.tokensOf(c.candidates[i].Match.RecordedPieces) >= minAffinityTokens {
				choose(i)
			}
		}
	}
	c.sampleCounter++
	key := prefix.Hash(rendezvous.Name(r.ID))
	for n := uint64(0); n < sampleSize && chosen < len(c.candidates); n++ {
		left := uint64(len(c.candidates) - chosen)
		choose(chosen + int(rendezvous.Weight(key, c.sampleCounter*sampleSize+n)%left))
	}
	c.candidates = c.candidates[:chosen]
}
