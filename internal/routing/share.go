package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
)

// peerSilence is how long a peer's last digest counts at least, and peerRounds the rounds
// that it counts for where many peers make a round last longer.
const (
	peerSilence = 3 * time.Second
	peerRounds  = 3
)

// freshPlacements bounds the placements kept for the next digest.
const freshPlacements = 512

// peerView is what a peer's last digest added.
type peerView struct {
	heard time.Time
	loads []peerLoad
}

type peerLoad struct {
	state    *State
	run      digest.Run
	inFlight int
	pending  int
}

// remember notes for the next digest where a request's prefix went: the whole chain,
// the levels that it shares with siblings, and every piece that is computed anew, as
// siblings of a new prefix are not known yet.
func (c *Core) remember(s *State, chain []prefix.Hash, held int) {
	if len(chain) == 0 || s.run == 0 {
		return
	}
	s.announced = false
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

// DigestUrgent reports whether peers should hear soon: a prefix that was not there before is
// being computed, and siblings may be on their way.
func (c *Core) DigestUrgent() bool { return c.urgent }

// NextDigest returns what the peers should know, within bytes, and starts the next one.
func (c *Core) NextDigest(from string, bytes int) *digest.Digest {
	d := &digest.Digest{From: from, Placements: c.fresh, Gone: c.gone}
	c.fresh, c.gone, c.urgent = nil, nil, false
	for _, s := range c.fleet {
		if s.InFlight == 0 && s.announced {
			continue
		}
		if !s.announced {
			d.Loaded = append(d.Loaded, s.weights()...)
		}
		s.announced = true
		d.Loads = append(d.Loads, c.load(s))
	}
	slices.SortFunc(d.Loads, func(a, b digest.Load) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	d.Bound(bytes)
	return d
}

// RecallDigest returns what a VM that has just started should know, within bytes: the most
// recently used levels and whole chains.
func (c *Core) RecallDigest(now time.Time, from string, bytes int) *digest.Digest {
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

// ApplyDigest takes in a peer's digest. Its work grows with the digest, not with the fleet, but
// where level has to look at every endpoint.
func (c *Core) ApplyDigest(now time.Time, d *digest.Digest) {
	c.forgetPeer(d.From)
	c.peers[d.From] = peerView{heard: now, loads: c.addLoads(d.Loads)}
	c.vms = len(c.peers) + 1
	c.level()
	told := map[*State][]digest.Weights{}
	for _, l := range d.Loaded {
		if s := c.byAt[l.At]; s != nil {
			told[s] = append(told[s], l.Weights)
		}
	}
	for s, weights := range told {
		s.hearWeights(weights, now)
	}
	for _, p := range d.Gone {
		if s := c.byAt[p.At]; s != nil {
			c.index.Remove(s.index, []prefix.Hash{p.Prefix}, now.Add(-eventLag))
		}
	}
	for _, p := range d.Placements {
		if n, ok := c.numberAt(p.At); ok {
			c.index.Stored(n, []prefix.Hash{p.Prefix}, now)
		}
	}
}

// numberAt finds the endpoint or store that a digest names.
func (c *Core) numberAt(at digest.At) (cacheindex.Endpoint, bool) {
	if s := c.byAt[at]; s != nil {
		return s.index, true
	}
	for _, s := range c.stores {
		if s.at == at {
			return s.index, true
		}
	}
	return 0, false
}

// addLoads adds what a peer has at the endpoints, as far as it means their present run.
func (c *Core) addLoads(loads []digest.Load) []peerLoad {
	var added []peerLoad
	for _, l := range loads {
		s := c.byID[l.Endpoint]
		if s == nil || !c.sameRun(s, l.Run) {
			continue
		}
		s.told.add(int(l.InFlight), int(l.Pending))
		s.PeerInFlight, s.PeerPendingTokens = s.told.inFlight, s.told.pending
		s.note()
		added = append(added, peerLoad{state: s, run: l.Run, inFlight: int(l.InFlight), pending: int(l.Pending)})
	}
	return added
}

// sameRun reports whether a peer means the present run; while neither knows one, it does.
func (c *Core) sameRun(s *State, run digest.Run) bool {
	if run == 0 {
		return s.run == 0
	}
	return c.adopt(s, run)
}

// forgetPeer takes back what was added for a peer. What it had at a run that is over
// went with the run.
func (c *Core) forgetPeer(name string) {
	for _, l := range c.peers[name].loads {
		if l.state.run == l.run {
			s := l.state
			s.told.add(-l.inFlight, -l.pending)
			s.PeerInFlight, s.PeerPendingTokens = s.told.inFlight, s.told.pending
		}
	}
	delete(c.peers, name)
	c.vms = len(c.peers) + 1
}

// forgetSilent forgets peers whose digests have stopped.
func (c *Core) forgetSilent(now time.Time) {
	longest := peerSilence
	if c.limits.DigestsPerSecond > 0 {
		round := time.Duration(float64(len(c.peers)) / c.limits.DigestsPerSecond * float64(time.Second))
		longest = max(longest, peerRounds*round)
	}
	forgot := false
	for name, v := range c.peers {
		if now.Sub(v.heard) > longest {
			c.forgetPeer(name)
			forgot = true
		}
	}
	if forgot {
		c.level()
	}
}
