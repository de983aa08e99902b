// Package errkind holds the closed list of error kinds and the one table that
// maps a kind to its answers: HTTP status, RPC code, process exit code, whether a
// retry is safe, and what the answer says about the request's execution.
//
// Errors are built with New or Wrap and inspected with Of; no other package
// decides on a status code.
package errkind

import (
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Kind is one of the closed list of error kinds.
type Kind int

// The closed list of kinds. Every kind has a row in the table below.
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
	kindCount
)

// Outcome says what is known about the execution of a request.
type Outcome string

// The outcomes an answer can report.
const (
	NotRun        Outcome = "not-run"
	Unknown       Outcome = "outcome-unknown"
	Completed     Outcome = "completed"
	InFlight      Outcome = "in-progress"
	NoOutcome     Outcome = ""
	OutcomeHeader         = "Eelgrass-Outcome"
)

// Properties is one row of the table: what a kind turns into at each boundary.
type Properties struct {
	Code      string       // stable word in bodies and logs
	HTTP      int          // HTTP status
	RPC       connect.Code // operator RPC code
	Exit      int          // exit code of command-line tools
	Retryable bool         // a retry of the same request can succeed and is safe
	Outcome   Outcome      // default outcome, WithOutcome overrides it
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
}

// Kinds lists every kind in table order.
func Kinds() []Kind {
	all := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		all = append(all, k)
	}
	return all
}

// Properties returns the kind's row; a kind outside the list gets Internal's row.
func (k Kind) Properties() Properties {
	if k < 0 || k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's stable word.
func (k Kind) String() string { return k.Properties().Code }

// FromCode returns the kind with the given stable word.
func FromCode(code string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.Properties().Code == code {
			return k, true
		}
	}
	return Internal, false
}

// Error is an error with a kind. Its text never holds a caller's key or a body.
type Error struct {
	Kind       Kind
	Outcome    Outcome       // what is known about execution
	RetryAfter time.Duration // when to come back; 0 says nothing
	Revision   uint64        // the current revision, on RevisionConflict
	Text       string
	cause      error
}

// Error returns kind and text.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Text, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Text)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Is matches another *Error of the same kind, so that sentinels work with errors.Is.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind && t.Text == ""
}

// New builds an error of the kind with the kind's default outcome.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Outcome: k.Properties().Outcome, Text: fmt.Sprintf(format, args...)}
}

// Wrap builds an error of the kind around a cause.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = cause
	return e
}

// Sentinel returns a value for errors.Is that matches every error of the kind.
func Sentinel(k Kind) error { return &Error{Kind: k} }

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy that tells when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of finds the *Error in the chain; an error without one becomes Internal.
// Of(nil) is nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected failure")
}

// Is reports whether err carries the kind.
func Is(err error, k Kind) bool {
	e := Of(err)
	return e != nil && e.Kind == k
}
