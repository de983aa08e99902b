package routing

import (
	"math"
	"slices"
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
)

// A peer expires if no digest arrives for minPeerTimeout, or for peerTimeoutRounds rounds
// of digests where many peers make a round longer.
const (
	minPeerTimeout    = 3 * time.Second
	peerTimeoutRounds = 3
)

// maxNewPlacements bounds the placements collected for the next digest.
const maxNewPlacements = 512

const (
	// maxDigestSuspects bounds the suspects in a regular digest, and maxRecallSuspects those in a
	// digest for a VM that has just started.
	maxDigestSuspects = 12
	maxRecallSuspects = 128
)

// peerView is what the last digest of a peer contributed.
type peerView struct {
	receivedAt time.Time
	loads      []peerLoad
}

type peerLoad struct {
	state         *State
	run           digest.Run
	inFlight      int
	pendingTokens int
}

// recordPlacements collects the placements of a request sent to an endpoint, for the next
// digest: the whole chain, the branch points that it shares with other chains, and every
// piece that has to be computed, because the branch points of a new prefix are not known
// yet.
func (c *Core) recordPlacements(s *State, chain []prefix.Hash, cachedPieces int) {
	if len(chain) == 0 || s.run == 0 {
		return
	}
	s.announced = false
	at := digest.EndpointRunOf(s.id, s.run)
	for _, h := range chain[cachedPieces:] {
		c.digestUrgent = true
		c.queuePlacement(digest.Placement{EndpointRun: at, Prefix: h})
	}
	c.queuePlacement(digest.Placement{EndpointRun: at, Prefix: chain[len(chain)-1]})
	c.branchPoints = c.index.BranchPoints(chain, c.branchPoints[:0])
	for _, depth := range c.branchPoints {
		c.queuePlacement(digest.Placement{EndpointRun: at, Prefix: chain[depth-1]})
	}
}

// forgetPlacement reverts what was recorded when a prompt was sent that no other request can use: neither this VM nor
// its peers may expect the pieces that were not cached before at the endpoint, or at the store that it was to save to.
// Holders that later requests recorded stay.
func (c *Core) forgetPlacement(now time.Time, p *Pending) {
	chain := p.Request.Chain
	if len(chain) == 0 {
		return
	}
	if s := p.state; !s.removed { // its number in the index may have been reassigned to another endpoint otherwise
		uncached := chain[p.match.CachedPieces:]
		c.index.Remove(s.index, uncached, p.sentAt)
		c.withdrawPlacements(now, digest.EndpointRunOf(s.id, p.run), s.index, uncached)
	}
	for _, store := range c.stores {
		if store.Address == p.Decision.SaveTo {
			saved := chainForWeights(chain[:len(chain)-1], p.Decision.Weights)
			c.index.Remove(store.index, saved, p.sentAt)
			c.withdrawPlacements(now, store.endpointRun, store.index, saved)
		}
	}
}

// lateEviction is an eviction to be sent to the peers at a later time.
type lateEviction struct {
	due       time.Time
	placement digest.Placement
}

// withdrawPlacements withdraws the placements of those prefixes that the endpoint or store with the index number is no
// longer recorded to hold. Peers ignore an eviction within maxEventDelay of the placement, so those follow later.
func (c *Core) withdrawPlacements(now time.Time, at digest.EndpointRun, index cacheindex.Endpoint, hashes []prefix.Hash) {
	c.matches = c.index.Find(hashes, now, c.matches)
	for _, h := range hashes[c.matches[index].RecordedPieces:] {
		placement := digest.Placement{EndpointRun: at, Prefix: h}
		c.newPlacements = slices.DeleteFunc(c.newPlacements, func(p digest.Placement) bool { return p == placement })
		c.lateEvictions = append(c.lateEvictions, lateEviction{now.Add(2 * maxEventDelay), placement})
	}
	if excess := len(c.lateEvictions) - maxQueuedEvictions; excess > 0 {
		c.lateEvictions = slices.Delete(c.lateEvictions, 0, excess)
	}
}

// QueueDueEvictions adds the late evictions that are due to the next digest, except those of prefixes that the endpoint
// or store is recorded to hold by now.
func (c *Core) QueueDueEvictions(now time.Time) {
	n := 0
	for ; n < len(c.lateEvictions) && !now.Before(c.lateEvictions[n].due); n++ {
		placement := c.lateEvictions[n].placement
		index, ok := c.indexAt(placement.EndpointRun)
		if !ok {
			continue
		}
		c.matches = c.index.Find([]prefix.Hash{placement.Prefix}, now, c.matches)
		if c.matches[index].RecordedPieces == 0 {
			c.evictions = append(c.evictions, placement)
		}
	}
	c.lateEvictions = slices.Delete(c.lateEvictions, 0, n)
}

func (c *Core) queuePlacement(p digest.Placement) {
	if slices.Contains(c.newPlacements, p) {
		return
	}
	if len(c.newPlacements) >= maxNewPlacements {
		c.newPlacements = slices.Delete(c.newPlacements, 0, maxNewPlacements/2)
	}
	c.newPlacements = append(c.newPlacements, p)
}

// DigestUrgent reports whether the next digest should be sent early: an endpoint is
// computing a new prefix, and other VMs may receive requests that share it, or an endpoint has
// crashed under a prompt, or has changed its rate limit.
func (c *Core) DigestUrgent() bool { return c.digestUrgent }

// NextDigest returns the digest for the peers, at most maxBytes long when encoded, and
// starts collecting the next one.
func (c *Core) NextDigest(from string, maxBytes int) *digest.Digest {
	d := &digest.Digest{From: from, Placements: c.newPlacements, Evicted: c.evictions}
	d.Suspects, d.Limits = c.quarantine.News(maxDigestSuspects), c.newLimits
	c.newPlacements, c.evictions, c.newLimits, c.digestUrgent, c.relayUrgent = nil, nil, nil, false, false
	for _, s := range c.endpoints {
		if s.InFlight == 0 && s.announced {
			continue
		}
		if !s.announced {
			d.Loaded = append(d.Loaded, s.weights()...)
		}
		s.announced = true
		d.Loads = append(d.Loads, c.digestLoad(s))
	}
	slices.SortFunc(d.Loads, compareLoads)
	d.TrimTo(maxBytes - c.speedReserve(maxBytes))
	c.addSpeedNews(d, maxBytes)
	return d
}

// returnAlerts makes the suspects and limits of a digest that was not delivered news again.
func (c *Core) returnAlerts(d *digest.Digest) {
	c.quarantine.ReturnNews(d.Suspects)
	c.newLimits = append(c.newLimits, d.Limits[:min(len(d.Limits), maxDigestLimits-len(c.newLimits))]...)
}

// RecallDigest returns a digest for a VM that has just started, at most maxBytes long when
// encoded: the loads, the loaded weights, and the most recently used branch points and
// whole chains.
func (c *Core) RecallDigest(now time.Time, from string, maxBytes int) *digest.Digest {
	d := &digest.Digest{From: from, Suspects: c.quarantine.Recall(maxRecallSuspects), Limits: c.recallLimits()}
	runs := make(map[cacheindex.Endpoint]digest.EndpointRun, len(c.byName))
	for _, s := range c.endpoints {
		if s.run != 0 {
			runs[s.index] = digest.EndpointRunOf(s.id, s.run)
			d.Loads = append(d.Loads, c.digestLoad(s))
			d.Loaded = append(d.Loaded, s.weights()...)
		}
	}
	for _, s := range c.stores {
		runs[s.index] = s.endpointRun
	}
	c.index.VisitRecent(now, func(e cacheindex.Endpoint, h prefix.Hash) bool {
		if at, ok := runs[e]; ok {
			d.Placements = append(d.Placements, digest.Placement{EndpointRun: at, Prefix: h})
		}
		return d.Size() < maxBytes
	})
	slices.Reverse(d.Placements) // TrimTo keeps those at the end
	d.TrimTo(maxBytes)
	c.addSpeedRecall(d, maxBytes)
	return d
}

func clampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

func (c *Core) digestLoad(s *State) digest.Load {
	return digest.Load{
		Endpoint: s.id, Run: s.run, InFlight: clampUint16(s.InFlight), PendingTokens: uint32(max(s.PendingTokens, 0)),
	}
}

// ApplyDigest merges a peer's digest. Its cost grows with the size of the digest, not with
// the number of endpoints, except that equalizePeerLoads visits every endpoint.
func (c *Core) ApplyDigest(now time.Time, d *digest.Digest) {
	c.removePeer(d.From)
	c.peers[d.From] = peerView{receivedAt: now, loads: c.addLoads(d.Loads)}
	c.updateVMCount()
	c.equalizePeerLoads()
	c.quarantine.Merge(now, d.Suspects)
	for _, l := range d.Limits {
		c.mergeLimit(now, l)
	}
	c.receiveSpeeds(now, d.Speeds)
	weightsByState := map[*State][]digest.WeightsID{}
	for _, l := range d.Loaded {
		if s := c.byRun[l.EndpointRun]; s != nil {
			weightsByState[s] = append(weightsByState[s], l.Weights)
		}
	}
	for s, weights := range weightsByState {
		s.setPeerWeights(weights, now)
	}
	for _, p := range d.Evicted {
		if index, ok := c.indexAt(p.EndpointRun); ok {
			c.index.Remove(index, []prefix.Hash{p.Prefix}, now.Add(-maxEventDelay))
		}
	}
	for _, p := range d.Placements {
		if index, ok := c.indexAt(p.EndpointRun); ok {
			c.index.RecordStored(index, []prefix.Hash{p.Prefix}, now)
		}
	}
}

// indexAt returns the index number of the endpoint or store that a digest refers to.
func (c *Core) indexAt(at digest.EndpointRun) (cacheindex.Endpoint, bool) {
	if s := c.byRun[at]; s != nil {
		return s.index, true
	}
	for _, s := range c.stores {
		if s.endpointRun == at {
			return s.index, true
		}
	}
	return 0, false
}

// addLoads adds a peer's loads to the endpoints, except those of an earlier run.
func (c *Core) addLoads(loads []digest.Load) []peerLoad {
	var added []peerLoad
	for _, l := range loads {
		s := c.byID[l.Endpoint]
		if s == nil || !c.matchesRun(s, l.Run) {
			continue
		}
		s.peerReported.add(int(l.InFlight), int(l.PendingTokens))
		s.PeerInFlight, s.PeerPendingTokens = s.peerReported.inFlight, s.peerReported.pendingTokens
		s.updatePeak()
		added = append(added, peerLoad{state: s, run: l.Run, inFlight: int(l.InFlight), pendingTokens: int(l.PendingTokens)})
	}
	return added
}

// matchesRun reports whether a peer's run of the endpoint is the current one; it adopts a
// run that is new to this VM. A peer without a run matches while this VM has none either.
func (c *Core) matchesRun(s *State, run digest.Run) bool {
	if run == 0 {
		return s.run == 0
	}
	return c.adoptRun(s, run)
}

// removePeer subtracts the loads of a peer. Loads of an earlier run are skipped, as they
// were reset when the run ended.
func (c *Core) removePeer(name string) {
	for _, l := range c.peers[name].loads {
		if l.state.run == l.run {
			s := l.state
			s.peerReported.add(-l.inFlight, -l.pendingTokens)
			s.PeerInFlight, s.PeerPendingTokens = s.peerReported.inFlight, s.peerReported.pendingTokens
		}
	}
	delete(c.peers, name)
	c.updateVMCount()
}

// setRelayed sets the number of entry VMs and the interval of exchanges while digests go over
// relays, or 0 while every VM sends its digests to all others.
func (c *Core) setRelayed(vms int, interval time.Duration) {
	if c.relayedVMs != vms || c.relayInterval != interval {
		c.relayedVMs, c.relayInterval = vms, interval
		c.updateVMCount()
		c.equalizePeerLoads()
	}
}

func (c *Core) updateVMCount() {
	c.vmCount = len(c.peers) + 1
	if c.relayedVMs > 0 {
		c.vmCount = c.relayedVMs
	}
}

// relayHops is the number of exchanges after which a digest has reached every VM: to the relay,
// to the other relays, and to their cells.
const relayHops = 3

// digestRound returns the time in which the digests of all other VMs arrive.
func (c *Core) digestRound() time.Duration {
	switch {
	case c.relayedVMs > 0:
		return relayHops * c.relayInterval
	case c.limits.DigestsPerSecond > 0:
		return time.Duration(float64(len(c.peers)) / c.limits.DigestsPerSecond * float64(time.Second))
	}
	return 0
}

// expirePeers removes the peers whose digests have stopped.
func (c *Core) expirePeers(now time.Time) {
	timeout := max(minPeerTimeout, peerTimeoutRounds*c.digestRound())
	expired := false
	for name, view := range c.peers {
		if now.Sub(view.receivedAt) > timeout {
			c.removePeer(name)
			expired = true
		}
	}
	if expired {
		c.equalizePeerLoads()
	}
}
