package routing

import (
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
)

// keptRun stands for a store's run: stores name blocks by namespace and lose nothing
// silently, so they have no incarnations.
const keptRun = "kept"

// storeLifetime is how long a store is believed to keep what was exported to it.
const storeLifetime = 5 * time.Minute

// Store is a kept-cache store.
type Store struct {
	Name    string
	Address string
	// CapacityTokens is what the store holds; 0 when it is not known.
	CapacityTokens int
	// TokensPerSecond is how many tokens' cache its link carries; 0 when it is not known.
	TokensPerSecond float64
}

// Kept is what a store holds of a chain.
type ImportSource struct {
	Address string
	Depth   int // leading pieces
	Store   bool
}

type storeState struct {
	Store
	index cacheindex.Endpoint
	at    digest.At
	saved intake
	moved intake // over its link, saved or fetched
}

// Export asks for a prefix to be copied from an endpoint to a store.
type Export struct {
	Endpoint string // name
	Address  string
	Store    Store
	Seed     prefix.Seed
	Chain    []prefix.Hash
}

// SetStores replaces the kept-cache stores.
func (c *Core) SetStores(stores []Store) {
	var kept []*storeState
	for _, s := range stores {
		if old := c.store(s.Name); old != nil && old.Address == s.Address {
			kept = append(kept, old)
			continue
		}
		at := digest.Of(digest.Identify(s.Name), digest.RunOf(keptRun))
		n := c.number()
		c.index.Believe(n, storeLifetime)
		kept = append(kept, &storeState{Store: s, index: n, at: at})
	}
	for _, old := range c.stores {
		if now := c.storeAmong(kept, old.Name); now != old {
			c.index.Forget(old.index)
			c.unused = append(c.unused, old.index)
		}
	}
	c.stores = kept
}

func (c *Core) store(name string) *storeState { return c.storeAmong(c.stores, name) }

func (c *Core) storeAmong(stores []*storeState, name string) *storeState {
	for _, s := range stores {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// RecordExport records that a store holds the whole chain.
func (c *Core) RecordExport(now time.Time, store string, chain []prefix.Hash) {
	s := c.store(store)
	if s == nil || len(chain) == 0 {
		return
	}
	c.index.Stored(s.index, chain, now)
	c.note(digest.Placement{At: s.at, Prefix: chain[len(chain)-1]})
}

// RevertExport reverts what RecordExport recorded.
func (c *Core) RevertExport(now time.Time, store string, chain []prefix.Hash) {
	if s := c.store(store); s != nil {
		c.index.Remove(s.index, chain, now)
	}
}

// kept finds the store with most of the chain. c.matches must be the chain's.
func (c *Core) kept() ImportSource {
	var best ImportSource
	for _, s := range c.stores {
		if depth := c.matches[s.index].Depth; depth > best.Depth {
			best = ImportSource{Address: s.Address, Depth: depth}
		}
	}
	return best
}

// keepRate is how often per second a shared prefix must be asked for at this VM to be
// worth keeping.
const keepRate = 0.5

// ExportFor returns the export that a finished request calls for, or nil: its
// longest shared level is asked for often, and no store has it. One VM of those that
// see it decides, as the others learn of it from digests.
func (c *Core) ExportFor(now time.Time, p *Pending) *Export {
	if len(c.stores) == 0 || p.state == nil || p.state.gone || len(p.Request.Chain) == 0 {
		return nil
	}
	c.forks = c.index.Forks(p.Request.Chain, c.forks[:0])
	if len(c.forks) == 0 {
		return nil
	}
	chain := p.Request.Chain[:c.forks[len(c.forks)-1]]
	if c.index.Rate(chain[len(chain)-1], now) < keepRate {
		return nil
	}
	c.matches = c.index.Find(chain, now, c.matches)
	if c.kept().Depth >= len(chain) {
		return nil
	}
	return &Export{Endpoint: p.state.Name, Address: p.state.Address, Store: c.stores[0].Store, Seed: p.Request.Seed, Chain: chain}
}
