package routing

// leastPicker picks the lowest total. Ties go by rendezvous hashing of the request's
// prefix, so that different prefixes spread and equal ones go to the same endpoint.
// Requests without a prefix go to the endpoint with the fewest requests of this VM first.
type leastPicker struct{}

// Pick implements Picker.
func (leastPicker) Pick(eval *Evaluation, candidates []Candidate) int {
	best := 0
	for i := 1; i < len(candidates); i++ {
		if better(eval, &candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

const tieToleranceMS = 1e-6

func better(eval *Evaluation, a, b *Candidate) bool {
	if d := a.Total - b.Total; d > tieToleranceMS || d < -tieToleranceMS {
		return d < 0
	}
	if len(eval.Request.Chain) == 0 {
		if x, y := a.State.InFlight, b.State.InFlight; x != y {
			return x < y
		}
	}
	return a.home > b.home
}
