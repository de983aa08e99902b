package grants

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/statemachine"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
)

// HolderSettings is the section [grants] of an entry VM's settings.
type HolderSettings struct {
	Interval  time.Duration `ini:"report_interval" default:"1s" doc:"time between two reports to the owner"`
	Horizon   time.Duration `ini:"horizon" default:"2500ms" doc:"demand that a slice should last for; covers a change of the owner"`
	QueueTime time.Duration `ini:"queue_time" default:"300ms" doc:"how long a request may wait for tokens"`
	OwnerWait time.Duration `ini:"owner_wait" default:"2s" doc:"how long a request may wait for tokens while the owner does not answer, as when it changes"`
	MaxQueue  int           `ini:"queue_length" default:"64" doc:"requests of one client account that may wait"`
}

// OwnerSettings is the section [grants] of a control VM's settings.
type OwnerSettings struct {
	Lease time.Duration `ini:"lease" default:"5s" doc:"how long a slice may be used; a new owner waits for as long"`
}

// server registers net/rpc receivers.
type server interface {
	Register(name string, receiver any) error
}

// pool calls the control leader.
type pool interface {
	Leader() peer.Caller
}

// HolderModule is the module entry.grants, the Limiter of an entry VM.
type HolderModule struct {
	cfg      HolderSettings
	fallBack bool
	limit    func(account string) (Limit, bool)
	now      clock.Clock
	client   *Client
	tokens   *prometheus.CounterVec
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// NewHolderModule returns the module entry.grants. fallBack is set if a FallbackLimiter decides
// while the owner is away. limit is HolderOptions.Limit.
func NewHolderModule(cfg HolderSettings, fallBack bool, limit func(account string) (Limit, bool), now clock.Clock) *HolderModule {
	return &HolderModule{
		cfg: cfg, fallBack: fallBack, limit: limit, now: now,
		tokens: newTokensCounter("eelgrass_grant_tokens_total", "Tokens that requests asked for, by priority and outcome."),
	}
}

// Provision implements kernel.Module.
func (m *HolderModule) Provision(k *kernel.Kernel) error {
	if m.cfg.Interval <= 0 || m.cfg.Interval >= DefaultLease {
		return errors.Newf("report_interval must be above 0 and below the lease")
	}
	p, err := kernel.Lookup[pool](k, "peer.pool")
	if err != nil {
		return err
	}
	opt := HolderOptions{
		Name: uuid.NewString(), Interval: m.cfg.Interval, Horizon: m.cfg.Horizon,
		QueueTime: m.cfg.QueueTime, OwnerWait: m.cfg.OwnerWait, MaxQueue: m.cfg.MaxQueue, FallBack: m.fallBack, Limit: m.limit,
		Jitter: rand.Float64,
	}
	m.client = NewClient(opt, p.Leader(), k.Log.Named("grants"), m.now)
	return nil
}

// Start implements kernel.Module.
func (m *HolderModule) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	m.wg.Go(func() { m.client.Run(ctx) })
	return nil
}

// Stop ends reporting and returns unspent tokens to the owner.
func (m *HolderModule) Stop(ctx context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.cancel()
	m.wg.Wait()
	m.client.ReturnTokens(ctx)
	return nil
}

// Reserve implements Limiter.
func (m *HolderModule) Reserve(ctx context.Context, account string, tokens int64, priority int) (Reservation, error) {
	r, err := m.client.Reserve(ctx, account, tokens, priority)
	countTokens(m.tokens, priority, tokens, err)
	return r, err
}

// OwnerName is the name of the owner's module in the kernel.
const OwnerName = "control.grants"

// OwnerModule is the module control.grants, the owner on a control VM.
type OwnerModule struct {
	opt     OwnerOptions
	machine *Machine
	limits  Limits
	now     clock.Clock
	service *Service
	kernel.Background
}

// NewOwnerModule returns the module control.grants. machine must be the one that the
// replica's log is applied to.
func NewOwnerModule(opt OwnerOptions, machine *Machine, limits Limits, now clock.Clock) *OwnerModule {
	return &OwnerModule{opt: opt, machine: machine, limits: limits, now: now}
}

// Provision implements kernel.Module.
func (m *OwnerModule) Provision(k *kernel.Kernel) error {
	if m.opt.Lease <= 0 {
		return errors.New("lease must be above 0")
	}
	var (
		proposer   statemachine.Proposer
		leadership statemachine.Leadership
		s          server
	)
	err := k.Find(kernel.As("control.consensus", &proposer), kernel.As("control.consensus", &leadership), kernel.As("peer.server", &s))
	if err != nil {
		return err
	}
	m.service = NewService(m.opt, m.limits, m.machine, proposer, leadership, k.Log.Named("grants"), m.now)
	m.Run = m.service.Run
	return s.Register("Grants", &Endpoint{m.service})
}

// Accounts returns the number of client accounts whose grants this replica owns now.
func (m *OwnerModule) Accounts() int { return m.service.accountCount() }

// Endpoint is the net/rpc receiver of the owner's methods.
type Endpoint struct{ service *Service }

// Sync replies to a holder's report.
func (e *Endpoint) Sync(req *SyncRequest, reply *SyncReply) error { return e.service.Sync(req, reply) }
