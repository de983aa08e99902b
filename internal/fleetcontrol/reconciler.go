package fleetcontrol

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/rollout"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// ServerLister reads the platform's list of servers, without unusable entries.
type ServerLister interface {
	List(ctx context.Context) ([]fleet.Server, error)
}

// ServerClient reads the weights of servers and sends them orders.
type ServerClient interface {
	// CheckWeights reads the weights that a server has loaded and the state of its orders.
	CheckWeights(ctx context.Context, s fleet.Server) (rollout.Report, error)
	// LoadWeights orders a server to load other weights. permitted is called immediately before the first byte is
	// sent; if it returns false, nothing is sent. err is the reason of an outcome other than rollout.Accepted, or nil if
	// the server refused for now.
	LoadWeights(ctx context.Context, c rollout.Call, fence uint64, permitted func() bool) (outcome rollout.Outcome, err error)
}

const (
	reconcileInterval = 100 * time.Millisecond
	// listInterval is the time between two reads of the list. Together with the list's own
	// lag it leaves most of the time for which a draining server still accepts requests.
	listInterval = 700 * time.Millisecond
	// listTimeout limits one read of the list, checkTimeout one read of a server's weights.
	listTimeout  = time.Second
	checkTimeout = time.Second
)

// Reconciler reads the list of servers, publishes it to entry VMs, and orders servers to load
// the target weights versions, with the leader's term as the fence. It is active only on the
// leader.
type Reconciler struct {
	service *Service
	lister  ServerLister
	client  ServerClient
	planner *rollout.Planner
	// orderLease is the minimum time between the orders of two different senders.
	orderLease time.Duration
	now        clock.Clock
	log        *zap.Logger

	term        uint64
	termStart   time.Time      // when this replica began to lead in term
	lapsedAt    time.Time      // when the leader lease lapsed; zero while it is held
	listed      []fleet.Server // as of the last read, sorted
	hasList     bool           // listed was read in this term
	nextList    time.Time
	results     chan func()   // handlers of the results of calls, executed by Run
	listPending bool          // a read of the list is under way
	orders      orderBook     // of this term
	draining    atomic.Bool   // no more orders are sent
	idle        chan struct{} // closed by Run when the outcome of all orders is known, after the begin of Drain
	// lastListRead is the time of the last read of the list in Unix nanoseconds; 0 before the
	// first read.
	lastListRead atomic.Int64
}

// ListAge returns the time since this replica last read the list of servers; known is false
// before the first read.
func (r *Reconciler) ListAge() (age time.Duration, known bool) {
	lastRead := r.lastListRead.Load()
	return r.now().Sub(time.Unix(0, lastRead)), lastRead != 0
}

// NewReconciler returns a reconciler; orderLease is the minimum time between the orders of two
// different senders.
func NewReconciler(s *Service, lister ServerLister, client ServerClient, orderLease time.Duration, now clock.Clock, log *zap.Logger) *Reconciler {
	return &Reconciler{service: s, lister: lister, client: client, orderLease: orderLease, now: now, log: log, results: make(chan func(), 64), idle: make(chan struct{})}
}

// Run reconciles until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for drained := false; ; {
		select {
		case <-ctx.Done():
			return
		case handle := <-r.results:
			handle()
		case <-ticker.C:
		}
		leads := r.step(ctx)
		if !drained && r.draining.Load() && (!leads || r.orders.idle()) {
			drained = true
			close(r.idle)
		}
	}
}

// Drain stops sending orders and returns once the outcome of all orders that were sent is known and recorded, or they
// have been given up, so that the next leader waits for as few of them as possible.
func (r *Reconciler) Drain(ctx context.Context) error {
	r.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, OrderLifetime+proposeTimeout)
	defer cancel()
	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "orders not settled")
	}
}

// step starts the calls that are due and publishes the servers, if this replica leads. It keeps what it knows while
// the leader lease has lapsed: if a majority confirms the lease again in the same term, no other replica has led since.
func (r *Reconciler) step(ctx context.Context) (leads bool) {
	term, leads := r.service.replica.Leading()
	now := r.now()
	r.logLease(now, term, leads)
	if !leads {
		return false
	}
	if term != r.term {
		r.term, r.termStart, r.hasList = term, now, false
		r.planner = rollout.NewPlanner(rollout.DefaultConfig())
		r.orders = orderBook{term: term}
		r.log.Info("reconciling servers", zap.Uint64("term", term),
			zap.Strings("unanswered_orders", slices.Sorted(maps.Keys(r.service.machine.unansweredBefore(term)))))
	}
	if !r.listPending && !now.Before(r.nextList) {
		r.readList(ctx)
	}
	if !r.hasList {
		return true
	}
	if !r.draining.Load() {
		for _, call := range r.planner.Step(now, r.orderable(now), r.service.machine.State().TargetVersions) {
			r.checkWeights(ctx, call)
		}
	}
	r.recordOrders(ctx, now)
	r.publish()
	return true
}

// logLease logs when the leader lease lapses and when it is confirmed again in the same term.
func (r *Reconciler) logLease(now time.Time, term uint64, leads bool) {
	switch {
	case r.term == 0:
	case !leads && r.lapsedAt.IsZero():
		r.lapsedAt = now
		r.log.Warn("leader lease lapsed, nothing is ordered", zap.Uint64("term", r.term))
	case leads && !r.lapsedAt.IsZero():
		r.log.Info("leader lease held again", zap.Uint64("term", term), zap.Uint64("lapsed_in_term", r.term), zap.Duration("lapsed", now.Sub(r.lapsedAt)))
		r.lapsedAt = time.Time{}
	}
}

// orderable returns the servers that this leader may send orders. A former leader's last order may have arrived just
// before this replica began to lead, and one without an answer can arrive later.
func (r *Reconciler) orderable(now time.Time) []fleet.Server {
	if now.Sub(r.termStart) < r.orderLease+orderLeaseMargin {
		return nil
	}
	unanswered := r.service.machine.unansweredBefore(r.term)
	if len(unanswered) == 0 || r.formerOrdersOver(now) {
		return r.listed
	}
	return slices.DeleteFunc(slices.Clone(r.listed), func(s fleet.Server) bool { return unanswered[s.Address] })
}

// formerOrdersOver reports whether the order lease has passed since the last order of a former leader can have arrived.
func (r *Reconciler) formerOrdersOver(now time.Time) bool {
	return now.Sub(r.termStart) >= unansweredOrderLifetime+r.orderLease+orderLeaseMargin
}

// recordOrders commits which orders are about to be sent and which can't arrive any more, and then sends the former.
func (r *Reconciler) recordOrders(ctx context.Context, now time.Time) {
	if r.draining.Load() {
		r.orders.due = nil
	}
	former := r.formerOrdersOver(now) && len(r.service.machine.unansweredBefore(r.term)) > 0
	change, orders := r.orders.next(now, former)
	if change.empty() {
		return
	}
	term := r.term
	go func() {
		err := r.propose(ctx, change)
		r.deliver(ctx, term, func() {
			if err != nil {
				r.log.Warn("orders not recorded and not sent", zap.Int("orders", len(orders)), zap.Int("settled", len(change.Settled)), zap.Error(err))
				r.orders.notRecorded(change)
				for _, o := range orders {
					r.planner.HandleOrderResult(r.now(), o.call, false)
				}
				return
			}
			r.orders.recording = false
			for _, o := range orders {
				r.sendOrder(ctx, o)
			}
		})
	}()
}

// propose commits a change of the record of orders.
func (r *Reconciler) propose(ctx context.Context, change ordersCommand) error {
	data, err := command{Orders: &change}.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := r.service.replica.Propose(ctx, Namespace, data)
	if err == nil && !bytes.Equal(result.Data, inForce) {
		err = errkind.New(errkind.Internal, "the replicated state machine could not decode the command")
	}
	return err
}

// publish sends the servers to entry VMs, with the ones that load other weights marked.
func (r *Reconciler) publish() {
	servers := make([]fleet.Server, len(r.listed))
	for i, s := range r.listed {
		s = r.planner.WithLatestWeights(s)
		s.Changing = r.planner.Changing(s)
		servers[i] = s
	}
	r.service.SetServers(servers)
}

// deliver passes handle to Run, which executes it unless the term has changed by then.
func (r *Reconciler) deliver(ctx context.Context, term uint64, handle func()) {
	select {
	case r.results <- func() {
		if r.term == term {
			handle()
		}
	}:
	case <-ctx.Done():
	}
}

// readList starts a read of the list.
func (r *Reconciler) readList(ctx context.Context) {
	r.listPending, r.nextList = true, r.now().Add(listInterval)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		servers, err := r.lister.List(callCtx)
		select {
		case r.results <- func() { r.handleList(servers, err) }:
		case <-ctx.Done():
		}
	}()
}

// handleList stores the list that was read; after an error the former list stays.
func (r *Reconciler) handleList(servers []fleet.Server, err error) {
	r.listPending = false
	if err != nil {
		r.log.Warn("reading the list of servers failed", zap.Int("kept", len(r.listed)), zap.Error(err))
		return
	}
	r.lastListRead.Store(r.now().UnixNano())
	fleet.SortServers(servers)
	if !fleet.SameServers(servers, r.listed) {
		r.log.Info("list of servers changed", zap.Int("before", len(r.listed)), zap.Int("now", len(servers)))
	}
	r.listed, r.hasList = servers, true
}

// checkWeights reads the weights of a server and prepares the order that is due, if any.
func (r *Reconciler) checkWeights(ctx context.Context, call rollout.Call) {
	term := r.term
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		report, err := r.client.CheckWeights(callCtx, call.Server)
		r.deliver(ctx, term, func() {
			order, due := r.planner.HandleReport(r.now(), call, report, err)
			r.log.Info("server weights checked", zap.String("server", call.Server.ID), zap.Any("weights", report.Weights),
				zap.Bool("busy", report.Busy), zap.Int64("sequence", report.Sequence), zap.Bool("order", due),
				zap.Int("failed_loads", r.planner.FailedLoads(fleet.Weights{Model: call.Model, Version: call.Version})), zap.Error(err))
			if due {
				r.orders.due = append(r.orders.due, order)
			}
		})
	}()
}

// mayOrder reports whether this replica still leads in the term. The lease behind it counts the
// time in which the VM is suspended.
func (r *Reconciler) mayOrder(term uint64) bool {
	current, leads := r.service.replica.Leading()
	return leads && current == term
}

// sendOrder sends an order, which has been recorded, if this replica still leads in its term.
func (r *Reconciler) sendOrder(ctx context.Context, o recordedOrder) {
	term := r.term
	r.orders.sent++
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, OrderLifetime)
		defer cancel()
		outcome, err := r.client.LoadWeights(callCtx, o.call, term, func() bool { return r.mayOrder(term) })
		r.deliver(ctx, term, func() {
			accepted := outcome == rollout.Accepted
			r.log.Info("weights ordered", zap.String("server", o.call.Server.ID), zap.String("model", o.call.Model), zap.Int64("version", o.call.Version),
				zap.Uint64("fence", term), zap.Bool("accepted", accepted), zap.Stringer("outcome", outcome), zap.Error(err))
			r.orders.finish(r.now(), o.id, outcome)
			r.planner.HandleOrderResult(r.now(), o.call, accepted)
		})
	}()
}
