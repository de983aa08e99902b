package routing

import (
	"time"

	"eelgrasshollow/internal/admission"
	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/quarantine"
)

// Pending is the state of a request from Submit to Finish.
type Pending struct {
	Request  Request
	Decision Decision
	// Refusal is set if the request is refused without being sent to an endpoint.
	Refusal *errkind.Error

	state          *State
	match          cacheindex.Match
	uncachedTokens int
	importKnown    bool       // Decision.ImportFrom is known to hold the prefix, see importFrom
	run            digest.Run // run of the endpoint when the request was sent; 0 if unknown
	tokensAhead    int        // uncached tokens at the endpoint when it was sent, its own included
	requestsThere  int        // known to be at the endpoint when it was sent, itself included
	submittedAt    time.Time
	queuedAt       time.Time // time of queueing at this endpoint or of the last reconsideration
	sentAt         time.Time
	startedAt      time.Time // first token; zero if there was none
	settled        bool      // a crash of the endpoint is not attributed to parts of the prompt
	// quarantineState holds the records of the request's traits when the request was sent.
	quarantineState quarantine.Snapshot
	entry           *admission.Entry // nil before admission
	held            time.Duration    // wait for admission
	phase           phase
	onSettled       func() // called once, when the request is sent or refused
}

type phase int

const (
	phaseWaiting phase = iota
	phaseSent
	phaseStarted
	phaseOver
)

// cost returns the tokens that a request counts against its account's share.
func (p *Pending) cost() int { return max(p.Request.PromptTokens+p.Request.MaxTokens, 1) }

// tokensOf converts a number of leading pieces to tokens, at most those of the prompt.
func (r *Request) tokensOf(pieces int) int {
	switch {
	case pieces == 0:
		return 0
	case pieces <= len(r.PieceEnds):
		return min(r.PieceEnds[pieces-1], r.PromptTokens)
	}
	return min(pieces*prefix.PieceTokens, r.PromptTokens)
}
