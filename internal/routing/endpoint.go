package routing

import (
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
)

// DefaultMaxConcurrent is the number of requests at a time of an endpoint whose
// configuration names none.
const DefaultMaxConcurrent = 16

const (
	initialPrefillPerToken = 100 * time.Microsecond
	initialService         = 500 * time.Millisecond
	firstBackOff           = 250 * time.Millisecond
	greatestBackOff        = 5 * time.Second
	endedRuns              = 4
	foreignKept            = 3 * time.Second
)

// Endpoint is what the configuration says of a server.
type Endpoint struct {
	Name          string
	Address       string
	FailureDomain string
	Models        []string
	Service       string
	Leaving       bool
	// KnownIncarnation names the run of the endpoint's process where the inventory knows it; otherwise
	// it is learned from answers.
	KnownIncarnation string
	// Weights names the weights that the endpoint runs, as far as it is known. Its cache
	// is gone when they change, and can be copied only between endpoints of the same.
	Weights string
	// Outdated endpoints run older weights than are named.
	Outdated      bool
	MaxConcurrent int
	// CacheCapacityTokens is what the endpoint's cache holds; 0 when it is not known, and what is
	// still cached is learned from answers.
	CacheCapacityTokens int
}

// State is what routing knows of one endpoint; plugins read it.
type State struct {
	Endpoint
	// InFlight and PendingTokens count this VM's own requests there: all of them, and
	// the uncached prompt tokens of those without a first token.
	InFlight      int
	PendingTokens int
	// PeerInFlight and PeerPending are the same for the other entry VMs, as of their
	// last digests. In a fleet with stale knowledge they are the mean of the service.
	PeerInFlight      int
	PeerPendingTokens int
	// ForeignRequests counts requests that the endpoint reported and no entry VM is known to
	// have sent: digests were lost, or others use it too.
	ForeignRequests int
	Incarnation     string
	LoadReport      engineapi.Load
	LoadReportedAt  time.Time
	// PrefillPerToken and Service are learned from answers.
	PrefillPerToken time.Duration
	ServiceTime     time.Duration

	told      peerWork // the sum of the peers' last digests
	measured  int      // answers that told PrefillPerToken
	peak      int      // most requests known to be there since the last report
	index     cacheindex.Endpoint
	hash      uint64 // of the name
	queue     fairQueue
	failures  int
	downUntil time.Time
	gone      bool
	eventSeq  uint64
	id        digest.EndpointID
	run       digest.Run            // of the present incarnation; known from peers before Incarnation is
	ended     [endedRuns]digest.Run // runs that are over, newest first
	heard     []digest.Weights      // what peers say it serves
	heardAt   time.Time
	intake    intake    // tokens that go into its cache from this VM
	announced bool      // the peers have heard of the last change
	retellAt  time.Time // when its weights last became due to be told
}

// limit is the number of own requests that may run there now: what the peers leave,
// but never less than an equal share.
func (s *State) limit(vms int) int {
	most := s.MaxConcurrent
	if most <= 0 {
		most = DefaultMaxConcurrent
	}
	share := (most + vms - 1) / max(vms, 1)
	return max(most-s.PeerInFlight, share)
}

// note keeps the peak of the requests known to be there.
func (s *State) note() { s.peak = max(s.peak, s.InFlight+s.PeerInFlight) }

// report takes in a load report. It lags, so it is held against the most that was
// known to be there since the one before.
func (s *State) report(l engineapi.Load, now time.Time) {
	s.note()
	s.ForeignRequests = max(l.Running+l.Waiting-s.peak, 0)
	s.peak = s.InFlight + s.PeerInFlight
	s.LoadReport, s.LoadReportedAt = l, now
}

// foreign is Foreign while the report is fresh.
func (s *State) foreign(now time.Time) int {
	if now.Sub(s.LoadReportedAt) > foreignKept {
		return 0
	}
	return s.ForeignRequests
}

// failed takes the endpoint out for a while that doubles with every failure in a row.
func (s *State) failed(now time.Time) {
	backOff := min(firstBackOff<<min(s.failures, 8), greatestBackOff)
	s.failures++
	s.downUntil = now.Add(backOff)
}

func (s *State) succeeded() { s.failures = 0 }
