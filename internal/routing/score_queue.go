package routing

// queueScorer predicts the wait behind requests that were sent or queued before.
type queueScorer struct{}

// Name implements Scorer.
func (queueScorer) Name() string { return "queue" }

// Score implements Scorer.
func (queueScorer) Score(eval *Evaluation, candidates []Candidate, out []float64) {
	for i := range candidates {
		s := candidates[i].State
		pending := s.PendingTokens + s.PeerPendingTokens
		out[i] = float64(pending)*milliseconds(s.perToken()) + admissionWait(eval, s)
	}
}

// admissionWait predicts the wait for a slot and for a permit, in milliseconds, behind the
// requests in flight and in the queue.
func admissionWait(eval *Evaluation, s *State) float64 {
	inFlight, limit := s.InFlight, s.limit(eval.VMs)
	if eval.visible != nil {
		inFlight, limit = eval.visible(s)
	}
	permit := milliseconds(s.permitWait(eval.Now, s.queue.Len()))
	ahead := inFlight + s.queue.Len() + s.currentForeign(eval.Now) - limit + 1
	if ahead <= 0 {
		return permit
	}
	return max(permit, float64(ahead)*milliseconds(s.usualServiceTime())/float64(limit))
}
