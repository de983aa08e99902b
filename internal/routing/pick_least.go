package routing

// leastPicker takes the lowest total; ties go by rendezvous over the request's
// prefix, so that they spread and stay put.
type leastPicker struct{}

// Pick chooses.
func (leastPicker) Pick(c *Evaluation, candidates []Candidate) int {
	best := 0
	for i := 1; i < len(candidates); i++ {
		if better(c, &candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

const tieMilliseconds = 1e-6

func better(c *Evaluation, a, b *Candidate) bool {
	if d := a.Total - b.Total; d > tieMilliseconds || d < -tieMilliseconds {
		return d < 0
	}
	if len(c.Request.Chain) == 0 {
		if x, y := a.State.InFlight, b.State.InFlight; x != y {
			return x < y
		}
	}
	return a.home > b.home
}
