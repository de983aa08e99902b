package fleetview

import (
	"slices"
	"time"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/routing"
)

// View is what is known at one moment. It is immutable.
type View struct {
	// Revision is that of the configuration in the agreed log.
	Revision       uint64
	Config         *fleet.Config
	TargetVersions map[string]int64
	// TargetSince is when the last versions of each model were named, by this VM's clock. Servers
	// with weights older than Least of their model get no requests.
	TargetSince map[string]map[int64]time.Time
	MinVersions map[string]int64
	Servers     []fleet.Server
	// InventoryRevision counts changes of Servers at this VM.
	InventoryRevision uint64
	VMs               []membership.VM
	// byKey finds servers by fleet.Server.Key.
	byKey map[string]fleet.Server
}

// tokensPerSecond is how many tokens of the engines' cache a store's link carries, or 0.
func (v *View) tokensPerSecond(store *fleet.Store) float64 {
	const bitsPerByte = 8
	for _, s := range v.Config.Services {
		if s.Engine != nil && s.Engine.TokenBytes > 0 {
			return store.LinkBitsPerSecond / bitsPerByte / float64(s.Engine.TokenBytes)
		}
	}
	return 0
}

// cacheTokens is what the cache of a service's server holds, or 0.
func (v *View) cacheTokens(service string) int {
	if v.Config == nil {
		return 0
	}
	if s := v.Config.Service(service); s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

// WeightsVersion returns the weights version of a model on the server with a key; known is false
// for servers and models that are not listed.
func (v *View) WeightsVersion(key, model string) (version int64, known bool) {
	return v.byKey[key].WeightsVersion(model)
}

// stock lists what requests can be routed to.
func (v *View) stock() routing.Snapshot {
	stock := routing.Snapshot{Revision: v.InventoryRevision}
	for _, s := range v.Servers {
		stock.Endpoints = append(stock.Endpoints, v.endpoint(s))
	}
	if v.Config == nil {
		return stock
	}
	for _, s := range v.Config.Services {
		if s.Store != nil {
			stock.Stores = append(stock.Stores, routing.Store{
				Name: s.Name, Address: s.Store.Address, CapacityTokens: s.Store.CacheTokens, TokensPerSecond: v.tokensPerSecond(s.Store),
			})
		}
	}
	return stock
}

// unused reports whether a server gets no requests.
func (v *View) unused(s fleet.Server) bool {
	return s.Draining || s.Changing || slices.ContainsFunc(s.Weights, func(w fleet.Weights) bool {
		return w.Version < v.MinVersions[w.Model]
	})
}

// endpoint is a server as routing knows it.
func (v *View) endpoint(s fleet.Server) routing.Endpoint {
	e := routing.Endpoint{
		Name: s.Key(), KnownIncarnation: s.ID, Address: s.Address, FailureDomain: s.FailureDomain, Service: s.Service,
		Leaving: v.unused(s), MaxConcurrent: s.Slots, CacheCapacityTokens: v.cacheTokens(s.Service),
	}
	for _, w := range s.Weights {
		e.Outdated = e.Outdated || w.Version < v.TargetVersions[w.Model]
		e.Weights += w.Name() + " "
	}
	return e
}
