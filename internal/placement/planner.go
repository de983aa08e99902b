// Package placement decides which endpoints load which models, adapters and weights
// versions, and when an endpoint changes its role. The Planner is a deterministic state
// machine without I/O: its inputs are the configured models, the endpoints' load reports
// and the time, its outputs are orders.
//
// Invariants: at most MaxLoads weight loads run at a time; an endpoint that serves gets
// other weights only after it was drained; draining an endpoint never leaves fewer endpoints
// to serve a model than the model needs now.
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
	MaxLoads            int           // concurrent loads in the fleet
	LoadTimeout         time.Duration // time after which an order without a visible effect is planned again
	DrainTimeout        time.Duration // time after which a draining endpoint is changed although it still runs requests
	ReportTTL           time.Duration // age up to which a load report is used
	RequestsPerEndpoint float64       // concurrent requests that one endpoint serves well
	DemandHalfLife      time.Duration // half-life of the averaged demand
	SurplusTimeout      time.Duration // time for which a model must have surplus endpoints before one unloads it
}

// DefaultConfig returns the tuning of a control VM.
func DefaultConfig() Config {
	return Config{
		MaxLoads: 2, LoadTimeout: 20 * time.Second, DrainTimeout: 30 * time.Second, ReportTTL: 5 * time.Second,
		RequestsPerEndpoint: 8, DemandHalfLife: 30 * time.Second, SurplusTimeout: 2 * time.Minute,
	}
}

// Model is the configured target state of a model.
type Model struct {
	Name, Version string
	Adapters      []string
	MinEndpoints  int
}

// Endpoint is a configured engine with its last load report.
type Endpoint struct {
	Name, Address string
	Models        []string // models that the engine may serve
	Leaving       bool
	Load          engineapi.Load
	ReportedAt    time.Time // when Load was read; zero if it was not
}

// FleetState is the Planner's input.
type FleetState struct {
	Models    []Model
	Endpoints []Endpoint
	Store     string // address of the weight store, or "" without one
}

// Action is an order for an endpoint, still without its fencing number.
type Action struct {
	Endpoint, Address string
	Order             engineapi.Order
	Reason            string
}

// pendingOrder is an order whose effect no load report shows yet.
type pendingOrder struct {
	order     engineapi.Order
	plannedAt time.Time
}

// drain is the state of an endpoint that is being drained.
type drain struct {
	startedAt    time.Time
	previousRole string // role to restore; "" for an adopted drain
	reason       string
}

// Planner plans orders from successive states of the fleet. It is not safe for concurrent
// use.
type Planner struct {
	config        Config
	demand        map[string]float64      // averaged concurrent requests, by model
	measuredAt    time.Time               // last update of demand
	pendingOrders map[string]pendingOrder // by endpoint
	drains        map[string]drain        // by endpoint
	surplusSince  map[string]time.Time    // by model
	blocked       map[string]bool         // models whose outdated endpoints cannot be drained now
	adopting      bool                    // no load report was seen yet; drains found in the first ones are adopted
}

// NewPlanner returns a planner without pending orders and drains. It adopts the drains that
// an earlier leader began.
func NewPlanner(c Config) *Planner {
	return &Planner{
		config: c, demand: map[string]float64{}, pendingOrders: map[string]pendingOrder{},
		drains: map[string]drain{}, surplusSince: map[string]time.Time{}, blocked: map[string]bool{}, adopting: true,
	}
}

// Step returns the orders to send now.
func (p *Planner) Step(now time.Time, state FleetState) []Action {
	r := &round{planner: p, now: now, state: state, models: map[string]Model{}}
	for _, m := range state.Models {
		if m.Version != "" { // models without a version are placed by operators
			r.models[m.Name] = m
		}
	}
	r.state.Models = slices.Clone(state.Models)
	r.state.Models = slices.DeleteFunc(r.state.Models, func(m Model) bool { return m.Version == "" })
	r.readReports()
	p.measureDemand(now, r)
	r.settlePending()
	r.finishDrains()
	r.loadDrained()
	r.loadMissing()
	r.drainOutdated()
	r.unloadSurplus()
	r.loadAdapters()
	return r.actions
}

// OrderFailed must be called if the endpoint's order could not be sent or was refused. The
// next Step plans the order again.
func (p *Planner) OrderFailed(endpoint string) { delete(p.pendingOrders, endpoint) }

// Blocked returns the sorted names of the models whose weights change waits because the
// last Step could not drain an outdated endpoint without leaving a model too few endpoints.
func (p *Planner) Blocked() []string { return slices.Sorted(maps.Keys(p.blocked)) }

// ignoredDemandShare is the excess of demand over the capacity of whole endpoints, as a share
// of RequestsPerEndpoint, that requires no further endpoint.
const ignoredDemandShare = 0.25

// RequiredEndpoints returns the number of endpoints that the model needs now: the greater of
// its MinEndpoints and of what the averaged demand needs. The result is 0 for an idle model
// without MinEndpoints, so that a model on a single endpoint can get new weights.
func (p *Planner) RequiredEndpoints(m Model) int {
	byDemand := int(math.Ceil(p.demand[m.Name]/p.config.RequestsPerEndpoint - ignoredDemandShare))
	return max(m.MinEndpoints, byDemand, 0)
}

// measureDemand updates the exponential average of the running and waiting requests of each
// model. The requests of an engine with several models count in equal parts for each.
func (p *Planner) measureDemand(now time.Time, r *round) {
	current := map[string]float64{}
	for _, e := range r.live {
		for model := range e.Load.Versions {
			current[model] += float64(e.Load.Running+e.Load.Waiting) / float64(len(e.Load.Versions))
		}
	}
	oldWeight := 0.0
	if !p.measuredAt.IsZero() {
		oldWeight = math.Exp2(-now.Sub(p.measuredAt).Seconds() / p.config.DemandHalfLife.Seconds())
	}
	p.measuredAt = now
	for _, m := range r.state.Models {
		p.demand[m.Name] = oldWeight*p.demand[m.Name] + (1-oldWeight)*current[m.Name]
	}
}

// round is the working state of one Step.
type round struct {
	planner      *Planner
	now          time.Time
	state        FleetState       // with only the models that have a version
	models       map[string]Model // models of state, by name
	live         []*Endpoint      // endpoints with a recent load report that are not leaving, sorted by name
	runningLoads int              // weight loads that run or are ordered
	actions      []Action
}

// readReports finds the live endpoints, adopts drains that an earlier leader began, and
// counts the weight loads in reports that are at most LoadTimeout old.
func (r *round) readReports() {
	for i := range r.state.Endpoints {
		e := &r.state.Endpoints[i]
		if !e.Leaving && !e.ReportedAt.IsZero() && r.now.Sub(e.ReportedAt) <= r.planner.config.ReportTTL {
			r.live = append(r.live, e)
		}
		if r.now.Sub(e.ReportedAt) <= r.planner.config.LoadTimeout {
			r.runningLoads += len(e.Load.Loading)
		}
	}
	slices.SortFunc(r.live, func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range r.live {
		if _, known := r.planner.drains[e.Name]; !known && e.Load.Role == engineapi.RoleDrain && r.planner.adopting {
			r.planner.drains[e.Name] = drain{startedAt: r.now, reason: "begun by an earlier leader"}
		}
	}
	if len(r.live) > 0 {
		r.planner.adopting = false
	}
}

// settlePending drops pending orders that took effect or timed out, and orders and drains of
// removed endpoints. Of the remaining orders it counts the loads that no report shows yet.
func (r *round) settlePending() {
	for _, e := range r.state.Endpoints {
		o, ok := r.planner.pendingOrders[e.Name]
		if !ok {
			continue
		}
		if showsEffect(&e, o.order) || r.now.Sub(o.plannedAt) > r.planner.config.LoadTimeout {
			delete(r.planner.pendingOrders, e.Name)
			continue
		}
		if isLoad(o.order) && len(e.Load.Loading) == 0 {
			r.runningLoads++
		}
	}
	maps.DeleteFunc(r.planner.pendingOrders, func(name string, _ pendingOrder) bool { return r.endpoint(name) == nil })
	maps.DeleteFunc(r.planner.drains, func(name string, _ drain) bool { return r.endpoint(name) == nil })
}

// endpoint returns the named endpoint, or nil if it is not configured.
func (r *round) endpoint(name string) *Endpoint {
	for i := range r.state.Endpoints {
		if r.state.Endpoints[i].Name == name {
			return &r.state.Endpoints[i]
		}
	}
	return nil
}

func isLoad(o engineapi.Order) bool {
	return o.Op == engineapi.OrderLoadModel || o.Op == engineapi.OrderLoadAdapter
}

// showsEffect reports whether the endpoint's load report shows the order's effect.
func showsEffect(e *Endpoint, o engineapi.Order) bool {
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

// addOrder adds an action and reports whether it did so. It refuses if another order of the
// endpoint is pending, or if a load would exceed MaxLoads.
func (r *round) addOrder(e *Endpoint, o engineapi.Order, format string, args ...any) bool {
	if _, busy := r.planner.pendingOrders[e.Name]; busy {
		return false
	}
	if isLoad(o) {
		if r.runningLoads >= r.planner.config.MaxLoads {
			return false
		}
		r.runningLoads++
		o.Source = r.state.Store
	}
	r.planner.pendingOrders[e.Name] = pendingOrder{order: o, plannedAt: r.now}
	r.actions = append(r.actions, Action{Endpoint: e.Name, Address: e.Address, Order: o, Reason: fmt.Sprintf(format, args...)})
	return true
}
