package routing

import (
	"strconv"
	"testing"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

// peerEngines returns endpoints of one service with known incarnations and the same
// weights.
func peerEngines(names ...string) []Endpoint {
	var all []Endpoint
	for _, n := range names {
		all = append(all, Endpoint{Name: n, Address: n + ":1", KnownIncarnation: n, Service: "llm", Weights: "m/1", MaxConcurrent: 64})
	}
	return all
}

// sharedPrefixRequest returns a request whose prompt begins with a long shared piece.
func sharedPrefixRequest(piece, own string) Request {
	r := Request{ID: own, Service: "llm", PromptTokens: 17_000, MaxTokens: 30, PieceEnds: []int{13_000, 17_000}}
	r.Chain = prefix.ChainOfParts(prefix.Namespace{Model: "m"}.Seed(), []string{piece, own})
	return r
}

func peerCore(now time.Time) *Core {
	policy := DefaultPolicy(DefaultTuning())
	policy.PeerImports = true
	c := NewCore(policy, DefaultLimits(), now)
	c.SetEndpoints(now, peerEngines("e1", "e2", "e3"))
	c.SetStores([]Store{{Name: "store", Address: "store:1"}})
	return c
}

func submitRequest(c *Core, now time.Time, r Request) *Pending {
	return c.Submit(now, r, func() {})
}

// All VMs have just started, so no endpoint has responded yet. The placements of the first
// request must still reach the peers.
func TestPlacementsAreSentBeforeFirstResponse(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := peerCore(now), peerCore(now)
	first := submitRequest(a, now, sharedPrefixRequest("p", "1"))
	d, err := digest.Decode(a.NextDigest("a", 1024).Encode())
	assert.NilError(t, err)
	b.ApplyDigest(now, d)
	second := submitRequest(b, now.Add(time.Second), sharedPrefixRequest("p", "2"))
	held := second.Decision.CachedTokens >= 13_000 || second.Decision.ImportFrom == first.Decision.Address || second.Decision.ImportFrom == "store:1"
	assert.Assert(t, held, "decision %+v", second.Decision)
}

// The home of a shared prefix is full, so further requests run elsewhere and import the
// prefix.
func TestPrefixIsImportedFromBusyHome(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	first := submitRequest(c, now, sharedPrefixRequest("p", "1"))
	c.Finish(now, first, Result{Incarnation: first.Decision.Endpoint, CacheUnknown: true, FirstToken: 300 * time.Millisecond})
	c.byName[first.Decision.Endpoint].PendingTokens = 100_000
	second := submitRequest(c, now.Add(time.Second), sharedPrefixRequest("p", "2"))
	assert.Assert(t, second.Decision.Endpoint != first.Decision.Endpoint)
	assert.Assert(t, second.Decision.ImportFrom != "")
	assert.Equal(t, second.Decision.SaveTo, "", "the prefix is imported, so there is nothing to save")
}

// A cache computed with other weights must be neither used in place nor imported.
func TestNoImportBetweenDifferentWeights(t *testing.T) {
	began := time.Unix(100, 0)
	c, now := peerCore(began), began.Add(2*startupImportWindow)
	submitRequest(c, began, sharedPrefixRequest("p", "0"))
	c.index.ClearEndpoint(0)
	c.index.ClearEndpoint(1)
	c.index.ClearEndpoint(2)
	first := submitRequest(c, now, sharedPrefixRequest("p", "1"))
	assert.Equal(t, first.Decision.SaveTo, "store:1")
	c.Finish(now, first, Result{Incarnation: first.Decision.Endpoint, CacheUnknown: true})
	changed := peerEngines("e1", "e2", "e3")
	for i := range changed {
		changed[i].Weights = "m/2"
	}
	c.SetEndpoints(now, changed)
	second := submitRequest(c, now.Add(time.Second), sharedPrefixRequest("p", "2"))
	assert.Equal(t, second.Decision.ImportFrom, "")
	assert.Equal(t, second.Decision.CachedTokens, 0)
	assert.Equal(t, second.Decision.SaveTo, "store:1")
}

// An endpoint that loads weights refuses requests immediately and would appear to be the
// fastest.
func TestRefusingEndpointBacksOff(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	first := submitRequest(c, now, sharedPrefixRequest("p", "1"))
	c.Finish(now, first, Result{Incarnation: first.Decision.Endpoint, CacheUnknown: true, Err: overloaded(0)})
	second := submitRequest(c, now.Add(refusalBackoff/2), sharedPrefixRequest("p", "1"))
	assert.Assert(t, second.Decision.Endpoint != first.Decision.Endpoint)
}

// There are more shared prefixes than the caches hold. Entries must expire at the rate at
// which they are evicted; else a prefix would be neither saved nor imported from
// elsewhere.
func TestCacheLifetimeFollowsInflow(t *testing.T) {
	now := time.Unix(100, 0)
	var inflow tokenRate
	for range 100 { // 10 requests of 3,000 tokens per second
		now = now.Add(100 * time.Millisecond)
		inflow.add(3000, now)
	}
	got := inflow.lifetime(120_000, 2, now)
	want := 1500 * time.Millisecond // 0.75 x 120,000 tokens at 2 x 30,000 tokens per second
	assert.Assert(t, got > want*9/10 && got < want*11/10, "lifetime %v", got)
	assert.Equal(t, inflow.lifetime(120_000, 2, now.Add(time.Hour)), maxLifetime)
}

func TestPrefixRequestedOnceIsNotSaved(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	assert.Equal(t, submitRequest(c, now, sharedPrefixRequest("p", "1")).Decision.SaveTo, "")
}

// Prompts arrive faster than the engines compute them. A request that cannot start before
// its client stops waiting must be refused immediately, with the time after which there is
// room.
func TestRequestThatMissesItsDeadlineIsRefusedImmediately(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	for _, name := range []string{"e1", "e2", "e3"} {
		s := c.byName[name]
		s.PrefillPerToken, s.costSamples, s.PendingTokens = 25*time.Microsecond, 1, 300_000 // 7.5 s of work
	}
	r := sharedPrefixRequest("p", "1")
	r.TimeLeft = 5 * time.Second
	p := submitRequest(c, now, r)
	assert.Assert(t, p.Refusal != nil)
	assert.Equal(t, p.Refusal.RetryAfter, 5*time.Second)
	r.TimeLeft = 10 * time.Second
	assert.Assert(t, submitRequest(c, now, r).Refusal == nil)
}

// Every prompt is imported from or saved to one store with a slow link.
func TestTransfersStayWithinStoreLinkShare(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	c.stores[0].TokensPerSecond = 100_000
	transfers := 0
	for i := range 200 { // 20 prompts of 17,000 tokens per second
		now = now.Add(50 * time.Millisecond)
		p := submitRequest(c, now, sharedPrefixRequest("p"+strconv.Itoa(i), "own"))
		if p.Decision.ImportFrom != "" || p.Decision.SaveTo != "" {
			transfers++
		}
		c.Finish(now, p, Result{Incarnation: p.Decision.Endpoint, CacheUnknown: true})
	}
	tokens := float64(transfers) * 17_000 / 10 // per second
	assert.Assert(t, transfers > 0 && tokens < maxStoreLinkShare*100_000*2, "%v tokens a second", tokens)
}

// An address was reused by another service while the endpoint list still contains it. Each
// further failure there must double the backoff.
func TestBackoffGrowsForReusedAddress(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	s := c.byName["e1"]
	var last time.Duration
	for range 4 {
		c.recordFailure(now, s, Result{Err: errkind.New(errkind.NoEndpoint, "another server has the address")})
		wait := s.downUntil.Sub(now)
		assert.Assert(t, wait > last)
		last, now = wait, s.downUntil
	}
}

// After a restart of all VMs the clients return together, and a VM knows no cost of a token
// yet. Its initial value must not make requests look hopeless.
func TestNoRequestIsRefusedForUnknownTokenCost(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	for i := range 60 {
		r := sharedPrefixRequest("p"+strconv.Itoa(i), "own")
		r.TimeLeft = 3 * time.Second
		assert.Assert(t, submitRequest(c, now, r).Refusal == nil, "request %d", i)
	}
}
