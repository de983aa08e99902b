package routing

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// DigestService is the net/rpc name of the exchange between entry VMs.
const DigestService = "Digest"

const (
	digestTimeout = 500 * time.Millisecond
	urgentEvery   = 20 * time.Millisecond
	recallBytes   = 16 << 10
	// digestBurst digests leave together; a fleet of no more peers hears of a new prefix at once.
	digestBurst = 16
	// recallPeers is how many peers that know anything a VM asks after its start. All of
	// them know about the same.
	recallPeers = 3
)

// DigestArgs carries an encoded digest.
type DigestArgs struct{ Body []byte }

// DigestReply is empty.
type DigestReply struct{}

// RecallArgs asks for what a peer knows, for a VM that has just started.
type RecallArgs struct{ Bytes int }

// RecallReply carries an encoded digest.
type RecallReply struct{ Body []byte }

// receiver is the net/rpc side.
type receiver struct{ module *Module }

// Give takes in a peer's digest.
func (r receiver) Give(args DigestArgs, _ *DigestReply) error {
	d, err := digest.Decode(args.Body)
	if err != nil {
		return peer.EncodeError(err)
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	r.module.core.ApplyDigest(time.Now(), d)
	return nil
}

// Recall answers with what this VM knows, the most recently used first.
func (r receiver) Recall(args RecallArgs, reply *RecallReply) error {
	if args.Bytes <= 0 {
		return peer.EncodeError(errkind.New(errkind.InvalidRequest, "recall of %d bytes", args.Bytes))
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	reply.Body = r.module.core.RecallDigest(time.Now(), r.module.self(), min(args.Bytes, recallBytes)).Encode()
	return nil
}

// caller makes net/rpc calls to peers; the module peer.pool implements it.
type caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// exchange sends digests to the other entry VMs.
type exchange struct {
	module *Module
	pool   caller
	last   time.Time // of the last digest
	pace   *rate.Limiter

	mu       sync.Mutex
	busy     map[string]bool // peers whose last call still runs
	known    map[string]bool // peers that were asked to recall
	recalled int             // peers that had something to recall
}

func newExchange(m *Module, pool caller) *exchange {
	pace := rate.NewLimiter(rate.Inf, 0)
	if m.settings.DigestCalls > 0 {
		pace = rate.NewLimiter(rate.Limit(m.settings.DigestCalls), digestBurst)
	}
	return &exchange{module: m, pool: pool, pace: pace, busy: map[string]bool{}, known: map[string]bool{}}
}

func (x *exchange) run(ctx context.Context) error {
	ticker := time.NewTicker(urgentEvery)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if x.due(now) {
				x.round(ctx, &calls)
			}
		}
	}
}

// due reports whether a digest is to be sent now: one of the regular ones, or an
// urgent one.
func (x *exchange) due(now time.Time) bool {
	x.module.mu.Lock()
	urgent := x.module.core.DigestUrgent()
	x.module.mu.Unlock()
	if !urgent && now.Sub(x.last) < x.module.settings.DigestEvery {
		return false
	}
	x.last = now
	return true
}

// round tells every peer, no faster than the limit; one that has not answered yet is passed over.
func (x *exchange) round(ctx context.Context, calls *sync.WaitGroup) {
	m := x.module
	m.mu.Lock()
	body := m.core.NextDigest(m.self(), m.settings.DigestBytes).Encode()
	m.mu.Unlock()
	for _, address := range x.order(m.peers()) {
		if x.pace.Wait(ctx) != nil {
			return // ctx has ended
		}
		if !x.take(address) {
			continue
		}
		calls.Go(func() {
			defer x.release(address)
			x.tell(ctx, address, body)
		})
	}
}

// order starts with the peer that follows this VM by address, so that the VMs of a fleet
// don't all call the same peer first.
func (x *exchange) order(peers []string) []string {
	slices.Sort(peers)
	next, _ := slices.BinarySearch(peers, x.module.self())
	return slices.Concat(peers[next:], peers[:next])
}

func (x *exchange) tell(ctx context.Context, address string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	if err := x.pool.Call(ctx, address, DigestService+".Give", DigestArgs{Body: body}, &DigestReply{}); err != nil {
		x.module.log.Debug("digest not delivered", zap.String("peer", address), zap.Error(err))
		return
	}
	x.recall(ctx, address)
}

// recall asks a peer that is met for the first time for what it knows.
func (x *exchange) recall(ctx context.Context, address string) {
	x.mu.Lock()
	skip := x.known[address] || x.recalled >= recallPeers
	x.known[address] = true
	x.mu.Unlock()
	if skip {
		return
	}
	var reply RecallReply
	if err := x.pool.Call(ctx, address, DigestService+".Recall", RecallArgs{Bytes: recallBytes}, &reply); err != nil {
		return
	}
	d, err := digest.Decode(reply.Body)
	if err != nil {
		return
	}
	if len(d.Placements) > 0 {
		x.mu.Lock()
		x.recalled++
		x.mu.Unlock()
	}
	x.module.mu.Lock()
	defer x.module.mu.Unlock()
	x.module.core.ApplyDigest(time.Now(), d)
}

func (x *exchange) take(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[address] {
		return false
	}
	x.busy[address] = true
	return true
}

func (x *exchange) release(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, address)
}
