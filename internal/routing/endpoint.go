package routing

import (
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/permits"
	"eelgrasshollow/internal/speed"
	"eelgrasshollow/internal/transfercost"
)

// DefaultMaxConcurrent is the number of concurrent requests of an endpoint without a
// configured limit.
const DefaultMaxConcurrent = 16

const (
	initialPrefillPerToken = 100 * time.Microsecond
	initialServiceTime     = 500 * time.Millisecond
	minBackoff             = 250 * time.Millisecond
	maxBackoff             = 5 * time.Second
	maxEndedRuns           = 4
	foreignRequestsTTL     = 3 * time.Second
)

// Endpoint is the configuration of an endpoint.
type Endpoint struct {
	Name          string
	Address       string
	FailureDomain string
	Models        []string
	Service       string
	Release       string // version of the software, if known
	Leaving       bool
	// KnownIncarnation is the incarnation of the endpoint's process if the inventory
	// provides it; otherwise it is learned from responses.
	KnownIncarnation string
	// Weights identifies the weights that the endpoint runs, if known. Its cache becomes
	// invalid when they change, and cached prefixes can be copied only between endpoints
	// with the same weights.
	Weights string
	// Outdated is set if the endpoint runs previous weights instead of the target version.
	Outdated      bool
	MaxConcurrent int
	// CacheCapacityTokens is the capacity of the endpoint's cache. If it is 0, it is
	// unknown, and the lifetime of cached prefixes is learned from responses.
	CacheCapacityTokens int
	// ImportLink is the link over which the endpoint imports cached prefixes from others.
	ImportLink transfercost.Link
}

// State is the current state of one endpoint as seen by this VM. Plugins read it.
type State struct {
	Endpoint
	// InFlight and PendingTokens count this VM's own requests at the endpoint: all of
	// them, and the uncached prompt tokens of those that have no first token yet.
	InFlight      int
	PendingTokens int
	// PeerInFlight and PeerPendingTokens are the same counts for the other entry VMs, from
	// their last digests. While digests are stale they are the mean of the service.
	PeerInFlight      int
	PeerPendingTokens int
	// ForeignRequests counts requests in the endpoint's load report that no known entry VM
	// has sent: digests were lost, or other systems use the endpoint too.
	ForeignRequests int
	Incarnation     string
	LoadReport      engineapi.Load
	LoadReportedAt  time.Time
	// PrefillPerToken is the average time to compute an uncached prompt token, ServiceTime
	// the average time from sending a request to its end. Both are learned from responses.
	PrefillPerToken time.Duration
	ServiceTime     time.Duration

	inFlightBy          map[int]int // InFlight by priority; only with admission
	selfReport          selfReport
	permits             permits.Queue  // used while the endpoint needs permits
	brittle             uint32         // rejections in a second beyond which it goes down; 0 if it is not brittle
	start               *endpointStart // nil unless it has just started or recovered
	loggedPace          loggedPace
	speed               speed.Estimate // of the current run
	weighed             weighedTimes
	served              bool         // ServiceTime is that of a response
	peerReported        reportedLoad // sum of the peers' last digests
	costSamples         int          // responses that contributed to PrefillPerToken
	peakInFlight        int          // most known requests since the last load report
	index               cacheindex.Endpoint
	nameHash            uint64 // hash of the name, for rendezvous
	queue               fairQueue
	consecutiveFailures int
	downUntil           time.Time
	removed             bool
	eventSeq            uint64
	id                  digest.EndpointID
	run                 digest.Run               // hash of the current incarnation; peers may provide it before Incarnation is known
	endedRuns           [maxEndedRuns]digest.Run // hashes of earlier incarnations, newest first
	peerWeights         []digest.WeightsID       // weights from a peer's digest
	peerWeightsAt       time.Time
	cacheInflow         tokenRate // tokens that this VM's requests add to the cache
	announced           bool      // the current state was sent in a digest
	weightsResentAt     time.Time // when the weights were last due to be sent to the peers again
}

// limit returns the number of requests of this VM that may run at the endpoint: what the
// peers leave free, but at least an equal share.
func (s *State) limit(vmCount int) int { return s.limitBeside(s.PeerInFlight, vmCount) }

// limitBeside is limit with another number of the peers' requests.
func (s *State) limitBeside(peers, vmCount int) int {
	maxConcurrent := s.slots()
	equalShare := (maxConcurrent + vmCount - 1) / max(vmCount, 1)
	return max(maxConcurrent-peers, equalShare)
}

// slots returns the number of requests that may run at the endpoint, for all VMs together.
func (s *State) slots() int {
	if s.MaxConcurrent <= 0 {
		return DefaultMaxConcurrent
	}
	return s.MaxConcurrent
}

// updatePeak records the peak number of known requests at the endpoint.
func (s *State) updatePeak() { s.peakInFlight = max(s.peakInFlight, s.InFlight+s.PeerInFlight) }

// applyLoadReport records a load report. Reports lag, so the requests in a report are
// compared with the peak of known requests since the previous report.
func (s *State) applyLoadReport(l engineapi.Load, now time.Time) {
	s.updatePeak()
	s.ForeignRequests = max(l.Running+l.Waiting-s.peakInFlight, 0)
	s.peakInFlight = s.InFlight + s.PeerInFlight
	s.LoadReport, s.LoadReportedAt = l, now
}

// currentForeign returns ForeignRequests while the load report is recent, else 0.
func (s *State) currentForeign(now time.Time) int {
	if now.Sub(s.LoadReportedAt) > foreignRequestsTTL {
		return 0
	}
	return s.ForeignRequests
}

// recordFailure excludes the endpoint for a time that doubles with every consecutive
// failure.
func (s *State) recordFailure(now time.Time) {
	backoff := min(minBackoff<<min(s.consecutiveFailures, 8), maxBackoff)
	s.consecutiveFailures++
	s.downUntil = now.Add(backoff)
}

// recordSuccess records a success and reports whether the endpoint has recovered with it.
func (s *State) recordSuccess() (recovered bool) {
	recovered = s.consecutiveFailures >= minFailures
	s.consecutiveFailures = 0
	return recovered
}
