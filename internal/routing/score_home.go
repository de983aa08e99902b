package routing

import (
	"slices"

	"eelgrasshollow/internal/prefix"

	"github.com/cespare/xxhash/v2"
)

// homeScorer makes siblings meet without a word between entry VMs: each shared level
// has homes by rendezvous hashing, as many as its rate asks, and a request whose
// deeper pieces nobody is known to hold is drawn to them.
type homeScorer struct {
	weight      float64 // share of the unknown work that a home is credited with
	perCopyRate float64 // requests per second that one copy of a level takes
}

// Name names the scorer.
func (homeScorer) Name() string { return "home" }

// Score charges endpoints away from home with part of what they would compute.
func (h homeScorer) Score(c *Evaluation, candidates []Candidate, out []float64) {
	if len(c.Request.Chain) == 0 {
		return
	}
	copies := 1 + int(c.PrefixRate*float64(c.VMs)/h.perCopyRate)
	if copies >= len(candidates) {
		return
	}
	least := nthHighest(candidates, copies)
	for i := range candidates {
		if candidates[i].home < least {
			s := candidates[i].State
			out[i] = h.weight * float64(candidates[i].UncachedTokens) * milliseconds(s.PrefillPerToken)
		}
	}
}

// nthHighest finds the n-th highest home weight among more than n candidates.
func nthHighest(candidates []Candidate, n int) uint64 {
	var few [16]uint64
	if n > len(few) {
		all := make([]uint64, len(candidates))
		for i := range candidates {
			all[i] = candidates[i].home
		}
		slices.Sort(all)
		return all[len(all)-n]
	}
	top := few[:n]
	for i := range candidates {
		w := candidates[i].home
		for j := range top {
			if w > top[j] {
				w, top[j] = top[j], w
			}
		}
	}
	return top[n-1]
}

// levelKey is the first piece that nobody is known to hold: siblings share it.
func levelKey(chain []prefix.Hash, held int) prefix.Hash {
	return chain[min(held, len(chain)-1)]
}

// rendezvous weighs a key at a name; the highest weight is the first home.
func rendezvous(key prefix.Hash, name uint64) uint64 {
	x := uint64(key) ^ name
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // finalizer of splitmix64
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// nameHash prepares a name for rendezvous.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }
