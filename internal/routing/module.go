package routing

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// ModuleName is the module's name in the kernel.
const ModuleName = "entry.routing"

const tickEvery = 20 * time.Millisecond

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
	log       *zap.Logger
	inventory Inventory
	fleet     watch.Fleet // nil when the directory does not know the entry VMs
	server    addressed   // nil without peers
	pool      caller
	source    EndpointMonitor // nil without reports
	keeper    PrefixExporter  // nil without exports
	exports   chan Export

	mu       sync.Mutex
	core     *Core
	revision uint64
	known    bool

	cancel context.CancelFunc
	group  *errgroup.Group
}

// NewModule returns the module entry.routing with the entry VMs' policy. Its endpoints
// are those of inventory, or with nil those of the module entry.directory.
func NewModule(s Settings, inventory Inventory) *Module {
	policy := DefaultPolicy(DefaultTuning())
	policy.PeerImports = s.PeerImports
	return &Module{settings: s, policy: policy, inventory: inventory}
}

// Provision looks up the directory.
func (m *Module) Provision(k *kernel.Kernel) error {
	if m.inventory == nil {
		directory, err := kernel.Lookup[watch.Directory](k, "entry.directory")
		if err != nil {
			return err
		}
		m.inventory = configured{directory}
	}
	m.log = k.Log.Named("routing")
	m.core = NewCore(m.policy, m.settings.limits(), time.Now())
	m.fleet, _ = kernel.Lookup[watch.Fleet](k, "entry.directory")
	m.source, _ = kernel.Lookup[EndpointMonitor](k, "entry.engine")
	m.keeper, _ = kernel.Lookup[PrefixExporter](k, "entry.engine")
	m.exports = make(chan Export, exportsQueued)
	return m.provisionPeers(k)
}

// addressed is the module peer.server.
type addressed interface {
	Register(name string, receiver any) error
	Address() string
}

// provisionPeers offers the digest service where the daemon has peers at all.
func (m *Module) provisionPeers(k *kernel.Kernel) error {
	server, err := kernel.Lookup[addressed](k, peer.ServerName)
	if err != nil {
		return nil
	}
	if m.pool, err = kernel.Lookup[caller](k, peer.PoolName); err != nil {
		return err
	}
	m.server = server
	return server.Register(DigestService, receiver{m})
}

// self names this VM among the entry VMs, by its peer address.
func (m *Module) self() string {
	if m.server == nil {
		return ""
	}
	return m.server.Address()
}

// peers lists the peer addresses of the other entry VMs.
func (m *Module) peers() []string {
	if m.fleet == nil || m.server == nil {
		return nil
	}
	var all []string
	for _, vm := range m.fleet.VMs() {
		if vm.PeerAddress != "" && vm.PeerAddress != m.self() {
			all = append(all, vm.PeerAddress)
		}
	}
	return all
}

// Start follows the directory.
func (m *Module) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.group, ctx = errgroup.WithContext(ctx)
	m.group.Go(func() error { return m.follow(ctx) })
	m.group.Go(func() error { return m.tick(ctx) })
	m.group.Go(func() error { return m.export(ctx) })
	if m.server != nil {
		m.group.Go(func() error { return newExchange(m, m.pool).run(ctx) })
	}
	if m.source != nil {
		r := &readers{module: m, source: m.source, budget: newByteBudget(m.settings.EventBytes), stop: map[string]context.CancelFunc{}}
		m.group.Go(func() error { return r.run(ctx) })
	}
	return nil
}

// Stop ends the background work.
func (m *Module) Stop(context.Context) error {
	m.cancel()
	return m.group.Wait()
}

func (m *Module) follow(ctx context.Context) error {
	for {
		changed := m.inventory.Changed()
		m.mu.Lock()
		m.refresh(time.Now())
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (m *Module) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			m.mu.Lock()
			m.core.Tick(now)
			m.mu.Unlock()
		}
	}
}

// refresh takes over a newer view; the caller holds the mutex.
func (m *Module) refresh(now time.Time) {
	revision, known := m.inventory.Revision()
	if !known || m.known && revision == m.revision {
		return
	}
	stock := m.inventory.Snapshot()
	m.known, m.revision = true, stock.Revision
	m.core.SetEndpoints(now, stock.Endpoints)
	m.core.SetStores(stock.Stores)
	m.core.SetTargetVersions(stock.TargetVersions)
}

// Pick waits in the admission queue for a place at the best endpoint.
func (m *Module) Pick(ctx context.Context, r Request) (Ticket, error) {
	settled := make(chan struct{})
	m.mu.Lock()
	m.refresh(time.Now()) // no request is placed by an older view than it was checked against
	p := m.core.Submit(time.Now(), r, func() { close(settled) })
	m.mu.Unlock()
	select {
	case <-settled:
	case <-ctx.Done():
		if err := m.abandon(p); err != nil {
			return nil, err
		}
	}
	m.report(p)
	if p.Refusal != nil {
		return nil, p.Refusal
	}
	return &ticket{module: m, pending: p}, nil
}

// abandon takes a waiting request back; nil when it was settled meanwhile.
func (m *Module) abandon(p *Pending) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.Cancel(p) {
		return nil
	}
	return errkind.New(errkind.Canceled, "caller left the admission queue").WithOutcome(errkind.NotRun)
}

func (m *Module) report(p *Pending) {
	if p.Refusal != nil {
		m.log.Info("routing refused", zap.String("request", p.Request.ID), zap.String("client_account", p.Request.Account),
			zap.String("kind", p.Refusal.Kind.String()), zap.Duration("retry_after", p.Refusal.RetryAfter))
		return
	}
	d := &p.Decision
	fields := []zap.Field{
		zap.String("request", p.Request.ID), zap.String("client_account", p.Request.Account),
		zap.String("endpoint", d.Endpoint), zap.String("failure_domain", d.FailureDomain),
		zap.Int("prompt_tokens", p.Request.PromptTokens), zap.Int("cached_tokens", d.CachedTokens),
		zap.Duration("waited", p.sent.Sub(p.submitted)),
	}
	for _, part := range d.Parts {
		fields = append(fields, zap.Float64(part.Name+"_ms", part.Milliseconds))
	}
	m.log.Debug("endpoint picked", fields...) // entry.http writes the line of the decision
}

type ticket struct {
	module  *Module
	pending *Pending
}

// Decision names the endpoint.
func (t *ticket) Decision() Decision { return t.pending.Decision }

// Started tells that the first token has arrived.
func (t *ticket) Started() {
	t.module.mu.Lock()
	defer t.module.mu.Unlock()
	t.module.core.RecordFirstToken(t.pending)
}

// Done ends the request.
func (t *ticket) Done(r Result) {
	t.module.mu.Lock()
	defer t.module.mu.Unlock()
	now := time.Now()
	t.module.core.Finish(now, t.pending, r)
	if r.Err == nil && !t.module.policy.PeerImports {
		t.module.keep(now, t.pending)
	}
}
