package control

import (
	"strconv"

	"eelgrasshollow/internal/errkind"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Metadata keys of an RPC error.
const (
	metaKind     = "Eelgrass-Error-Kind"
	metaRevision = "Eelgrass-Revision"
	metaOutcome  = errkind.OutcomeHeader
)

// rpcError converts an error to an RPC error whose metadata carries its kind, outcome and
// revision.
func rpcError(err error) error {
	e := errkind.Of(err)
	rpcErr := connect.NewError(e.Kind.Properties().RPC, errors.New(e.Text))
	rpcErr.Meta().Set(metaKind, e.Kind.String())
	rpcErr.Meta().Set(metaOutcome, string(e.Outcome))
	if e.Revision != 0 {
		rpcErr.Meta().Set(metaRevision, strconv.FormatUint(e.Revision, 10))
	}
	return rpcErr
}

// FromRPC converts the error of a call to the operator API back to one with a kind. It
// returns nil for nil.
func FromRPC(err error) error {
	if err == nil {
		return nil
	}
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return errkind.Wrap(err, errkind.Timeout, "no response")
	}
	kind, ok := errkind.FromCode(connectErr.Meta().Get(metaKind))
	if !ok {
		return withoutKind(connectErr)
	}
	e := errkind.New(kind, "%s", connectErr.Message())
	e.Outcome = errkind.Outcome(connectErr.Meta().Get(metaOutcome))
	if n, err := strconv.ParseUint(connectErr.Meta().Get(metaRevision), 10, 64); err == nil {
		e.Revision = n
	}
	return e
}

// withoutKind converts an RPC error that was not created by rpcError, such as one of the
// transport.
func withoutKind(connectErr *connect.Error) error {
	switch connectErr.Code() {
	case connect.CodeUnavailable:
		return errkind.Wrap(connectErr, errkind.Timeout, "control replica did not respond")
	case connect.CodeDeadlineExceeded:
		return errkind.Wrap(connectErr, errkind.Timeout, "control replica did not respond in time")
	case connect.CodeCanceled:
		return errkind.Wrap(connectErr, errkind.Canceled, "call was canceled")
	}
	return errkind.Wrap(connectErr, errkind.Internal, "call failed")
}
