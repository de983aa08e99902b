package routing

import (
	"testing"
	"time"

	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

var keptStore = []Store{{Name: "store", Address: "s:1"}}

func TestHotSharedLevelsAreKeptOnce(t *testing.T) {
	c, peer := newCore(3, 8), newCore(4, 8)
	c.SetStores(keptStore)
	peer.SetStores(keptStore)
	now := epoch
	var asked []*Export
	for i := range 20 {
		now = now.Add(200 * time.Millisecond)
		p := warm(c, now, request("a", 1, 2, prefix.Hash(100+i)), "i1")
		if e := c.ExportFor(now, p); e != nil {
			asked = append(asked, e)
			c.RecordExport(now, e.Store.Name, e.Chain)
		}
	}
	assert.Equal(t, len(asked), 1)
	assert.DeepEqual(t, asked[0].Chain, []prefix.Hash{1, 2})
	peer.ApplyDigest(now, c.NextDigest("c", 1024))
	away := request("a", 1, 2, 500)
	away.Exclude = []string{"e0", "e1", "e2"} // they may hold it themselves
	p := submit(peer, now, away)
	assert.Equal(t, p.Decision.ImportFrom, "s:1", "the peer learns of the store's copy")
}

func TestColdLevelsAndLostExportsAreNotBelieved(t *testing.T) {
	c := newCore(3, 8)
	c.SetStores(keptStore)
	for i := range 3 {
		now := epoch.Add(time.Duration(i) * time.Minute)
		p := warm(c, now, request("a", 1, 2, prefix.Hash(100+i)), "i1")
		assert.Assert(t, c.ExportFor(now, p) == nil)
	}
	c.RecordExport(epoch, "store", []prefix.Hash{7, 8})
	c.RevertExport(epoch, "store", []prefix.Hash{7, 8})
	assert.Equal(t, submit(c, epoch, request("a", 7, 8)).Decision.ImportFrom, "")
}
