package routing

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/relay"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// DigestService is the net/rpc service name of the digest exchange between entry VMs.
const DigestService = "Digest"

const (
	digestTimeout  = 500 * time.Millisecond
	urgentInterval = 20 * time.Millisecond
	maxRecallBytes = 16 << 10
	// digestBurst is the number of digests sent without pacing. In a fleet with no more
	// peers, every peer receives a new prefix immediately.
	digestBurst = 16
	// maxRecallPeers is the number of peers with placements that a VM recalls from after
	// its start. All peers have about the same placements.
	maxRecallPeers = 3
)

// DigestArgs carries an encoded digest.
type DigestArgs struct {
	Body []byte
	// Brittle are services with brittle endpoints.
	Brittle []BrittleService
	// Speeds are the speeds of the digest, see digest.Digest.EncodeSpeeds. Builds before it ignore them.
	Speeds []byte
}

// DigestReply is empty.
type DigestReply struct{}

// RecallArgs asks a peer for its state, on behalf of a VM that has just started.
type RecallArgs struct{ Bytes int }

// RecallReply carries an encoded digest.
type RecallReply struct {
	Body    []byte
	Brittle []BrittleService // as in DigestArgs
	Speeds  []byte           // as in DigestArgs
}

// digestReceiver is the net/rpc receiver of the digest service.
type digestReceiver struct{ module *Module }

// Give applies a peer's digest.
func (r digestReceiver) Give(args DigestArgs, _ *DigestReply) error {
	d, err := digest.Decode(args.Body)
	if err != nil {
		return peer.EncodeError(err)
	}
	d.DecodeSpeeds(args.Speeds)
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	now := r.module.now()
	r.module.core.ApplyDigest(now, d)
	r.module.core.MergeBrittle(now, args.Brittle)
	r.module.hub.RecordRelay(now, d)
	return nil
}

// Recall returns the state of this VM, the most recently used prefixes first.
func (r digestReceiver) Recall(args RecallArgs, reply *RecallReply) error {
	if args.Bytes <= 0 {
		return peer.EncodeError(errkind.New(errkind.InvalidRequest, "invalid recall size of %d bytes", args.Bytes))
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	now := r.module.now()
	d := r.module.core.RecallDigest(now, r.module.self(), min(args.Bytes, maxRecallBytes))
	reply.Body, reply.Speeds = d.Encode(), d.EncodeSpeeds()
	reply.Brittle = r.module.core.BrittleServices(now)
	return nil
}

// peerCaller makes net/rpc calls to peers. The module peer.pool implements it.
type peerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// digestExchange exchanges digests with the other entry VMs; see relay.Topology.
type digestExchange struct {
	module   *Module
	pool     peerCaller
	lastSent time.Time // time of the last digest
	limiter  *rate.Limiter

	lastTopology relay.Topology

	// lastRelay is the relay of the last exchange; relayEpoch, relayAfter and relayAfterAlert
	// are the last RelayReply from it.
	lastRelay       string
	relayEpoch      uint64
	relayAfter      uint64
	relayAfterAlert uint64

	mu              sync.Mutex
	inFlight        map[string]bool // peers with a call in progress
	recallAsked     map[string]bool // peers that were asked to recall
	recallsAnswered int             // peers that returned placements
}

func newDigestExchange(m *Module, pool peerCaller) *digestExchange {
	limiter := rate.NewLimiter(rate.Inf, 0)
	if m.settings.DigestCalls > 0 {
		limiter = rate.NewLimiter(rate.Limit(m.settings.DigestCalls), digestBurst)
	}
	return &digestExchange{module: m, pool: pool, limiter: limiter, inFlight: map[string]bool{}, recallAsked: map[string]bool{}}
}

func (x *digestExchange) run(ctx context.Context) error {
	ticker := time.NewTicker(urgentInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if x.due(now) {
				x.runRound(ctx, &calls)
			}
		}
	}
}

// due reports whether to send a digest now, either a regular or an early one. Digests over
// relays are early only after a crash, as every VM gets them one by one.
func (x *digestExchange) due(now time.Time) bool {
	x.module.mu.Lock()
	urgent, interval := x.module.core.DigestUrgent(), x.module.settings.DigestEvery
	if x.module.core.relayedVMs > 0 {
		interval = x.module.core.relayInterval
		urgent = x.module.core.relayUrgent && now.Sub(x.lastSent) >= relay.MinInterval
	}
	x.module.mu.Unlock()
	if !urgent && now.Sub(x.lastSent) < interval {
		return false
	}
	x.lastSent = now
	return true
}

// runRound exchanges digests as the current topology says.
func (x *digestExchange) runRound(ctx context.Context, calls *sync.WaitGroup) {
	m := x.module
	t := relay.NewTopology(m.self(), m.allVMs(), m.settings.DigestCalls, staleDigestInterval)
	m.mu.Lock()
	relayedVMs := 0
	if t.Relayed {
		relayedVMs = t.VMs
	}
	m.core.setRelayed(relayedVMs, t.Interval)
	m.mu.Unlock()
	x.logTopology(t)
	switch {
	case !t.Relayed:
		x.sendRound(ctx, t.Direct, calls)
	case t.Relay != "":
		x.exchangeWithRelay(ctx, t.Relay)
	default:
		x.sendToRelays(ctx, t.Relays, calls)
	}
}

// logTopology logs a change of the VMs with which this one exchanges digests.
func (x *digestExchange) logTopology(t relay.Topology) {
	last := x.lastTopology
	if t.Relayed == last.Relayed && t.Relay == last.Relay && len(t.Relays) == len(last.Relays) {
		return
	}
	x.lastTopology = t
	x.module.log.Info("digest exchange changed", zap.Bool("relayed", t.Relayed), zap.String("relay", t.Relay),
		zap.Int("other_relays", len(t.Relays)), zap.Int("vms", t.VMs))
}

// sendRound sends a digest to every peer.
func (x *digestExchange) sendRound(ctx context.Context, peers []string, calls *sync.WaitGroup) {
	m := x.module
	m.mu.Lock()
	m.core.QueueDueEvictions(m.now())
	d := m.core.NextDigest(m.self(), m.settings.DigestBytes)
	m.mu.Unlock()
	args := DigestArgs{Body: d.Encode(), Speeds: d.EncodeSpeeds()}
	x.sendAll(ctx, peers, calls, func(string) (DigestArgs, func()) { return args, func() {} })
}

// sendAll sends digests to peers at the limited rate. It skips peers whose previous call has not
// returned. message returns the digest for a peer, and what to call after its delivery.
func (x *digestExchange) sendAll(ctx context.Context, peers []string, calls *sync.WaitGroup, message func(address string) (args DigestArgs, delivered func())) {
	for _, address := range x.sendOrder(peers) {
		if x.limiter.Wait(ctx) != nil {
			return // ctx has ended
		}
		if !x.acquire(address) {
			continue
		}
		args, delivered := message(address)
		calls.Go(func() {
			defer x.release(address)
			if x.sendDigest(ctx, address, args) {
				delivered()
			}
		})
	}
}

// sendOrder returns the peers in the order of their addresses, starting after this VM, so
// that the VMs of a fleet do not all call the same peer first.
func (x *digestExchange) sendOrder(peers []string) []string {
	slices.Sort(peers)
	next, _ := slices.BinarySearch(peers, x.module.self())
	return slices.Concat(peers[next:], peers[:next])
}

// sendDigest sends a digest and reports whether it has been delivered.
func (x *digestExchange) sendDigest(ctx context.Context, address string, args DigestArgs) bool {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	args.Brittle = x.brittleServices()
	if err := x.pool.Call(ctx, address, DigestService+".Give", args, &DigestReply{}); err != nil {
		x.module.log.Debug("digest delivery failed", zap.String("peer", address), zap.Error(err))
		return false
	}
	x.recall(ctx, address) // also on a relay: its cell asks it for its state
	return true
}

// brittleServices returns the services with brittle endpoints, for a peer.
func (x *digestExchange) brittleServices() []BrittleService {
	x.module.mu.Lock()
	defer x.module.mu.Unlock()
	return x.module.core.BrittleServices(x.module.now())
}

// recall asks a peer for its state when this VM has reached it for the first time.
func (x *digestExchange) recall(ctx context.Context, address string) {
	x.mu.Lock()
	skip := x.recallAsked[address] || x.recallsAnswered >= maxRecallPeers
	x.recallAsked[address] = true
	x.mu.Unlock()
	if skip {
		return
	}
	var reply RecallReply
	if err := x.pool.Call(ctx, address, DigestService+".Recall", RecallArgs{Bytes: maxRecallBytes}, &reply); err != nil {
		return
	}
	d, err := digest.Decode(reply.Body)
	if err != nil {
		return
	}
	d.DecodeSpeeds(reply.Speeds)
	if len(d.Placements) > 0 {
		x.mu.Lock()
		x.recallsAnswered++
		x.mu.Unlock()
	}
	x.module.mu.Lock()
	defer x.module.mu.Unlock()
	x.module.core.ApplyDigest(x.module.now(), d)
	x.module.core.MergeBrittle(x.module.now(), reply.Brittle)
}

func (x *digestExchange) acquire(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight[address] {
		return false
	}
	x.inFlight[address] = true
	return true
}

func (x *digestExchange) release(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.inFlight, address)
}
