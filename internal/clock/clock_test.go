package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBootNeverDecreases(t *testing.T) {
	previous := Boot()
	for range 1000 {
		now := Boot()
		assert.Assert(t, !now.Before(previous))
		previous = now
	}
}

// With a monotonic clock reading, Sub would ignore suspensions.
func TestBootHasNoMonotonicReading(t *testing.T) {
	now := Boot()
	assert.Equal(t, now, now.Round(0))
	assert.Assert(t, now.Add(time.Second).After(now))
}
