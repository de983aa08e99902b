package releasetraffic

import "time"

const (
	// needMemory is the number of responses after which an older one counts for 1/e.
	needMemory = 200
	// priorPerToken is the assumed time to compute an uncached token until responses show it, with the
	// weight of priorResponses responses whose prompts differ by priorTokens tokens.
	priorPerToken  = 100e-6 // seconds
	priorResponses = 3
	priorTokens    = 300
	// minNeed is the least time that a response is taken to need, in seconds.
	minNeed = 1e-3
)

// needEstimate estimates what a response of a route needs on the old release: a fixed time plus a time
// for each uncached token, by linear regression over recent responses. The servers of a new release have
// empty caches, so their latencies compare only relative to this. The zero value knows nothing.
type needEstimate struct {
	weight                 float64 // sum of the weights of the responses
	tokens, seconds        float64 // weighted means
	tokensVar, tokensCovar float64 // weighted sums of squares and of products
}

// observe adds a response.
func (n *needEstimate) observe(latency time.Duration, tokens int) {
	const decay = 1 - 1.0/needMemory
	n.weight = n.weight*decay + 1
	n.tokensVar, n.tokensCovar = n.tokensVar*decay, n.tokensCovar*decay
	u, t := float64(tokens), latency.Seconds()
	du := u - n.tokens
	n.tokens += du / n.weight
	n.seconds += (t - n.seconds) / n.weight
	n.tokensVar += du * (u - n.tokens)
	n.tokensCovar += du * (t - n.seconds)
}

// relative returns a latency divided by what a response with so many uncached tokens needs; about 1 for
// a usual one.
func (n *needEstimate) relative(latency time.Duration, tokens int) float64 {
	const prior = priorResponses * priorTokens * priorTokens
	perToken := max((n.tokensCovar+prior*priorPerToken)/(n.tokensVar+prior), 0)
	if n.weight == 0 {
		return 1 // nothing to compare with
	}
	fixed := max(n.seconds-perToken*n.tokens, minNeed)
	return latency.Seconds() / (fixed + perToken*float64(tokens))
}
