package routing

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"eelgrasshollow/internal/admission"
	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/quarantine"
	"eelgrasshollow/internal/relay"
	"eelgrasshollow/internal/watch"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
)

// ModuleName is the name of the module in the kernel.
const ModuleName = "entry.routing"

const tickInterval = 20 * time.Millisecond

// Settings is the [routing] section of eelgrass-entry.
type Settings struct {
	QueuePerEndpoint int           `ini:"queue_per_endpoint" default:"64" min:"1" max:"10000" doc:"Requests that may wait for a place at one endpoint."`
	LongestWait      time.Duration `ini:"longest_wait" default:"5s" min:"10ms" max:"1m" doc:"Longest wait for a place before a request is refused as not run."`
	TrackedPrefixes  int           `ini:"tracked_prefixes" default:"100000" min:"1000" max:"10000000" doc:"Prefixes whose whereabouts are kept in memory."`
	DigestEvery      time.Duration `ini:"digest_every" default:"250ms" min:"20ms" max:"10s" doc:"Time between two digests to the other entry VMs; news of a prefix that is being computed goes sooner."`
	DigestBytes      int           `ini:"digest_bytes" default:"1024" min:"128" max:"65536" doc:"Greatest size of a digest."`
	DigestCalls      float64       `ini:"digest_calls" default:"500" min:"1" max:"100000" doc:"Digests sent a second at most, to all peers together. With so many peers that this binds, each hears less often."`
	LoadEvery        time.Duration `ini:"load_every" default:"500ms" min:"50ms" max:"1m" doc:"Time between two reads of an endpoint's load report."`
	EventBytes       int           `ini:"event_bytes" default:"4096" min:"0" max:"100000000" doc:"Bytes of cache events per second that this VM reads from the endpoints it owns. Endpoints whose events exceed it are routed without them."`
	PeerImports      bool          `ini:"peer_imports" default:"false" doc:"Endpoints can copy cached prefixes from each other."`
	RetryShare       float64       `ini:"retry_share" default:"0.1" min:"0" max:"1" doc:"Second tries allowed per first try."`
	WeighSpeeds      bool          `ini:"weigh_speeds" default:"false" doc:"Requests of a service whose endpoints differ in speed go to an endpoint by its speed, which the VMs learn from responses and tell each other."`
	PaceEndpoints    bool          `ini:"pace_endpoints" default:"false" doc:"Endpoints of a service that have just started or recovered get, for at most 5 s and while others have room, no more requests than a mean endpoint until they have responded in time."`
}

func (s Settings) limits() Limits {
	l := DefaultLimits()
	l.QueuePerEndpoint, l.LongestWait = s.QueuePerEndpoint, s.LongestWait
	l.TrackedPrefixes, l.RetryShare, l.DigestsPerSecond = s.TrackedPrefixes, s.RetryShare, s.DigestCalls
	return l
}

// Module is the Router of an entry VM.
type Module struct {
	settings  Settings
	policy    Policy
	now       clock.Clock
	notices   noticeMetrics
	log       *zap.Logger
	inventory Inventory
	entryVMs  watch.Fleet // nil if the directory does not list the entry VMs
	server    peerServer  // nil without peers
	pool      peerCaller
	monitor   EndpointMonitor // nil without load reports and cache events
	exporter  PrefixExporter  // nil without exports
	prober    Prober          // nil if crashes are not looked for
	probes    singleflight.Group
	crashes   *prometheus.CounterVec
	// limitedSends counts the attempts at endpoints that state a rate limit.
	limitedSends prometheus.Counter
	exports      chan Export

	mu          sync.Mutex
	core        *Core
	paceMetrics paceMetrics
	slowPeriods prometheus.Counter
	hub         *relay.Hub
	revision    uint64
	hasRevision bool

	permits permitClient

	cancel context.CancelFunc
	group  *errgroup.Group
}

// NewModule returns the module entry.routing with DefaultPolicy. It takes the endpoints
// from inventory or, if that is nil, from the module entry.directory, and looks for crashed
// endpoints with prober or, if that is nil, with the module entry.engine. All times are of the
// clock now, which must not stop while the VM is suspended.
func NewModule(s Settings, inventory Inventory, prober Prober, now clock.Clock) *Module {
	policy := DefaultPolicy(DefaultTuning())
	policy.PeerImports = s.PeerImports
	return &Module{settings: s, policy: policy, inventory: inventory, prober: prober, now: now, notices: newNoticeMetrics(), crashes: newCrashCounter(),
		limitedSends: newLimitedSendCounter(), permits: newPermitClient(), paceMetrics: newPaceMetrics(), slowPeriods: newSlowPeriodCounter()}
}

// Provision looks up the modules that routing depends on.
func (m *Module) Provision(k *kernel.Kernel) error {
	if m.inventory == nil {
		directory, err := kernel.Lookup[watch.Directory](k, "entry.directory")
		if err != nil {
			return err
		}
		m.inventory = configInventory{directory}
	}
	m.log = k.Log.Named("routing")
	m.core = NewCore(m.policy, m.settings.limits(), m.now())
	m.core.starts.enabled, m.core.starts.vm = m.settings.PaceEndpoints, rand.Uint64()
	m.core.WeighSpeeds(m.settings.WeighSpeeds)
	m.core.SetAdmission(admission.DefaultPolicy())
	m.core.quarantine = quarantine.NewTable(m.runsTrials)
	m.hub = relay.NewHub(rand.Uint64())
	m.entryVMs, _ = kernel.Lookup[watch.Fleet](k, "entry.directory")
	m.monitor, _ = kernel.Lookup[EndpointMonitor](k, "entry.engine")
	m.exporter, _ = kernel.Lookup[PrefixExporter](k, "entry.engine")
	if m.prober == nil {
		m.prober, _ = kernel.Lookup[Prober](k, "entry.engine")
	}
	m.exports = make(chan Export, exportQueueSize)
	return m.provisionPeers(k)
}

// peerServer is implemented by the module peer.server.
type peerServer interface {
	Register(name string, receiver any) error
	Address() string
}

// provisionPeers registers the digest service if the daemon has a peer server.
func (m *Module) provisionPeers(k *kernel.Kernel) error {
	server, err := kernel.Lookup[peerServer](k, peer.ServerName)
	if err != nil {
		return nil
	}
	if m.pool, err = kernel.Lookup[peerCaller](k, peer.PoolName); err != nil {
		return err
	}
	m.server = server
	if err := server.Register(PermitService, permitReceiver{m}); err != nil {
		return err
	}
	return server.Register(DigestService, digestReceiver{m})
}

// self returns the peer address of this VM, which identifies it among the entry VMs.
func (m *Module) self() string {
	if m.server == nil {
		return ""
	}
	return m.server.Address()
}

// allVMs lists the entry VMs, or none without peers.
func (m *Module) allVMs() []watch.VM {
	if m.entryVMs == nil || m.server == nil {
		return nil
	}
	return m.entryVMs.VMs()
}

// peers returns the peer addresses of the other entry VMs.
func (m *Module) peers() []string {
	var all []string
	for _, vm := range m.allVMs() {
		if vm.PeerAddress != "" && vm.PeerAddress != m.self() {
			all = append(all, vm.PeerAddress)
		}
	}
	return all
}

// Start starts the background work.
func (m *Module) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.group, ctx = errgroup.WithContext(ctx)
	m.permits.start(ctx, m.group)
	m.group.Go(func() error { return m.followInventory(ctx) })
	m.group.Go(func() error { return m.runTicks(ctx) })
	m.group.Go(func() error { return m.runExports(ctx) })
	if m.server != nil {
		m.group.Go(func() error { return newDigestExchange(m, m.pool).run(ctx) })
	}
	if m.monitor != nil {
		r := &endpointReaders{module: m, monitor: m.monitor, budget: newByteBudget(m.settings.EventBytes), cancels: map[string]context.CancelFunc{}}
		m.group.Go(func() error { return r.run(ctx) })
	}
	return nil
}

// Stop ends the background work.
func (m *Module) Stop(context.Context) error {
	m.mu.Lock() // no call to the owner of a rate limit starts after this
	m.cancel()
	m.mu.Unlock()
	return m.group.Wait()
}

func (m *Module) followInventory(ctx context.Context) error {
	for {
		changed := m.inventory.Changed()
		m.mu.Lock()
		m.refresh(m.now())
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (m *Module) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.mu.Lock()
			now := m.now()
			m.core.Tick(now)
			m.askForPermits(now)
			m.logReleases()
			m.reportPace()
			m.mu.Unlock()
		}
	}
}

// refresh applies a newer snapshot of the inventory. The caller must hold the mutex.
func (m *Module) refresh(now time.Time) {
	revision, known := m.inventory.Revision()
	if !known || m.hasRevision && revision == m.revision {
		return
	}
	snapshot := m.inventory.Snapshot()
	m.hasRevision, m.revision = true, snapshot.Revision
	m.core.knownVMs = len(m.allVMs())
	m.core.SetEndpoints(now, snapshot.Endpoints)
	m.core.SetStores(snapshot.Stores)
	m.core.SetTargetVersions(snapshot.TargetVersions)
}

// Pick implements Router.
func (m *Module) Pick(ctx context.Context, r Request) (Ticket, error) {
	settled := make(chan struct{})
	m.mu.Lock()
	now := m.now()
	m.refresh(now) // place the request with a view at least as new as the one that authorized it
	p := m.core.Submit(now, r, func() { close(settled) })
	m.askForPermits(now)
	m.mu.Unlock()
	select {
	case <-settled:
	case <-ctx.Done():
		if err := m.abandon(p); err != nil {
			return nil, err
		}
	}
	m.logDecision(p)
	if p.Refusal != nil {
		return nil, p.Refusal
	}
	if p.Decision.Limit.Stated() {
		m.limitedSends.Inc()
	}
	return &ticket{module: m, pending: p}, nil
}

// abandon cancels a waiting request. It returns nil if the request was settled meanwhile.
func (m *Module) abandon(p *Pending) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.Cancel(p) {
		return nil
	}
	return errkind.New(errkind.Canceled, "request canceled while waiting in the admission queue").WithOutcome(errkind.NotRun)
}

func (m *Module) logDecision(p *Pending) {
	if p.Refusal != nil {
		m.log.Info("routing refused the request", zap.String("request", p.Request.ID), zap.String("client_account", p.Request.Account),
			zap.String("kind", p.Refusal.Kind.String()), zap.String("reason", p.Refusal.Text), zap.Duration("retry_after", p.Refusal.RetryAfter), zap.Duration("held", p.held))
		return
	}
	d := &p.Decision
	fields := []zap.Field{
		zap.String("request", p.Request.ID), zap.String("client_account", p.Request.Account),
		zap.String("endpoint", d.Endpoint), zap.String("failure_domain", d.FailureDomain),
		zap.Int("prompt_tokens", p.Request.PromptTokens), zap.Int("cached_tokens", d.CachedTokens),
		zap.Duration("waited", p.sentAt.Sub(p.submittedAt)), zap.Duration("held", d.Held),
	}
	for _, part := range d.Parts {
		fields = append(fields, zap.Float64(part.Name+"_ms", part.Milliseconds))
	}
	m.log.Debug("endpoint picked", fields...) // entry.http logs the decision at a higher level
}

type ticket struct {
	module  *Module
	pending *Pending
}

// Decision implements Ticket.
func (t *ticket) Decision() Decision { return t.pending.Decision }

// Started implements Ticket.
func (t *ticket) Started() {
	t.module.mu.Lock()
	defer t.module.mu.Unlock()
	t.module.core.RecordFirstToken(t.module.now(), t.pending)
}

// Notify implements Ticket.
func (t *ticket) Notify(n Notice) {
	m, p := t.module, t.pending
	m.mu.Lock()
	now := m.now()
	from, changed := m.core.RecordLimit(now, p, n)
	brittle, brittleChanged := m.core.RecordBrittle(now, p, n)
	m.askForPermits(now)
	m.mu.Unlock()
	if changed {
		m.log.Info("endpoint rate limit changed", zap.String("request", p.Request.ID), zap.String("endpoint", p.Decision.Endpoint),
			zap.String("incarnation", n.Incarnation), zap.Float64("from_per_second", from.PerSecond()), zap.Float64("per_second", n.Limit.PerSecond()))
	}
	if brittleChanged {
		m.logBrittle(brittle, zap.String("request", p.Request.ID), zap.String("endpoint", p.Decision.Endpoint))
	}
	if n.ToleratedRejections > 0 {
		m.notices.total.WithLabelValues("brittle", strconv.FormatBool(brittleChanged)).Inc()
	}
	if n.Limit.Stated() {
		m.notices.total.WithLabelValues("limit", strconv.FormatBool(changed)).Inc()
	}
	if n.Empty() {
		return
	}
	m.mu.Lock()
	applied := m.core.ApplyNotice(m.now(), p, n)
	m.mu.Unlock()
	if n.UnreachableFor > 0 {
		return // the caller logs begin and end of an outage
	}
	m.notices.record(n, applied)
	m.log.Info("endpoint notice", zap.String("request", p.Request.ID), zap.String("endpoint", p.Decision.Endpoint),
		zap.String("incarnation", n.Incarnation), zap.Bool("leaving", n.Leaving), zap.Duration("pause", n.PauseFor), zap.Bool("applied", applied))
}

// Resend implements Ticket.
func (t *ticket) Resend() bool {
	t.module.mu.Lock()
	defer t.module.mu.Unlock()
	return t.module.core.Resend(t.module.now(), t.pending)
}

// Done implements Ticket.
func (t *ticket) Done(r Result) {
	t.finish(r)
	if r.Broken && t.module.prober != nil {
		t.module.awaitCrashCheck(t.pending)
	}
}

func (t *ticket) finish(r Result) {
	t.module.mu.Lock()
	defer t.module.mu.Unlock()
	now := t.module.now()
	t.module.core.Finish(now, t.pending, r)
	t.module.logReleases()
	t.module.askForPermits(now)
	if r.Err == nil && !t.module.policy.PeerImports {
		t.module.queueExport(now, t.pending)
	}
}
