package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// ModuleName is the module's name in the kernel.
const ModuleName = "control.fleet"

// ModuleConfig configures a Module.
type ModuleConfig struct {
	Self         ControlVM
	Machine      *Machine
	Lister       ServerLister
	ServerClient ServerClient
	OrderLease   time.Duration // see NewReconciler
	Rollouts     RolloutBounds
	AckTime      time.Duration // for which operators resend an order for a rollout
	Now          clock.Clock
}

// Module is the control side of the fleet in one process.
type Module struct {
	*OperatorAPI
	cfg        ModuleConfig
	service    *Service
	reconciler *Reconciler
	log        *zap.Logger
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// ListAge returns the time since this replica last read the list of servers; known is false
// before the first read. Only the leader reads it.
func (m *Module) ListAge() (age time.Duration, known bool) { return m.reconciler.ListAge() }

// EntryVMs lists the entry VMs that this replica knows.
func (m *Module) EntryVMs() []dryrun.VM {
	vms := m.service.entryVMs()
	out := make([]dryrun.VM, 0, len(vms))
	for _, vm := range vms {
		out = append(out, dryrun.VM{Name: vm.Name, PeerAddress: vm.PeerAddress})
	}
	return out
}

// Call calls a peer by address.
func (m *Module) Call(ctx context.Context, address, method string, args, reply any) error {
	return m.OperatorAPI.peers.Call(ctx, address, method, args, reply)
}

// Collectors returns the metrics of the rollouts.
func (m *Module) Collectors() []prometheus.Collector {
	return []prometheus.Collector{rolloutMetrics{m.cfg.Machine}}
}

// NewModule returns a module.
func NewModule(cfg ModuleConfig) *Module { return &Module{cfg: cfg} }

// Provision looks up the consensus replica and registers the net/rpc receiver.
func (m *Module) Provision(k *kernel.Kernel) error {
	var (
		replica *consensus.Module
		pool    *peer.PoolModule
		server  *peer.ServerModule
	)
	err := k.Find(kernel.As(consensus.ModuleName, &replica), kernel.As(peer.PoolName, &pool), kernel.As(peer.ServerName, &server))
	if err != nil {
		return err
	}
	log := k.Log.Named("fleet")
	m.service = NewService(m.cfg.Self, m.cfg.Machine, replica, pool, m.cfg.Now, log)
	m.OperatorAPI = NewOperatorAPI(m.cfg.Machine, replica, pool, log)
	m.OperatorAPI.servers, m.OperatorAPI.ackTime = m.service.Servers, m.cfg.AckTime
	m.OperatorAPI.serversKnown = m.service.serversKnown
	// A status is zero before the replica runs, so entries of the log at its start have no lag.
	m.cfg.Machine.log = log
	m.cfg.Machine.freshAsOf = func() time.Time { return replica.Status().FreshAsOf }
	m.OperatorAPI.rolloutsDisabled = m.cfg.Rollouts.ExposureShare <= 0
	m.log = log
	m.reconciler = NewReconciler(m.service, m.cfg.Lister, m.cfg.ServerClient, m.cfg.OrderLease, m.cfg.Now, log)
	return server.Register(ServiceName, &receiver{m.service})
}

// Start starts the poll service and the reconciler.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	m.wg.Go(func() { m.service.Run(ctx) })
	m.wg.Go(func() { m.reconciler.Run(ctx) })
	m.wg.Go(func() { m.service.RunRollouts(ctx, m.cfg.Rollouts, m.log) })
	return nil
}

// Drain implements kernel.Drainer: it settles the orders before leadership is handed over.
func (m *Module) Drain(ctx context.Context) error {
	if m.cancel == nil {
		return nil
	}
	return m.reconciler.Drain(ctx)
}

// Stop stops both and waits for them.
func (m *Module) Stop(context.Context) error {
	if m.cancel != nil {
		m.cancel()
		m.wg.Wait()
	}
	return nil
}

// receiver exposes the net/rpc methods of a Service.
type receiver struct{ service *Service }

// Poll implements the net/rpc method Poll.
func (r *receiver) Poll(args *PollArgs, reply *PollReply) error { return r.service.Poll(args, reply) }

// Follow implements the net/rpc method Follow.
func (r *receiver) Follow(args *FollowArgs, reply *FollowReply) error {
	return r.service.Follow(args, reply)
}

// Propose implements the net/rpc method Propose.
func (r *receiver) Propose(args *ProposeArgs, reply *ProposeReply) error {
	return r.service.Propose(args, reply)
}
