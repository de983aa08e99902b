package routing

import (
	"context"
	"time"

	"eelgrasshollow/internal/permits"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/rendezvous"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// PermitService is the net/rpc service name under which an entry VM gives permits.
const PermitService = "Permit"

const (
	// permitTimeout limits a call to an owner. Requests wait for it.
	permitTimeout = 250 * time.Millisecond
	// ownerRetryInterval is the time after a failed call in which the owner is not called.
	ownerRetryInterval = time.Second
)

// permitReceiver is the net/rpc receiver of the permit service.
type permitReceiver struct{ module *Module }

// Take answers another VM's ask for permits.
func (r permitReceiver) Take(ask permits.Ask, reply *permits.Reply) error {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	*reply = m.core.GivePermits(m.now(), ask)
	return nil
}

// permitClient calls the owners of endpoints. The module's mutex guards it.
type permitClient struct {
	ctx       context.Context // nil before the module has started
	group     *errgroup.Group
	awayUntil map[string]time.Time // by address of an owner that did not answer
	answers   *prometheus.CounterVec
}

func newPermitClient() permitClient {
	return permitClient{awayUntil: map[string]time.Time{}, answers: newPermitCounter()}
}

// count counts the permits that an ask for count of them got.
func (c *permitClient) count(from string, count, given int) {
	c.answers.WithLabelValues(from, "given").Add(float64(given))
	c.answers.WithLabelValues(from, "refused").Add(float64(max(count-given, 0)))
}

func (c *permitClient) start(ctx context.Context, group *errgroup.Group) { c.ctx, c.group = ctx, group }

// permitOwner returns the peer address of the VM that gives the permits of an endpoint, and the
// number of VMs. All VMs with the same list of VMs agree on it; VMs that stop are no owners.
func (m *Module) permitOwner(s *State) (address string, vms int) {
	key, highest := prefix.Hash(s.id), uint64(0)
	address = m.self()
	for _, vm := range m.allVMs() {
		if vm.PeerAddress == "" {
			continue
		}
		vms++
		if weight := rendezvous.Weight(key, rendezvous.Name(vm.PeerAddress)); !vm.Leaving && weight >= highest {
			address, highest = vm.PeerAddress, weight
		}
	}
	return address, max(vms, 1)
}

// askForPermits asks for the permits that queued requests need. An answer that this VM gives itself
// may move requests to other endpoints, for which it asks next. The caller holds the mutex.
func (m *Module) askForPermits(now time.Time) {
	for {
		asks := m.core.TakeAsks(now, m.self())
		if len(asks) == 0 {
			return
		}
		for _, ask := range asks {
			m.ask(now, ask)
		}
	}
}

// ask answers an ask if this VM owns the endpoint or its owner is away, or else calls the owner.
func (m *Module) ask(now time.Time, ask PermitAsk) {
	owner, vms := m.permitOwner(ask.state)
	ask.VMs = vms
	switch {
	case owner == m.self():
		reply := m.core.GivePermits(now, ask.Ask)
		m.permits.count("self", ask.Count, len(reply.Begin))
		m.core.ApplyPermits(now, ask, reply)
	case m.permits.ctx == nil || m.permits.ctx.Err() != nil || now.Before(m.permits.awayUntil[owner]):
		m.takeOwnShare(now, ask)
	default:
		m.permits.group.Go(func() error { m.callOwner(m.permits.ctx, owner, ask); return nil })
	}
}

// callOwner asks an owner for permits, and takes this VM's own share if it does not answer.
func (m *Module) callOwner(ctx context.Context, owner string, ask PermitAsk) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var reply permits.Reply
	err := m.pool.Call(ctx, owner, PermitService+".Take", ask.Ask, &reply)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	defer m.askForPermits(now)
	if err == nil && ask.Pace.Active() && reply.Rate == 0 {
		m.takeOwnShare(now, ask) // the owner's build knows no pace
		return
	}
	if err == nil {
		if _, wasAway := m.permits.awayUntil[owner]; wasAway {
			delete(m.permits.awayUntil, owner)
			m.log.Info("owner of a rate limit answers again", zap.String("owner", owner), zap.String("endpoint", ask.state.Name))
		}
		m.permits.count("owner", ask.Count, len(reply.Begin))
		m.core.ApplyPermits(now, ask, reply)
		return
	}
	m.log.Info("owner of a rate limit does not answer; using this VM's share", zap.String("owner", owner), zap.String("endpoint", ask.state.Name),
		zap.Float64("per_second", m.core.permitRate(ask.state)), zap.Int("vms", ask.VMs), zap.Error(err))
	m.permits.awayUntil[owner] = now.Add(ownerRetryInterval)
	m.takeOwnShare(now, ask)
}

// takeOwnShare answers an ask with this VM's share. The caller holds the mutex.
func (m *Module) takeOwnShare(now time.Time, ask PermitAsk) {
	m.permits.count("share", ask.Count, m.core.ApplyOwnShare(now, ask))
}
