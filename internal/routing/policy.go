package routing

import (
	"sync/atomic"
	"time"
)

// Tuning weighs the scorers of our policy.
type Tuning struct {
	// PrefillWeight is the weight of uncached work against waiting; above 1, because work
	// that is repeated also delays others and evicts what they use.
	PrefillWeight float64
	// MaxExtraDelay bounds what the weight beyond 1 may add, so that nobody waits for long
	// to spare others work.
	MaxExtraDelay time.Duration
	// HomeWeight is the weight with which unknown work is drawn to its level's homes.
	HomeWeight float64
	// RatePerCopy is how many requests per second one copy of a shared level takes.
	RatePerCopy float64
}

// DefaultTuning is the entry VMs' tuning.
func DefaultTuning() Tuning {
	return Tuning{PrefillWeight: 2.5, MaxExtraDelay: 2 * time.Second, HomeWeight: 1, RatePerCopy: 20}
}

// Cost of an import from the kept-cache store.
const (
	importFixed    = 5 * time.Millisecond
	importPerToken = 10 * time.Microsecond
	// An endpoint's link carries a token's cache in well under a microsecond, twice that
	// between failure domains; the rest is for transfers that wait for each other.
	peerImportPerToken = 2 * time.Microsecond
)

// olderWeights is what a request may wait longer for endpoints with the named weights: a
// fifth of a usual target time of a second, the share that an answer loses on older ones.
const olderWeights = 200 * time.Millisecond

// DefaultPolicy is the policy of the entry VMs.
func DefaultPolicy(t Tuning) Policy {
	return Policy{
		Filters: []Filter{available{}, otherDomain{}},
		Scorers: []Scorer{
			queueScorer{}, prefillScorer{t.PrefillWeight, milliseconds(t.MaxExtraDelay)}, homeScorer{t.HomeWeight, t.RatePerCopy},
			weightsScorer{milliseconds(olderWeights)},
			importScorer{fixed: importFixed, perToken: importPerToken, peerToken: peerImportPerToken, prefill: t.PrefillWeight},
		},
		Picker: leastPicker{},
	}
}

// OraclePolicy is the same policy over caches and queues as they are.
func OraclePolicy(truth GroundTruth, t Tuning) Policy {
	p := DefaultPolicy(t)
	p.Scorers[0], p.GroundTruth = truthScorer{truth}, truth
	return p
}

// truthScorer predicts the wait from the endpoint's real backlog.
type truthScorer struct{ truth GroundTruth }

// Name names the scorer.
func (truthScorer) Name() string { return "queue" }

// Score predicts the wait at each candidate.
func (t truthScorer) Score(c *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		s := candidates[i].State
		out[i] = float64(t.truth.PendingTokens(s.Name))*milliseconds(s.PrefillPerToken) + admissionWait(c, s)
	}
}

// LeastLoad is a baseline: the endpoint with the fewest requests.
func LeastLoad() Policy {
	return Policy{Filters: []Filter{available{}}, Scorers: []Scorer{loadScorer{}}, Picker: firstPicker{}}
}

// RoundRobin is a baseline: every endpoint in turn.
func RoundRobin() Policy {
	return Policy{Filters: []Filter{available{}}, Picker: &turnPicker{}}
}

// WholePrefix is a baseline: rendezvous hashing over the whole prefix.
func WholePrefix() Policy {
	return Policy{Filters: []Filter{available{}}, Picker: wholePicker{}}
}

// firstPicker takes the lowest total, the first of equals by a turning offset.
type firstPicker struct{}

// Pick chooses.
func (firstPicker) Pick(_ *Evaluation, candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Total < candidates[best].Total {
			best = i
		}
	}
	return best
}

type turnPicker struct{ turn atomic.Uint64 }

// Pick chooses.
func (t *turnPicker) Pick(_ *Evaluation, candidates []Candidate) int {
	return int(t.turn.Add(1) % uint64(len(candidates)))
}

type wholePicker struct{}

// Pick chooses.
func (wholePicker) Pick(c *Evaluation, candidates []Candidate) int {
	if len(c.Request.Chain) == 0 {
		return firstPicker{}.Pick(c, candidates)
	}
	key := c.Request.Chain[len(c.Request.Chain)-1]
	best, most := 0, uint64(0)
	for i := range candidates {
		if w := rendezvous(key, candidates[i].State.hash); w > most {
			best, most = i, w
		}
	}
	return best
}
