package cacheindex

import (
	"math"
	"time"

	"eelgrasshollow/internal/prefix"
)

// rateWindow is the time constant of the decaying average of a prefix's uses per second.
const rateWindow = 4 * time.Second

// Match estimates which pieces of a chain an endpoint has cached. Both counts are of leading
// pieces.
type Match struct {
	CachedPieces   int           // pieces whose entry is within the endpoint's lifetime
	RecordedPieces int           // pieces with an entry of any age
	Age            time.Duration // age of the entry of the last recorded piece
}

// Find returns the match of each endpoint with the chain, indexed by Endpoint. It reuses the
// memory of into. An entry for a piece implies all pieces before it, because engines evict the
// deepest pieces first; therefore digests contain only the last piece of a chain.
func (x *Index) Find(chain []prefix.Hash, now time.Time, into []Match) []Match {
	into = into[:0]
	for range x.endpoints {
		into = append(into, Match{})
	}
	at := x.ticks(now)
	for i, h := range chain {
		pos, ok := x.byHash[h]
		if !ok {
			continue
		}
		for _, held := range x.entries[pos].holders {
			state := &x.endpoints[held.endpoint]
			m := &into[held.endpoint]
			if held.generation != state.generation {
				continue
			}
			m.RecordedPieces, m.Age = i+1, age(at, held.recordedAt)
			if m.Age <= state.lifetime {
				m.CachedPieces = i + 1
			}
		}
	}
	return into
}

// age returns the time between two tick counts, or 0 if then is not before now.
func age(now, then uint32) time.Duration {
	if then >= now {
		return 0
	}
	return time.Duration(now-then) * tickLength
}

// AdjustLifetime adapts the endpoint's lifetime to a response: m was the match when the request
// was sent, cached is the number of pieces that the endpoint found in its cache. A hit on an
// old entry lengthens the lifetime, a miss shortens it.
func (x *Index) AdjustLifetime(e Endpoint, m Match, cached int) {
	if m.RecordedPieces == 0 {
		return
	}
	state := &x.endpoints[e]
	switch {
	case cached >= m.RecordedPieces && m.Age > state.lifetime/2:
		grownLifetime := time.Duration(float64(state.lifetime) * growFactor)
		state.lifetime = min(max(grownLifetime, min(m.Age, state.lifetime*2)), maxLifetime)
	case cached < m.CachedPieces && m.Age < state.lifetime:
		state.lifetime -= time.Duration(shrinkShare * float64(state.lifetime-m.Age))
		state.lifetime = max(state.lifetime, minLifetime)
	}
}

// BranchPoints appends to into the number of leading pieces before each branch point of the
// chain: a prefix with more than one recorded continuation.
func (x *Index) BranchPoints(chain []prefix.Hash, into []int) []int {
	for i, h := range chain {
		if pos, ok := x.byHash[h]; ok && x.entries[pos].branched && i+1 < len(chain) {
			into = append(into, i+1)
		}
	}
	return into
}

// VisitRecent calls visit with each prefix that peers need and each of its holders within the
// lifetime, most recently used prefixes first, until visit returns false. Peers need branch
// points and the last prefixes of chains, since a prefix implies all before it.
func (x *Index) VisitRecent(now time.Time, visit func(Endpoint, prefix.Hash) bool) {
	at := x.ticks(now)
	for pos := x.newest; pos != noEntry; pos = x.entries[pos].older {
		en := &x.entries[pos]
		if en.child != 0 && !en.branched {
			continue
		}
		for _, h := range en.holders {
			state := &x.endpoints[h.endpoint]
			if h.generation == state.generation && age(at, h.recordedAt) <= state.lifetime && !visit(h.endpoint, en.hash) {
				return
			}
		}
	}
}

// Contains reports whether the index has an entry for the prefix.
func (x *Index) Contains(h prefix.Hash) bool {
	_, ok := x.byHash[h]
	return ok
}

// Rate returns the uses per second of a prefix, or 0 if the index does not contain it.
func (x *Index) Rate(h prefix.Hash, now time.Time) float64 {
	pos, ok := x.byHash[h]
	if !ok {
		return 0
	}
	return x.entries[pos].rateNow(x.ticks(now))
}

// rateNow returns the decayed rate at a tick count.
func (en *entry) rateNow(at uint32) float64 {
	elapsed := age(at, en.rateAt)
	return float64(en.rate) * math.Exp(-elapsed.Seconds()/rateWindow.Seconds())
}

// recordUse counts one use of the prefix.
func (en *entry) recordUse(at uint32) {
	en.rate = float32(en.rateNow(at) + 1/rateWindow.Seconds())
	en.rateAt = at
}
