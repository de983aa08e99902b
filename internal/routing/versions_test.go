package routing

import (
	"math"
	"testing"
	"time"

	"eelgrasshollow/internal/engineapi"

	"gotest.tools/v3/assert"
)

// reportVersions applies load reports with the given versions for the endpoints of a core.
func reportVersions(c *Core, now time.Time, versions ...string) {
	for i, v := range versions {
		c.ApplyLoadReport(now, engines(4, 8)[i].Name, engineapi.Load{Incarnation: "i", Versions: map[string]string{"m": v}})
	}
}

func targetShare(c *Core, now time.Time, target string) float64 {
	n := 0
	const keys = 1000
	for i := range uint64(keys) {
		if c.SelectVersion(now, "m", target, i*(math.MaxUint64/keys)) == target {
			n++
		}
	}
	return float64(n) / keys
}

func TestRequestsFollowRollout(t *testing.T) {
	c := newCore(4, 8)
	c.SetTargetVersions(map[string]string{"m": "v0"})
	c.SetTargetVersions(map[string]string{"m": "v1"})
	assert.Equal(t, targetShare(c, epoch, "v1"), 0.0, "endpoints without a report have not changed")
	reportVersions(c, epoch, "v1", "v1", "v1", "v1")
	assert.Equal(t, targetShare(c, epoch, "v1"), 1.0)
	c.SetTargetVersions(map[string]string{"m": "v2"})
	assert.Equal(t, targetShare(c, epoch, "v2"), 0.0, "no endpoint has the version yet")
	reportVersions(c, epoch, "v2", "v1", "v1", "v1")
	got := targetShare(c, epoch, "v2")
	assert.Assert(t, got > 0.2 && got < 0.3, "%v", got)
	reportVersions(c, epoch, "v2", "v2", "v2", "v2")
	assert.Equal(t, targetShare(c, epoch, "v2"), 1.0)
}

func TestVMStartedDuringRolloutSplitsRequests(t *testing.T) {
	c := newCore(4, 8)
	c.SetTargetVersions(map[string]string{"m": "v2"})
	reportVersions(c, epoch, "v2", "v2", "v1", "v1")
	got := targetShare(c, epoch, "v2")
	assert.Assert(t, got > 0.45 && got < 0.55, "%v", got)
}

func TestDrainingEndpointIsSkippedByAllVMs(t *testing.T) {
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
	assert.Equal(t, p.Decision.Endpoint, "e0", "the endpoint serves again and has no requests")
}

// A VM that reads no load report itself must not lose, long after a rollout, the weights
// that peers have sent: its requests would target the previous weights again.
func TestWeightsAreSentToPeersAgain(t *testing.T) {
	c, peer := newCore(4, 8), newCore(4, 8)
	for _, version := range []string{"v1", "v2"} {
		peer.SetTargetVersions(map[string]string{"m": version})
	}
	for now := epoch; now.Before(epoch.Add(4 * weightsReportTTL)); now = now.Add(500 * time.Millisecond) {
		reportVersions(c, now, "v2", "v2", "v2", "v2")
		peer.ApplyDigest(now, c.NextDigest("c", 1024))
		assert.Equal(t, targetShare(peer, now, "v2"), 1.0, "after %v", now.Sub(epoch))
	}
}

// Guards against requests on unknown weights, which share no cache namespace, for a model without a configured version
// whose engines report one.
func TestModelWithoutTargetVersionRunsOnReportedOne(t *testing.T) {
	c := newCore(4, 8)
	c.SetTargetVersions(map[string]string{"m": ""})
	assert.Equal(t, c.SelectVersion(epoch, "m", "", 1), "", "nothing is known")
	reportVersions(c, epoch, "v1", "v1", "v1", "v1")
	assert.Equal(t, targetShare(c, epoch, ""), 0.0)
	assert.Equal(t, c.SelectVersion(epoch, "m", "", 1), "v1")
}
