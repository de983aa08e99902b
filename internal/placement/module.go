package placement

import (
	"context"
	"sync"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/statemachine"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// ModuleName is the module's name in the kernel.
const ModuleName = "control.placement"

const maxConcurrentReads = 16

// Settings is the [placement] section of eelgrass-control.
type Settings struct {
	Interval            time.Duration `ini:"every" default:"500ms" min:"50ms" max:"1m" doc:"Time between two looks at the endpoints."`
	CallTimeout         time.Duration `ini:"call_timeout" default:"1s" min:"50ms" max:"30s" doc:"Longest call to an endpoint."`
	SuccessorWait       time.Duration `ini:"successor_wait" default:"10s" min:"1s" max:"5m" doc:"Wait of a new leader before its first order to an endpoint that checks no fencing numbers. Longer than the leader lease and call_timeout together."`
	MaxLoads            int           `ini:"max_loads" default:"2" min:"1" max:"2" doc:"Weight loads at a time over the fleet."`
	RequestsPerEndpoint float64       `ini:"requests_per_endpoint" default:"8" min:"1" max:"10000" doc:"Requests at a time that one endpoint of a model serves well."`
	DrainTimeout        time.Duration `ini:"drain_timeout" default:"30s" min:"1s" max:"1h" doc:"Longest wait for an endpoint to run dry before it is changed."`
}

func (s Settings) config() Config {
	c := DefaultConfig()
	c.MaxLoads, c.RequestsPerEndpoint, c.DrainTimeout = s.MaxLoads, s.RequestsPerEndpoint, s.DrainTimeout
	return c
}

// stateViewer is implemented by the module control.state.
type stateViewer interface{ View() *state.View }

// Module runs the Planner on the control leader.
type Module struct {
	settings Settings
	client   Client
	log      *zap.Logger
	state    stateViewer
	planner  *Planner
	fence    fence
	blocked  map[string]bool // models last logged as blocked

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewModule returns the module control.placement.
func NewModule(s Settings) *Module { return &Module{settings: s, client: newHTTPClient()} }

// Provision looks up the modules for configuration and leadership.
func (m *Module) Provision(k *kernel.Kernel) error {
	leadership, err := kernel.Lookup[statemachine.Leadership](k, "control.consensus")
	if err != nil {
		return err
	}
	m.fence = fence{leadership: leadership, successorWait: m.settings.SuccessorWait}
	m.log = k.Log.Named("placement")
	m.state, err = kernel.Lookup[stateViewer](k, "control.state")
	return err
}

// Start starts the planning loop.
func (m *Module) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { m.run(ctx) })
	return nil
}

// Stop ends the planning loop and cancels a call in progress.
func (m *Module) Stop(context.Context) error {
	m.cancel()
	m.done.Wait()
	return nil
}

func (m *Module) run(ctx context.Context) {
	ticker := time.NewTicker(m.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.step(ctx)
		}
	}
}

// step plans and sends orders once if this replica leads. A new leader has no earlier plan
// and starts from the endpoints' load reports.
func (m *Module) step(ctx context.Context) {
	newTerm, ok := m.fence.leading(time.Now())
	view := m.state.View()
	if !ok || view == nil {
		return
	}
	if newTerm || m.planner == nil {
		m.planner, m.blocked = NewPlanner(m.settings.config()), map[string]bool{}
	}
	fleet, checksFencing := m.readFleet(ctx, view)
	for _, a := range m.planner.Step(time.Now(), fleet) {
		m.sendOrder(ctx, a, checksFencing[a.Endpoint])
	}
	m.logBlocked()
}

// readFleet returns the configured models and engines with the engines' load reports, and for
// each endpoint name whether the endpoint checks fencing numbers.
func (m *Module) readFleet(ctx context.Context, view *state.View) (FleetState, map[string]bool) {
	fleet, checksFencing := FleetState{}, map[string]bool{}
	for _, model := range view.Models() {
		fleet.Models = append(fleet.Models, Model{
			Name: model.GetName(), Version: model.GetWeightsVersion(), Adapters: model.GetAdapters(), MinEndpoints: int(model.GetMinEndpoints()),
		})
	}
	for _, e := range view.Configuration().GetEndpoints() {
		switch e.GetRole() {
		case pb.EndpointRole_ENDPOINT_ROLE_WEIGHT_STORE:
			fleet.Store = e.GetAddress()
		case pb.EndpointRole_ENDPOINT_ROLE_ENGINE:
			fleet.Endpoints = append(fleet.Endpoints, Endpoint{Name: e.GetName(), Address: e.GetAddress(), Models: e.GetModels(), Leaving: e.GetLeaving()})
			checksFencing[e.GetName()] = e.GetChecksFencing()
		}
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i := range fleet.Endpoints {
		group.Go(func() error { m.readLoad(ctx, &fleet.Endpoints[i]); return nil })
	}
	_ = group.Wait() // an endpoint that cannot be read has no load report
	return fleet, checksFencing
}

// readLoad sets the endpoint's load report; it leaves the endpoint unchanged after an error.
func (m *Module) readLoad(ctx context.Context, e *Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.CallTimeout)
	defer cancel()
	load, err := m.client.Load(ctx, e.Address)
	if err != nil {
		return
	}
	e.Load, e.ReportedAt = load, time.Now()
}

// sendOrder sends an order with a fencing number. Before the first order to an endpoint in a
// term, the endpoint's last order is read back.
func (m *Module) sendOrder(ctx context.Context, a Action, checksFencing bool) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.CallTimeout)
	defer cancel()
	if !m.fence.readBackDone[a.Endpoint] && !m.readBack(ctx, a) {
		m.planner.OrderFailed(a.Endpoint)
		return
	}
	number, ok := m.fence.nextNumber(time.Now(), checksFencing)
	if !ok {
		m.planner.OrderFailed(a.Endpoint)
		return
	}
	a.Order.Term, a.Order.Sequence = number.Term, number.Sequence
	err := m.client.Order(ctx, a.Address, a.Order)
	if err != nil {
		m.planner.OrderFailed(a.Endpoint)
	}
	m.logDecision(a, err)
}

// readBack reads the endpoint's last order; false if that fails or the endpoint has accepted
// an order of a later term.
func (m *Module) readBack(ctx context.Context, a Action) bool {
	last, err := m.client.LastOrder(ctx, a.Address)
	if err != nil {
		return false
	}
	if m.fence.recordLastOrder(a.Endpoint, FencingNumber{Term: last.Term, Sequence: last.Sequence}) {
		return true
	}
	m.log.Warn("endpoint has accepted an order of a later leader", zap.String("endpoint", a.Endpoint), zap.Uint64("term", last.Term))
	return false
}

func (m *Module) logDecision(a Action, err error) {
	m.log.Info("placement decision", zap.String("endpoint", a.Endpoint), zap.String("order", a.Order.Op),
		zap.String("model", a.Order.Model), zap.String("version", a.Order.Version), zap.String("adapter", a.Order.Adapter),
		zap.String("role", a.Order.Role), zap.Uint64("term", a.Order.Term), zap.Uint64("sequence", a.Order.Sequence),
		zap.String("reason", a.Reason), zap.Error(err))
}

// logBlocked logs each model whose weights change has become blocked since the last call.
func (m *Module) logBlocked() {
	blocked := map[string]bool{}
	for _, model := range m.planner.Blocked() {
		blocked[model] = true
		if !m.blocked[model] {
			m.log.Warn("weights change blocked: no endpoint of the model can be drained", zap.String("model", model))
		}
	}
	m.blocked = blocked
}
