package routing

import (
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
)

// Pending is a request from Submit to Finish.
type Pending struct {
	Request  Request
	Decision Decision
	// Refusal is set when the request is given up on without an endpoint.
	Refusal *errkind.Error

	state     *State
	match     cacheindex.Match
	missed    int
	run       digest.Run // of the endpoint, as far as known when it was sent
	work      int        // uncached tokens ahead at the endpoint when it was sent, own included
	submitted time.Time
	queued    time.Time // at this endpoint, or reconsidered
	sent      time.Time
	phase     phase
	settled   func() // told once: granted or refused
}

type phase int

const (
	waiting phase = iota
	sent
	started
	over
)

// cost is what a request counts against its account's share.
func (p *Pending) cost() int { return max(p.Request.PromptTokens+p.Request.MaxTokens, 1) }

// tokensOf turns leading pieces into tokens, within the prompt.
func (r *Request) tokensOf(pieces int) int {
	switch {
	case pieces == 0:
		return 0
	case pieces <= len(r.PieceEnds):
		return min(r.PieceEnds[pieces-1], r.PromptTokens)
	}
	return min(pieces*prefix.PieceTokens, r.PromptTokens)
}
