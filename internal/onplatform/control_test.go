package onplatform

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a replica that the group refuses and that is restarted several times a second without end (review/1).
func TestRefusedReplicaRestartsLessAndLessOften(t *testing.T) {
	for _, c := range []struct {
		refusals int
		want     time.Duration
	}{{0, restartPause}, {1, restartPause}, {2, 2 * restartPause}, {3, 4 * restartPause}, {1000, maxRefusedPause}} {
		assert.Equal(t, restartDelay(c.refusals), c.want)
	}
}
