package standin

import (
	"container/list"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"eelgrasshollow/internal/prefix"
)

// blockCache is an engine's prefix cache: least recently used blocks go first. The
// chain hash is seeded by the namespace, so namespaces can't match each other.
type blockCache struct {
	capacity int
	order    *list.List // of block, newest first
	blocks   map[prefix.Hash]*list.Element
}

type block struct {
	hash prefix.Hash
	salt string
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, order: list.New(), blocks: map[prefix.Hash]*list.Element{}}
}

// match returns how many leading blocks of chain are held, and touches them, the
// root last: a chain loses its deepest blocks first.
func (c *blockCache) match(chain []prefix.Hash) int {
	n := 0
	for n < len(chain) && c.blocks[chain[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[chain[i]])
	}
	return n
}

// add stores a chain's blocks and returns those evicted to make room.
func (c *blockCache) add(salt string, chain []prefix.Hash) (added []prefix.Hash, evicted []block) {
	for _, h := range chain {
		if c.blocks[h] == nil {
			c.blocks[h] = c.order.PushFront(block{h, salt})
			added = append(added, h)
		}
	}
	c.match(chain)
	for len(c.blocks) > c.capacity {
		evicted = append(evicted, c.dropOldest())
	}
	return added, evicted
}

func (c *blockCache) dropOldest() block {
	e := c.order.Back()
	b := c.order.Remove(e).(block)
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
