package membudget

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against a buffer that grows beyond what its lease holds, and bytes that are read in part.
func TestReadAllStaysWithinItsLease(t *testing.T) {
	const limit = 1 << 20
	budget := New(BufferCost*limit/2+leaseStep, "test")
	for size, fits := range map[int]bool{0: true, 1: true, firstReadBytes: true, limit / 4: true, limit/2 - 1: true, limit/2 + 1: false, limit: false, limit + 1: false} {
		lease := budget.Lease(0)
		bytes, err := lease.ReadAll(strings.NewReader(strings.Repeat("x", size)), limit)
		if fits {
			assert.NilError(t, err, "%d bytes", size)
			assert.Equal(t, len(bytes), size)
			assert.Assert(t, size <= firstReadBytes || budget.Held() >= int64(cap(bytes)))
		} else {
			assert.Assert(t, errors.Is(err, ErrExhausted), "%d bytes: %v", size, err)
		}
		lease.Release()
		assert.Equal(t, budget.Held(), int64(0))
	}
	_, err := budget.Lease(0).ReadAll(strings.NewReader(strings.Repeat("x", 11)), 10)
	assert.Assert(t, errors.Is(err, ErrTooLarge))
	_, err = budget.Lease(0).ReadAll(io.MultiReader(strings.NewReader("x"), errorReader{}), 10)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
