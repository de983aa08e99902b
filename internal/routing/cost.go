package routing

import "time"

const (
	// learningRate is the weight of a new sample in a moving average.
	learningRate = 0.1
	// minObservedTokens is the least number of uncached tokens from which the cost of a
	// token is derived: with fewer, the fixed time to a first token dominates the
	// measurement.
	minObservedTokens = 1000
	// minOwnSamples is the number of samples of its own that an endpoint needs before its
	// own token cost is used instead of the average of its service. With learningRate,
	// that many samples weigh two thirds.
	minOwnSamples = 10
)

// observe updates the averages of an endpoint from a response. work is the number of
// uncached tokens computed between sending the request and its first token, those of the
// request included; firstToken and serviceTime are the times from sending the request to
// its first token and to its end. observe returns the cost of a token, or 0 if it cannot be
// derived from the response.
func (s *State) observe(work int, firstToken, serviceTime time.Duration) (perToken time.Duration) {
	if serviceTime > 0 {
		s.served = true
		s.ServiceTime = movingAverage(s.ServiceTime, serviceTime)
	}
	if work < minObservedTokens || firstToken <= 0 {
		return 0
	}
	perToken = firstToken / time.Duration(work)
	s.costSamples++
	s.PrefillPerToken = movingAverage(s.PrefillPerToken, perToken)
	return perToken
}

// tokenCost is the average cost of a prompt token at the endpoints of a service, over all
// their responses.
type tokenCost struct {
	perToken time.Duration
	samples  int
}

// add adds a sample: the average is the mean of the first samples, then a moving average
// with learningRate.
func (t *tokenCost) add(perToken time.Duration) {
	t.samples++
	weight := max(learningRate, 1/float64(t.samples))
	t.perToken += time.Duration(weight * float64(perToken-t.perToken))
}

// costKnown reports whether a response of the endpoint or of its service has shown the cost
// of a token.
func (c *Core) costKnown(s *State) bool {
	return s.costSamples > 0 || c.tokenCosts[s.Service].samples > 0
}

// shareTokenCost updates the token cost of a service, and applies it to the endpoints with
// too few samples of their own. In a large fleet one VM sends few requests to a single
// endpoint; with the initial value, such an endpoint would seem several times as slow as
// it is.
func (c *Core) shareTokenCost(service string, perToken time.Duration) {
	if service == "" {
		return // the endpoints are grouped by model
	}
	t := c.tokenCosts[service]
	t.add(perToken)
	c.tokenCosts[service] = t
	for _, s := range c.byService[service] {
		if s.costSamples < minOwnSamples {
			s.PrefillPerToken = t.perToken
		}
	}
}

func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(learningRate*float64(sample-old))
}

const (
	// workRate is the weight of a request, and permitRate that of a permit, in a workload.
	workRate   = 0.01
	permitRate = 0.05
	// highestPriceShare is the share of refused permits from which on permitPrice is highest.
	highestPriceShare = 0.5
)

// workload describes the requests of this VM for a service or model.
type workload struct {
	meanTokens, meanSquare float64 // of the uncached tokens, and of their squares
	permitsRefused         float64 // share of the permits that were asked for
}

// add counts a request that was sent.
func (w *workload) add(uncachedTokens int) {
	t := float64(uncachedTokens)
	w.meanTokens += (t - w.meanTokens) * workRate
	w.meanSquare += (t*t - w.meanSquare) * workRate
}

// addPermit counts a permit that was asked for.
func (w *workload) addPermit(refused bool) {
	share := 0.0
	if refused {
		share = 1
	}
	w.permitsRefused += (share - w.permitsRefused) * permitRate
}

// permitPrice returns the number of tokens that the use of a permit is worth. While permits are
// refused, that is the size of the requests that make up most of the work, so that these get the
// permits; while there are enough, it is 0, as it is for a nil workload, of which no request was sent.
func (w *workload) permitPrice() float64 {
	if w == nil || w.meanTokens <= 0 {
		return 0
	}
	return min(w.permitsRefused/highestPriceShare, 1) * w.meanSquare / w.meanTokens
}
