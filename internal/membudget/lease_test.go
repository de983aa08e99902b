package membudget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a lease that takes more than the budget has, or that keeps bytes after its release.
func TestLease(t *testing.T) {
	const included = 1000
	b := New(3*leaseStep, "test")
	first, second := b.Lease(included), b.Lease(included)
	assert.Assert(t, first.Resize(included) && second.Resize(included))
	assert.Equal(t, b.Held(), int64(0))
	assert.Assert(t, first.Resize(included+1))
	assert.Equal(t, b.Held(), int64(leaseStep))
	assert.Assert(t, !second.Resize(included+2*leaseStep+1))
	assert.Assert(t, second.Resize(included+2*leaseStep))
	assert.Assert(t, !first.Resize(included+leaseStep+1))
	second.Release()
	assert.Assert(t, first.Resize(included+3*leaseStep))
	assert.Assert(t, first.Resize(included+leaseStep))
	assert.Equal(t, b.Held(), int64(leaseStep))
	first.Release()
	first.Release()
	assert.Equal(t, b.Held(), int64(0))
}
