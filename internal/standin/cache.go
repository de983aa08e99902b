package standin

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrasshollow/internal/prefix"
)

// blockCache is an engine's prefix cache. It evicts the least recently used blocks beyond its
// capacity, and blocks unused for longer than ttl. Blocks of one namespace never match prompts
// of another: besides that the hashes of a chain are seeded by the namespace, which 64 bits
// can't guarantee, a block is only found under its salt.
type blockCache struct {
	capacity int           // blocks
	ttl      time.Duration // 0: blocks do not expire
	recency  *list.List    // of *block, most recently used first
	blocks   map[blockID]*list.Element
}

// blockID identifies a block of a namespace.
type blockID struct {
	salt string
	hash prefix.Hash
}

type block struct {
	blockID
	lastUsed time.Time
}

func newBlockCache(capacity int, ttl time.Duration) *blockCache {
	return &blockCache{capacity: capacity, ttl: ttl, recency: list.New(), blocks: map[blockID]*list.Element{}}
}

// match returns the number of leading blocks of chain that are cached in a namespace, and marks
// them as used. It marks the first block last, so that a chain loses its last blocks first.
func (c *blockCache) match(salt string, chain []prefix.Hash, now time.Time) int {
	n := 0
	for n < len(chain) && c.blocks[blockID{salt, chain[n]}] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		e := c.blocks[blockID{salt, chain[i]}]
		e.Value.(*block).lastUsed = now
		c.recency.MoveToFront(e)
	}
	return n
}

// add stores the blocks of a chain and returns the hashes that were not cached before and the
// blocks evicted beyond the capacity.
func (c *blockCache) add(salt string, chain []prefix.Hash, now time.Time) (added []prefix.Hash, evicted []*block) {
	for _, h := range chain {
		if id := (blockID{salt, h}); c.blocks[id] == nil {
			c.blocks[id] = c.recency.PushFront(&block{id, now})
			added = append(added, h)
		}
	}
	c.match(salt, chain, now)
	for len(c.blocks) > c.capacity {
		evicted = append(evicted, c.dropOldest())
	}
	return added, evicted
}

// expire evicts the blocks that were unused for longer than ttl and returns them.
func (c *blockCache) expire(now time.Time) (evicted []*block) {
	for c.ttl > 0 && c.recency.Len() > 0 && now.Sub(c.recency.Back().Value.(*block).lastUsed) > c.ttl {
		evicted = append(evicted, c.dropOldest())
	}
	return evicted
}

func (c *blockCache) dropOldest() *block {
	b := c.recency.Remove(c.recency.Back()).(*block)
	delete(c.blocks, b.blockID)
	return b
}

// seedFromSalt returns the seed that a cache salt encodes, or a hash of the salt if it is not
// the text of a seed.
func seedFromSalt(salt string) prefix.Seed {
	if n, err := strconv.ParseUint(salt, 16, 64); err == nil && len(salt) == 16 {
		return prefix.Seed(n)
	}
	return prefix.Seed(xxhash.Sum64String(salt))
}

func hexHash(h prefix.Hash) string { return prefix.Seed(h).Salt() }

func hexHashes(hashes []prefix.Hash) []string {
	texts := make([]string, len(hashes))
	for i, h := range hashes {
		texts[i] = hexHash(h)
	}
	return texts
}

// chainOf returns the chain of a prompt in the namespace of a salt.
func chainOf(salt string, prompt []byte) []prefix.Hash {
	return prefix.Chain(seedFromSalt(salt), prompt)
}
