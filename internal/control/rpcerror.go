package control

import (
	"strconv"

	"eelgrasshollow/internal/errkind"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Metadata of an RPC error that keeps the kind.
const (
	metaKind     = "Eelgrass-Error-Kind"
	metaRevision = "Eelgrass-Revision"
	metaOutcome  = errkind.HeaderName
)

// rpcError turns an error into an RPC error that keeps kind, outcome and revision.
func rpcError(err error) error {
	e := errkind.Of(err)
	out := connect.NewError(e.Kind.Answer().RPC, errors.New(e.Text))
	out.Meta().Set(metaKind, e.Kind.String())
	out.Meta().Set(metaOutcome, string(e.Outcome))
	if e.Revision != 0 {
		out.Meta().Set(metaRevision, strconv.FormatUint(e.Revision, 10))
	}
	return out
}

// FromRPC turns the error of an operator's call back into one with a kind.
func FromRPC(err error) error {
	if err == nil {
		return nil
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return errkind.Wrap(err, errkind.Timeout, "no answer")
	}
	kind, ok := errkind.FromCode(ce.Meta().Get(metaKind))
	if !ok {
		return withoutKind(ce)
	}
	e := errkind.New(kind, "%s", ce.Message())
	e.Outcome = errkind.Outcome(ce.Meta().Get(metaOutcome))
	if n, err := strconv.ParseUint(ce.Meta().Get(metaRevision), 10, 64); err == nil {
		e.Revision = n
	}
	return e
}

// withoutKind judges an error that no replica of ours has written.
func withoutKind(ce *connect.Error) error {
	switch ce.Code() {
	case connect.CodeUnavailable:
		return errkind.Wrap(ce, errkind.Timeout, "control replica did not answer")
	case connect.CodeDeadlineExceeded:
		return errkind.Wrap(ce, errkind.Timeout, "no answer in time")
	case connect.CodeCanceled:
		return errkind.Wrap(ce, errkind.Canceled, "call was canceled")
	}
	return errkind.Wrap(ce, errkind.Internal, "call failed")
}
