package routing

import "time"

const (
	// learnShare is the weight of a new answer in what is learned from them.
	learnShare = 0.1
	// observedWork is the least work, in tokens, that tells the cost of a token: for less,
	// the fixed time to a first token is most of what is measured.
	observedWork = 1000
	// ownMeasures is how many answers of an endpoint tell its cost of a token; with fewer,
	// that of its service is taken. At learnShare they weigh two thirds.
	ownMeasures = 10
)

// observe learns from an answer. work is the number of uncached tokens that stood
// between sending and the first token, own ones included. It returns the cost of a token,
// or 0 where the answer does not tell it.
func (s *State) observe(work int, firstToken, service time.Duration) (perToken time.Duration) {
	if service > 0 {
		s.ServiceTime = blend(s.ServiceTime, service)
	}
	if work < observedWork || firstToken <= 0 {
		return 0
	}
	perToken = firstToken / time.Duration(work)
	s.measured++
	s.PrefillPerToken = blend(s.PrefillPerToken, perToken)
	return perToken
}

// tokenCost is the cost of a prompt token at the endpoints of a service, from all their answers.
type tokenCost struct {
	perToken time.Duration
	answers  int
}

// add takes an answer in: the mean of the first ones, then with learnShare.
func (t *tokenCost) add(perToken time.Duration) {
	t.answers++
	share := max(learnShare, 1/float64(t.answers))
	t.perToken += time.Duration(share * float64(perToken-t.perToken))
}

// shareCost lets the endpoints of a service that have answered little yet take the cost of
// a token from the others. In a large fleet one VM sends a single endpoint few requests,
// and an unmeasured one would look several times as slow as it is.
func (c *Core) shareCost(service string, perToken time.Duration) {
	if service == "" {
		return // endpoints are grouped by their models
	}
	t := c.tokenCosts[service]
	t.add(perToken)
	c.tokenCosts[service] = t
	for _, s := range c.byService[service] {
		if s.measured < ownMeasures {
			s.PrefillPerToken = t.perToken
		}
	}
}

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(learnShare*float64(sample-old))
}
