package routing

import (
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/prefix"
)

// Candidate is an endpoint considered for a request.
type Candidate struct {
	State *State
	Match cacheindex.Match
	// UncachedTokens is the number of prompt tokens that the endpoint would have to
	// compute.
	UncachedTokens int
	// ImportFrom is the address of the store or endpoint to import from, if that is
	// cheaper than computing.
	ImportFrom   string
	ImportTokens int     // tokens to import
	tier         int     // see Request.Tier
	home         uint64  // rendezvous weight of the endpoint for the request's homeKey
	Total        float64 // predicted milliseconds
	scores       [maxScorers]float64
}

const maxScorers = 6

// Evaluation holds the inputs that filters, scorers and the picker share for one request.
type Evaluation struct {
	Now          time.Time
	Request      *Request
	CachedPieces int          // most leading pieces that any candidate holds
	PrefixRate   float64      // requests per second for the first piece beyond CachedPieces, at this VM
	VMs          int          // entry VMs that route to the same endpoints
	StoreSource  ImportSource // kept-cache store that holds most of the chain
	// PeerSources maps weights to the endpoint or store that holds most of the chain. It
	// is empty if endpoints cannot import from each other.
	PeerSources map[string]ImportSource
	// PermitTokens is the number of uncached tokens that the use of a permit is worth.
	PermitTokens float64
	// visible returns the requests of this VM at an endpoint that count for the request, and the limit on
	// them; nil counts all.
	visible func(s *State) (inFlight, limit int)
	// Relaxation is the constraint on retries that currently applies.
	Relaxation Relaxation
	// FailedDomains are the failure domains of the endpoints that the request excludes.
	FailedDomains []string
}

// Relaxation is the degree to which the constraints on a retry are dropped because no
// endpoint fulfills them.
type Relaxation int

// A retry goes to another failure domain, else to another endpoint, else to any endpoint.
const (
	RequireOtherDomain Relaxation = iota
	RequireOtherEndpoint
	AllowAnyEndpoint
)

// Filter drops endpoints that must not receive a request.
type Filter interface {
	Name() string
	// Keep reports whether the endpoint may receive the request.
	Keep(eval *Evaluation, s *State) bool
}

// Scorer predicts a part of the time to first token.
type Scorer interface {
	Name() string
	// Score sets out[i] to the predicted milliseconds of candidates[i]. All elements of out
	// are 0 before the call.
	Score(eval *Evaluation, candidates []Candidate, out []float64)
}

// Picker selects one of the scored candidates.
type Picker interface {
	// Pick returns the index of the selected candidate.
	Pick(eval *Evaluation, candidates []Candidate) int
}

// Policy is the set of plugins that select an endpoint.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// GroundTruth, if set, replaces the cache index, for the oracle baseline.
	GroundTruth GroundTruth
	// PeerImports states that endpoints can import cached prefixes from each other.
	PeerImports bool
	// Speeds, if set, returns the actual factors of an endpoint in place of estimates, for the oracle baseline:
	// the usual one, and that of a slow period or 1.
	Speeds func(endpoint string) (usual, slow float64)
}

// GroundTruth provides the actual state of the endpoints, for the oracle baseline.
type GroundTruth interface {
	// CachedPieces returns the number of leading pieces that the endpoint holds now.
	CachedPieces(endpoint string, chain []prefix.Hash) int
	// PendingTokens returns the uncached prompt tokens ahead of a new request at the
	// endpoint.
	PendingTokens(endpoint string) int
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
