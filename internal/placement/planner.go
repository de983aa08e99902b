// Package placement decides which endpoints load which models, adapters and weights
// versions, and when an endpoint changes its role. The Planner is a plain state
// machine: what is wanted and seen goes in with the time, orders come out.
//
// Invariants: no more than MaxLoads weight loads run at a time; an endpoint that
// serves is changed only after it was drained; draining one never takes the endpoints
// that serve a model below what the model needs now.
package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"eelgrasshollow/internal/engineapi"
)

// Config tunes a Planner.
type Config struct {
	MaxLoads            int           // at a time over the fleet
	LoadTimeout         time.Duration // after which an order that shows no effect is given again
	DrainTimeout        time.Duration // after which an endpoint is changed though it still runs something
	ReportTTL           time.Duration // age up to which a report counts
	RequestsPerEndpoint float64       // requests at a time that one endpoint serves well
	DemandHalfLife      time.Duration // half-life of the measured demand
	SurplusTimeout      time.Duration // how long a copy must be surplus before it is unloaded
}

// DefaultConfig is the tuning of a control VM.
func DefaultConfig() Config {
	return Config{
		MaxLoads: 2, LoadTimeout: 20 * time.Second, DrainTimeout: 30 * time.Second, ReportTTL: 5 * time.Second,
		RequestsPerEndpoint: 8, DemandHalfLife: 30 * time.Second, SurplusTimeout: 2 * time.Minute,
	}
}

// Model is what operators want of a model.
type Model struct {
	Name, Version string
	Adapters      []string
	MinEndpoints  int
}

// Endpoint is an engine as configured and as last seen.
type Endpoint struct {
	Name, Address string
	Models        []string // that it may serve
	Leaving       bool
	Load          engineapi.Load
	ReportedAt    time.Time
}

// FleetState is the planner's input.
type FleetState struct {
	Models    []Model
	Endpoints []Endpoint
	Store     string // address of the weight store, or ""
}

// Action is an order for an endpoint. The sender adds the fencing number.
type Action struct {
	Endpoint, Address string
	Order             engineapi.Order
	Reason            string
}

type pendingOrder struct {
	order engineapi.Order
	at    time.Time
}

type drain struct {
	since  time.Time
	role   string // to go back to
	reason string
}

// Planner keeps what was ordered and what demand was seen. It is not safe for
// concurrent use.
type Planner struct {
	config   Config
	demand   map[string]float64 // requests at a time, by model
	seen     time.Time
	pending  map[string]pendingOrder // by endpoint
	drains   map[string]drain
	surplus  map[string]time.Time // by model
	blocked  map[string]bool      // models whose change waits for a spare endpoint
	adopting bool
}

// NewPlanner returns a planner that has ordered nothing yet.
func NewPlanner(c Config) *Planner {
	return &Planner{
		config: c, demand: map[string]float64{}, pending: map[string]pendingOrder{},
		drains: map[string]drain{}, surplus: map[string]time.Time{}, blocked: map[string]bool{}, adopting: true,
	}
}

// Step looks at the world and returns the orders to give now.
func (p *Planner) Step(now time.Time, w FleetState) []Action {
	r := &round{planner: p, now: now, world: w, models: map[string]Model{}}
	for _, m := range w.Models {
		if m.Version != "" { // without a version operators place the model themselves
			r.models[m.Name] = m
		}
	}
	r.world.Models = slices.Clone(w.Models)
	r.world.Models = slices.DeleteFunc(r.world.Models, func(m Model) bool { return m.Version == "" })
	r.look()
	p.measure(now, r)
	r.settle()
	r.finishDrains()
	r.changeDrained()
	r.fill()
	r.roll()
	r.shrink()
	r.loadAdapters()
	return r.actions
}

// OrderFailed tells that an order could not be given or was refused; it is planned anew.
func (p *Planner) OrderFailed(endpoint string) { delete(p.pending, endpoint) }

// Blocked lists the models whose change of weights waits because no endpoint can be
// spared.
func (p *Planner) Blocked() []string { return slices.Sorted(maps.Keys(p.blocked)) }

// idleShare is the share of an endpoint's work that counts as none.
const idleShare = 0.25

// RequiredEndpoints is how many endpoints the model needs now: what operators ask for at any time,
// and what the demand asks for. An idle model that operators ask nothing for needs
// none, so that a single endpoint can get new weights.
func (p *Planner) RequiredEndpoints(m Model) int {
	byDemand := int(math.Ceil(p.demand[m.Name]/p.config.RequestsPerEndpoint - idleShare))
	return max(m.MinEndpoints, byDemand, 0)
}

// measure averages the requests running and waiting per model. An engine that serves
// several models counts for each by an equal part.
func (p *Planner) measure(now time.Time, r *round) {
	fresh := map[string]float64{}
	for _, e := range r.live {
		for model := range e.Load.Versions {
			fresh[model] += float64(e.Load.Running+e.Load.Waiting) / float64(len(e.Load.Versions))
		}
	}
	keep := 0.0
	if !p.seen.IsZero() {
		keep = math.Exp2(-now.Sub(p.seen).Seconds() / p.config.DemandHalfLife.Seconds())
	}
	p.seen = now
	for _, m := range r.world.Models {
		p.demand[m.Name] = keep*p.demand[m.Name] + (1-keep)*fresh[m.Name]
	}
}

// round is one Step's working state.
type round struct {
	planner *Planner
	now     time.Time
	world   FleetState
	models  map[string]Model
	live    []*Endpoint // seen lately and not leaving, by name
	loads   int         // weight loads that run now
	actions []Action
}

// look finds the live endpoints, adopts drains that an earlier sender began, and
// counts the loads.
func (r *round) look() {
	for i := range r.world.Endpoints {
		e := &r.world.Endpoints[i]
		if !e.Leaving && !e.ReportedAt.IsZero() && r.now.Sub(e.ReportedAt) <= r.planner.config.ReportTTL {
			r.live = append(r.live, e)
		}
		if r.now.Sub(e.ReportedAt) <= r.planner.config.LoadTimeout {
			r.loads += len(e.Load.Loading)
		}
	}
	slices.SortFunc(r.live, func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range r.live {
		if _, known := r.planner.drains[e.Name]; !known && e.Load.Role == engineapi.RoleDrain && r.planner.adopting {
			r.planner.drains[e.Name] = drain{since: r.now, reason: "begun by an earlier sender"}
		}
	}
	if len(r.live) > 0 {
		r.planner.adopting = false
	}
}

// settle drops orders whose effect shows or that ran out, and counts the others'
// loads that the reports do not show yet.
func (r *round) settle() {
	for _, e := range r.world.Endpoints {
		o, ok := r.planner.pending[e.Name]
		if !ok {
			continue
		}
		if shows(&e, o.order) || r.now.Sub(o.at) > r.planner.config.LoadTimeout {
			delete(r.planner.pending, e.Name)
			continue
		}
		if isLoad(o.order) && len(e.Load.Loading) == 0 {
			r.loads++
		}
	}
	maps.DeleteFunc(r.planner.pending, func(name string, _ pendingOrder) bool { return r.endpoint(name) == nil })
	maps.DeleteFunc(r.planner.drains, func(name string, _ drain) bool { return r.endpoint(name) == nil })
}

func (r *round) endpoint(name string) *Endpoint {
	for i := range r.world.Endpoints {
		if r.world.Endpoints[i].Name == name {
			return &r.world.Endpoints[i]
		}
	}
	return nil
}

func isLoad(o engineapi.Order) bool {
	return o.Op == engineapi.OrderLoadModel || o.Op == engineapi.OrderLoadAdapter
}

// shows reports whether the endpoint's report shows the order's effect.
func shows(e *Endpoint, o engineapi.Order) bool {
	switch o.Op {
	case engineapi.OrderLoadModel:
		return e.Load.Versions[o.Model] == o.Version
	case engineapi.OrderUnloadModel:
		return e.Load.Versions[o.Model] == ""
	case engineapi.OrderLoadAdapter:
		return slices.Contains(e.Load.Adapters, o.Adapter)
	case engineapi.OrderUnloadAdapter:
		return !slices.Contains(e.Load.Adapters, o.Adapter)
	}
	return e.Load.Role == o.Role
}

// order adds an action unless the endpoint still owes the effect of another one.
func (r *round) order(e *Endpoint, o engineapi.Order, format string, args ...any) bool {
	if _, busy := r.planner.pending[e.Name]; busy {
		return false
	}
	if isLoad(o) {
		if r.loads >= r.planner.config.MaxLoads {
			return false
		}
		r.loads++
		o.Source = r.world.Store
	}
	r.planner.pending[e.Name] = pendingOrder{order: o, at: r.now}
	r.actions = append(r.actions, Action{Endpoint: e.Name, Address: e.Address, Order: o, Reason: fmt.Sprintf(format, args...)})
	return true
}
