// Package errkind defines the closed list of error kinds, and the only table that maps a
// kind to its HTTP status, RPC code, process exit code, retryability and execution outcome.
//
// Errors are created with New or Wrap and inspected with Of. No other package chooses a
// status code.
package errkind

import (
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Kind is an error kind.
type Kind int

// The closed list of error kinds. Each kind has a row in table.
const (
	Internal Kind = iota
	InvalidRequest
	TooLarge
	Unauthenticated
	PermissionDenied
	NotFound
	AlreadyExists
	RevisionConflict
	OperationMismatch
	BodyMismatch
	MissingRequestID
	InProgress
	RequestExpired
	OutcomeUnknown
	RateLimited
	Overloaded
	JournalFull
	Stale
	Draining
	NotLeader
	NoQuorum
	NoEndpoint
	EndpointFailed
	StreamBroken
	Fenced
	Timeout
	Canceled
	Corrupt
	Unsupported
	Quarantined
	kindCount
)

// Outcome states whether a request was executed, as far as that is known.
type Outcome string

// Values of Outcome, and the response header that carries the outcome.
const (
	NotRun        Outcome = "not-run"
	Unknown       Outcome = "outcome-unknown"
	Completed     Outcome = "completed"
	InFlight      Outcome = "in-progress"
	NoOutcome     Outcome = ""
	OutcomeHeader         = "Eelgrass-Outcome"
)

// Properties is a row of the table: how an error kind is reported outside the process.
type Properties struct {
	Code      string       // stable name in bodies and logs
	HTTP      int          // HTTP status
	RPC       connect.Code // operator RPC code
	Exit      int          // exit code of command-line tools
	Retryable bool         // retrying the same request is safe and can succeed
	Outcome   Outcome      // default outcome; WithOutcome overrides it
}

var table = [kindCount]Properties{
	Internal:          {"internal", http.StatusInternalServerError, connect.CodeInternal, 1, false, Unknown},
	InvalidRequest:    {"invalid-request", http.StatusBadRequest, connect.CodeInvalidArgument, 2, false, NotRun},
	TooLarge:          {"too-large", http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, 3, false, NotRun},
	Unauthenticated:   {"unauthenticated", http.StatusUnauthorized, connect.CodeUnauthenticated, 4, false, NotRun},
	PermissionDenied:  {"permission-denied", http.StatusForbidden, connect.CodePermissionDenied, 5, false, NotRun},
	NotFound:          {"not-found", http.StatusNotFound, connect.CodeNotFound, 6, false, NotRun},
	AlreadyExists:     {"already-exists", http.StatusConflict, connect.CodeAlreadyExists, 7, false, NotRun},
	RevisionConflict:  {"revision-conflict", http.StatusConflict, connect.CodeAborted, 8, false, NotRun},
	OperationMismatch: {"operation-mismatch", http.StatusConflict, connect.CodeFailedPrecondition, 9, false, NotRun},
	BodyMismatch:      {"body-mismatch", http.StatusUnprocessableEntity, connect.CodeFailedPrecondition, 10, false, NotRun},
	MissingRequestID:  {"missing-request-id", http.StatusBadRequest, connect.CodeInvalidArgument, 11, false, NotRun},
	InProgress:        {"in-progress", http.StatusConflict, connect.CodeAborted, 12, true, InFlight},
	RequestExpired:    {"request-expired", http.StatusGone, connect.CodeFailedPrecondition, 13, false, NoOutcome},
	OutcomeUnknown:    {"outcome-unknown", http.StatusBadGateway, connect.CodeUnknown, 14, false, Unknown},
	RateLimited:       {"rate-limited", http.StatusTooManyRequests, connect.CodeResourceExhausted, 15, true, NotRun},
	Overloaded:        {"overloaded", http.StatusServiceUnavailable, connect.CodeResourceExhausted, 16, true, NotRun},
	JournalFull:       {"journal-full", http.StatusServiceUnavailable, connect.CodeResourceExhausted, 17, true, NotRun},
	Stale:             {"stale", http.StatusServiceUnavailable, connect.CodeUnavailable, 18, true, NotRun},
	Draining:          {"draining", http.StatusServiceUnavailable, connect.CodeUnavailable, 19, true, NotRun},
	NotLeader:         {"not-leader", http.StatusServiceUnavailable, connect.CodeUnavailable, 20, true, NotRun},
	NoQuorum:          {"no-quorum", http.StatusServiceUnavailable, connect.CodeUnavailable, 21, true, NotRun},
	NoEndpoint:        {"no-endpoint", http.StatusServiceUnavailable, connect.CodeUnavailable, 22, true, NotRun},
	EndpointFailed:    {"endpoint-failed", http.StatusBadGateway, connect.CodeUnavailable, 23, true, Unknown},
	StreamBroken:      {"stream-broken", http.StatusBadGateway, connect.CodeDataLoss, 24, false, Unknown},
	Fenced:            {"fenced", http.StatusConflict, connect.CodeFailedPrecondition, 25, false, NotRun},
	Timeout:           {"timeout", http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, 26, false, Unknown},
	Canceled:          {"canceled", 499, connect.CodeCanceled, 27, false, Unknown},
	Corrupt:           {"corrupt", http.StatusInternalServerError, connect.CodeDataLoss, 28, false, Unknown},
	Unsupported:       {"unsupported", http.StatusNotImplemented, connect.CodeUnimplemented, 29, false, NotRun},
	Quarantined:       {"quarantined", http.StatusServiceUnavailable, connect.CodeUnavailable, 30, true, NotRun},
}

// Kinds returns every kind in table order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Properties returns the row of the kind, or that of Internal if the kind is not in the list.
func (k Kind) Properties() Properties {
	if k < 0 || k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the stable name of the kind.
func (k Kind) String() string { return k.Properties().Code }

// FromCode returns the kind with the given stable name. It returns Internal and false for an
// unknown name.
func FromCode(code string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.Properties().Code == code {
			return k, true
		}
	}
	return Internal, false
}

// Error is an error with a kind. Its text never contains a client's key or a request body.
type Error struct {
	Kind       Kind
	Outcome    Outcome       // whether the request was executed
	RetryAfter time.Duration // time to wait before a retry; 0 if unspecified
	Revision   uint64        // current revision; set for RevisionConflict
	Text       string
	cause      error
}

// Error returns the kind, the text and the cause.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Text, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Text)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether target is a Sentinel of the same kind. It supports errors.Is.
func (e *Error) Is(target error) bool {
	sentinel, ok := target.(*Error)
	return ok && sentinel.Kind == e.Kind && sentinel.Text == ""
}

// New returns an error of the kind with the kind's default outcome.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Outcome: k.Properties().Outcome, Text: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind that wraps cause.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = cause
	return e
}

// ErrBroken marks an error of an exchange whose connection the peer closed or reset before the
// response was complete.
var ErrBroken = errors.New("connection broke")

// Sentinel returns a target for errors.Is that matches every error of the kind.
func Sentinel(k Kind) error { return &Error{Kind: k} }

// WithOutcome returns a copy of e with the given outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of e with the time to wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the first *Error in the chain of err, or wraps err in an error of kind Internal
// if there is none. Of(nil) is nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error")
}

// Is reports whether the error that Of returns for err has the kind.
func Is(err error, k Kind) bool {
	e := Of(err)
	return e != nil && e.Kind == k
}
