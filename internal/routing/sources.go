package routing

import (
	"context"
	"strconv"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/rendezvous"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

const (
	ownershipInterval   = 500 * time.Millisecond
	eventsRetryInterval = time.Second
)

// endpointReaders runs one reader for each endpoint that this VM owns. The owner is the
// first of the live entry VMs by rendezvous hashing; it reads the endpoint's load reports
// and cache events and sends them to the others in its digests.
type endpointReaders struct {
	module  *Module
	monitor EndpointMonitor
	budget  *byteBudget
	cancels map[string]context.CancelFunc // by endpoint name and address
}

// errEventBudget ends the reading of an endpoint's cache events. Routing works about as
// well without them, and events that are read late would be wrong.
var errEventBudget = errors.New("cache event budget exceeded")

// eventBytes returns the approximate size of an event on the wire.
func eventBytes(e engineapi.Event) int {
	const frameBytes, hashBytes = 120, 19
	return frameBytes + hashBytes*len(e.Hashes)
}

// eventBudgetWindow is the time over which the cache event budget is averaged.
const eventBudgetWindow = 30 * time.Second

// byteBudget limits the bytes of cache events that a VM reads.
type byteBudget struct {
	limiter *rate.Limiter
}

func newByteBudget(perSecond int) *byteBudget {
	return &byteBudget{rate.NewLimiter(rate.Limit(perSecond), perSecond*int(eventBudgetWindow/time.Second))}
}

func (b *byteBudget) allow(n int, now time.Time) bool { return b.limiter.AllowN(now, n) }

func (r *endpointReaders) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(ownershipInterval)
	defer ticker.Stop()
	for {
		r.reconcile(ctx, group)
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

type endpointKey struct{ name, address string }

// reconcile starts and stops readers as the set of owned endpoints changes.
func (r *endpointReaders) reconcile(ctx context.Context, group *errgroup.Group) {
	owned := map[string]endpointKey{}
	for _, e := range r.module.ownedEndpoints() {
		owned[e.name+"\x00"+e.address] = e
	}
	for key, cancel := range r.cancels {
		if _, still := owned[key]; !still {
			cancel()
			delete(r.cancels, key)
		}
	}
	for key, e := range owned {
		if r.cancels[key] != nil {
			continue
		}
		readCtx, cancel := context.WithCancel(ctx)
		r.cancels[key] = cancel
		group.Go(func() error { r.readLoads(readCtx, e); return nil })
		group.Go(func() error { r.readEvents(readCtx, e); return nil })
	}
}

func (r *endpointReaders) readLoads(ctx context.Context, e endpointKey) {
	for {
		r.readLoad(ctx, e)
		if !sleep(ctx, r.module.settings.LoadEvery) {
			return
		}
	}
}

func (r *endpointReaders) readLoad(ctx context.Context, e endpointKey) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	load, err := r.monitor.Load(ctx, e.address)
	if err != nil {
		return
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	r.module.core.ApplyLoadReport(r.module.now(), e.name, load)
}

func (r *endpointReaders) readEvents(ctx context.Context, e endpointKey) {
	var after uint64
	var incarnation string
	for sleep(ctx, eventsRetryInterval) {
		err := r.monitor.Events(ctx, e.address, after, func(event engineapi.Event) error {
			if !r.budget.allow(eventBytes(event), time.Now()) {
				return errEventBudget
			}
			if event.Incarnation != incarnation {
				incarnation, after = event.Incarnation, 0
			}
			after = max(after, event.Seq)
			r.module.applyEvent(e.name, event)
			return nil
		})
		if errors.Is(err, errEventBudget) {
			r.module.log.Warn("cache event budget exceeded; no longer reading cache events of the endpoint", zap.String("endpoint", e.name))
			return
		}
		if err != nil && ctx.Err() == nil {
			r.module.log.Debug("cache event stream ended", zap.String("endpoint", e.name), zap.Error(err))
		}
	}
}

// applyEvent decodes a cache event and applies it to the core.
func (m *Module) applyEvent(endpoint string, e engineapi.Event) {
	hashes := make([]prefix.Hash, 0, len(e.Hashes))
	for _, text := range e.Hashes {
		if h, err := strconv.ParseUint(text, 16, 64); err == nil {
			hashes = append(hashes, prefix.Hash(h))
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.ApplyCacheEvent(m.now(), endpoint, CacheEvent{Incarnation: e.Incarnation, Seq: e.Seq, Kind: e.Kind, Hashes: hashes})
}

// ownedEndpoints lists the engines that this VM owns.
func (m *Module) ownedEndpoints() []endpointKey {
	self, peers := m.self(), m.peers()
	m.mu.Lock()
	defer m.mu.Unlock()
	var owned []endpointKey
	for name, s := range m.core.byName {
		if len(s.Models) > 0 && owns(prefix.Hash(s.id), self, peers) {
			owned = append(owned, endpointKey{name, s.Address})
		}
	}
	return owned
}

func owns(key prefix.Hash, self string, peers []string) bool {
	ownWeight := rendezvous.Weight(key, rendezvous.Name(self))
	for _, p := range peers {
		if rendezvous.Weight(key, rendezvous.Name(p)) > ownWeight {
			return false
		}
	}
	return true
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
