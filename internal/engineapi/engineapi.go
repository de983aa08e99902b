// Package engineapi defines the JSON messages and headers of the HTTP protocols of model
// engines, the kept-cache store, the weight store, plain services and the platform's VM
// list. Engines implement the OpenAI-compatible API; this package defines the extensions.
//
// Paths:
//
//	POST   /v1/chat/completions, /v1/completions   OpenAI-compatible, with Extra fields in the body
//	GET    /v1/streams/{request id}                resume a stream after the position in Last-Event-ID
//	DELETE /v1/streams/{request id}                cancel a stream
//	GET    /load                                   Load, which may be outdated by AgeMS
//	GET    /events?after=SEQ                       server-sent events, each an Event; delayed, and some may be lost
//	POST   /orders                                 Order -> OrderReply; 409 if fenced
//	GET    /orders                                 the last accepted order, for read-back
//	POST   /kv/export, /kv/import                  KVRequest -> KVReply
//	GET    /blocks/{hash}, PUT /blocks/{hash}      blocks of the kept-cache store; the body is the salt
//	GET    /weights/{model}/{version}              weights of the weight store, rate limited
//	GET    /vms                                    VMList
//
// Every response of an engine carries HeaderIncarnation. A restarted engine has a new
// incarnation and an empty cache.
package engineapi

// Headers between router and endpoints.
const (
	// HeaderIncarnation identifies the incarnation of an engine: one run of its process.
	HeaderIncarnation = "X-Engine-Incarnation"
	// HeaderRequestID carries the request ID. Endpoints echo it, so that a response that
	// belongs to another request is detected.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey lets a plain service detect a repeated request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLeaving is HeaderLeavingValue in every response of an endpoint that will stop and
	// takes no new requests. An endpoint that refuses with status 503 may add Retry-After: it
	// wants no request from this VM for that time.
	HeaderLeaving      = "X-Endpoint-Leaving"
	HeaderLeavingValue = "1"
	// HeaderLimit is the number of requests per second that an endpoint takes from all VMs
	// together. A response without it ends an earlier limit.
	HeaderLimit = "X-Endpoint-Limit"
	// HeaderLastEventID carries the last stream position that the client received.
	HeaderLastEventID = "Last-Event-ID"
)

// Extra holds the body fields that extend the OpenAI API, at the top level of a request.
type Extra struct {
	// CacheSalt is the cache namespace: the hex form of prefix.Seed, a hash of client
	// account, model, adapter and weights version. Blocks of another namespace never match.
	// If the router doesn't know the version, it is a random number of the same form.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Priority orders waiting requests; higher values are served first.
	Priority int `json:"priority,omitempty"`
	// WeightsVersion is the weights version that the router expects. An engine that has
	// loaded another version refuses the request with status 409.
	WeightsVersion string `json:"weights_version,omitempty"`
	// ImportFrom is the address of the store or engine to import missing blocks from.
	ImportFrom string `json:"import_from,omitempty"`
	// ResumeFrom is the first stream position to send; positions start at 1.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// Usage is the usage object of the OpenAI API, with the number of cached prompt tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Load is an engine's load report. It describes the state AgeMS milliseconds ago. Running and
// Waiting count requests; WaitingTokens is the number of prompt tokens of the waiting ones.
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

// Event is a cache event. Seq starts at 1 in each incarnation; a gap means that events were
// lost.
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

// RoleDrain is the role of an engine that gets no new requests, so that its weights or role
// can be changed.
const RoleDrain = "drain"

// Order requests an engine to change its models, adapters or role. (Term, Sequence) is the
// fencing number, compared by Term first. An engine that checks fencing refuses an order
// whose number is not above that of the last accepted order.
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

// OrderReply is the response to an order. The load itself may still be in progress.
type OrderReply struct {
	Accepted bool   `json:"accepted"`
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Reason   string `json:"reason,omitempty"`
}

// KVRequest requests an engine to export blocks of a namespace to a store, or to import them
// from a store.
type KVRequest struct {
	Salt   string   `json:"salt"`
	Hashes []string `json:"hashes"`
	Store  string   `json:"store"`
}

// KVReply is the response to a KVRequest; Blocks is the number of blocks copied.
type KVReply struct {
	Blocks int `json:"blocks"`
}

// VM states in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is a row of the platform's VM list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// VMList is the platform's VM list, AgeMS milliseconds old.
type VMList struct {
	VMs   []VM  `json:"vms"`
	AgeMS int64 `json:"age_ms"`
}
