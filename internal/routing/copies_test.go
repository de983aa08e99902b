package routing

import (
	"testing"
	"time"

	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

// importingCore returns a core whose endpoints copy cached prefixes from each other.
func importingCore(n int) *Core {
	policy := DefaultPolicy(DefaultTuning())
	policy.PeerImports = true
	c := NewCore(policy, DefaultLimits(), epoch)
	c.SetEndpoints(epoch, engines(n, 8))
	return c
}

// subjectRequest returns a request with two shared pieces and one of its own.
func subjectRequest(subject, own prefix.Hash) Request {
	r := request("a", 7, subject, own)
	r.SharedPieces = 2
	return r
}

// importingCoreWithStore returns an importingCore that also has a store, at 10.9.0.1:1.
func importingCoreWithStore(n int) *Core {
	c := importingCore(n)
	c.SetStores([]Store{{Name: "kept", Address: "10.9.0.1:1", CapacityTokens: 1_000_000, TokensPerSecond: 200_000}})
	return c
}

// longSubjectRequest returns a subjectRequest with enough shared tokens to be saved.
func longSubjectRequest() Request {
	r := subjectRequest(100, 1)
	r.PieceEnds, r.PromptTokens = []int{500, 5000, 9000}, 9000
	return r
}

// finishAt completes a request that the named endpoint serves.
func finishAt(c *Core, now time.Time, r Request, endpoint string) {
	for _, s := range c.endpoints {
		if s.Name != endpoint {
			r.Exclude = append(r.Exclude, s.Name)
		}
	}
	p := submit(c, now, r)
	c.Finish(now, p, successResult(p, "i1", 0))
}

// An endpoint evicts prefixes without telling. A request that is sent to a holder names
// another holder too, so that the prefix is copied and not computed again.
func TestImportNamesAnotherHolderOfCachedPrefix(t *testing.T) {
	c := importingCore(3)
	finishAt(c, epoch, subjectRequest(100, 1), "e0")
	finishAt(c, epoch.Add(time.Second), subjectRequest(100, 2), "e1")
	r := subjectRequest(100, 3)
	r.Exclude = []string{"e2"}
	p := submit(c, epoch.Add(2*time.Second), r)
	holders := map[string]string{"e0": "e1", "e1": "e0"}
	assert.Assert(t, holders[p.Decision.Endpoint] != "", p.Decision.Endpoint)
	other, _ := c.State(holders[p.Decision.Endpoint])
	assert.Equal(t, p.Decision.ImportFrom, other.Address)
}

// After a restart of all VMs nobody knows where a prefix is cached, while the endpoints still
// hold it at its homes; and in a large fleet news of other VMs is late. A request that the load
// keeps away from the home asks it for a copy.
func TestHomeIsAskedForPrefixThatNobodyIsKnownToHold(t *testing.T) {
	c := importingCore(3)
	r := subjectRequest(100, 1)
	home, _ := c.State(homeOf(c, r))
	home.downUntil = epoch.Add(time.Second)
	assert.Equal(t, submit(c, epoch, r).Decision.ImportFrom == home.Address, false, "a failing endpoint is no source")
	c = importingCore(3)
	home, _ = c.State(homeOf(c, r))
	r.Exclude = []string{home.Name}
	p := submit(c, epoch, r)
	assert.Assert(t, p.Decision.Endpoint != home.Name)
	assert.Equal(t, p.Decision.ImportFrom, home.Address)
	late := importingCore(3)
	assert.Equal(t, submit(late, epoch.Add(time.Minute), r).Decision.ImportFrom, home.Address, "news of other VMs may still be on its way")
}

// What is cached under other weights is never named as a source.
func TestImportNeedsSameWeights(t *testing.T) {
	c := importingCore(2)
	fleet := engines(2, 8)
	fleet[0].Weights, fleet[1].Weights = "m/1", "m/2"
	c.SetEndpoints(epoch, fleet)
	finishAt(c, epoch, subjectRequest(100, 1), "e0")
	r := subjectRequest(100, 2)
	r.Exclude = []string{"e0"}
	p := submit(c, epoch.Add(time.Second), r)
	assert.Equal(t, p.Decision.Endpoint, "e1")
	assert.Equal(t, p.Decision.ImportFrom, "")
}

// A prefix that only one endpoint held is evicted there. It was saved to the store when it was
// computed, and the store is named as its source.
func TestStoreIsNamedForPrefixWithoutAnotherHolder(t *testing.T) {
	c, r := importingCoreWithStore(1), longSubjectRequest()
	p := submit(c, epoch, r)
	assert.Equal(t, p.Decision.SaveTo, "10.9.0.1:1", "the first computation is saved")
	c.Finish(epoch.Add(time.Second), p, Result{CacheUnknown: true, PromptTokens: 9000})
	again := submit(c, epoch.Add(2*time.Second), r)
	assert.Equal(t, again.Decision.ImportFrom, "10.9.0.1:1")
	assert.Equal(t, again.Decision.SaveTo, "")
}

// A home that is asked on a guess may hold nothing, so a first computation is saved although a
// source is named.
func TestFirstComputationIsSavedAlthoughHomeIsAsked(t *testing.T) {
	c, r := importingCoreWithStore(3), longSubjectRequest()
	p := submit(c, epoch, r)
	assert.Assert(t, p.Decision.ImportFrom != "")
	assert.Equal(t, p.Decision.SaveTo, "10.9.0.1:1")
}
