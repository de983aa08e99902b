package fleetcontrol

import (
	"context"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/rollout"

	"go.uber.org/zap"
)

// ServerLister reads the platform's list of servers. Entries that can't be used are left out.
type ServerLister interface {
	List(ctx context.Context) ([]fleet.Server, error)
}

// ServerClient gives orders to servers.
type ServerClient interface {
	// CheckWeights reads what a server says of itself.
	CheckWeights(ctx context.Context, s fleet.Server) (rollout.Report, error)
	// LoadWeights orders other weights; accepted is false when the server refused for now. After
	// an error the order may still be carried out.
	LoadWeights(ctx context.Context, c rollout.Call, fence uint64) (accepted bool, err error)
}

const (
	keeperTick = 100 * time.Millisecond
	// listEvery is the time between two reads of the list. With the list's own lag it
	// leaves most of the time that a draining server may still get requests.
	listEvery = 700 * time.Millisecond
	// listTimeout bounds one read; orderTimeout one call to a server.
	listTimeout  = time.Second
	orderTimeout = time.Second
	// orderMargin is added to the lease that keeps two senders of orders apart.
	orderMargin = 500 * time.Millisecond
)

// Reconciler runs on the leader alone: it reads the list of servers, publishes it, and brings
// servers to the named weights under the leader's term as the fence.
type Reconciler struct {
	service *Service
	lister  ServerLister
	orderer ServerClient
	planner *rollout.Planner
	lease   time.Duration // by which senders of orders keep apart
	now     clock.Clock
	log     *zap.Logger

	term    uint64
	since   time.Time // of the term
	listed  []fleet.Server
	known   bool
	listDue time.Time
	results chan func() // what came of calls, run by Run
	reading bool
	// listRead is when the list was last read, by now in Unix ns; 0 before the first time.
	listRead atomic.Int64
}

// ListAge is how long ago this replica read the list of servers; known is false before
// the first time.
func (k *Reconciler) ListAge() (age time.Duration, known bool) {
	at := k.listRead.Load()
	return k.now().Sub(time.Unix(0, at)), at != 0
}

// NewReconciler returns a reconciler; lease is how long two senders of orders must keep apart.
func NewReconciler(s *Service, l ServerLister, o ServerClient, lease time.Duration, now clock.Clock, log *zap.Logger) *Reconciler {
	return &Reconciler{service: s, lister: l, orderer: o, lease: lease, now: now, log: log, results: make(chan func(), 64)}
}

// Run works until ctx ends.
func (k *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(keeperTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-k.results:
			f()
		case <-ticker.C:
		}
		k.step(ctx)
	}
}

func (k *Reconciler) step(ctx context.Context) {
	term, leads := k.service.replica.Leading()
	if !leads {
		k.term = 0
		return
	}
	now := k.now()
	if term != k.term {
		k.term, k.since, k.known = term, now, false
		k.planner = rollout.NewPlanner(rollout.DefaultConfig())
		k.log.Info("keeping servers", zap.Uint64("term", term))
	}
	if !k.reading && !now.Before(k.listDue) {
		k.read(ctx)
	}
	if !k.known {
		return
	}
	// The sender before this one may still act on its lease.
	if now.Sub(k.since) >= k.lease+orderMargin {
		for _, call := range k.planner.Step(now, k.listed, k.service.machine.State().TargetVersions) {
			k.look(ctx, call)
		}
	}
	k.publish()
}

// publish tells entry VMs the servers, marking those under change.
func (k *Reconciler) publish() {
	out := make([]fleet.Server, len(k.listed))
	for i, s := range k.listed {
		s = k.planner.Known(s)
		s.Changing = k.planner.Changing(s)
		out[i] = s
	}
	k.service.SetServers(out)
}

// later has Run take in a result, unless another term has begun meanwhile.
func (k *Reconciler) later(ctx context.Context, term uint64, f func()) {
	select {
	case k.results <- func() {
		if k.term == term {
			f()
		}
	}:
	case <-ctx.Done():
	}
}

func (k *Reconciler) read(ctx context.Context) {
	k.reading, k.listDue = true, k.now().Add(listEvery)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		servers, err := k.lister.List(callCtx)
		select {
		case k.results <- func() { k.took(servers, err) }:
		case <-ctx.Done():
		}
	}()
}

func (k *Reconciler) took(servers []fleet.Server, err error) {
	k.reading = false
	if err != nil {
		k.log.Warn("list of servers not read", zap.Int("kept", len(k.listed)), zap.Error(err))
		return
	}
	k.listRead.Store(k.now().UnixNano())
	fleet.SortServers(servers)
	if !fleet.SameServers(servers, k.listed) {
		k.log.Info("list of servers changed", zap.Int("before", len(k.listed)), zap.Int("now", len(servers)))
	}
	k.listed, k.known = servers, true
}

func (k *Reconciler) look(ctx context.Context, call rollout.Call) {
	term := k.term
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		report, err := k.orderer.CheckWeights(callCtx, call.Server)
		k.later(ctx, term, func() {
			order, due := k.planner.Looked(k.now(), call, report, err)
			k.log.Info("server weights checked", zap.String("server", call.Server.ID), zap.Any("weights", report.Weights),
				zap.Bool("busy", report.Busy), zap.Int64("sequence", report.Sequence), zap.Bool("order", due), zap.Error(err))
			if due {
				k.order(ctx, order)
			}
		})
	}()
}

// order gives an order if this replica still leads in its term.
func (k *Reconciler) order(ctx context.Context, call rollout.Call) {
	term, leads := k.service.replica.Leading()
	if !leads || term != k.term {
		return
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		accepted, err := k.orderer.LoadWeights(callCtx, call, term)
		k.later(ctx, term, func() {
			k.log.Info("weights ordered", zap.String("server", call.Server.ID), zap.String("model", call.Model),
				zap.Int64("version", call.Version), zap.Uint64("fence", term), zap.Bool("accepted", accepted), zap.Error(err))
			k.planner.Ordered(k.now(), call, accepted)
		})
	}()
}
