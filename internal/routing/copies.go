package routing

import (
	"time"

	"eelgrasshollow/internal/prefix"
)

// peerSources returns, by weights, the endpoint that holds most of the chain.
func (c *Core) peerSources(now time.Time, group []*State) map[string]ImportSource {
	sources := map[string]ImportSource{}
	for _, s := range group {
		depth := c.matches[s.index].CachedPieces
		if depth > sources[s.Weights].Depth && !s.Leaving && !s.removed && !now.Before(s.downUntil) {
			sources[s.Weights] = ImportSource{Address: s.Address, Depth: depth}
		}
	}
	return sources
}

// addStoreSources replaces a source by a store that holds more. Stores keep the cache of
// previous weights, so the chain is keyed by weights.
func (c *Core) addStoreSources(now time.Time, r *Request, sources map[string]ImportSource, group []*State) {
	if len(c.stores) == 0 {
		return
	}
	seen := map[string]bool{}
	for _, s := range group {
		if seen[s.Weights] {
			continue
		}
		seen[s.Weights] = true
		c.storeMatches = c.index.Find(chainForWeights(r.Chain, s.Weights), now, c.storeMatches)
		for _, store := range c.stores {
			if c.storeLinkBusy(now, store) {
				continue
			}
			if depth := c.storeMatches[store.index].CachedPieces; depth > sources[s.Weights].Depth {
				sources[s.Weights] = ImportSource{Address: store.Address, Depth: depth, Store: true}
			}
		}
	}
}

// maxStoreLinkShare is the usable share of a store's link. Transfers between failure
// domains take twice as long, and a transfer that waits delays its request by up to 2 s.
const maxStoreLinkShare = 0.4

// storeLinkBusy reports whether further transfers would wait for the store's link.
func (c *Core) storeLinkBusy(now time.Time, s *storeState) bool {
	return s.TokensPerSecond > 0 && s.linkTraffic.at(now)*float64(c.vmCount) > maxStoreLinkShare*s.TokensPerSecond
}

// chainForWeights returns the chain with its pieces keyed by weights.
func chainForWeights(chain []prefix.Hash, weights string) []prefix.Hash {
	keyed := make([]prefix.Hash, len(chain))
	for i, h := range chain {
		keyed[i] = h ^ prefix.Hash(nameHash(weights))
	}
	return keyed
}

// minSaveTokens is the shortest shared prefix that is saved to a store: fewer tokens are
// computed sooner than they are fetched.
const minSaveTokens = 2000

// startupImportWindow is how long after its start a VM imports shared prefixes from the
// store without knowing whether it holds them. The store may hold prefixes saved before
// the start, and a miss costs a millisecond.
const startupImportWindow = 20 * time.Second

// storeFor returns the store that may save or provide the shared pieces of a request, and
// the number of these pieces. It returns nil if the prefix is too short or further
// transfers would wait.
func (c *Core) storeFor(now time.Time, r *Request) (store *storeState, shared int) {
	shared = len(r.Chain) - 1 // the last piece is particular to the request
	if !c.policy.PeerImports || len(c.stores) == 0 || shared < 1 || r.tokensOf(shared) < minSaveTokens || c.storeLinkBusy(now, c.stores[0]) {
		return nil, 0
	}
	return c.stores[0], shared
}

// importFrom returns the address to import a request's cached pieces from, or "".
func (c *Core) importFrom(now time.Time, p *Pending, best *Candidate) string {
	if best.ImportFrom != "" || best.Match.CachedPieces > 0 || now.Sub(c.startedAt) > startupImportWindow {
		return best.ImportFrom
	}
	if store, _ := c.storeFor(now, &p.Request); store != nil {
		return store.Address
	}
	return ""
}

// saveTo returns the address of the store that the endpoint saves a request's prompt to,
// or "". A prompt is saved if its shared pieces have to be computed and no store holds
// them. The caller must send the request to the endpoint, because saveTo already
// records the prefix as saved.
func (c *Core) saveTo(now time.Time, p *Pending) string {
	r, s := &p.Request, p.state
	store, shared := c.storeFor(now, r)
	if store == nil || p.match.CachedPieces >= shared || p.Decision.ImportFrom != "" && p.Decision.ImportFrom != store.Address {
		return ""
	}
	chain := chainForWeights(r.Chain[:shared], s.Weights)
	c.storeMatches = c.index.Find(chain, now, c.storeMatches)
	if c.storeMatches[store.index].CachedPieces >= shared || !c.index.Contains(r.Chain[shared-1]) {
		return "" // the store holds it, or it was requested only once so far
	}
	store.linkTraffic.add(r.PromptTokens, now)
	store.saveTraffic.add(r.PromptTokens, now)
	c.updateLifetime(store.index, &store.saveTraffic, store.CapacityTokens, now)
	c.RecordExport(now, store.Name, chain)
	return store.Address
}
