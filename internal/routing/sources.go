package routing

import (
	"context"
	"strconv"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/prefix"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

const (
	ownerCheckEvery = 500 * time.Millisecond
	eventsRetry     = time.Second
)

// readers keeps one reader for each endpoint that this VM owns: of the live entry
// VMs, the first by rendezvous hashing reads an endpoint's load and events and tells
// the others in its digests.
type readers struct {
	module *Module
	source EndpointMonitor
	budget *byteBudget
	stop   map[string]context.CancelFunc // by endpoint name and address
}

// errBudget ends the reading of an endpoint's events: routing does about as well
// without them, and events read late would be wrong.
var errBudget = errors.New("budget of cache events is spent")

// eventBytes is about what an event takes on the wire.
func eventBytes(e engineapi.Event) int {
	const frame, hash = 120, 19
	return frame + hash*len(e.Hashes)
}

// eventBurst is the time over which the budget of cache events is averaged.
const eventBurst = 30 * time.Second

// byteBudget bounds the bytes of cache events that a VM reads.
type byteBudget struct {
	limiter *rate.Limiter
}

func newByteBudget(perSecond int) *byteBudget {
	return &byteBudget{rate.NewLimiter(rate.Limit(perSecond), perSecond*int(eventBurst/time.Second))}
}

func (b *byteBudget) take(n int, now time.Time) bool { return b.limiter.AllowN(now, n) }

func (r *readers) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(ownerCheckEvery)
	defer ticker.Stop()
	for {
		r.adjust(ctx, group)
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

type readKey struct{ name, address string }

// adjust starts and stops readers as endpoints and VMs come and go.
func (r *readers) adjust(ctx context.Context, group *errgroup.Group) {
	mine := map[string]readKey{}
	for _, e := range r.module.owned() {
		mine[e.name+"\x00"+e.address] = e
	}
	for key, stop := range r.stop {
		if _, still := mine[key]; !still {
			stop()
			delete(r.stop, key)
		}
	}
	for key, e := range mine {
		if r.stop[key] != nil {
			continue
		}
		readCtx, stop := context.WithCancel(ctx)
		r.stop[key] = stop
		group.Go(func() error { r.loads(readCtx, e); return nil })
		group.Go(func() error { r.events(readCtx, e); return nil })
	}
}

func (r *readers) loads(ctx context.Context, e readKey) {
	for {
		r.load(ctx, e)
		if !pause(ctx, r.module.settings.LoadEvery) {
			return
		}
	}
}

func (r *readers) load(ctx context.Context, e readKey) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	load, err := r.source.Load(ctx, e.address)
	if err != nil {
		return
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	r.module.core.ApplyLoadReport(time.Now(), e.name, load)
}

func (r *readers) events(ctx context.Context, e readKey) {
	var after uint64
	var incarnation string
	for pause(ctx, eventsRetry) {
		err := r.source.Events(ctx, e.address, after, func(event engineapi.Event) error {
			if !r.budget.take(eventBytes(event), time.Now()) {
				return errBudget
			}
			if event.Incarnation != incarnation {
				incarnation, after = event.Incarnation, 0
			}
			after = max(after, event.Seq)
			r.module.event(e.name, event)
			return nil
		})
		if errors.Is(err, errBudget) {
			r.module.log.Warn("cache events exceed their budget and are no longer read", zap.String("endpoint", e.name))
			return
		}
		if err != nil && ctx.Err() == nil {
			r.module.log.Debug("cache events ended", zap.String("endpoint", e.name), zap.Error(err))
		}
	}
}

// event applies a cache event.
func (m *Module) event(endpoint string, e engineapi.Event) {
	hashes := make([]prefix.Hash, 0, len(e.Hashes))
	for _, text := range e.Hashes {
		if h, err := strconv.ParseUint(text, 16, 64); err == nil {
			hashes = append(hashes, prefix.Hash(h))
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.ApplyCacheEvent(time.Now(), endpoint, CacheEvent{Incarnation: e.Incarnation, Seq: e.Seq, Kind: e.Kind, Hashes: hashes})
}

// owned lists the engines whose reader this VM is.
func (m *Module) owned() []readKey {
	self, peers := m.self(), m.peers()
	m.mu.Lock()
	defer m.mu.Unlock()
	var mine []readKey
	for name, s := range m.core.byName {
		if len(s.Models) > 0 && owns(prefix.Hash(s.id), self, peers) {
			mine = append(mine, readKey{name, s.Address})
		}
	}
	return mine
}

func owns(key prefix.Hash, self string, peers []string) bool {
	mine := rendezvous(key, nameHash(self))
	for _, p := range peers {
		if rendezvous(key, nameHash(p)) > mine {
			return false
		}
	}
	return true
}

// pause waits; false when ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
