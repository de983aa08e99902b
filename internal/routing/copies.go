package routing

import (
	"time"

	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/rendezvous"
)

// peerSources returns, by weights, the endpoint that holds most of the chain.
func (c *Core) peerSources(now time.Time, group []*State) map[string]ImportSource {
	sources := map[string]ImportSource{}
	for _, s := range group {
		depth := c.matches[s.index].CachedPieces
		if depth > sources[s.Weights].Depth && !s.removed && !now.Before(s.downUntil) {
			sources[s.Weights] = ImportSource{Address: s.Address, FailureDomain: s.FailureDomain, Depth: depth}
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
		keyed[i] = h ^ prefix.Hash(rendezvous.Name(weights))
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

// importFrom returns the address to import a request's cached pieces from, or "". If the
// endpoint is believed to hold the shared pieces already, it is another endpoint that may
// hold them: the belief may be out of date, and an import of nothing costs a millisecond.
// If no endpoint is known to hold them, it is their first home, where other VMs send their
// requests, or for startupImportWindow the store; known is false for such a guess.
func (c *Core) importFrom(now time.Time, p *Pending, best *Candidate) (address string, known bool) {
	r := &p.Request
	if best.ImportFrom != "" || !c.policy.PeerImports {
		return best.ImportFrom, best.ImportFrom != ""
	}
	guessable := r.SharedPieces > 0 && r.tokensOf(r.SharedPieces) >= minImportTokens
	if guessable {
		if source := c.otherHolder(now, r, best.State); source != nil {
			return source.Address, true
		}
	}
	if source := c.storeWith(now, r, best.State); source != nil {
		return source.Address, true
	}
	if guessable && best.Match.CachedPieces < r.SharedPieces {
		if home := c.otherHome(now, r, best.State); home != nil {
			return home.Address, false
		}
	}
	if best.Match.CachedPieces > 0 || now.Sub(c.startedAt) > startupImportWindow {
		return "", false
	}
	if store, _ := c.storeFor(now, r); store != nil {
		return store.Address, false
	}
	return "", false
}

// minImportTokens is the shortest shared prefix that is imported on a guess.
const minImportTokens = 200

// mayProvide reports whether the endpoint to may import from s.
func (s *State) mayProvide(now time.Time, to *State) bool {
	return s != to && s.Weights == to.Weights && !s.removed && !now.Before(s.downUntil)
}

// otherHolder returns the endpoint, other than to, that was recorded last to hold all shared
// pieces, or nil.
func (c *Core) otherHolder(now time.Time, r *Request, to *State) *State {
	var best *State
	for _, s := range c.endpointsFor(r) {
		m := c.matches[s.index]
		if m.RecordedPieces < r.SharedPieces || !s.mayProvide(now, to) {
			continue
		}
		if best == nil || m.Age < c.matches[best.index].Age {
			best = s
		}
	}
	return best
}

// storeWith returns a store that holds all shared pieces under the weights of the endpoint
// to, or nil.
func (c *Core) storeWith(now time.Time, r *Request, to *State) *storeState {
	if len(c.stores) == 0 || r.SharedPieces == 0 || r.tokensOf(r.SharedPieces) < minSaveTokens {
		return nil
	}
	c.storeMatches = c.index.Find(chainForWeights(r.Chain[:r.SharedPieces], to.Weights), now, c.storeMatches)
	for _, store := range c.stores {
		if c.storeMatches[store.index].RecordedPieces >= r.SharedPieces && !c.storeLinkBusy(now, store) {
			return store
		}
	}
	return nil
}

// otherHome returns the first home of the shared pieces other than the endpoint to, or nil.
func (c *Core) otherHome(now time.Time, r *Request, to *State) *State {
	var best *State
	var highest uint64
	key := homeKey(r, 0)
	for _, s := range c.endpointsFor(r) {
		if !s.mayProvide(now, to) {
			continue
		}
		if weight := rendezvous.Weight(key, s.nameHash); best == nil || weight > highest {
			best, highest = s, weight
		}
	}
	return best
}

// saveTo returns the address of the store that the endpoint saves a request's prompt to,
// or "". A prompt is saved if its shared pieces have to be computed and no store holds
// them. The caller must send the request to the endpoint, because saveTo already
// records the prefix as saved.
func (c *Core) saveTo(now time.Time, p *Pending) string {
	r, s := &p.Request, p.state
	store, shared := c.storeFor(now, r)
	if store == nil || p.match.CachedPieces >= shared || p.importKnown && p.Decision.ImportFrom != store.Address {
		return ""
	}
	chain := chainForWeights(r.Chain[:shared], s.Weights)
	c.storeMatches = c.index.Find(chain, now, c.storeMatches)
	if c.storeMatches[store.index].CachedPieces >= shared {
		return "" // the store holds it
	}
	if r.SharedPieces == 0 && !c.index.Contains(r.Chain[shared-1]) {
		return "" // it was requested only once so far, and may not be shared
	}
	store.linkTraffic.add(r.PromptTokens, now)
	store.saveTraffic.add(r.PromptTokens, now)
	c.updateLifetime(store.index, &store.saveTraffic, store.CapacityTokens, now)
	c.RecordExport(now, store.Name, chain)
	return store.Address
}
