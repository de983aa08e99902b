package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBootGoesForward(t *testing.T) {
	last := Boot()
	for range 1000 {
		now := Boot()
		assert.Assert(t, !now.Before(last))
		last = now
	}
}

// A monotonic reading would make Sub ignore suspensions.
func TestBootHasNoMonotonicReading(t *testing.T) {
	now := Boot()
	assert.Equal(t, now, now.Round(0))
	assert.Assert(t, now.Add(time.Second).After(now))
}
