package routing

import (
	"testing"
	"time"

	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

var keptStore = []Store{{Name: "store", Address: "s:1"}}

func TestFrequentSharedPrefixIsExportedOnce(t *testing.T) {
	c, peer := newCore(3, 8), newCore(4, 8)
	c.SetStores(keptStore)
	peer.SetStores(keptStore)
	now := epoch
	var exports []*Export
	for i := range 20 {
		now = now.Add(200 * time.Millisecond)
		p := finishRequest(c, now, request("a", 1, 2, prefix.Hash(100+i)), "i1")
		if e := c.ExportFor(now, p); e != nil {
			exports = append(exports, e)
			c.RecordExport(now, e.Store.Name, e.Chain)
		}
	}
	assert.Equal(t, len(exports), 1)
	assert.DeepEqual(t, exports[0].Chain, []prefix.Hash{1, 2})
	peer.ApplyDigest(now, c.NextDigest("c", 1024))
	elsewhere := request("a", 1, 2, 500)
	elsewhere.Exclude = []string{"e0", "e1", "e2"} // these may hold the prefix themselves
	p := submit(peer, now, elsewhere)
	assert.Equal(t, p.Decision.ImportFrom, "s:1", "the peer receives the placement at the store")
}

func TestRarePrefixesAndFailedExportsAreNotRecorded(t *testing.T) {
	c := newCore(3, 8)
	c.SetStores(keptStore)
	for i := range 3 {
		now := epoch.Add(time.Duration(i) * time.Minute)
		p := finishRequest(c, now, request("a", 1, 2, prefix.Hash(100+i)), "i1")
		assert.Assert(t, c.ExportFor(now, p) == nil)
	}
	c.RecordExport(epoch, "store", []prefix.Hash{7, 8})
	c.RevertExport(epoch, "store", []prefix.Hash{7, 8})
	assert.Equal(t, submit(c, epoch, request("a", 7, 8)).Decision.ImportFrom, "")
}

// Guards against peers that import from a store to which an export has failed: they hear of the export when it begins.
func TestPeersForgetFailedExport(t *testing.T) {
	c, peer := newCore(3, 8), newCore(3, 8)
	c.SetStores(keptStore)
	peer.SetStores(keptStore)
	c.RecordExport(epoch, "store", []prefix.Hash{7, 8})
	exchange := func(now time.Time) {
		c.QueueDueEvictions(now)
		peer.ApplyDigest(now, c.NextDigest("c", 1024))
	}
	held := func(c *Core) int {
		return c.index.Find([]prefix.Hash{7, 8}, epoch, nil)[c.store("store").index].RecordedPieces
	}
	exchange(epoch)
	assert.Equal(t, held(peer), 2)
	c.RevertExport(epoch.Add(100*time.Millisecond), "store", []prefix.Hash{7, 8})
	late := epoch.Add(5 * time.Second)
	exchange(late)
	assert.Equal(t, held(c), 0)
	assert.Equal(t, held(peer), 0, "the peer expects the prefix at the store")

	c.RecordExport(late, "store", []prefix.Hash{7, 8})
	c.RevertExport(late.Add(100*time.Millisecond), "store", []prefix.Hash{7, 8})
	c.RecordExport(late.Add(time.Second), "store", []prefix.Hash{7, 8})
	later := late.Add(5 * time.Second)
	exchange(later)
	assert.Equal(t, held(peer), 2, "a later export is not forgotten")
}
