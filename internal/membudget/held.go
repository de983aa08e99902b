package membudget

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrNoMemory refuses a request, which has not run, because other requests hold the memory for it.
var ErrNoMemory = errors.New("no memory for another request")

// includedBodyBytes are the first bytes of a body, which RequestBytes includes: small requests need no more than that.
const includedBodyBytes = 16 << 10

// Held are the bytes that one request holds.
type Held struct {
	budget   *Budget
	cost     int64 // of a byte of the body
	bytes    int64
	included int64 // bytes of the body that still are included in RequestBytes
}

// NewHeld returns a value that holds nothing yet. cost is the memory of a byte of the request's body in bytes.
func NewHeld(budget *Budget, cost int64) *Held {
	return &Held{budget: budget, cost: cost, included: includedBodyBytes}
}

// Begin takes the bytes of a request apart from its body. announced is the length of the body, or negative if it is not
// known: a body for which there is no room is refused before it is read. The error is ErrNoMemory.
func (h *Held) Begin(ctx context.Context, announced int64) error {
	if !h.budget.Acquire(ctx, RequestBytes) {
		return ErrNoMemory
	}
	h.bytes += RequestBytes
	if counted := h.cost*announced - h.included; counted > 0 && !h.budget.fits(ctx, counted) {
		return ErrNoMemory
	}
	return nil
}

// Body returns a body whose bytes are counted as they are read. Its reads fail with ErrNoMemory if none is left.
func (h *Held) Body(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	return &heldBody{body, ctx, h}
}

// Release gives back all bytes.
func (h *Held) Release() { h.budget.Release(h.bytes) }

type heldBody struct {
	io.ReadCloser
	ctx  context.Context
	held *Held
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if takeErr := b.held.take(b.ctx, b.held.cost*int64(n)); takeErr != nil {
		return 0, takeErr
	}
	return n, err
}

// take takes n bytes for a part of the body.
func (h *Held) take(ctx context.Context, n int64) error {
	free := min(n, h.included)
	h.included -= free
	n -= free
	if n > 0 && !h.budget.acquirePart(ctx, n) {
		return ErrNoMemory
	}
	h.bytes += n
	return nil
}

// BoundRequests returns a handler whose requests hold bytes of the budget, with cost for a byte of a body. Requests for which
// none are left get status 503; they have not run.
func BoundRequests(budget *Budget, cost int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := NewHeld(budget, cost)
		defer held.Release()
		if err := held.Begin(r.Context(), r.ContentLength); err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		bounded := *r
		bounded.Body = held.Body(r.Context(), r.Body)
		next.ServeHTTP(w, &bounded)
	})
}
