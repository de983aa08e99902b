package routing

import (
	"bytes"
	"testing"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

// prompt is the same text for every namespace.
var prompt = bytes.Repeat([]byte("standing ordinance "), 2000)

func ask(account, version string) Request {
	seed := prefix.Namespace{Account: account, Model: "m", Version: version}.Seed()
	return Request{Account: account, Model: "m", Version: version, Seed: seed, Chain: prefix.Chain(seed, prompt), PromptTokens: prefix.Tokens(len(prompt)), MaxTokens: 10}
}

// warm runs a request to its end.
func warm(c *Core, now time.Time, r Request, incarnation string) *Pending {
	p := submit(c, now, r)
	c.Finish(now.Add(time.Second), p, answer(p, incarnation, 0))
	return p
}

func predicted(c *Core, now time.Time, r Request) int {
	p := submit(c, now, r)
	c.Finish(now, p, Result{Err: errkind.New(errkind.Canceled, "only asked")})
	return p.Decision.CachedTokens
}

func TestOwnEntriesAreUsed(t *testing.T) {
	c := newCore(3, 8)
	warm(c, epoch, ask("a", "v1"), "i1")
	assert.Equal(t, predicted(c, epoch.Add(2*time.Second), ask("a", "v1")), 9000)
}

func TestAnotherAccountsEntriesNeverMatch(t *testing.T) {
	c := newCore(3, 8)
	warm(c, epoch, ask("a", "v1"), "i1")
	assert.Equal(t, predicted(c, epoch.Add(2*time.Second), ask("b", "v1")), 0)
}

func TestOlderWeightsEntriesNeverMatch(t *testing.T) {
	c := newCore(3, 8)
	warm(c, epoch, ask("a", "v1"), "i1")
	assert.Equal(t, predicted(c, epoch.Add(2*time.Second), ask("a", "v2")), 0)
}

func TestVersionChangeInMidStream(t *testing.T) {
	c := newCore(1, 8)
	streaming := submit(c, epoch, ask("a", "v1"))
	c.RecordFirstToken(streaming)
	c.ApplyLoadReport(epoch.Add(time.Second), "e0", engineapi.Load{Incarnation: "i1", Versions: map[string]string{"m": "v2"}})
	old := submit(c, epoch.Add(time.Second), ask("a", "v1"))
	assert.Equal(t, old.Refusal.Kind, errkind.NoEndpoint, "the engine runs other weights")
	c.Finish(epoch.Add(2*time.Second), streaming, answer(streaming, "i1", 0))
	assert.Equal(t, predicted(c, epoch.Add(2*time.Second), ask("a", "v2")), 0)
}

func TestImportOfOldWeights(t *testing.T) {
	c := newCore(1, 8)
	c.SetStores([]Store{{Name: "store", Address: "s:1"}})
	c.RecordExport(epoch, "store", ask("a", "v1").Chain)
	same, newer, other := submit(c, epoch, ask("a", "v1")), submit(c, epoch, ask("a", "v2")), submit(c, epoch, ask("b", "v1"))
	assert.Equal(t, same.Decision.ImportFrom, "s:1")
	assert.Equal(t, newer.Decision.ImportFrom, "")
	assert.Equal(t, other.Decision.ImportFrom, "")
}

func TestDeadEnginesEntriesGoWithIt(t *testing.T) {
	c := newCore(1, 8)
	r := ask("a", "v1")
	warm(c, epoch, r, "i1")
	warm(c, epoch, ask("b", "v1"), "i2") // the engine answers as another run
	assert.Equal(t, predicted(c, epoch.Add(2*time.Second), r), 0)
}

func TestLateEventOfAnEndedIncarnation(t *testing.T) {
	c := newCore(1, 8)
	r := ask("a", "v1")
	warm(c, epoch, ask("b", "v1"), "i1")
	warm(c, epoch, ask("b", "v1"), "i2")
	c.ApplyCacheEvent(epoch.Add(2*time.Second), "e0", CacheEvent{Incarnation: "i1", Seq: 9, Kind: engineapi.EventStored, Hashes: r.Chain})
	assert.Equal(t, predicted(c, epoch.Add(2*time.Second), r), 0)
	state, _ := c.State("e0")
	assert.Equal(t, state.Incarnation, "i2", "an ended run never comes back")
}

func TestLateAnswerAndReportOfAnEndedIncarnation(t *testing.T) {
	c := newCore(1, 8)
	slow := submit(c, epoch, ask("a", "v1"))
	warm(c, epoch, ask("b", "v1"), "i1")
	warm(c, epoch, ask("b", "v1"), "i2")
	c.Finish(epoch.Add(3*time.Second), slow, answer(slow, "i1", 0))
	c.ApplyLoadReport(epoch.Add(3*time.Second), "e0", engineapi.Load{Incarnation: "i1"})
	assert.Equal(t, predicted(c, epoch.Add(3*time.Second), ask("a", "v1")), 0)
}

func TestDigestOfAnEndedIncarnation(t *testing.T) {
	told, teller := newCore(1, 8), newCore(1, 8)
	r := ask("a", "v1")
	warm(told, epoch, ask("b", "v1"), "i1")
	warm(teller, epoch, ask("b", "v1"), "i1")
	warm(teller, epoch, r, "i1")
	late := teller.NextDigest("peer", 4096)
	warm(told, epoch, ask("b", "v1"), "i2")
	told.ApplyDigest(epoch.Add(2*time.Second), late)
	assert.Equal(t, predicted(told, epoch.Add(2*time.Second), r), 0)
}

func TestDigestTellsOfThePresentIncarnation(t *testing.T) {
	told, teller := newCore(9, 8), newCore(9, 8)
	r := ask("a", "v1")
	warm(teller, epoch, ask("b", "v1"), "i1")
	warm(teller, epoch, r, "i1")
	first := warm(teller, epoch.Add(time.Second), r, "i1")
	d, err := digest.Decode(teller.NextDigest("peer", 4096).Encode())
	assert.NilError(t, err)
	told.ApplyDigest(epoch.Add(2*time.Second), d)
	p := submit(told, epoch.Add(2*time.Second), r)
	assert.Equal(t, p.Decision.Endpoint, first.Decision.Endpoint)
	assert.Equal(t, p.Decision.CachedTokens, 9000)
}

func TestEventsOutOfOrderAndRemovalBeforeUse(t *testing.T) {
	c := newCore(1, 8)
	r := ask("a", "v1")
	warm(c, epoch, r, "i1")
	now := epoch.Add(10 * time.Second)
	c.ApplyCacheEvent(now, "e0", CacheEvent{Incarnation: "i1", Seq: 5, Kind: engineapi.EventRemoved, Hashes: r.Chain[4:]})
	assert.Equal(t, predicted(c, now, r), 4000)
	warm(c, now, r, "i1")
	c.ApplyCacheEvent(now.Add(time.Second), "e0", CacheEvent{Incarnation: "i1", Seq: 4, Kind: engineapi.EventRemoved, Hashes: r.Chain})
	c.ApplyCacheEvent(now.Add(time.Second), "e0", CacheEvent{Incarnation: "i1", Seq: 6, Kind: engineapi.EventRemoved, Hashes: r.Chain})
	assert.Equal(t, predicted(c, now.Add(time.Second), r), 9000, "a removal from before the last use changes nothing")
}

func TestLateAnswerOfARemovedEndpoint(t *testing.T) {
	c := newCore(1, 8)
	r := ask("a", "v1")
	slow := submit(c, epoch, r)
	next := engines(1, 8)
	next[0].Name, next[0].Address = "other", "10.0.0.9:1"
	c.SetEndpoints(epoch, next)
	c.Finish(epoch.Add(time.Second), slow, answer(slow, "i1", 0))
	teller := newCore(1, 8)
	warm(teller, epoch, r, "i1")
	warm(teller, epoch, r, "i1")
	c.ApplyDigest(epoch.Add(time.Second), teller.NextDigest("peer", 4096))
	assert.Equal(t, predicted(c, epoch.Add(time.Second), r), 0, "neither its answer nor a peer's word counts for the newcomer")
}
