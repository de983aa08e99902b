package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
)

// peerSilence is how long a peer's last digest counts.
const peerSilence = 3 * time.Second

// freshPlacements bounds the placements kept for the next digest.
const freshPlacements = 512

type peerView struct {
	heard time.Time
	loads map[digest.EndpointID]digest.Load
}

// remember notes for the next digest where a request's prefix went: the whole chain,
// the levels that it shares with siblings, and every piece that is computed anew, as
// siblings of a new prefix are not known yet.
func (c *Core) remember(s *State, chain []prefix.Hash, held int) {
	if len(chain) == 0 || s.run == 0 {
		return
	}
	s.told = false
	at := digest.Of(s.id, s.run)
	for _, h := range chain[held:] {
		c.urgent = true
		c.note(digest.Placement{At: at, Prefix: h})
	}
	c.note(digest.Placement{At: at, Prefix: chain[len(chain)-1]})
	c.forks = c.index.Forks(chain, c.forks[:0])
	for _, depth := range c.forks {
		c.note(digest.Placement{At: at, Prefix: chain[depth-1]})
	}
}

func (c *Core) note(p digest.Placement) {
	if slices.Contains(c.fresh, p) {
		return
	}
	if len(c.fresh) >= freshPlacements {
		c.fresh = slices.Delete(c.fresh, 0, freshPlacements/2)
	}
	c.fresh = append(c.fresh, p)
}

// Urgent reports whether peers should hear soon: a prefix that was not there before is
// being computed, and siblings may be on their way.
func (c *Core) Urgent() bool { return c.urgent }

// Digest returns what the peers should know, within bytes, and starts the next one.
func (c *Core) Digest(from string, bytes int) *digest.Digest {
	d := &digest.Digest{From: from, Placements: c.fresh, Gone: c.gone}
	c.fresh, c.gone, c.urgent = nil, nil, false
	for _, s := range c.fleet {
		if s.InFlight == 0 && s.told {
			continue
		}
		if !s.told {
			d.Loaded = append(d.Loaded, s.weights()...)
		}
		s.told = true
		d.Loads = append(d.Loads, c.load(s))
	}
	slices.SortFunc(d.Loads, func(a, b digest.Load) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	d.Bound(bytes)
	return d
}

// Recall returns what a VM that has just started should know, within bytes: the most
// recently used levels and whole chains.
func (c *Core) Recall(now time.Time, from string, bytes int) *digest.Digest {
	d := &digest.Digest{From: from}
	at := make(map[cacheindex.Endpoint]digest.At, len(c.byName))
	for _, s := range c.fleet {
		if s.run != 0 {
			at[s.index] = digest.Of(s.id, s.run)
			d.Loads = append(d.Loads, c.load(s))
			d.Loaded = append(d.Loaded, s.weights()...)
		}
	}
	for _, s := range c.stores {
		at[s.index] = s.at
	}
	c.index.Recent(now, func(e cacheindex.Endpoint, h prefix.Hash) bool {
		if id, ok := at[e]; ok {
			d.Placements = append(d.Placements, digest.Placement{At: id, Prefix: h})
		}
		return d.Size() < bytes
	})
	d.Bound(bytes)
	return d
}

func (c *Core) load(s *State) digest.Load {
	return digest.Load{
		Endpoint: s.id, Run: s.run, InFlight: uint16(min(s.InFlight, math.MaxUint16)), Pending: uint32(max(s.PendingTokens, 0)),
	}
}

// Absorb takes in a peer's digest.
func (c *Core) Absorb(now time.Time, d *digest.Digest) {
	v := peerView{heard: now, loads: make(map[digest.EndpointID]digest.Load, len(d.Loads))}
	for _, l := range d.Loads {
		v.loads[l.Endpoint] = l
	}
	c.peers[d.From] = v
	at := make(map[digest.At]*State, len(c.byName))
	for _, s := range c.fleet {
		if l, ok := v.loads[s.id]; ok && l.Run != 0 {
			c.adopt(s, l.Run)
		}
		at[digest.Of(s.id, s.run)] = s
	}
	kept := make(map[digest.At]cacheindex.Endpoint, len(c.stores))
	for _, s := range c.stores {
		kept[s.at] = s.index
	}
	told := map[*State][]digest.Weights{}
	for _, l := range d.Loaded {
		if s := at[l.At]; s != nil {
			told[s] = append(told[s], l.Weights)
		}
	}
	for s, weights := range told {
		s.hearWeights(weights, now)
	}
	for _, p := range d.Gone {
		if s := at[p.At]; s != nil {
			c.index.Remove(s.index, []prefix.Hash{p.Prefix}, now.Add(-eventLag))
		}
	}
	for _, p := range d.Placements {
		if store, ok := kept[p.At]; ok {
			c.index.Stored(store, []prefix.Hash{p.Prefix}, now)
		}
		if s := at[p.At]; s != nil {
			c.index.Stored(s.index, []prefix.Hash{p.Prefix}, now)
		}
	}
	c.sumPeers()
}

// forgetSilent forgets peers whose digests have stopped.
func (c *Core) forgetSilent(now time.Time) {
	before := len(c.peers)
	maps.DeleteFunc(c.peers, func(_ string, v peerView) bool { return now.Sub(v.heard) > peerSilence })
	if len(c.peers) != before {
		c.sumPeers()
	}
}

// sumPeers adds the peers' loads up.
func (c *Core) sumPeers() {
	c.vms = len(c.peers) + 1
	for _, s := range c.fleet {
		s.PeerInFlight, s.PeerPending = 0, 0
		for _, v := range c.peers {
			if l, ok := v.loads[s.id]; ok && l.Run == s.run {
				s.PeerInFlight += int(l.InFlight)
				s.PeerPending += int(l.Pending)
			}
		}
		s.note()
	}
}
