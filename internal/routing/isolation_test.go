package routing

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

// prompt is the text of the requests in every namespace.
var prompt = bytes.Repeat([]byte("standing ordinance "), 2000)

func promptRequest(account, version string) Request {
	seed := prefix.Namespace{Account: account, Model: "m", Version: version}.Seed()
	return Request{Account: account, Model: "m", Version: version, Seed: seed, Chain: prefix.Chain(seed, prompt), PromptTokens: prefix.Tokens(len(prompt)), MaxTokens: 10}
}

// finishRequest submits a request and finishes it successfully.
func finishRequest(c *Core, now time.Time, r Request, incarnation string) *Pending {
	p := submit(c, now, r)
	c.Finish(now.Add(time.Second), p, successResult(p, incarnation, 0))
	return p
}

func predictedCachedTokens(c *Core, now time.Time, r Request) int {
	p := submit(c, now, r)
	c.Finish(now, p, Result{Err: errkind.New(errkind.Canceled, "prediction only")})
	return p.Decision.CachedTokens
}

func TestEntriesOfSameAccountMatch(t *testing.T) {
	c := newCore(3, 8)
	finishRequest(c, epoch, promptRequest("a", "v1"), "i1")
	assert.Equal(t, predictedCachedTokens(c, epoch.Add(2*time.Second), promptRequest("a", "v1")), 9000)
}

func TestEntriesOfOtherAccountNeverMatch(t *testing.T) {
	c := newCore(3, 8)
	finishRequest(c, epoch, promptRequest("a", "v1"), "i1")
	assert.Equal(t, predictedCachedTokens(c, epoch.Add(2*time.Second), promptRequest("b", "v1")), 0)
}

func TestEntriesOfPreviousWeightsNeverMatch(t *testing.T) {
	c := newCore(3, 8)
	finishRequest(c, epoch, promptRequest("a", "v1"), "i1")
	assert.Equal(t, predictedCachedTokens(c, epoch.Add(2*time.Second), promptRequest("a", "v2")), 0)
}

func TestVersionChangeDuringStream(t *testing.T) {
	c := newCore(1, 8)
	streaming := submit(c, epoch, promptRequest("a", "v1"))
	c.RecordFirstToken(epoch, streaming)
	c.ApplyLoadReport(epoch.Add(time.Second), "e0", engineapi.Load{Incarnation: "i1", Versions: map[string]string{"m": "v2"}})
	old := submit(c, epoch.Add(time.Second), promptRequest("a", "v1"))
	assert.Equal(t, old.Refusal.Kind, errkind.NoEndpoint, "the engine runs other weights")
	c.Finish(epoch.Add(2*time.Second), streaming, successResult(streaming, "i1", 0))
	assert.Equal(t, predictedCachedTokens(c, epoch.Add(2*time.Second), promptRequest("a", "v2")), 0)
}

func TestNoImportOfPreviousWeights(t *testing.T) {
	c := newCore(1, 8)
	c.SetStores([]Store{{Name: "store", Address: "s:1"}})
	c.RecordExport(epoch, "store", promptRequest("a", "v1").Chain)
	same, newer, other := submit(c, epoch, promptRequest("a", "v1")), submit(c, epoch, promptRequest("a", "v2")), submit(c, epoch, promptRequest("b", "v1"))
	assert.Equal(t, same.Decision.ImportFrom, "s:1")
	assert.Equal(t, newer.Decision.ImportFrom, "")
	assert.Equal(t, other.Decision.ImportFrom, "")
}

func TestEntriesOfEndedIncarnationAreDropped(t *testing.T) {
	c := newCore(1, 8)
	r := promptRequest("a", "v1")
	finishRequest(c, epoch, r, "i1")
	finishRequest(c, epoch, promptRequest("b", "v1"), "i2") // the engine responds with another incarnation
	assert.Equal(t, predictedCachedTokens(c, epoch.Add(2*time.Second), r), 0)
}

func TestLateEventOfEndedIncarnation(t *testing.T) {
	c := newCore(1, 8)
	r := promptRequest("a", "v1")
	finishRequest(c, epoch, promptRequest("b", "v1"), "i1")
	finishRequest(c, epoch, promptRequest("b", "v1"), "i2")
	c.ApplyCacheEvent(epoch.Add(2*time.Second), "e0", CacheEvent{Incarnation: "i1", Seq: 9, Kind: engineapi.EventStored, Hashes: r.Chain})
	assert.Equal(t, predictedCachedTokens(c, epoch.Add(2*time.Second), r), 0)
	state, _ := c.State("e0")
	assert.Equal(t, state.Incarnation, "i2", "an ended incarnation never becomes current again")
}

func TestLateResponseAndReportOfEndedIncarnation(t *testing.T) {
	c := newCore(1, 8)
	slow := submit(c, epoch, promptRequest("a", "v1"))
	finishRequest(c, epoch, promptRequest("b", "v1"), "i1")
	finishRequest(c, epoch, promptRequest("b", "v1"), "i2")
	c.Finish(epoch.Add(3*time.Second), slow, successResult(slow, "i1", 0))
	c.ApplyLoadReport(epoch.Add(3*time.Second), "e0", engineapi.Load{Incarnation: "i1"})
	assert.Equal(t, predictedCachedTokens(c, epoch.Add(3*time.Second), promptRequest("a", "v1")), 0)
}

func TestDigestOfEndedIncarnation(t *testing.T) {
	receiver, sender := newCore(1, 8), newCore(1, 8)
	r := promptRequest("a", "v1")
	finishRequest(receiver, epoch, promptRequest("b", "v1"), "i1")
	finishRequest(sender, epoch, promptRequest("b", "v1"), "i1")
	finishRequest(sender, epoch, r, "i1")
	late := sender.NextDigest("peer", 4096)
	finishRequest(receiver, epoch, promptRequest("b", "v1"), "i2")
	receiver.ApplyDigest(epoch.Add(2*time.Second), late)
	assert.Equal(t, predictedCachedTokens(receiver, epoch.Add(2*time.Second), r), 0)
}

func TestDigestOfCurrentIncarnationIsApplied(t *testing.T) {
	receiver, sender := newCore(9, 8), newCore(9, 8)
	r := promptRequest("a", "v1")
	finishRequest(sender, epoch, promptRequest("b", "v1"), "i1")
	finishRequest(sender, epoch, r, "i1")
	first := finishRequest(sender, epoch.Add(time.Second), r, "i1")
	d, err := digest.Decode(sender.NextDigest("peer", 4096).Encode())
	assert.NilError(t, err)
	receiver.ApplyDigest(epoch.Add(2*time.Second), d)
	p := submit(receiver, epoch.Add(2*time.Second), r)
	assert.Equal(t, p.Decision.Endpoint, first.Decision.Endpoint)
	assert.Equal(t, p.Decision.CachedTokens, 9000)
}

func TestOutOfOrderEventsAndRemovalBeforeLastUse(t *testing.T) {
	c := newCore(1, 8)
	r := promptRequest("a", "v1")
	finishRequest(c, epoch, r, "i1")
	now := epoch.Add(10 * time.Second)
	c.ApplyCacheEvent(now, "e0", CacheEvent{Incarnation: "i1", Seq: 5, Kind: engineapi.EventRemoved, Hashes: r.Chain[4:]})
	assert.Equal(t, predictedCachedTokens(c, now, r), 4000)
	finishRequest(c, now, r, "i1")
	c.ApplyCacheEvent(now.Add(time.Second), "e0", CacheEvent{Incarnation: "i1", Seq: 4, Kind: engineapi.EventRemoved, Hashes: r.Chain})
	c.ApplyCacheEvent(now.Add(time.Second), "e0", CacheEvent{Incarnation: "i1", Seq: 6, Kind: engineapi.EventRemoved, Hashes: r.Chain})
	assert.Equal(t, predictedCachedTokens(c, now.Add(time.Second), r), 9000, "a removal before the last use has no effect")
}

func TestLateResponseOfRemovedEndpoint(t *testing.T) {
	c := newCore(1, 8)
	r := promptRequest("a", "v1")
	slow := submit(c, epoch, r)
	next := engines(1, 8)
	next[0].Name, next[0].Address = "other", "10.0.0.9:1"
	c.SetEndpoints(epoch, next)
	c.Finish(epoch.Add(time.Second), slow, successResult(slow, "i1", 0))
	sender := newCore(1, 8)
	finishRequest(sender, epoch, r, "i1")
	finishRequest(sender, epoch, r, "i1")
	c.ApplyDigest(epoch.Add(time.Second), sender.NextDigest("peer", 4096))
	assert.Equal(t, predictedCachedTokens(c, epoch.Add(time.Second), r), 0, "neither its response nor a peer's digest applies to the new endpoint")
}

// Guards against routing, and its peers, that expect a prefix where a request was sent in a namespace that nobody
// shares: later requests would go there and wait for it to be computed again, or import it from a store without it.
func TestPromptThatNobodySharesIsExpectedNowhere(t *testing.T) {
	now := time.Unix(100, 0)
	c, peer := peerCore(now), peerCore(now)
	exchange := func(at time.Time) {
		c.QueueDueEvictions(at)
		d, err := digest.Decode(c.NextDigest("c", 1024).Encode())
		assert.NilError(t, err)
		peer.ApplyDigest(at, d)
	}
	request := func(own string) Request {
		r := sharedPrefixRequest("p", own)
		r.SharedPieces = 1
		return r
	}
	first := submitRequest(c, now, request("1"))
	assert.Equal(t, first.Decision.SaveTo, "store:1")
	expected := func(c *Core) (held []string) {
		chain := first.Request.Chain
		for _, s := range c.endpoints {
			if c.index.Find(chain, now, nil)[s.index].RecordedPieces > 0 {
				held = append(held, s.Name)
			}
		}
		for _, s := range c.stores {
			if c.index.Find(chainForWeights(chain, first.Decision.Weights), now, nil)[s.index].RecordedPieces > 0 {
				held = append(held, s.Name)
			}
		}
		return held
	}
	exchange(now)
	assert.Equal(t, len(expected(peer)), 2, "the peers hear of the placement before the attempt ends")
	c.Finish(now.Add(100*time.Millisecond), first, Result{Incarnation: first.Decision.Endpoint, CacheUnknown: true, NothingShared: true})
	late := now.Add(2 * startupImportWindow)
	exchange(late)
	assert.Equal(t, len(expected(c)), 0, "this VM expects it at %v", expected(c))
	assert.Equal(t, len(expected(peer)), 0, "a peer expects it at %v", expected(peer))
	second := submitRequest(c, late, request("2"))
	assert.Equal(t, second.Decision.SaveTo, "store:1", "the prefix is not in the store yet")
}

// Guards against a request in a namespace of its own that makes routing forget what others cached before or after it.
func TestPromptThatNobodySharesLeavesWhatOthersCached(t *testing.T) {
	now := time.Unix(100, 0)
	c := peerCore(now)
	request := func(own string) Request {
		r := sharedPrefixRequest("p", own)
		r.Exclude = []string{"e2", "e3"}
		return r
	}
	before := submitRequest(c, now, request("1"))
	c.Finish(now, before, Result{Incarnation: "e1", CacheUnknown: true})
	own := submitRequest(c, now.Add(time.Second), request("2"))
	submitRequest(c, now.Add(2*time.Second), request("3"))
	c.Finish(now.Add(3*time.Second), own, Result{Incarnation: "e1", CacheUnknown: true, NothingShared: true})
	for i, tokens := range []int{17_000, 13_000, 17_000} {
		p := submitRequest(c, now.Add(4*time.Second), request(strconv.Itoa(i+1)))
		assert.Equal(t, p.Decision.Endpoint, "e1")
		assert.Equal(t, p.Decision.CachedTokens, tokens, "request %d", i+1)
	}
}
