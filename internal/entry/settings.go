package entry

import (
	"time"

	"eelgrasshollow/internal/settings"
)

// Settings is the [entry] section of the settings file: limits for clients and their requests.
type Settings struct {
	MaxBody            settings.Bytes `ini:"max_body" default:"16 MiB" min:"1 KiB" max:"1 GiB" doc:"Greatest body of a request."`
	MaxHeader          settings.Bytes `ini:"max_header" default:"32 KiB" min:"1 KiB" max:"1 MiB" doc:"Greatest header of a request."`
	ReadHeaderTimeout  time.Duration  `ini:"read_header" default:"5s" min:"50ms" max:"1m" doc:"Time a caller may take to send a header."`
	ReadBodyTimeout    time.Duration  `ini:"read_body" default:"30s" min:"50ms" max:"10m" doc:"Time a caller may take to send a body."`
	WriteTimeout       time.Duration  `ini:"write" default:"10s" min:"50ms" max:"10m" doc:"Time a caller may take to accept one event or answer."`
	SendBuffer         settings.Bytes `ini:"send_buffer" default:"64 KiB" min:"4 KiB" max:"16 MiB" doc:"Bytes that wait in the system for a caller that does not read."`
	ReceiveBuffer      settings.Bytes `ini:"receive_buffer" default:"64 KiB" min:"4 KiB" max:"16 MiB" doc:"Bytes of a caller that wait in the system until they are read."`
	IdleTimeout        time.Duration  `ini:"idle" default:"60s" min:"100ms" max:"1h" doc:"Time an unused connection of a caller is kept."`
	AckTimeout         time.Duration  `ini:"acknowledge" default:"10s" min:"100ms" max:"1m" doc:"Time that bytes for a caller may stay unacknowledged or unsent."`
	QueueTimeout       time.Duration  `ini:"queue" default:"20s" min:"10ms" max:"10m" doc:"Time a request may wait for an endpoint."`
	ClaimQueueTimeout  time.Duration  `ini:"claim_queue" default:"3s" min:"10ms" max:"1m" doc:"Time a call under a journal claim may wait for an endpoint; below the journal's begin_lease."`
	MaxAttempts        int            `ini:"attempts" default:"4" min:"1" max:"20" doc:"Endpoints an idempotent request is tried at."`
	RetryPause         time.Duration  `ini:"retry_pause" default:"300ms" min:"1ms" max:"10s" doc:"Pause before a request goes back to an endpoint that failed it, when there is no other."`
	RetryShare         float64        `ini:"retry_share" default:"0.1" min:"0" max:"1" doc:"Retries per request, on average."`
	RetryBurst         int            `ini:"retry_burst" default:"100" min:"1" max:"100000" doc:"Retries at once."`
	DefaultOutput      int            `ini:"default_output" default:"512" min:"1" max:"1000000" doc:"Output tokens of a request that names no bound."`
	MaxOutput          int            `ini:"max_output" default:"131072" min:"1" max:"10000000" doc:"Greatest output that a request may ask for, in tokens."`
	LookupTTL          time.Duration  `ini:"lookup_keep" default:"5s" min:"10ms" max:"10m" doc:"Time callers may keep the answer of GET /v1/entries."`
	LookupVMs          int            `ini:"lookup_vms" default:"16" min:"1" max:"1000" doc:"VMs that GET /v1/entries names; callers of one client account are led to the same ones."`
	LookupTokensPerVM  int64          `ini:"lookup_vm_tokens" default:"20000" min:"1" max:"1000000000" doc:"Tokens a second of a client account's rate for each VM that its callers are led to, beyond lookup_vms."`
	StreamGrace        time.Duration  `ini:"stream_grace" default:"30s" min:"10ms" max:"1h" doc:"Time open requests have to finish when the daemon stops."`
	PlainEmptyOK       bool           `ini:"plain_empty_ok" default:"false" doc:"Take an empty 200 of a plain service for an answer."`
	KeyRecheckInterval time.Duration  `ini:"recheck_keys" default:"1s" min:"10ms" max:"10s" doc:"Longest pause between two checks of the keys of open requests."`
	StaleGrace         time.Duration  `ini:"stale_open" default:"5s" min:"0s" max:"1m" doc:"Time that open requests go on after the configuration was last attested as fresh; new ones are refused at once."`
	MaxIDBytes         int            `ini:"max_request_id" default:"200" min:"1" max:"4096" doc:"Greatest Idempotency-Key, in bytes."`
	JournalTimeout     time.Duration  `ini:"journal_timeout" default:"3s" min:"10ms" max:"1m" doc:"Time for one call to the request journal."`
}
