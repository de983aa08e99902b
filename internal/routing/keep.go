package routing

import (
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
)

// storeRun takes the place of an incarnation for stores. Stores name blocks by namespace
// and never lose blocks silently, so they have no incarnations.
const storeRun = "kept"

// storeEntryLifetime is how long a store is assumed to hold what was exported to it, if
// its capacity is not known.
const storeEntryLifetime = 5 * time.Minute

// Store is a kept-cache store.
type Store struct {
	Name    string
	Address string
	// CapacityTokens is the capacity of the store; 0 means unknown.
	CapacityTokens int
	// TokensPerSecond is the number of tokens whose cache its link transfers per second; 0
	// means unknown.
	TokensPerSecond float64
}

// ImportSource is a store or endpoint that holds a part of a chain.
type ImportSource struct {
	Address       string
	FailureDomain string // of an endpoint
	Depth         int    // leading pieces held
	Store         bool
}

type storeState struct {
	Store
	index       cacheindex.Endpoint
	endpointRun digest.EndpointRun // identifies the store in digests
	saveTraffic tokenRate
	linkTraffic tokenRate // saved or fetched over its link
}

// Export is a request to copy a prefix from an endpoint to a store.
type Export struct {
	Endpoint string // endpoint name
	Address  string
	Store    Store
	Seed     prefix.Seed
	Chain    []prefix.Hash
}

// SetStores replaces the kept-cache stores.
func (c *Core) SetStores(stores []Store) {
	var updated []*storeState
	for _, s := range stores {
		if old := c.store(s.Name); old != nil && old.Address == s.Address {
			updated = append(updated, old)
			continue
		}
		at := digest.EndpointRunOf(digest.EndpointIDOf(s.Name), digest.RunOf(storeRun))
		index := c.allocateIndex()
		c.index.SetLifetime(index, storeEntryLifetime)
		updated = append(updated, &storeState{Store: s, index: index, endpointRun: at})
	}
	for _, old := range c.stores {
		if current := c.findStore(updated, old.Name); current != old {
			c.index.ClearEndpoint(old.index)
			c.freeIndexes = append(c.freeIndexes, old.index)
		}
	}
	c.stores = updated
}

func (c *Core) store(name string) *storeState { return c.findStore(c.stores, name) }

func (c *Core) findStore(stores []*storeState, name string) *storeState {
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
	c.index.RecordStored(s.index, chain, now)
	c.queuePlacement(digest.Placement{EndpointRun: s.endpointRun, Prefix: chain[len(chain)-1]})
}

// RevertExport reverts RecordExport for a chain or a part of it, at the peers too.
func (c *Core) RevertExport(now time.Time, store string, chain []prefix.Hash) {
	if s := c.store(store); s != nil {
		c.index.Remove(s.index, chain, now)
		c.withdrawPlacements(now, s.endpointRun, s.index, chain)
	}
}

// storeSource returns the store that holds most of the chain. c.matches must be the
// matches of the chain.
func (c *Core) storeSource() ImportSource {
	var best ImportSource
	for _, s := range c.stores {
		if depth := c.matches[s.index].CachedPieces; depth > best.Depth {
			best = ImportSource{Address: s.Address, Depth: depth}
		}
	}
	return best
}

// minExportRate is the lowest rate at which a shared prefix is exported, in requests per
// second at this VM.
const minExportRate = 0.5

// ExportFor returns the export to run after a finished request, or nil. It exports the
// longest shared part of the chain if that is requested often and no store holds it. One
// of the VMs that serve the prefix starts the export; the others receive the placement in
// digests.
func (c *Core) ExportFor(now time.Time, p *Pending) *Export {
	if len(c.stores) == 0 || p.state == nil || p.state.removed || len(p.Request.Chain) == 0 {
		return nil
	}
	c.branchPoints = c.index.BranchPoints(p.Request.Chain, c.branchPoints[:0])
	if len(c.branchPoints) == 0 {
		return nil
	}
	chain := p.Request.Chain[:c.branchPoints[len(c.branchPoints)-1]]
	if c.index.Rate(chain[len(chain)-1], now) < minExportRate {
		return nil
	}
	c.matches = c.index.Find(chain, now, c.matches)
	if c.storeSource().Depth >= len(chain) {
		return nil
	}
	return &Export{Endpoint: p.state.Name, Address: p.state.Address, Store: c.stores[0].Store, Seed: p.Request.Seed, Chain: chain}
}
