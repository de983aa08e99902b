package cacheindex

import (
	"math"
	"time"

	"eelgrasshollow/internal/prefix"
)

// rateWindow is the time over which touches of a prefix are averaged.
const rateWindow = 4 * time.Second

// Match is what one endpoint probably holds of a chain.
type Match struct {
	CachedPieces   int           // pieces believed to be held
	RecordedPieces int           // pieces once held, however old
	Age            time.Duration // age of the deepest piece once held
}

// Find fills into, indexed by Endpoint, with what each endpoint holds of the chain,
// and returns it. A piece stands for all above it, as engines evict the deepest first:
// so peers need to tell of one piece only.
func (x *Index) Find(chain []prefix.Hash, now time.Time, into []Match) []Match {
	into = into[:0]
	for range x.endpoints {
		into = append(into, Match{})
	}
	at := x.ticks(now)
	for i, h := range chain {
		n, ok := x.byHash[h]
		if !ok {
			continue
		}
		for _, held := range x.entries[n].holders {
			state := &x.endpoints[held.endpoint]
			m := &into[held.endpoint]
			if held.generation != state.generation {
				continue
			}
			m.RecordedPieces, m.Age = i+1, age(at, held.at)
			if m.Age <= state.lifetime {
				m.CachedPieces = i + 1
			}
		}
	}
	return into
}

func age(now, then uint32) time.Duration {
	if then >= now {
		return 0
	}
	return time.Duration(now-then) * tick
}

// Learn corrects the endpoint's lifetime by an answer: m was the match when the
// request was sent, cached the pieces that were found.
func (x *Index) AdjustLifetime(e Endpoint, m Match, cached int) {
	if m.RecordedPieces == 0 {
		return
	}
	state := &x.endpoints[e]
	switch {
	case cached >= m.RecordedPieces && m.Age > state.lifetime/2:
		grown := time.Duration(float64(state.lifetime) * growFactor)
		state.lifetime = min(max(grown, min(m.Age, state.lifetime*2)), maxLifetime)
	case cached < m.CachedPieces && m.Age < state.lifetime:
		state.lifetime -= time.Duration(shrinkShare * float64(state.lifetime-m.Age))
		state.lifetime = max(state.lifetime, minLifetime)
	}
}

// Forks appends to into the depths at which the chain is known to have siblings:
// pieces with more than one continuation.
func (x *Index) BranchPoints(chain []prefix.Hash, into []int) []int {
	for i, h := range chain {
		if n, ok := x.byHash[h]; ok && x.entries[n].forked && i+1 < len(chain) {
			into = append(into, i+1)
		}
	}
	return into
}

// Recent hands out the prefixes that others should know of, the most recently used
// first: forks and the ends of chains, with each believed holder. It stops when more
// returns false.
func (x *Index) VisitRecent(now time.Time, more func(Endpoint, prefix.Hash) bool) {
	at := x.ticks(now)
	for n := x.newest; n != nowhere; n = x.entries[n].older {
		en := &x.entries[n]
		if en.child != 0 && !en.forked {
			continue
		}
		for _, h := range en.holders {
			state := &x.endpoints[h.endpoint]
			if h.generation == state.generation && age(at, h.at) <= state.lifetime && !more(h.endpoint, en.hash) {
				return
			}
		}
	}
}

// Seen reports whether the prefix was met before.
func (x *Index) Contains(h prefix.Hash) bool {
	_, ok := x.byHash[h]
	return ok
}

// Rate returns the touches per second of a prefix.
func (x *Index) Rate(h prefix.Hash, now time.Time) float64 {
	n, ok := x.byHash[h]
	if !ok {
		return 0
	}
	return x.entries[n].rateNow(x.ticks(now))
}

func (en *entry) rateNow(at uint32) float64 {
	elapsed := age(at, en.rateAt)
	return float64(en.rate) * math.Exp(-elapsed.Seconds()/rateWindow.Seconds())
}

func (en *entry) count(at uint32) {
	en.rate = float32(en.rateNow(at) + 1/rateWindow.Seconds())
	en.rateAt = at
}
