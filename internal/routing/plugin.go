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
	// Missed are the prompt tokens that the endpoint would have to compute.
	Missed int
	// ImportFrom is the store to import from, when that is cheaper than computing.
	ImportFrom string
	Import     int     // tokens to import
	home       uint64  // rendezvous weight for the level of the request
	Total      float64 // predicted milliseconds
	parts      [maxScorers]float64
}

const maxScorers = 6

// Case is one request with what the plugins share about it.
type Case struct {
	Now     time.Time
	Request *Request
	Held    int     // pieces that the best candidate holds
	Rate    float64 // requests per second of the first piece beyond, at this VM
	VMs     int     // entry VMs that route to the same endpoints
	Kept    Kept    // what the kept-cache stores hold
	// Peers is the endpoint that holds most, for each weights; empty where endpoints do
	// not copy from each other.
	Peers map[string]Kept
	// Relax says how many of the wishes of a second try are dropped as nothing is left.
	Relax Relax
	// FailedDomains are the failure domains of the endpoints that the request excludes.
	FailedDomains []string
}

// Relax is how far a second try's wishes are dropped.
type Relax int

// A second try goes to another failure domain, else to another endpoint, else anywhere.
const (
	OtherDomain Relax = iota
	OtherEndpoint
	Anywhere
)

// Filter drops endpoints that may not get a request.
type Filter interface {
	Name() string
	Keep(c *Case, s *State) bool
}

// Scorer predicts a share of the time to first token, in milliseconds.
type Scorer interface {
	Name() string
	Score(c *Case, candidates []Candidate, out []float64)
}

// Picker chooses among scored candidates; it returns an index.
type Picker interface {
	Pick(c *Case, candidates []Candidate) int
}

// Policy is a set of plugins.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// Truth, when set, replaces the index: the oracle baseline.
	Truth Truth
	// PeerImports says that endpoints copy cache from each other.
	PeerImports bool
}

// Truth sees every cache.
type Truth interface {
	// Cached is the number of leading pieces that the endpoint holds now.
	Cached(endpoint string, chain []prefix.Hash) int
	// Pending is the uncached prompt tokens before a newcomer's at the endpoint.
	Pending(endpoint string) int
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
