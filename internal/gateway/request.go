// Package gateway implements the request path in front of a fleet of services: it
// authenticates a request, reserves tokens of its client account's grant, selects a route
// and a server, relays the response, and retries or refuses the request. It does not depend
// on a wire format: requests are typed values, and an Upstream sends them to servers.
//
// Invariants:
//   - A request that may run only once is sent again only if it certainly has not run.
//   - A refusal with the outcome not-run is given only if no server has run the request.
//   - A response comes from a single server. The exception is a resumed stream, whose
//     events are in order and without gaps.
//   - A response that ends early is never presented as complete.
package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"eelgrasshollow/internal/cachespace"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/quarantine"
	"eelgrasshollow/internal/ratelimit"
)

// Request is a request that a client sent. A client's own retry is another Request.
type Request struct {
	ID     string
	Method string
	Host   string
	// RequestURI is the path and query as the client sent them, and is passed on to
	// servers. Path is only used to match routes.
	RequestURI string
	Path       string
	// Header holds the header fields that servers receive. The API key and hop-by-hop
	// fields have been removed.
	Header http.Header
	Body   []byte
	APIKey string
	// Arrived is when the request was read. ClientTimeout is how long the client waits
	// for the response, or 0 if unknown.
	Arrived       time.Time
	ClientTimeout time.Duration
	Prompt        Prompt
	// LastEventID is the ID of the last event of the stream that the client has received,
	// or "" for a new stream.
	LastEventID string
	// Forwarded is set if another VM forwarded the request; it must not be forwarded again.
	// PriorRuns is the number of servers that may have run it before, and ConfigVersion the version of
	// the configuration at that VM; 0 if unknown.
	Forwarded     bool
	PriorRuns     int
	ConfigVersion int64
}

// Prompt describes a request's prompt as announced by the client. Known is false for
// requests without a prompt.
type Prompt struct {
	Known     bool
	Model     string
	Tokens    int // length of the whole prompt
	MaxOutput int // upper bound of the output, in tokens
	Parts     []Part
}

// firstPart returns the name of the first part, or "".
func (p Prompt) firstPart() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[0].Name
}

// sharedPrefix returns the parts that other prompts may share: all but the last, which belongs to the
// request itself or to its session.
func (p Prompt) sharedPrefix() []Part { return p.Parts[:max(len(p.Parts)-1, 0)] }

// shared returns the name of the last part that other prompts may share, and the tokens up to
// its end; "" if there is none.
func (p Prompt) shared() (name string, tokens int) {
	for _, part := range p.sharedPrefix() {
		name, tokens = part.Name, tokens+part.Tokens
	}
	return name, tokens
}

// sharedParts returns the names of the parts that other prompts may share.
func (p Prompt) sharedParts() []string {
	var names []string
	for _, part := range p.sharedPrefix() {
		names = append(names, part.Name)
	}
	return names
}

// traitsFor returns what may make the client account's request crash servers: its fingerprint, which
// comes first, and the parts of its prompt that other prompts may share, whichever account sends them.
func (r *Request) traitsFor(account string) []quarantine.Trait {
	parts := []string{r.Prompt.Model}
	for _, part := range r.Prompt.Parts {
		parts = append(parts, part.Name)
	}
	traits := []quarantine.Trait{quarantine.RequestTrait(account, r.Method, r.Host+r.RequestURI, r.Body, parts...)}
	model := prefix.Namespace{Model: r.Prompt.Model}.Seed()
	for _, part := range r.Prompt.sharedPrefix() {
		traits = append(traits, quarantine.PartTrait(prefix.PartHash(model, part.Name), part.Name))
	}
	return traits
}

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	Name   string
	Tokens int
}

// Attempt is one send of a request to one server.
type Attempt struct {
	Request *Request
	Address string
	Server  string // ID that the server must have, or "" for any
	Account string // client account, or ""
	// Cache is the namespace in which the server caches the prompt.
	Cache cachespace.Space
	// Weights is the weights version that the server must run, or 0 for any.
	Weights int64
	// ImportFrom is the address from which the server copies cached parts of the prompt,
	// or "".
	ImportFrom string
	// SaveTo is the store in which the server saves the cached prompt after prefill, or "".
	SaveTo string
	// Priority is the priority of the request; 0 is the most urgent.
	Priority    int
	TimeLeft    time.Duration
	LastEventID string
	// OnSend is called immediately before the first byte is sent.
	OnSend func()
	// Permitted is called before OnSend; if it returns false, nothing is sent. nil permits the attempt.
	Permitted func() bool
}

// Reply is a server's response.
type Reply struct {
	Status int
	// Header holds the header fields for the client, including the server's signature if
	// there is one. Signed reports whether there is a signature.
	Header http.Header
	Signed bool
	// Unidentified reports that the response does not carry the request's ID. It is then neither
	// Signed nor NotRun.
	Unidentified bool
	// NotRun reports that the server has not run the request.
	NotRun bool
	// WrongServer reports that the address belongs to a server other than Attempt.Server,
	// WrongWeights that the server runs a version other than Attempt.Weights. In both cases
	// the request has not run.
	WrongServer, WrongWeights bool
	// Leaving reports that the server will stop and takes no new requests. PauseFor is how
	// long it asks to receive nothing from this VM.
	Leaving  bool
	PauseFor time.Duration
	// Limit is the rate that the server states, or 0. Unlimited reports that the server takes
	// requests without a limit.
	Limit     ratelimit.Limit
	Unlimited bool
	// ToleratedRejections is the number of rejections in a second beyond which the server goes
	// down, or 0 if it states none.
	ToleratedRejections uint32
	Stream              bool
	// Unframed reports that the body has neither a length nor chunks: it ends with its connection.
	Unframed bool
	// Body ends with io.EOF only if its end is proven, as far as it can be; see package strictresponse.
	Body io.ReadCloser
}

// Upstream sends requests to servers.
type Upstream interface {
	// Send sends an attempt once. Errors are of errkind EndpointFailed, Timeout or
	// Canceled. The outcome is not-run if no byte was sent, else unknown.
	// An error of a server that can't be connected to is also marked as ErrUnreachable, and that of
	// an attempt that was not permitted as ErrNotPermitted.
	Send(ctx context.Context, a Attempt) (*Reply, error)
	// Probe opens a connection to an address and closes it again. The error is marked as
	// ErrUnreachable if nothing answered.
	Probe(ctx context.Context, address string) error
}

// headerRetryAfter is the delay before a client should retry, in seconds.
const headerRetryAfter = "Retry-After"

// promisesNotRun reports whether clients take a status for the statement that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// notRun reports whether the outcome of err is that the request certainly has not run.
func notRun(err error) bool { return errkind.Of(err).Outcome == errkind.NotRun }
