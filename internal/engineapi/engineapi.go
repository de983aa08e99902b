// Package engineapi holds the JSON messages of the protocols that endpoints speak:
// model engines, the kept-cache store, the weight store, plain services and the
// platform's VM list. Engines speak the OpenAI-compatible HTTP API; this package
// adds what goes beyond it.
//
// Paths:
//
//	POST   /v1/chat/completions, /v1/completions   OpenAI-compatible, with Extra fields in the body
//	GET    /v1/streams/{request id}                resume a stream; Last-Event-ID names the last position seen
//	DELETE /v1/streams/{request id}                cancel
//	GET    /load                                   Load, lagging
//	GET    /events?after=SEQ                       server-sent events, each an Event; late, with gaps
//	POST   /orders                                 Order -> OrderReply; 409 when fenced
//	GET    /orders                                 OrderState: what was last obeyed, for read-back
//	POST   /kv/export, /kv/import                  KVRequest -> KVReply
//	GET    /blocks/{hash}, PUT /blocks/{hash}      the kept-cache store
//	GET    /weights/{model}/{version}              the weight store, rate limited
//	GET    /vms                                    VMList
//
// Every answer of an engine carries HeaderIncarnation; a restarted engine has
// another one and an empty cache.
package engineapi

// Headers between router and endpoints.
const (
	// HeaderIncarnation names the run of an engine's process.
	HeaderIncarnation = "X-Engine-Incarnation"
	// HeaderRequestID carries the request ID; an endpoint echoes it, so that a
	// crossed answer is told apart.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey lets a plain service recognise a repeat.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLastEventID names the last stream position received.
	HeaderLastEventID = "Last-Event-ID"
)

// Extra are the body fields beyond OpenAI's, at the top level of a request.
type Extra struct {
	// CacheSalt is the cache namespace: hex of the seed over client account, model,
	// adapter and weights version. Blocks of another namespace never match.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Priority: higher goes first.
	Priority int `json:"priority,omitempty"`
	// WeightsVersion is what the router means to run; another one loaded is refused with 409.
	WeightsVersion string `json:"weights_version,omitempty"`
	// ImportFrom names a kept-cache store address to import missing blocks from.
	ImportFrom string `json:"import_from,omitempty"`
	// ResumeFrom asks for the stream from this position on (positions count from 1).
	ResumeFrom int `json:"resume_from,omitempty"`
}

// Usage is OpenAI's usage object with cached prompt tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Load is an engine's report of its own state, up to its lag old.
type Load struct {
	Incarnation   string            `json:"incarnation"`
	Running       int               `json:"running"`
	Waiting       int               `json:"waiting"`
	WaitingTokens int               `json:"waiting_tokens"`
	BlocksUsed    int               `json:"blocks_used"`
	BlocksTotal   int               `json:"blocks_total"`
	Role          string            `json:"role"`
	Versions      map[string]string `json:"versions"` // model -> weights version loaded
	Adapters      []string          `json:"adapters,omitempty"`
	Loading       []string          `json:"loading,omitempty"`
	AgeMS         int64             `json:"age_ms"`
}

// Event kinds.
const (
	EventStored  = "stored"
	EventRemoved = "removed"
	EventCleared = "cleared"
)

// Event is a cache event. Seq counts from 1 within an incarnation; a gap means loss.
type Event struct {
	Incarnation string   `json:"incarnation"`
	Seq         uint64   `json:"seq"`
	Kind        string   `json:"kind"`
	Salt        string   `json:"salt,omitempty"`
	Hashes      []string `json:"hashes,omitempty"` // hex of 64-bit chain hashes
}

// Order operations.
const (
	OrderLoadModel     = "load-model"
	OrderUnloadModel   = "unload-model"
	OrderLoadAdapter   = "load-adapter"
	OrderUnloadAdapter = "unload-adapter"
	OrderSetRole       = "set-role"
)

// RoleDrain is the role of an engine that gets no new work, so that it can be changed.
const RoleDrain = "drain"

// Order tells an engine to change. (Term, Sequence) is the fencing number, compared
// term first; an engine that checks refuses a number not above the last obeyed.
type Order struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Role     string `json:"role,omitempty"`
	Source   string `json:"source,omitempty"` // weight store address
}

// OrderReply answers an order; the load itself may go on after it.
type OrderReply struct {
	Accepted bool   `json:"accepted"`
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Reason   string `json:"reason,omitempty"`
}

// KVRequest asks for blocks of a namespace to be exported to or imported from a store.
type KVRequest struct {
	Salt   string   `json:"salt"`
	Hashes []string `json:"hashes"`
	Store  string   `json:"store"`
}

// KVReply says how many blocks went over.
type KVReply struct {
	Blocks int `json:"blocks"`
}

// VM states in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is a row of the platform's lagging list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// VMList is the platform's answer.
type VMList struct {
	VMs   []VM  `json:"vms"`
	AgeMS int64 `json:"age_ms"`
}
