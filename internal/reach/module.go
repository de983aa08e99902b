package reach

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/watch"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
)

// ModuleName is the name of the module in the kernel, and ServiceName the name of its net/rpc
// service.
const (
	ModuleName  = "entry.reach"
	ServiceName = "Reach"
)

const (
	// peersPerRound is the number of VMs that a round asks, statusTimeout limits their answers.
	peersPerRound = 3
	statusTimeout = 200 * time.Millisecond
	// probesPerRound is the number of endpoints that an isolated VM probes in a round. A suspect
	// VM probes suspectProbes, so that a few endpoints that are down isolate no VM.
	probesPerRound = 3
	suspectProbes  = 5
	probeTimeout   = 600 * time.Millisecond
	// checkProbes is the number of endpoints that a VM probes after attempts have been silent.
	checkProbes = 3
	// statusProbeTimeout limits the probes with which a VM without traffic answers another one.
	// It is shorter than statusTimeout.
	statusProbeTimeout = 150 * time.Millisecond
)

// Endpoint is an endpoint that the VM knows.
type Endpoint struct {
	Address, Service string
	// HealthPath is the path at which the endpoint answers health checks; "" if it has none.
	HealthPath string
}

// Prober checks whether an endpoint answers. Without a health path it can only check whether a
// connection is accepted and stays open.
type Prober interface {
	Probe(ctx context.Context, e Endpoint) error
}

// Deps holds the dependencies of a Module.
type Deps struct {
	// Endpoints returns the endpoints that get requests, VMs the entry VMs with this one.
	Endpoints func() []Endpoint
	VMs       func() []watch.VM
	Self      watch.VM
	Prober    Prober
	// FreeSlots returns how many more requests of other VMs this VM takes.
	FreeSlots func() int
	// OnIsolated is called when an isolation begins or ends.
	OnIsolated func(isolated bool)
	Now        clock.Clock
	Log        *zap.Logger
}

// caller calls other VMs.
type caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Module observes the attempts of the gateway and keeps the VM's state. It is safe for concurrent
// use.
type Module struct {
	Deps
	pool    caller
	helpers *helperSet
	changes *prometheus.CounterVec
	rounds  prometheus.Counter
	checks  *prometheus.CounterVec
	probes  singleflight.Group // for other VMs

	ctx    context.Context // ends with Stop
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	detector *Detector
	inRound  bool
	timer    *time.Timer // calls advance
}

// New returns the module of a connected VM.
func New(d Deps) *Module {
	m := &Module{Deps: d, helpers: newHelperSet(d.Self.FailureDomain, d.Now), detector: NewDetector(d.Now())}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.changes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "reach", Name: "state_changes_total", Help: "Changes of what this VM knows about its reach, by the new state.",
	}, []string{"state"})
	m.rounds = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "reach", Name: "rounds_total", Help: "Rounds in which this VM probed endpoints and asked other VMs.",
	})
	m.checks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "reach", Name: "checks_total", Help: "Probes of endpoints because attempts were silent, by whether one answered.",
	}, []string{"answered"})
	return m
}

// Collectors returns the metrics of the module.
func (m *Module) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.changes, m.rounds, m.checks, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "eelgrass", Subsystem: "reach", Name: "isolated", Help: "1 while this VM can't reach endpoints that other VMs reach.",
	}, func() float64 {
		if m.Isolated() {
			return 1
		}
		return 0
	})}
}

// registrar is implemented by the module peer.server.
type registrar interface {
	Register(name string, receiver any) error
}

// Provision registers the net/rpc service and looks up the pool of peer connections.
func (m *Module) Provision(k *kernel.Kernel) error {
	server, err := kernel.Lookup[registrar](k, peer.ServerName)
	if err != nil {
		return err
	}
	if m.pool, err = kernel.Lookup[caller](k, peer.PoolName); err != nil {
		return err
	}
	return server.Register(ServiceName, receiver{m})
}

// Start does nothing: the module acts on failed attempts.
func (m *Module) Start(context.Context) error { return nil }

// Stop ends the rounds.
func (m *Module) Stop(context.Context) error {
	m.mu.Lock()
	m.cancel()
	if m.timer != nil {
		m.timer.Stop()
	}
	m.mu.Unlock()
	m.wg.Wait()
	return nil
}

// Answered records that an endpoint has answered on a connection opened some time ago.
func (m *Module) Answered(service string, openedAgo time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	m.detector.RecordAnswer(now, now.Add(-openedAgo), service)
}

// Failed records that an attempt at an endpoint failed to connect or was reset.
func (m *Module) Failed(address, service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.RecordFailure(m.Now(), address, service)
	m.advance()
}

// Silent records that an attempt at an endpoint has had no answer for some time.
func (m *Module) Silent(address, service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.RecordSilence(m.Now(), address, service)
	m.advance()
}

// State returns the state.
func (m *Module) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.State()
}

// Isolated reports whether the VM is isolated.
func (m *Module) Isolated() bool { return m.State() == Isolated }

// Doubtful reports whether a request that failed at an endpoint should go to another VM.
func (m *Module) Doubtful() bool { return m.State() != Connected }

// Direct reports whether a request goes to endpoints directly; see Detector.Direct.
func (m *Module) Direct(fraction float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Direct(m.Now(), fraction)
}

// advance lets the detector decide and begins a round if it asks for one. The caller holds the
// mutex.
func (m *Module) advance() {
	if m.inRound || m.ctx.Err() != nil {
		return
	}
	m.detector.SetEndpoints(len(m.Endpoints()))
	before := m.detector.State()
	step := m.detector.Advance(m.Now())
	m.report(before, zap.Strings("failed_endpoints", step.Evidence.Failed))
	if step.Round {
		m.inRound = true
		m.helpers.await()
		m.wg.Go(func() { m.round(step.Evidence) })
		return
	}
	if step.Check {
		m.inRound = true
		m.wg.Go(m.check)
		return
	}
	m.wake(step.Next)
}

// check probes a few endpoints to find out whether any answers.
func (m *Module) check() {
	opened := m.Now()
	probed := m.choose(nil, nil, checkProbes)
	reached := probeAny(m.ctx, m.Prober, probed, probeTimeout)
	m.checks.WithLabelValues(strconv.FormatBool(reached)).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.RecordCheck(m.Now(), reached, opened, probed)
	m.inRound = false
	m.advance()
}

// wake calls advance after a time; 0 means not at all. The caller holds the mutex.
func (m *Module) wake(after time.Duration) {
	if m.timer != nil {
		m.timer.Stop()
	}
	if after > 0 {
		m.timer = time.AfterFunc(after, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.advance()
		})
	}
}

// report logs and counts a change of the state. The caller holds the mutex.
func (m *Module) report(before State, detail zap.Field) {
	state := m.detector.State()
	if state == before {
		return
	}
	m.changes.WithLabelValues(state.String()).Inc()
	fields := []zap.Field{zap.String("from", before.String()), zap.String("to", state.String()), detail}
	if state == Isolated {
		m.Log.Warn("this VM can't reach endpoints that other VMs reach; requests are forwarded", fields...)
	} else {
		m.Log.Info("reach of endpoints changed", fields...)
	}
	if isolated := state == Isolated; isolated != (before == Isolated) && m.OnIsolated != nil {
		m.OnIsolated(isolated)
	}
}

// round asks other VMs and probes endpoints. A suspect VM probes after it has the answers: its
// probes must fail after endpoints have answered another VM, since endpoints that were down for all
// may return at any time.
func (m *Module) round(e Evidence) {
	m.rounds.Inc()
	probes := probesPerRound
	suspect := m.State() == Suspect
	var wg sync.WaitGroup
	var peers []PeerAnswer
	wg.Go(func() { peers = m.askPeers(e) })
	if suspect {
		wg.Wait()
		probes = suspectProbes
	}
	opened := m.Now()
	reached := probeAny(m.ctx, m.Prober, m.choose(nil, e.Failed, probes), probeTimeout)
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.detector.State()
	m.detector.RecordRound(m.Now(), e, reached, opened, peers)
	m.report(before, zap.Int("vms_answered", len(peers)))
	m.inRound = false
	m.helpers.settle()
	m.advance()
}

// choose returns up to n random endpoints of the services, or of all services. Those that have
// failed come last.
func (m *Module) choose(services, failed []string, n int) []Endpoint {
	all := m.Endpoints()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var fresh, tried []Endpoint
	for _, e := range all {
		switch {
		case len(services) > 0 && !slices.Contains(services, e.Service):
		case slices.Contains(failed, e.Address):
			tried = append(tried, e)
		default:
			fresh = append(fresh, e)
		}
	}
	chosen := append(fresh, tried...)
	return chosen[:min(len(chosen), n)]
}

// probeAny probes all endpoints at the same time and reports whether one answered.
func probeAny(ctx context.Context, p Prober, endpoints []Endpoint, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan error, len(endpoints))
	for _, e := range endpoints {
		go func() { results <- p.Probe(ctx, e) }()
	}
	for range endpoints {
		if <-results == nil {
			return true
		}
	}
	return false
}
