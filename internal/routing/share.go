package routing

import (
	"slices"
	"time"

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

// remember notes for the next digest where a request's prefix went: the level that it
// shares with siblings, and its whole chain.
func (c *Core) remember(s *State, chain []prefix.Hash, level int) {
	if len(chain) == 0 || s.Incarnation == "" {
		return
	}
	id := digest.Identify(s.Name, s.Incarnation)
	c.note(digest.Placement{Endpoint: id, Prefix: chain[len(chain)-1]})
	if level > 0 && level < len(chain) {
		c.note(digest.Placement{Endpoint: id, Prefix: chain[level-1]})
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

// Digest returns what the peers should know, within bytes, and starts the next one.
func (c *Core) Digest(from string, bytes int) *digest.Digest {
	d := &digest.Digest{From: from, Placements: c.fresh}
	c.fresh = nil
	for _, s := range c.byName {
		if s.InFlight > 0 {
			d.Loads = append(d.Loads, digest.Load{
				Endpoint: digest.Identify(s.Name, s.Incarnation), InFlight: uint16(min(s.InFlight, 1<<16-1)), Pending: uint32(max(s.PendingTokens, 0)),
			})
		}
	}
	slices.SortFunc(d.Loads, func(a, b digest.Load) int { return int(b.Pending) - int(a.Pending) })
	d.Bound(bytes)
	return d
}

// Absorb takes in a peer's digest.
func (c *Core) Absorb(now time.Time, d *digest.Digest) {
	v := peerView{heard: now, loads: make(map[digest.EndpointID]digest.Load, len(d.Loads))}
	for _, l := range d.Loads {
		v.loads[l.Endpoint] = l
	}
	c.peers[d.From] = v
	ids := c.identities()
	for _, p := range d.Placements {
		if s := ids[p.Endpoint]; s != nil {
			c.index.Stored(s.index, []prefix.Hash{p.Prefix}, now)
		}
	}
	c.sumPeers(now)
}

func (c *Core) identities() map[digest.EndpointID]*State {
	ids := make(map[digest.EndpointID]*State, len(c.byName))
	for _, s := range c.byName {
		ids[digest.Identify(s.Name, s.Incarnation)] = s
	}
	return ids
}

// sumPeers adds the peers' loads up and forgets silent peers.
func (c *Core) sumPeers(now time.Time) {
	for name, v := range c.peers {
		if now.Sub(v.heard) > peerSilence {
			delete(c.peers, name)
		}
	}
	c.vms = len(c.peers) + 1
	for _, s := range c.byName {
		s.PeerInFlight, s.PeerPending = 0, 0
		id := digest.Identify(s.Name, s.Incarnation)
		for _, v := range c.peers {
			l := v.loads[id]
			s.PeerInFlight += int(l.InFlight)
			s.PeerPending += int(l.Pending)
		}
	}
}
