package placement

import (
	"slices"

	"eelgrasshollow/internal/engineapi"
)

// serves reports whether requests for the model can go to the endpoint now, in
// whatever version.
func (r *round) serves(e *Endpoint, model string) bool {
	_, draining := r.planner.drains[e.Name]
	if draining || e.Load.Role == engineapi.RoleDrain || !slices.Contains(e.Models, model) {
		return false
	}
	return e.Load.Versions[model] != "" && !slices.Contains(e.Load.Loading, model)
}

// serving counts the endpoints that serve the model.
func (r *round) serving(model string) int {
	n := 0
	for _, e := range r.live {
		if r.serves(e, model) {
			n++
		}
	}
	return n
}

// coming counts the endpoints on which the model is about to serve.
func (r *round) coming(model string) int {
	n := 0
	for _, e := range r.live {
		if o, ok := r.planner.pending[e.Name]; ok && o.order.Op == engineapi.OrderLoadModel && o.order.Model == model && !r.serves(e, model) {
			n++
		}
	}
	return n
}

// spare reports whether every model that the endpoint serves has enough without it.
func (r *round) spare(e *Endpoint) bool {
	for _, name := range e.Models {
		m, wanted := r.models[name]
		if wanted && r.serves(e, name) && r.serving(name)-1 < r.planner.RequiredEndpoints(m) {
			return false
		}
	}
	return true
}

// fill loads models that too few endpoints serve onto endpoints that serve nothing of
// theirs yet.
func (r *round) fill() {
	for _, m := range r.world.Models {
		want := max(r.planner.RequiredEndpoints(m), 1)
		missing := want - r.serving(m.Name) - r.coming(m.Name)
		for _, e := range r.live {
			if missing <= 0 {
				break
			}
			if !slices.Contains(e.Models, m.Name) || e.Load.Versions[m.Name] != "" || len(e.Load.Loading) > 0 || r.drains(e) {
				continue
			}
			if r.order(e, load(m), "%s needs %d endpoints, %d serve it", m.Name, want, r.serving(m.Name)) {
				missing--
			}
		}
	}
}

func load(m Model) engineapi.Order {
	return engineapi.Order{Op: engineapi.OrderLoadModel, Model: m.Name, Version: m.Version}
}

func (r *round) drains(e *Endpoint) bool {
	_, ok := r.planner.drains[e.Name]
	return ok
}

// outdated finds a model that the endpoint has loaded in another version than wanted.
func (r *round) outdated(e *Endpoint) (Model, bool) {
	for _, name := range e.Models {
		m, wanted := r.models[name]
		if loaded := e.Load.Versions[name]; wanted && loaded != "" && loaded != m.Version {
			return m, true
		}
	}
	return Model{}, false
}

// roll begins to drain endpoints with other weights than wanted, no more at a time
// than may load, the idlest first. Where no endpoint is to spare the change waits.
func (r *round) roll() {
	clear(r.planner.blocked)
	changing := len(r.planner.drains)
	for changing < r.planner.config.MaxLoads {
		e, m := r.nextOutdated()
		if e == nil {
			return
		}
		if !r.drain(e, "roll "+m.Name+" to "+m.Version) {
			return
		}
		changing++
	}
}

func (r *round) nextOutdated() (*Endpoint, Model) {
	var best *Endpoint
	var model Model
	for _, e := range r.live {
		m, old := r.outdated(e)
		_, busy := r.planner.pending[e.Name]
		if !old || busy || r.drains(e) {
			continue
		}
		if !r.spare(e) {
			r.planner.blocked[m.Name] = true
			continue
		}
		if best == nil || e.Load.Running+e.Load.Waiting < best.Load.Running+best.Load.Waiting {
			best, model = e, m
		}
	}
	return best, model
}

// drain sets the endpoint's role so that routers send it nothing new.
func (r *round) drain(e *Endpoint, reason string) bool {
	o := engineapi.Order{Op: engineapi.OrderSetRole, Role: engineapi.RoleDrain}
	if !r.order(e, o, "drain to %s", reason) {
		return false
	}
	r.planner.drains[e.Name] = drain{since: r.now, role: e.Load.Role, reason: reason}
	return true
}

// redrain gives the order to drain again, as long as the endpoint can still be spared:
// others may have died since the order that was lost. Without an order pending, an
// endpoint that can't be spared serves on.
func (r *round) redrain(e *Endpoint, d drain) {
	if _, busy := r.planner.pending[e.Name]; busy {
		return
	}
	delete(r.planner.drains, e.Name)
	if r.spare(e) {
		r.drain(e, d.reason)
	}
}

// changeDrained loads the wanted weights where the endpoint has run dry.
func (r *round) changeDrained() {
	for _, e := range r.live {
		d, ok := r.planner.drains[e.Name]
		if !ok {
			continue
		}
		if _, old := r.outdated(e); old && e.Load.Role != engineapi.RoleDrain {
			r.redrain(e, d) // the order was lost, or could not be given yet
			continue
		}
		dry := e.Load.Running+e.Load.Waiting == 0
		if !dry && r.now.Sub(d.since) <= r.planner.config.DrainTimeout {
			continue
		}
		if m, old := r.outdated(e); old && len(e.Load.Loading) == 0 {
			r.order(e, load(m), "%s, drained", d.reason)
		}
	}
}

// finishDrains gives endpoints with nothing outdated their role back.
func (r *round) finishDrains() {
	for _, e := range r.live {
		d, ok := r.planner.drains[e.Name]
		if !ok {
			continue
		}
		if _, old := r.outdated(e); old || len(e.Load.Loading) > 0 {
			continue
		}
		if _, busy := r.planner.pending[e.Name]; busy {
			continue
		}
		if e.Load.Role != engineapi.RoleDrain {
			delete(r.planner.drains, e.Name)
			continue
		}
		r.order(e, engineapi.Order{Op: engineapi.OrderSetRole, Role: d.role}, "serve again: %s", d.reason)
	}
}

// shrink unloads a copy that was surplus for long, from endpoints that serve another
// model too: memory is worth freeing only there.
func (r *round) shrink() {
	for _, m := range r.world.Models {
		if r.serving(m.Name) <= max(r.planner.RequiredEndpoints(m), 1)+1 {
			delete(r.planner.surplus, m.Name)
			continue
		}
		since, ok := r.planner.surplus[m.Name]
		if !ok {
			r.planner.surplus[m.Name] = r.now
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
			if r.order(e, o, "%s needs %d endpoints, %d serve it", m.Name, r.planner.RequiredEndpoints(m), r.serving(m.Name)) {
				delete(r.planner.surplus, m.Name)
				break
			}
		}
	}
}

// loadAdapters loads the adapters of the models that an endpoint serves.
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
				r.order(e, o, "%s wants adapter %s", name, adapter)
			}
		}
	}
}
