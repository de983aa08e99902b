package routing

import (
	"eelgrasshollow/internal/rendezvous"
	"sync/atomic"
	"time"
)

// Tuning holds the weights of the scorers of DefaultPolicy.
type Tuning struct {
	// PrefillWeight is the weight of uncached tokens relative to waiting time. It is above
	// 1 because repeated work also delays other requests and evicts their cached prefixes.
	PrefillWeight float64
	// MaxExtraDelay bounds the extra cost from a PrefillWeight above 1, so that no request
	// waits long only to save repeated work.
	MaxExtraDelay time.Duration
	// HomeWeight is the share of the uncached work that an endpoint outside the homes of
	// the prefix is charged.
	HomeWeight float64
	// RatePerCopy is the number of requests per second that one copy of a shared prefix
	// serves.
	RatePerCopy float64
}

// DefaultTuning returns the tuning of the entry VMs.
func DefaultTuning() Tuning {
	return Tuning{PrefillWeight: 2.5, MaxExtraDelay: 2 * time.Second, HomeWeight: 1, RatePerCopy: 20}
}

// Costs of an import.
const (
	importOverhead      = 5 * time.Millisecond
	storeImportPerToken = 10 * time.Microsecond
	// An endpoint's link transfers the cache of a token in well under a microsecond, and
	// in twice that between failure domains; the rest accounts for transfers that wait for
	// each other.
	peerImportPerToken = 2 * time.Microsecond
)

// outdatedWeightsPenalty is how much longer a request may wait for an endpoint with the
// target weights: a fifth of a usual target time of one second. A fifth is also the share of
// its value that a response loses if it is computed with previous weights.
const outdatedWeightsPenalty = 200 * time.Millisecond

// DefaultPolicy returns the policy of the entry VMs.
func DefaultPolicy(t Tuning) Policy {
	return Policy{
		Filters: []Filter{available{}, otherDomain{}, usable{}},
		Scorers: []Scorer{
			queueScorer{}, prefillScorer{t.PrefillWeight, milliseconds(t.MaxExtraDelay)}, homeScorer{t.HomeWeight, t.RatePerCopy},
			weightsScorer{milliseconds(outdatedWeightsPenalty)},
			importScorer{overhead: importOverhead, storePerToken: storeImportPerToken, peerPerToken: peerImportPerToken, prefillWeight: t.PrefillWeight},
		},
		Picker: leastPicker{},
	}
}

// OraclePolicy returns DefaultPolicy with the actual caches and queues in place of
// estimates.
func OraclePolicy(truth GroundTruth, t Tuning) Policy {
	p := DefaultPolicy(t)
	p.Scorers[0], p.GroundTruth = truthScorer{truth}, truth
	return p
}

// truthScorer predicts the wait from the actual backlog of the endpoint.
type truthScorer struct{ truth GroundTruth }

// Name implements Scorer.
func (truthScorer) Name() string { return "queue" }

// Score implements Scorer.
func (scorer truthScorer) Score(eval *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		s := candidates[i].State
		out[i] = float64(scorer.truth.PendingTokens(s.Name))*milliseconds(s.perToken()) + admissionWait(eval, s)
	}
}

// LeastLoad returns a baseline policy that picks the endpoint with the fewest requests.
func LeastLoad() Policy {
	return Policy{Filters: []Filter{available{}}, Scorers: []Scorer{loadScorer{}}, Picker: firstLowestPicker{}}
}

// RoundRobin returns a baseline policy that picks the endpoints in turn.
func RoundRobin() Policy {
	return Policy{Filters: []Filter{available{}}, Picker: &roundRobinPicker{}}
}

// WholePrefix returns a baseline policy that uses rendezvous hashing over the whole
// prefix.
func WholePrefix() Policy {
	return Policy{Filters: []Filter{available{}}, Picker: wholePrefixPicker{}}
}

// firstLowestPicker picks the lowest total, and the first candidate among equals.
type firstLowestPicker struct{}

// Pick implements Picker.
func (firstLowestPicker) Pick(_ *Evaluation, candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Total < candidates[best].Total {
			best = i
		}
	}
	return best
}

type roundRobinPicker struct{ counter atomic.Uint64 }

// Pick implements Picker.
func (p *roundRobinPicker) Pick(_ *Evaluation, candidates []Candidate) int {
	return int(p.counter.Add(1) % uint64(len(candidates)))
}

type wholePrefixPicker struct{}

// Pick implements Picker.
func (wholePrefixPicker) Pick(eval *Evaluation, candidates []Candidate) int {
	if len(eval.Request.Chain) == 0 {
		return firstLowestPicker{}.Pick(eval, candidates)
	}
	key := eval.Request.Chain[len(eval.Request.Chain)-1]
	best, highest := 0, uint64(0)
	for i := range candidates {
		if w := rendezvous.Weight(key, candidates[i].State.nameHash); w > highest {
			best, highest = i, w
		}
	}
	return best
}
