package routing

import "time"

// importScorer credits a candidate with what an import from the kept-cache store
// saves, where the import is cheaper than computing.
type importScorer struct {
	fixed    time.Duration // of one import
	perToken time.Duration
	prefill  float64 // weight of uncached work
}

// Name names the scorer.
func (importScorer) Name() string { return "import" }

// Score credits imports that pay.
func (s importScorer) Score(c *Case, candidates []Candidate, out []float64) {
	if c.Kept.Depth == 0 {
		return
	}
	for i := range candidates {
		k := &candidates[i]
		tokens := min(c.Request.tokensOf(c.Kept.Depth)-c.Request.tokensOf(k.Match.Depth), k.Missed)
		if tokens <= 0 {
			continue
		}
		saved := s.prefill * float64(tokens) * milliseconds(k.State.PrefillPerToken)
		cost := milliseconds(s.fixed) + float64(tokens)*milliseconds(s.perToken)
		if cost < saved {
			out[i] = cost - saved
			k.Import, k.ImportFrom = tokens, c.Kept.Address
		}
	}
}
