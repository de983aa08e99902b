package routing

import (
	"encoding/binary"

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
func (h homeScorer) Score(c *Case, candidates []Candidate, out []float64) {
	if len(c.Request.Chain) == 0 {
		return
	}
	key := levelKey(c.Request.Chain, c.Held)
	copies := 1 + int(c.Rate*float64(c.VMs)/h.perCopyRate)
	for i := range candidates {
		mine := rendezvous(key, candidates[i].State.Name)
		above := 0
		for j := range candidates {
			if j != i && rendezvous(key, candidates[j].State.Name) > mine {
				above++
			}
		}
		if above >= copies {
			s := candidates[i].State
			out[i] = h.weight * float64(candidates[i].Missed) * milliseconds(s.PrefillPerToken)
		}
	}
}

// levelKey is the first piece that nobody is known to hold: siblings share it.
func levelKey(chain []prefix.Hash, held int) prefix.Hash {
	return chain[min(held, len(chain)-1)]
}

// rendezvous weighs a key at an endpoint; the highest weight is the first home.
func rendezvous(key prefix.Hash, endpoint string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(key)^xxhash.Sum64String(endpoint))
	return xxhash.Sum64(b[:])
}
