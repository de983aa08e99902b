package routing

import (
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/prefix"
)

// Candidate is an endpoint under consideration for a request.
type Candidate struct {
	State *State
	Match cacheindex.Match
	// UncachedTokens are the prompt tokens that the endpoint would have to compute.
	UncachedTokens int
	// ImportFrom is the store to import from, when that is cheaper than computing.
	ImportFrom   string
	ImportTokens int     // tokens to import
	home         uint64  // rendezvous weight for the level of the request
	Total        float64 // predicted milliseconds
	parts        [maxScorers]float64
}

const maxScorers = 6

// Evaluation is one request with what the plugins share about it.
type Evaluation struct {
	Now          time.Time
	Request      *Request
	CachedPieces int          // pieces that the best candidate holds
	PrefixRate   float64      // requests per second of the first piece beyond, at this VM
	VMs          int          // entry VMs that route to the same endpoints
	StoreSource  ImportSource // what the kept-cache stores hold
	// PeerSources is the endpoint that holds most, for each weights; empty where endpoints do
	// not copy from each other.
	PeerSources map[string]ImportSource
	// Relaxation says how many of the wishes of a second try are dropped as nothing is left.
	Relaxation Relaxation
	// FailedDomains are the failure domains of the endpoints that the request excludes.
	FailedDomains []string
}

// Relaxation is how far a second try's wishes are dropped.
type Relaxation int

// A second try goes to another failure domain, else to another endpoint, else anywhere.
const (
	RequireOtherDomain Relaxation = iota
	RequireOtherEndpoint
	AllowAnyEndpoint
)

// Filter drops endpoints that may not get a request.
type Filter interface {
	Name() string
	Keep(c *Evaluation, s *State) bool
}

// Scorer predicts a share of the time to first token, in milliseconds.
type Scorer interface {
	Name() string
	Score(c *Evaluation, candidates []Candidate, out []float64)
}

// Picker chooses among scored candidates; it returns an index.
type Picker interface {
	Pick(c *Evaluation, candidates []Candidate) int
}

// Policy is a set of plugins.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// Truth, when set, replaces the index: the oracle baseline.
	GroundTruth GroundTruth
	// PeerImports says that endpoints copy cache from each other.
	PeerImports bool
}

// GroundTruth sees every cache.
type GroundTruth interface {
	// CachedPieces is the number of leading pieces that the endpoint holds now.
	CachedPieces(endpoint string, chain []prefix.Hash) int
	// PendingTokens is the uncached prompt tokens before a newcomer's at the endpoint.
	PendingTokens(endpoint string) int
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
