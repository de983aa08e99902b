// Package gateway is the request core in front of a fleet of services: account, grant,
// route, place, attempts, relay, refusal. It knows no wire form: callers' requests come
// in as typed values, and an Upstream sends them to servers.
//
// Invariants: a request that may run once is sent again only while it certainly has not
// run; a refusal that says not-run is true; an answer is the whole answer of one server,
// but for a resumed stream, whose events stay in order without a gap; an answer that
// ends early never looks complete.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"eelgrasshollow/internal/errkind"
)

// Request is one attempt of a client.
type Request struct {
	ID     string
	Method string
	Host   string
	// RequestURI is the path with the query as the client sent it; Path is only matched.
	RequestURI string
	Path       string
	// Header is what servers get; it holds no key and nothing that concerns a connection.
	Header http.Header
	Body   []byte
	APIKey string
	// Arrived is when the request was read; Patience how long the client will wait, or 0.
	Arrived       time.Time
	ClientTimeout time.Duration
	Prompt        Prompt
	// LastEventID is the position after which a stream goes on, or "".
	LastEventID string
}

// Prompt is what a request announces of its prompt. Known is false for plain requests.
type Prompt struct {
	Known     bool
	Model     string
	Tokens    int // of the whole prompt
	MaxOutput int // at most
	Parts     []Part
}

// first names the first part, or "".
func (p Prompt) first() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[0].Name
}

// Part is one piece of a prompt that may be shared.
type Part struct {
	Name   string
	Tokens int
}

// Attempt is a request for one server.
type Attempt struct {
	Request   *Request
	Address   string
	Server    string // ID that must answer, or any
	Account   string // client account, or ""
	CacheSalt string // of the cache, or "" for the one that all share
	// Weights is the version that the server must run, or 0 for any.
	Weights int64
	// ImportFrom is an address to copy cached parts from, or "".
	ImportFrom string
	// SaveTo is a store to save the prompt to once it is read, or "".
	SaveTo string
	// Priority is from 0, the most urgent.
	Priority    int
	TimeLeft    time.Duration
	LastEventID string
	// OnSend is called right before the first byte leaves.
	OnSend func()
}

// Reply is a server's answer.
type Reply struct {
	Status int
	// Header is what the client gets, with the server's signature where it has one.
	Header http.Header
	Signed bool
	// NotRun says that the server has not run the request.
	NotRun bool
	// WrongServer says that another server than asked for has the address, WrongWeights
	// that the server runs other weights. Neither has run the request.
	WrongServer, WrongWeights bool
	Stream                    bool
	Body                      io.ReadCloser
}

// Upstream sends requests to servers.
type Upstream interface {
	// Send sends an attempt once. Errors are errkind EndpointFailed, Timeout or Canceled,
	// with outcome not-run while no byte has left and unknown from then on.
	Send(ctx context.Context, a Attempt) (*Reply, error)
}

// headerRetryAfter tells a client when to come back, in seconds.
const headerRetryAfter = "Retry-After"

// notRun reports whether an error says that the request certainly has not run.
func notRun(err error) bool { return errkind.Of(err).Outcome == errkind.NotRun }
