package peer

import (
	"encoding/json"
	"net/rpc"
	"strings"
	"time"

	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
)

// errorPrefix marks an encoded error, because net/rpc transfers errors as text.
const errorPrefix = "eelgrass-error:"

// wireError is the JSON form of an errkind.Error.
type wireError struct {
	Kind       string          `json:"k"`
	Outcome    errkind.Outcome `json:"o,omitempty"`
	RetryAfter time.Duration   `json:"a,omitempty"`
	Revision   uint64          `json:"r,omitempty"`
	Text       string          `json:"t,omitempty"`
}

// EncodeError returns an error whose text preserves the kind of err over net/rpc. RPC handlers
// return it. EncodeError(nil) is nil.
func EncodeError(err error) error {
	e := errkind.Of(err)
	if e == nil {
		return nil
	}
	text, jsonErr := json.Marshal(wireError{Kind: e.Kind.String(), Outcome: e.Outcome, RetryAfter: e.RetryAfter, Revision: e.Revision, Text: e.Text})
	if jsonErr != nil {
		return err
	}
	return errors.New(errorPrefix + string(text))
}

// decodeError returns the errkind error for an error of net/rpc. An error that was not returned
// by the peer's handler has kind Timeout, because the call may or may not have been executed.
func decodeError(err error) error {
	var serverErr rpc.ServerError
	if !errors.As(err, &serverErr) {
		return errkind.Wrap(err, errkind.Timeout, "connection to peer was lost")
	}
	text, ok := strings.CutPrefix(string(serverErr), errorPrefix)
	var wire wireError
	if !ok || json.Unmarshal([]byte(text), &wire) != nil {
		return errkind.New(errkind.Internal, "peer: %s", string(serverErr))
	}
	kind, _ := errkind.FromCode(wire.Kind)
	return &errkind.Error{Kind: kind, Outcome: wire.Outcome, RetryAfter: wire.RetryAfter, Revision: wire.Revision, Text: wire.Text}
}
