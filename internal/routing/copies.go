package routing

import (
	"time"

	"eelgrasshollow/internal/prefix"
)

// holders finds the endpoint that holds most of the chain, for each weights.
func (c *Core) holders(now time.Time, group []*State) map[string]ImportSource {
	best := map[string]ImportSource{}
	for _, s := range group {
		depth := c.matches[s.index].Depth
		if depth > best[s.Weights].Depth && !s.Leaving && !s.gone && !now.Before(s.downUntil) {
			best[s.Weights] = ImportSource{Address: s.Address, Depth: depth}
		}
	}
	return best
}

// addStores puts a store in the place of an endpoint where it holds more. Stores keep
// what was saved of earlier weights, so their entries carry the weights.
func (c *Core) addStores(now time.Time, r *Request, best map[string]ImportSource, group []*State) {
	if len(c.stores) == 0 {
		return
	}
	seen := map[string]bool{}
	for _, s := range group {
		if seen[s.Weights] {
			continue
		}
		seen[s.Weights] = true
		c.stored = c.index.Find(chainUnder(r.Chain, s.Weights), now, c.stored)
		for _, store := range c.stores {
			if c.crowded(now, store) {
				continue
			}
			if depth := c.stored[store.index].Depth; depth > best[s.Weights].Depth {
				best[s.Weights] = ImportSource{Address: store.Address, Depth: depth, Store: true}
			}
		}
	}
}

// storeShare is the part of a store's link that is used. Transfers between failure
// domains take twice their time, and one that waits delays its request by up to 2 s.
const storeShare = 0.4

// crowded reports whether further transfers would wait at a store.
func (c *Core) crowded(now time.Time, s *storeState) bool {
	return s.TokensPerSecond > 0 && s.moved.now(now)*float64(c.vms) > storeShare*s.TokensPerSecond
}

// chainUnder names a chain's pieces as made by some weights.
func chainUnder(chain []prefix.Hash, weights string) []prefix.Hash {
	under := make([]prefix.Hash, len(chain))
	for i, h := range chain {
		under[i] = h ^ prefix.Hash(nameHash(weights))
	}
	return under
}

// savedTokens is the least shared prefix, in tokens, that is worth a copy in a store:
// less is computed sooner than it is fetched.
const savedTokens = 2000

// blindFor is how long after its start a VM asks the store for shared prefixes that it
// knows no holder of: what was saved before is there, and a miss costs a millisecond.
const blindFor = 20 * time.Second

// storeFor returns the store that may take or give the shared pieces of a request, and how
// many these are; nil when they are too few, or further transfers would wait.
func (c *Core) storeFor(now time.Time, r *Request) (store *storeState, shared int) {
	shared = len(r.Chain) - 1 // the last piece is the request's own
	if !c.policy.PeerImports || len(c.stores) == 0 || shared < 1 || r.tokensOf(shared) < savedTokens || c.crowded(now, c.stores[0]) {
		return nil, 0
	}
	return c.stores[0], shared
}

// importFrom is the source to copy a request's cached pieces from.
func (c *Core) importFrom(now time.Time, p *Pending, best *Candidate) string {
	if best.ImportFrom != "" || best.Match.Depth > 0 || now.Sub(c.began) > blindFor {
		return best.ImportFrom
	}
	if store, _ := c.storeFor(now, &p.Request); store != nil {
		return store.Address
	}
	return ""
}

// saveTo names the store that an endpoint shall save a request's prompt to: its shared
// pieces are about to be computed, and no store has them. The caller's request is sent.
func (c *Core) saveTo(now time.Time, p *Pending) string {
	r, s := &p.Request, p.state
	store, shared := c.storeFor(now, r)
	if store == nil || p.match.Depth >= shared || p.Decision.ImportFrom != "" && p.Decision.ImportFrom != store.Address {
		return ""
	}
	under := chainUnder(r.Chain[:shared], s.Weights)
	c.stored = c.index.Find(under, now, c.stored)
	if c.stored[store.index].Depth >= shared || !c.index.Seen(r.Chain[shared-1]) {
		return "" // the store has it, or nobody has asked for it twice yet
	}
	store.moved.add(r.PromptTokens, now)
	store.saved.add(r.PromptTokens, now)
	c.believe(store.index, &store.saved, store.CapacityTokens, now)
	c.RecordExport(now, store.Name, under)
	return store.Address
}
