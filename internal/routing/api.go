// Package routing selects the endpoint of each request. Core combines filters, scorers and
// a picker over the known state of the endpoints with a fair admission queue for each
// endpoint; it does no I/O. Module connects it to the entry VM and its peers.
package routing

import (
	"context"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/quarantine"
	"eelgrasshollow/internal/ratelimit"
)

// Request describes a request to route. Either Model or Service is set.
type Request struct {
	ID      string
	Account string
	Model   string
	Version string // weights version, or "" for any
	Adapter string
	Service string
	Seed    prefix.Seed
	Chain   []prefix.Hash
	// PieceEnds are the numbers of tokens up to the end of each piece of Chain. Pieces
	// without an entry have prefix.PieceTokens tokens.
	PieceEnds []int
	// SharedPieces is the number of leading pieces of Chain that other requests may share; 0
	// means unknown.
	SharedPieces int
	// Traits are what may make the request crash endpoints: its fingerprint, and the parts of its
	// prompt that other requests may share, wherever they stand in it. A trait under which endpoints
	// crash is quarantined.
	Traits       []quarantine.Trait
	PromptTokens int
	MaxTokens    int
	Priority     int // requests with a higher priority are sent first
	Idempotent   bool
	// LongestWait bounds the wait for a slot; 0 means the limit in the settings.
	LongestWait time.Duration
	// TimeLeft is the time after which the response is useless; 0 means no limit.
	TimeLeft time.Duration
	// Target is the time within which the first token or the response keeps its full value, or 0
	// if the route has none.
	Target time.Duration
	// Exclude names the endpoints that have already failed this request.
	Exclude []string
	// Tier returns the tier of an endpoint by its name and release, or a negative number if the request
	// may not use it. An endpoint of a higher tier is used only if none of a lower one has capacity for
	// the request. nil puts all endpoints in one tier. It is called with the router's lock held, and again
	// while the request waits.
	Tier func(endpoint, release string) int
}

// ScorePart is the share of one scorer in a decision, in milliseconds of predicted time.
type ScorePart struct {
	Name         string
	Milliseconds float64
}

// Decision describes the selected endpoint of a request.
type Decision struct {
	Endpoint      string
	Address       string
	FailureDomain string
	Release       string // of the endpoint's software, if known
	Incarnation   string
	CachedTokens  int // predicted
	// UncachedTokens is the predicted number of prompt tokens that the endpoint computes.
	UncachedTokens int
	ImportFrom     string // address of the store, or endpoint with the same weights, to import from, or ""
	Weights        string // weights that the endpoint is assumed to run
	SaveTo         string // address of the store that the endpoint saves the prompt to, or ""
	Parts          []ScorePart
	// Limit is the rate that the endpoint stated, or 0, when the request was sent.
	Limit ratelimit.Limit
	// Held is how long the request waited because its service was crowded, see package admission.
	Held time.Duration
}

// Result is the outcome of a request at an endpoint.
type Result struct {
	Incarnation  string // as stated in the response
	PromptTokens int
	CachedTokens int
	// CacheUnknown is set if the endpoint does not report CachedTokens.
	CacheUnknown bool
	// NothingShared is set if no other request can use what the endpoint caches of this one, nor this one what is
	// cached already.
	NothingShared bool
	OutputTokens  int
	FirstToken    time.Duration // time from sending to the first token
	// Steps is the number of events of a stream after the first, and Decoding the time from the first to the
	// last. Both are 0 if the response is no stream.
	Steps    int
	Decoding time.Duration
	Err      *errkind.Error
	// Broken is set if the endpoint closed or reset the connection before the response was
	// complete.
	Broken bool
}

// Router selects endpoints.
type Router interface {
	// CheckQuarantine returns the error with which Pick would refuse the request because one of
	// its traits is quarantined, or nil. It only reads Service or Model and Traits.
	CheckQuarantine(r Request) error
	// Pick waits in the admission queue for a slot at the best endpoint. It fails with
	// NoEndpoint, Overloaded or Quarantined, all with outcome not-run and a time to retry
	// after, or with Canceled.
	Pick(ctx context.Context, r Request) (Ticket, error)
}

// Ticket is a slot at an endpoint. Done must be called exactly once.
type Ticket interface {
	Decision() Decision
	// Started records that the first token has arrived.
	Started()
	// Notify records what the endpoint states about itself in the header of its response.
	Notify(Notice)
	// Resend reports whether the request may be sent to the endpoint once more.
	Resend() bool
	Done(Result)
}
