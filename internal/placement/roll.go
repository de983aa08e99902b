package placement

import (
	"slices"

	"eelgrasshollow/internal/engineapi"
)

// serves reports whether requests for the model can go to the endpoint now, with any
// weights version.
func (r *round) serves(e *Endpoint, model string) bool {
	_, draining := r.planner.drains[e.Name]
	if draining || e.Load.Role == engineapi.RoleDrain || !slices.Contains(e.Models, model) {
		return false
	}
	return e.Load.Versions[model] != "" && !slices.Contains(e.Load.Loading, model)
}

// countServing counts the live endpoints that serve the model.
func (r *round) countServing(model string) int {
	n := 0
	for _, e := range r.live {
		if r.serves(e, model) {
			n++
		}
	}
	return n
}

// countStarting counts the live endpoints that do not serve the model yet and have a
// pending order to load it.
func (r *round) countStarting(model string) int {
	n := 0
	for _, e := range r.live {
		if o, ok := r.planner.pendingOrders[e.Name]; ok && o.order.Op == engineapi.OrderLoadModel && o.order.Model == model && !r.serves(e, model) {
			n++
		}
	}
	return n
}

// canDrain reports whether every model that the endpoint serves would still have enough
// endpoints without it.
func (r *round) canDrain(e *Endpoint) bool {
	for _, name := range e.Models {
		m, managed := r.models[name]
		if managed && r.serves(e, name) && r.countServing(name)-1 < r.planner.RequiredEndpoints(m) {
			return false
		}
	}
	return true
}

// loadMissing orders loads of the models that too few endpoints serve, on endpoints that
// may serve the model and have no version of it.
func (r *round) loadMissing() {
	for _, m := range r.state.Models {
		required := max(r.planner.RequiredEndpoints(m), 1)
		missing := required - r.countServing(m.Name) - r.countStarting(m.Name)
		for _, e := range r.live {
			if missing <= 0 {
				break
			}
			if !slices.Contains(e.Models, m.Name) || e.Load.Versions[m.Name] != "" || len(e.Load.Loading) > 0 || r.isDraining(e) {
				continue
			}
			if r.addOrder(e, loadOrder(m), "%s needs %d endpoints, %d serve it", m.Name, required, r.countServing(m.Name)) {
				missing--
			}
		}
	}
}

// loadOrder returns an order to load the configured version of a model.
func loadOrder(m Model) engineapi.Order {
	return engineapi.Order{Op: engineapi.OrderLoadModel, Model: m.Name, Version: m.Version}
}

func (r *round) isDraining(e *Endpoint) bool {
	_, ok := r.planner.drains[e.Name]
	return ok
}

// outdatedModel returns a model that the endpoint has loaded in another version than the
// configured one; false if there is none.
func (r *round) outdatedModel(e *Endpoint) (Model, bool) {
	for _, name := range e.Models {
		m, managed := r.models[name]
		if loaded := e.Load.Versions[name]; managed && loaded != "" && loaded != m.Version {
			return m, true
		}
	}
	return Model{}, false
}

// drainOutdated starts to drain endpoints with outdated weights, those with the fewest
// requests first. At most MaxLoads endpoints drain at a time. An endpoint that cannot be
// drained now keeps serving, and its model is recorded as blocked.
func (r *round) drainOutdated() {
	clear(r.planner.blocked)
	draining := len(r.planner.drains)
	for draining < r.planner.config.MaxLoads {
		e, m := r.nextToDrain()
		if e == nil {
			return
		}
		if !r.startDrain(e, "roll "+m.Name+" to "+m.Version) {
			return
		}
		draining++
	}
}

// nextToDrain returns the outdated endpoint with the fewest requests that can be drained, and
// its outdated model; nil if there is none.
func (r *round) nextToDrain() (*Endpoint, Model) {
	var best *Endpoint
	var bestModel Model
	for _, e := range r.live {
		m, old := r.outdatedModel(e)
		_, busy := r.planner.pendingOrders[e.Name]
		if !old || busy || r.isDraining(e) {
			continue
		}
		if !r.canDrain(e) {
			r.planner.blocked[m.Name] = true
			continue
		}
		if best == nil || e.Load.Running+e.Load.Waiting < best.Load.Running+best.Load.Waiting {
			best, bestModel = e, m
		}
	}
	return best, bestModel
}

// startDrain orders the drain role for the endpoint, so that entry VMs send it no new
// requests. It reports whether the order was added.
func (r *round) startDrain(e *Endpoint, reason string) bool {
	o := engineapi.Order{Op: engineapi.OrderSetRole, Role: engineapi.RoleDrain}
	if !r.addOrder(e, o, "drain to %s", reason) {
		return false
	}
	r.planner.drains[e.Name] = drain{startedAt: r.now, previousRole: e.Load.Role, reason: reason}
	return true
}

// retryDrain orders the drain role again after the first order was lost. Other endpoints may
// have failed meanwhile: if the endpoint can no longer be drained, its drain is dropped and
// it keeps serving. While an order is pending, retryDrain does nothing.
func (r *round) retryDrain(e *Endpoint, d drain) {
	if _, busy := r.planner.pendingOrders[e.Name]; busy {
		return
	}
	delete(r.planner.drains, e.Name)
	if r.canDrain(e) {
		r.startDrain(e, d.reason)
	}
}

// loadDrained orders loads of the configured weights on endpoints that have finished their
// requests or exceeded DrainTimeout.
func (r *round) loadDrained() {
	for _, e := range r.live {
		d, ok := r.planner.drains[e.Name]
		if !ok {
			continue
		}
		if _, old := r.outdatedModel(e); old && e.Load.Role != engineapi.RoleDrain {
			r.retryDrain(e, d) // the drain order was lost or could not be sent yet
			continue
		}
		idle := e.Load.Running+e.Load.Waiting == 0
		if !idle && r.now.Sub(d.startedAt) <= r.planner.config.DrainTimeout {
			continue
		}
		if m, old := r.outdatedModel(e); old && len(e.Load.Loading) == 0 {
			r.addOrder(e, loadOrder(m), "%s, drained", d.reason)
		}
	}
}

// finishDrains restores the role of drained endpoints that have no outdated model. A drain
// ends once the load report shows another role than drain.
func (r *round) finishDrains() {
	for _, e := range r.live {
		d, ok := r.planner.drains[e.Name]
		if !ok {
			continue
		}
		if _, old := r.outdatedModel(e); old || len(e.Load.Loading) > 0 {
			continue
		}
		if _, busy := r.planner.pendingOrders[e.Name]; busy {
			continue
		}
		if e.Load.Role != engineapi.RoleDrain {
			delete(r.planner.drains, e.Name)
			continue
		}
		r.addOrder(e, engineapi.Order{Op: engineapi.OrderSetRole, Role: d.previousRole}, "serve again: %s", d.reason)
	}
}

// unloadSurplus unloads a model from one idle endpoint if the model has had more than one
// endpoint beyond its need for SurplusTimeout. Only endpoints with several models unload
// one: on others the freed memory has no use.
func (r *round) unloadSurplus() {
	for _, m := range r.state.Models {
		if r.countServing(m.Name) <= max(r.planner.RequiredEndpoints(m), 1)+1 {
			delete(r.planner.surplusSince, m.Name)
			continue
		}
		since, ok := r.planner.surplusSince[m.Name]
		if !ok {
			r.planner.surplusSince[m.Name] = r.now
			continue
		}
		if r.now.Sub(since) < r.planner.config.SurplusTimeout {
			continue
		}
		for _, e := range r.live {
			if !r.serves(e, m.Name) || len(e.Load.Versions) < 2 || e.Load.Running+e.Load.Waiting > 0 {
				continue
			}
			o := engineapi.Order{Op: engineapi.OrderUnloadModel, Model: m.Name}
			if r.addOrder(e, o, "%s needs %d endpoints, %d serve it", m.Name, r.planner.RequiredEndpoints(m), r.countServing(m.Name)) {
				delete(r.planner.surplusSince, m.Name)
				break
			}
		}
	}
}

// loadAdapters orders loads of the missing adapters of the models that an endpoint serves.
func (r *round) loadAdapters() {
	for _, e := range r.live {
		for _, name := range e.Models {
			if !r.serves(e, name) {
				continue
			}
			for _, adapter := range r.models[name].Adapters {
				if slices.Contains(e.Load.Adapters, adapter) {
					continue
				}
				o := engineapi.Order{Op: engineapi.OrderLoadAdapter, Model: name, Adapter: adapter}
				r.addOrder(e, o, "%s needs adapter %s", name, adapter)
			}
		}
	}
}
