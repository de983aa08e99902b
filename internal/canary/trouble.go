package canary

const (
	// troubleMemory is the weight that the old release's results keep at the next evaluation: half of it is
	// lost within 0.5 s at four evaluations a second, and within 0.2 s at ten.
	troubleMemory = 0.7
	// minRecent is the weighted number of the old release's recent results from which on they show whether
	// it is in trouble.
	minRecent = 8
)

// trouble follows how much worse the old release does than before, over all routes, in the last seconds.
// Trouble of the whole fleet raises the rates of both releases.
type trouble struct{ total, bad, expected float64 }

// update adds the old release's results between two times. before holds the counts from before the order.
func (r *trouble) update(m metric, before map[string]Counts, last, now *snapshot) {
	var total, bad, expected float64
	for route, c := range now.old {
		past := before[route]
		bucket := slowBucket(past.Latency)
		pastTotal, pastBad := m.tallyResults(past, bucket)
		if pastTotal < minBefore {
			continue
		}
		n, k := m.tallyResults(c, bucket)
		n0, k0 := m.tallyResults(last.old[route], bucket)
		if n <= n0 || k < k0 {
			continue
		}
		total += float64(n - n0)
		bad += float64(k - k0)
		expected += float64(n-n0) * float64(pastBad) / float64(pastTotal)
	}
	r.total = troubleMemory*r.total + total
	r.bad = troubleMemory*r.bad + bad
	r.expected = troubleMemory*r.expected + expected
}

// excess returns by how much the recent rate exceeds the former one; known is false if there are too few
// recent results.
func (r *trouble) excess() (excess float64, known bool) {
	return max(0, (r.bad-r.expected)/max(r.total, 1)), r.total >= minRecent
}
