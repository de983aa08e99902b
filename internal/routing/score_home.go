package routing

import (
	"slices"

	"eelgrasshollow/internal/prefix"
)

// homeScorer lets entry VMs send requests with a shared prefix to the same endpoints
// without communication. Each shared prefix has home endpoints by rendezvous hashing, as
// many as its request rate needs. Requests whose next piece is cached nowhere are
// attracted to the homes of that piece.
type homeScorer struct {
	weight      float64 // share of the uncached work that other endpoints are charged
	ratePerCopy float64 // requests per second that one copy of a prefix serves
}

// Name implements Scorer.
func (homeScorer) Name() string { return "home" }

// Score charges endpoints that are not a home of the prefix for part of their uncached
// work.
func (h homeScorer) Score(eval *Evaluation, candidates []Candidate, out []float64) {
	if len(eval.Request.Chain) == 0 {
		return
	}
	copies := 1 + int(eval.PrefixRate*float64(eval.VMs)/h.ratePerCopy)
	if copies >= len(candidates) {
		return
	}
	threshold := nthHighest(candidates, copies)
	for i := range candidates {
		if candidates[i].home < threshold {
			s := candidates[i].State
			out[i] = h.weight * float64(candidates[i].UncachedTokens) * milliseconds(s.perToken())
		}
	}
}

// nthHighest returns the n-th highest home weight; there must be more than n candidates.
func nthHighest(candidates []Candidate, n int) uint64 {
	var buffer [16]uint64
	if n > len(buffer) {
		all := make([]uint64, len(candidates))
		for i := range candidates {
			all[i] = candidates[i].home
		}
		slices.Sort(all)
		return all[len(all)-n]
	}
	top := buffer[:n]
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

// homeKey returns the piece that determines the homes of a request. If it is known which
// pieces are shared, that is the deepest shared one, so that the homes do not depend on what
// a VM knows. Otherwise it is the first piece that no endpoint is known to hold.
func homeKey(r *Request, cachedPieces int) prefix.Hash {
	if r.SharedPieces > 0 {
		return r.Chain[r.SharedPieces-1]
	}
	return r.Chain[min(cachedPieces, len(r.Chain)-1)]
}
