package liveness

import (
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
)

// EndsWithConnection reports whether the body of a response has neither a length nor chunks, so that
// only the end of its connection ends it.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Refused reports whether err is that of a connection that was refused: no process listens at the
// address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
