package peer

import (
	"encoding/json"
	"net/rpc"
	"strings"
	"time"

	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
)

// errorPrefix marks an encoded error, as net/rpc carries errors as text.
const errorPrefix = "eelgrass-error:"

type wireError struct {
	Kind       string          `json:"k"`
	Outcome    errkind.Outcome `json:"o,omitempty"`
	RetryAfter time.Duration   `json:"a,omitempty"`
	Revision   uint64          `json:"r,omitempty"`
	Text       string          `json:"t,omitempty"`
}

// EncodeError turns err into one that keeps its kind over net/rpc. Handlers return
// it. EncodeError(nil) is nil.
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

// decodeError turns an error of net/rpc into one with a kind. Whatever is not an
// answer of the peer's handler is Timeout: the call may or may not have run.
func decodeError(err error) error {
	var server rpc.ServerError
	if !errors.As(err, &server) {
		return errkind.Wrap(err, errkind.Timeout, "connection to peer lost")
	}
	text, ok := strings.CutPrefix(string(server), errorPrefix)
	var w wireError
	if !ok || json.Unmarshal([]byte(text), &w) != nil {
		return errkind.New(errkind.Internal, "peer: %s", string(server))
	}
	kind, _ := errkind.FromCode(w.Kind)
	return &errkind.Error{Kind: kind, Outcome: w.Outcome, RetryAfter: w.RetryAfter, Revision: w.Revision, Text: w.Text}
}
