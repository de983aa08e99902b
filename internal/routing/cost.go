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
