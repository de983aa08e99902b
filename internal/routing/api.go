// Package routing chooses the endpoint of each request: filters, scorers and a
// picker over what is known of the endpoints, and a fair admission queue before
// each. It does no I/O.
package routing

import (
	"context"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
)

// Request is what routing knows of a request. Model and Service exclude each other.
type Request struct {
	ID      string
	Account string
	Model   string
	Version string
	Adapter string
	Service string
	Seed    prefix.Seed
	Chain   []prefix.Hash
	// PieceEnds are the tokens up to the end of each piece of Chain; without them every
	// piece has prefix.PieceTokens.
	PieceEnds    []int
	PromptTokens int
	MaxTokens    int
	Priority     int
	Idempotent   bool
	// LongestWait bounds the wait for a place; 0 takes the settings' bound.
	LongestWait time.Duration
	// TimeLeft is the time until the answer is worth nothing; 0 sets no bound.
	TimeLeft time.Duration
	// Exclude names endpoints that already failed this request.
	Exclude []string
}

// ScorePart is one scorer's share of a decision, in milliseconds of predicted time.
type ScorePart struct {
	Name         string
	Milliseconds float64
}

// Decision names the endpoint for a request.
type Decision struct {
	Endpoint      string
	Address       string
	FailureDomain string
	Incarnation   string
	CachedTokens  int    // predicted
	ImportFrom    string // store, or endpoint with the same weights, to import from, or ""
	Weights       string // that the endpoint is believed to run
	SaveTo        string // store that the endpoint shall save the prompt to, or ""
	Parts         []ScorePart
}

// Result is what came of a request at an endpoint.
type Result struct {
	Incarnation  string // as the endpoint's answer says
	PromptTokens int
	CachedTokens int
	// CacheUnknown says that the endpoint does not tell CachedTokens.
	CacheUnknown bool
	OutputTokens int
	FirstToken   time.Duration // from sending to the first token
	Err          *errkind.Error
}

// Router chooses endpoints.
type Router interface {
	// Pick waits in the admission queue for a place at the best endpoint. Refusals:
	// NoEndpoint, Overloaded (both not-run, with the time to come back), Canceled.
	Pick(ctx context.Context, r Request) (Ticket, error)
}

// Ticket is a place at an endpoint; Done must be called exactly once.
type Ticket interface {
	Decision() Decision
	// Started tells that the first token has arrived.
	Started()
	Done(Result)
}
