package standin

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrasshollow/internal/prefix"
)

// blockCache is an engine's prefix cache: least recently used blocks go first, and all
// go that were not used for keep. The chain hash is seeded by the namespace, so
// namespaces can't match each other.
type blockCache struct {
	capacity int
	keep     time.Duration // 0: as long as there is room
	order    *list.List    // of block, newest first
	blocks   map[prefix.Hash]*list.Element
}

type block struct {
	hash prefix.Hash
	salt string
	used time.Time
}

func newBlockCache(capacity int, keep time.Duration) *blockCache {
	return &blockCache{capacity: capacity, keep: keep, order: list.New(), blocks: map[prefix.Hash]*list.Element{}}
}

// match returns how many leading blocks of chain are held, and touches them, the
// root last: a chain loses its deepest blocks first.
func (c *blockCache) match(chain []prefix.Hash, now time.Time) int {
	n := 0
	for n < len(chain) && c.blocks[chain[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		e := c.blocks[chain[i]]
		e.Value.(*block).used = now
		c.order.MoveToFront(e)
	}
	return n
}

// add stores a chain's blocks and returns those evicted to make room.
func (c *blockCache) add(salt string, chain []prefix.Hash, now time.Time) (added []prefix.Hash, evicted []*block) {
	for _, h := range chain {
		if c.blocks[h] == nil {
			c.blocks[h] = c.order.PushFront(&block{h, salt, now})
			added = append(added, h)
		}
	}
	c.match(chain, now)
	for len(c.blocks) > c.capacity {
		evicted = append(evicted, c.dropOldest())
	}
	return added, evicted
}

// expire drops the blocks that were not used for long.
func (c *blockCache) expire(now time.Time) (evicted []*block) {
	for c.keep > 0 && c.order.Len() > 0 && now.Sub(c.order.Back().Value.(*block).used) > c.keep {
		evicted = append(evicted, c.dropOldest())
	}
	return evicted
}

func (c *blockCache) dropOldest() *block {
	b := c.order.Remove(c.order.Back()).(*block)
	delete(c.blocks, b.hash)
	return b
}

// seedOf returns the seed that a cache salt stands for.
func seedOf(salt string) prefix.Seed {
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
func chainOf(salt string, prompt []byte) []prefix.Hash { return prefix.Chain(seedOf(salt), prompt) }
