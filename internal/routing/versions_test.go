package routing

import (
	"math"
	"testing"
	"time"

	"eelgrasshollow/internal/engineapi"

	"gotest.tools/v3/assert"
)

// serving reports weights for every endpoint of a core of four.
func serving(c *Core, now time.Time, versions ...string) {
	for i, v := range versions {
		c.ApplyLoadReport(now, engines(4, 8)[i].Name, engineapi.Load{Incarnation: "i", Versions: map[string]string{"m": v}})
	}
}

func share(c *Core, now time.Time, wanted string) float64 {
	n := 0
	const keys = 1000
	for i := range uint64(keys) {
		if c.SelectVersion(now, "m", wanted, i*(math.MaxUint64/keys)) == wanted {
			n++
		}
	}
	return float64(n) / keys
}

func TestRequestsFollowTheRoll(t *testing.T) {
	c := newCore(4, 8)
	c.SetTargetVersions(map[string]string{"m": "v0"})
	c.SetTargetVersions(map[string]string{"m": "v1"})
	assert.Equal(t, share(c, epoch, "v1"), 0.0, "no report yet: nothing has changed yet")
	serving(c, epoch, "v1", "v1", "v1", "v1")
	assert.Equal(t, share(c, epoch, "v1"), 1.0)
	c.SetTargetVersions(map[string]string{"m": "v2"})
	assert.Equal(t, share(c, epoch, "v2"), 0.0, "nobody has it yet")
	serving(c, epoch, "v2", "v1", "v1", "v1")
	got := share(c, epoch, "v2")
	assert.Assert(t, got > 0.2 && got < 0.3, "%v", got)
	serving(c, epoch, "v2", "v2", "v2", "v2")
	assert.Equal(t, share(c, epoch, "v2"), 1.0)
}

func TestAVMThatStartedInMidRollSplitsToo(t *testing.T) {
	c := newCore(4, 8)
	c.SetTargetVersions(map[string]string{"m": "v2"})
	serving(c, epoch, "v2", "v2", "v1", "v1")
	got := share(c, epoch, "v2")
	assert.Assert(t, got > 0.45 && got < 0.55, "%v", got)
}

func TestADrainingEndpointGetsNothingAndPeersHearOfIt(t *testing.T) {
	c, peer := newCore(2, 8), newCore(2, 8)
	drain := engineapi.Load{Incarnation: "i", Role: engineapi.RoleDrain, Versions: map[string]string{"m": "v1"}}
	c.ApplyLoadReport(epoch, "e0", drain)
	peer.ApplyDigest(epoch, c.NextDigest("c", 1024))
	for range 5 {
		assert.Equal(t, submit(c, epoch, request("a")).Decision.Endpoint, "e1")
		assert.Equal(t, submit(peer, epoch, request("a")).Decision.Endpoint, "e1")
	}
	c.ApplyLoadReport(epoch.Add(time.Second), "e0", engineapi.Load{Incarnation: "i", Role: "any", Versions: map[string]string{"m": "v1"}})
	peer.ApplyDigest(epoch.Add(time.Second), c.NextDigest("c", 1024))
	p := submit(peer, epoch.Add(time.Second), request("a"))
	assert.Equal(t, p.Decision.Endpoint, "e0", "it serves again, and is the idle one")
}

// A VM that reads no report itself must not forget, long after a roll, what its peers
// told it once: requests would go on asking for the old weights.
func TestPeersAreToldOfWeightsAgain(t *testing.T) {
	c, peer := newCore(4, 8), newCore(4, 8)
	for _, version := range []string{"v1", "v2"} {
		peer.SetTargetVersions(map[string]string{"m": version})
	}
	for now := epoch; now.Before(epoch.Add(4 * weightsKept)); now = now.Add(500 * time.Millisecond) {
		serving(c, now, "v2", "v2", "v2", "v2")
		peer.ApplyDigest(now, c.NextDigest("c", 1024))
		assert.Equal(t, share(peer, now, "v2"), 1.0, "after %v", now.Sub(epoch))
	}
}
