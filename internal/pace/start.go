package pace

import (
	"math"
	"time"
)

const (
	// Longest is the time after its start or recovery from which on an endpoint is not restricted.
	Longest = 5 * time.Second
	// unknownShare is the share of the mean load that an endpoint gets before it is known to respond,
	// which it counts as after unknownTime, and after a failure until it responds again.
	unknownShare = 0.5
	unknownTime  = 250 * time.Millisecond
	// assumedShare is the share while this VM has got no response. It is above 1 because requests come
	// to an endpoint unevenly: with 1, engines of a simulated fleet of 57 VMs got 0.75 of the mean.
	assumedShare = 1.5
	// leastShare is the least share of an endpoint that responds, firstShare the one after a response in
	// time, growthFactor what each further one multiplies it by, and unrestricted the share from which on
	// the restriction ends: three responses in time at one VM.
	leastShare   = 1.0
	firstShare   = 2.0
	growthFactor = 2.0
	unrestricted = 8.0
	// savedRequests is the balance that is kept, in requests of the usual time or as many as are usually
	// in flight: requests come to an endpoint unevenly.
	savedRequests = 2.0
)

// Outcome is what a response shows of an endpoint.
type Outcome int

// A response is in time or slow in comparison with the other endpoints' (see Reference), a rejection
// for lack of capacity, or a failure.
const (
	InTime Outcome = iota
	Late
	Rejection
	Failure
)

// Start limits the time that requests of one VM spend at an endpoint that has just started or recovered to a
// share of what this VM's requests spend at a mean endpoint of the service. Overload of the service is thus no
// evidence against the endpoint, and a slow endpoint gets fewer requests per second by itself. VMs begin with
// different balances, so that those of all VMs add up to the share without messages, also if each has less
// than one request at an endpoint.
type Start struct {
	since   time.Time
	usual   time.Duration // time of a request
	share   float64       // 0 before a result
	failed  bool          // the last result was a failure
	balance time.Duration // that requests may still spend at the endpoint
	at      time.Time     // of the balance
}

// NewStart returns the limit of an endpoint that starts at a time. phase in [0,1) differs between VMs and
// endpoints.
func NewStart(since time.Time, phase float64, usual time.Duration) *Start {
	return &Start{since: since, usual: usual, balance: time.Duration(phase * float64(usual)), at: since}
}

// currentShare returns the share of the mean load that the endpoint gets now.
func (s *Start) currentShare(now time.Time) float64 {
	switch {
	case s.failed || s.share == 0 && now.Sub(s.since) < min(s.usual, unknownTime):
		return unknownShare
	case s.share == 0:
		return assumedShare
	}
	return s.share
}

// Allows reports whether the VM, with a number of requests in flight at the endpoint, may send another one.
// mean is the number of its requests at a mean endpoint of the service. It must be called for each request
// that the VM places, whether or not it goes to the endpoint, as the balance grows between the calls.
func (s *Start) Allows(now time.Time, inFlight int, mean float64) bool {
	load := s.currentShare(now) * mean
	if d := now.Sub(s.at); d > 0 {
		s.balance += time.Duration(load * float64(d))
		s.balance = min(s.balance, time.Duration(savedRequests*max(load, 1)*float64(s.usual)))
		s.at = now
	}
	return inFlight < int(math.Ceil(load)) && s.balance >= s.usual
}

// Send takes a request that is sent to the endpoint off the balance.
func (s *Start) Send() { s.balance -= s.usual }

// Finish records the result of a request that was sent after the start and has taken a time.
func (s *Start) Finish(took time.Duration, o Outcome) {
	s.balance += s.usual - took
	switch {
	case o == Failure:
		s.share = leastShare
	case o != InTime:
		s.share = max(s.share/growthFactor, leastShare)
	case s.share == 0 || s.failed:
		s.share = firstShare
	default:
		s.share *= growthFactor
	}
	s.failed = o == Failure
}

// Done reports whether the endpoint needs no limit any more.
func (s *Start) Done(now time.Time) bool {
	return s.share >= unrestricted || now.Sub(s.since) >= Longest
}

const (
	// referenceRate is the weight of a response in a Reference. A VM gets some ten responses of a
	// service per second, so that it follows the load of the service within about a second.
	referenceRate = 0.1
	// requestTokens is the time to a first token that does not depend on the tokens, in tokens: 15 ms
	// at 22 us per token in the deployments measured, rounded down.
	requestTokens = 500
	// lateFactor is the multiple of the time of the other endpoints from which on a response is late.
	// Times of single responses of equal endpoints differ by less than that in nine of ten cases.
	lateFactor = 2
)

// Reference is how fast the endpoints of a service that have not just started respond now. Its zero value
// knows nothing.
type Reference struct{ perToken float64 } // nanoseconds

// Add records the time to a first token for a number of uncached tokens.
func (r *Reference) Add(firstToken time.Duration, uncachedTokens int) {
	sample := float64(firstToken) / float64(uncachedTokens+requestTokens)
	if r.perToken == 0 {
		r.perToken = sample
	}
	r.perToken += referenceRate * (sample - r.perToken)
}

// Late reports whether the other endpoints would have responded much earlier. It counts uncached tokens, so
// that an endpoint with an empty cache, which has more of them to compute, does not seem slow.
func (r *Reference) Late(firstToken time.Duration, uncachedTokens int) bool {
	return r.perToken > 0 && float64(firstToken) > lateFactor*r.perToken*float64(uncachedTokens+requestTokens)
}
