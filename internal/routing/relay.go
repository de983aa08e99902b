package routing

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/relay"

	"go.uber.org/zap"
)

// RelayArgs carries a VM's digest to its relay. Epoch, After and AfterAlert are the relay's start
// and the last news and alert that the VM has; zero if it has none.
type RelayArgs struct {
	Body       []byte
	Epoch      uint64
	After      uint64
	AfterAlert uint64
	Brittle    []BrittleService // as in DigestArgs
	Speeds     []byte           // as in DigestArgs
}

// RelayReply carries the relay's digest, which contains the loads of all other VMs and the
// news after RelayArgs.After.
type RelayReply struct {
	Body  []byte
	Epoch uint64
	Next  uint64 // number of the last news item in Body
	// NextAlert is the number of the last alert in Body.
	NextAlert uint64
	Brittle   []BrittleService // as in DigestArgs
	Speeds    []byte           // as in DigestArgs
}

func (r *RelayReply) setPosition(p relay.Position) { r.Next, r.NextAlert = p.News, p.Alerts }

// Relay applies the digest of a VM of this relay's cell and returns what other VMs have sent.
func (r digestReceiver) Relay(args RelayArgs, reply *RelayReply) error {
	d, err := digest.Decode(args.Body)
	if err != nil {
		return peer.EncodeError(err)
	}
	d.DecodeSpeeds(args.Speeds)
	m, now := r.module, r.module.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.ApplyDigest(now, d)
	m.core.MergeBrittle(now, args.Brittle)
	m.core.relayUrgent = m.core.relayUrgent || len(d.Suspects)+len(d.Limits) > 0
	m.hub.RecordMember(now, d)
	reply.Epoch, reply.Brittle = m.hub.Epoch, m.core.BrittleServices(now)
	if args.Epoch != m.hub.Epoch {
		// A VM that this relay does not know yet gets its state instead of the news.
		state := m.core.RecallDigest(now, m.self(), maxRecallBytes)
		state.Loads = m.core.otherLoads(d.From)
		state.TrimTo(maxRecallBytes)
		reply.Body, reply.Speeds = state.Encode(), state.EncodeSpeeds()
		reply.setPosition(m.hub.Latest())
		m.hub.SkipSpeeds(d.From) // what is known until now is in the state
		return nil
	}
	news := &digest.Digest{From: m.self(), Loads: m.core.otherLoads(d.From)}
	news.TrimTo(relay.MaxDigestBytes / 2)
	reply.setPosition(m.hub.AppendForMember(news, relay.Position{Alerts: args.AfterAlert, News: args.After}, d.From))
	reply.Body, reply.Speeds = news.Encode(), news.EncodeSpeeds()
	return nil
}

// otherLoads returns the sum of the loads of this VM and its peers except one.
func (c *Core) otherLoads(except string) []digest.Load {
	excepted := c.peerLoads(except)
	return c.listLoads(func(s *State) reportedLoad {
		sum := reportedLoad{s.InFlight + s.peerReported.inFlight, s.PendingTokens + s.peerReported.pendingTokens}
		sum.add(-excepted[s].inFlight, -excepted[s].pendingTokens)
		return sum
	})
}

// cellLoads returns the sum of the loads of this VM and the given peers.
func (c *Core) cellLoads(members []string) []digest.Load {
	cell := c.peerLoads(members...)
	return c.listLoads(func(s *State) reportedLoad {
		sum := reportedLoad{s.InFlight, s.PendingTokens}
		sum.add(cell[s].inFlight, cell[s].pendingTokens)
		return sum
	})
}

// peerLoads returns the sum of the last loads of the given peers, without those of endpoints
// that have restarted since.
func (c *Core) peerLoads(addresses ...string) map[*State]reportedLoad {
	sums := map[*State]reportedLoad{}
	for _, address := range addresses {
		for _, l := range c.peers[address].loads {
			if l.state.run == l.run {
				sum := sums[l.state]
				sum.add(l.inFlight, l.pendingTokens)
				sums[l.state] = sum
			}
		}
	}
	return sums
}

// listLoads returns the loads of the endpoints that have any, the highest first.
func (c *Core) listLoads(load func(*State) reportedLoad) []digest.Load {
	var loads []digest.Load
	for _, s := range c.endpoints {
		if sum := load(s); sum.inFlight > 0 {
			loads = append(loads, digest.Load{Endpoint: s.id, Run: s.run, InFlight: clampUint16(sum.inFlight), PendingTokens: uint32(max(sum.pendingTokens, 0))})
		}
	}
	slices.SortFunc(loads, compareLoads)
	return loads
}

// compareLoads orders the higher load first.
func compareLoads(a, b digest.Load) int {
	return cmp.Or(cmp.Compare(b.PendingTokens, a.PendingTokens), cmp.Compare(a.Endpoint, b.Endpoint))
}

// exchangeWithRelay sends this VM's digest to its relay and applies the reply.
func (x *digestExchange) exchangeWithRelay(ctx context.Context, address string) {
	m := x.module
	m.mu.Lock()
	if address != x.lastRelay {
		m.core.removePeer(x.lastRelay)
		x.lastRelay, x.relayEpoch, x.relayAfter, x.relayAfterAlert = address, 0, 0, 0
	}
	m.core.QueueDueEvictions(m.now())
	sent := m.core.NextDigest(m.self(), m.settings.DigestBytes)
	args := RelayArgs{Body: sent.Encode(), Speeds: sent.EncodeSpeeds(), Epoch: x.relayEpoch, After: x.relayAfter, AfterAlert: x.relayAfterAlert, Brittle: m.core.BrittleServices(m.now())}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	var reply RelayReply
	err := x.pool.Call(ctx, address, DigestService+".Relay", args, &reply)
	var d *digest.Digest
	if err == nil {
		d, err = digest.Decode(reply.Body)
	}
	if err != nil {
		m.log.Debug("exchange with the relay failed", zap.String("relay", address), zap.Error(err))
		m.mu.Lock()
		defer m.mu.Unlock()
		m.core.returnAlerts(sent)
		return
	}
	d.From = address
	d.DecodeSpeeds(reply.Speeds)
	m.mu.Lock()
	defer m.mu.Unlock()
	x.relayEpoch, x.relayAfter, x.relayAfterAlert = reply.Epoch, reply.Next, reply.NextAlert
	m.core.ApplyDigest(m.now(), d)
	m.core.MergeBrittle(m.now(), reply.Brittle)
}

// sendToRelays sends the other relays the loads of this relay's cell and its news since the last
// call. Alerts that were not delivered go out again.
func (x *digestExchange) sendToRelays(ctx context.Context, relays []string, calls *sync.WaitGroup) {
	m := x.module
	m.mu.Lock()
	m.hub.Expire(m.now())
	m.hub.SetRelays(m.now(), relays)
	m.core.QueueDueEvictions(m.now())
	m.hub.RecordOwn(m.now(), m.core.NextDigest(m.self(), m.settings.DigestBytes))
	loads := m.core.cellLoads(m.hub.Members())
	m.mu.Unlock()
	x.sendAll(ctx, relays, calls, func(address string) (DigestArgs, func()) {
		m.mu.Lock()
		defer m.mu.Unlock()
		d := &digest.Digest{From: m.self(), Loads: loads}
		d.TrimTo(relay.MaxDigestBytes / 2)
		delivered := m.hub.AppendForRelay(d, address, m.self())
		return DigestArgs{Body: d.Encode(), Speeds: d.EncodeSpeeds()}, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			delivered()
		}
	})
}
