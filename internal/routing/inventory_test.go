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

// peerEngines returns endpoints of one service with known runs and the same weights.
func peerEngines(names ...string) []Endpoint {
	var all []Endpoint
	for _, n := range names {
		all = append(all, Endpoint{Name: n, Address: n + ":1", KnownIncarnation: n, Service: "llm", Weights: "m/1", MaxConcurrent: 64})
	}
	return all
}

// shared is a request whose prompt begins with a long shared piece.
func shared(piece, own string) Request {
	r := Request{ID: own, Service: "llm", PromptTokens: 17_000, MaxTokens: 30, PieceEnds: []int{13_000, 17_000}}
	r.Chain = prefix.ChainOf(prefix.Namespace{Model: "m"}.Seed(), []string{piece, own})
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

func place(c *Core, now time.Time, r Request) *Pending {
	return c.Submit(now, r, func() {})
}

// Pattern: every VM has just started, so no endpoint has answered yet. What the first
// request places must reach the peers all the same.
func TestPlacementsAreToldBeforeTheFirstAnswer(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := peerCore(now), peerCore(now)
	first := place(a, now, shared("p", "1"))
	d, err := digest.Decode(a.NextDigest("a", 1024).Encode())
	assert.NilError(t, err)
	b.ApplyDigest(now, d)
	second := place(b, now.Add(time.Second), shared("p", "2"))
	held := second.Decision.CachedTokens >= 13_000 || second.Decision.ImportFrom == first.Decision.Address || second.Decision.ImportFrom == "store:1"
	assert.Assert(t, held, "decision %+v", second.Decision)
}

// Pattern: the home of a shared prefix is full, so its requests go elsewhere.
func TestBusyHomeIsCopiedFrom(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	first := place(c, now, shared("p", "1"))
	c.Finish(now, first, Result{Incarnation: first.Decision.Endpoint, CacheUnknown: true, FirstToken: 300 * time.Millisecond})
	c.byName[first.Decision.Endpoint].PendingTokens = 100_000
	second := place(c, now.Add(time.Second), shared("p", "2"))
	assert.Assert(t, second.Decision.Endpoint != first.Decision.Endpoint)
	assert.Assert(t, second.Decision.ImportFrom != "")
	assert.Equal(t, second.Decision.SaveTo, "", "it is computed nowhere, so there is nothing to save")
}

// Cache made by other weights is of no use, neither in place nor copied.
func TestNothingIsCopiedBetweenDifferentWeights(t *testing.T) {
	began := time.Unix(100, 0)
	c, now := peerCore(began), began.Add(2*blindFor)
	place(c, began, shared("p", "0"))
	c.index.Forget(0)
	c.index.Forget(1)
	c.index.Forget(2)
	first := place(c, now, shared("p", "1"))
	assert.Equal(t, first.Decision.SaveTo, "store:1")
	c.Finish(now, first, Result{Incarnation: first.Decision.Endpoint, CacheUnknown: true})
	changed := peerEngines("e1", "e2", "e3")
	for i := range changed {
		changed[i].Weights = "m/2"
	}
	c.SetEndpoints(now, changed)
	second := place(c, now.Add(time.Second), shared("p", "2"))
	assert.Equal(t, second.Decision.ImportFrom, "")
	assert.Equal(t, second.Decision.CachedTokens, 0)
	assert.Equal(t, second.Decision.SaveTo, "store:1")
}

// Pattern: an endpoint that loads weights refuses everything at once and would look
// the fastest.
func TestRefusingEndpointIsLeftAlone(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	first := place(c, now, shared("p", "1"))
	c.Finish(now, first, Result{Incarnation: first.Decision.Endpoint, CacheUnknown: true, Err: overloaded(0)})
	second := place(c, now.Add(refusedPause/2), shared("p", "1"))
	assert.Assert(t, second.Decision.Endpoint != first.Decision.Endpoint)
}

// Pattern: more shared prefixes than the caches hold. What was read long ago must not be
// believed in: it would be neither saved nor looked for elsewhere.
func TestCacheIsBelievedForAsLongAsItsIntakeAllows(t *testing.T) {
	now := time.Unix(100, 0)
	var i intake
	for range 100 { // 10 requests a second of 3,000 tokens
		now = now.Add(100 * time.Millisecond)
		i.add(3000, now)
	}
	got := i.lifetime(120_000, 2, now)
	want := 1500 * time.Millisecond // 0.75 x 120,000 tokens at 2 x 30,000 a second
	assert.Assert(t, got > want*9/10 && got < want*11/10, "lifetime %v", got)
	assert.Equal(t, i.lifetime(120_000, 2, now.Add(time.Hour)), longestLifetime)
}

func TestOnlyWhatIsAskedForTwiceIsSaved(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	assert.Equal(t, place(c, now, shared("p", "1")).Decision.SaveTo, "")
}

// Pattern: prompts come faster than the engines read them. What can't begin before its
// client has left is refused at once, with the time at which there is room.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	for _, name := range []string{"e1", "e2", "e3"} {
		s := c.byName[name]
		s.PrefillPerToken, s.PendingTokens = 25*time.Microsecond, 300_000 // 7.5 s of work
	}
	r := shared("p", "1")
	r.TimeLeft = 5 * time.Second
	p := place(c, now, r)
	assert.Assert(t, p.Refusal != nil)
	assert.Equal(t, p.Refusal.RetryAfter, 5*time.Second)
	r.TimeLeft = 10 * time.Second
	assert.Assert(t, place(c, now, r).Refusal == nil)
}

// Pattern: every prompt is fetched from or saved to one store, whose link is slow.
func TestCrowdedStoreIsLeftAlone(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	c.stores[0].TokensPerSecond = 100_000
	asked := 0
	for i := range 200 { // 20 prompts of 17,000 tokens a second
		now = now.Add(50 * time.Millisecond)
		p := place(c, now, shared("p"+strconv.Itoa(i), "own"))
		if p.Decision.ImportFrom != "" || p.Decision.SaveTo != "" {
			asked++
		}
		c.Finish(now, p, Result{Incarnation: p.Decision.Endpoint, CacheUnknown: true})
	}
	tokens := float64(asked) * 17_000 / 10 // a second
	assert.Assert(t, asked > 0 && tokens < storeShare*100_000*2, "%v tokens a second", tokens)
}

// Pattern: an address was taken over by another service and the list still names it. Each
// further request there doubles the time until the next.
func TestReusedAddressIsLeftAloneLongerAndLonger(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	s := c.byName["e1"]
	var last time.Duration
	for range 4 {
		c.learnFailure(now, s, Result{Err: errkind.New(errkind.NoEndpoint, "another server has the address")})
		wait := s.downUntil.Sub(now)
		assert.Assert(t, wait > last)
		last, now = wait, s.downUntil
	}
}
