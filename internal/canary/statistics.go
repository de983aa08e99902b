package canary

import "math"

// table is a 2x2 table: how many requests each release has had, and how many of these were bad.
type table struct{ newTotal, newBad, oldTotal, oldBad int }

func (t table) valid() bool {
	return t.newBad >= 0 && t.oldBad >= 0 && t.newBad <= t.newTotal && t.oldBad <= t.oldTotal
}

// newRate and oldRate are the shares of bad requests; 0 without requests.
func (t table) newRate() float64 { return float64(t.newBad) / float64(max(t.newTotal, 1)) }
func (t table) oldRate() float64 { return float64(t.oldBad) / float64(max(t.oldTotal, 1)) }

// logAdd returns the logarithm of exp(a) + exp(b).
func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(a, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// logMean returns the logarithm of the mean of exponentials.
func logMean(logs []float64) float64 {
	sum := math.Inf(-1)
	for _, l := range logs {
		sum = logAdd(sum, l)
	}
	return sum - math.Log(float64(len(logs)))
}

// conditionalLogRatios returns for each of the odds ratios the logarithm of its likelihood over that of
// the odds ratio null, given the number of bad requests of both releases together. The condition removes
// the rate of the old release, which needn't be known nor constant from one table to the next. The
// distribution is Fisher's noncentral hypergeometric one.
func conditionalLogRatios(t table, odds []float64, null float64) []float64 {
	ratios := make([]float64, len(odds))
	bad := t.newBad + t.oldBad
	least, most := max(0, bad-t.oldTotal), min(bad, t.newTotal)
	if least == most {
		return ratios // only one outcome is possible
	}
	logWeights := make([]float64, most-least+1) // relative to that of the least number
	for i := 1; i < len(logWeights); i++ {
		x := float64(least + i)
		logWeights[i] = logWeights[i-1] + math.Log((float64(bad)-x+1)*(float64(t.newTotal)-x+1)/(x*(float64(t.oldTotal-bad)+x)))
	}
	logLikelihood := func(odds float64) float64 {
		logOdds, sum := math.Log(odds), math.Inf(-1)
		for i, w := range logWeights {
			sum = logAdd(sum, w+float64(least+i)*logOdds)
		}
		return float64(t.newBad)*logOdds - sum
	}
	base := logLikelihood(null)
	for i, o := range odds {
		ratios[i] = logLikelihood(o) - base
	}
	return ratios
}

// binomialLogRatio returns the logarithm of the likelihood of a rate over that of the rate null.
func binomialLogRatio(total, bad int, rate, null float64) float64 {
	return float64(bad)*math.Log(rate/null) + float64(total-bad)*math.Log((1-rate)/(1-null))
}

// withOddsRatio returns the rate whose odds are a multiple of those of the given one.
func withOddsRatio(rate, ratio float64) float64 {
	odds := rate / (1 - rate) * ratio
	return odds / (1 + odds)
}
