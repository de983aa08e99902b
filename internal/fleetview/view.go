package fleetview

import (
	"slices"
	"time"

	"eelgrasshollow/internal/cachespace"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/releasetraffic"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/transfercost"
)

// View is an entry VM's state of the fleet at one time. It is immutable.
type View struct {
	// Revision is the replicated log's index of the last change of the configuration or the
	// target weights versions.
	Revision uint64
	// AsOf is a time, by this VM's clock, as of which the view was certainly the leader's.
	AsOf   time.Time
	Config *fleet.Config
	// TargetVersions is the target weights version of each model.
	TargetVersions map[string]int64
	// TargetSince is when the recent target versions of each model became the target, by this
	// VM's clock. Servers with weights below MinVersions of their model get no requests.
	TargetSince map[string]map[int64]time.Time
	MinVersions map[string]int64
	Servers     []fleet.Server
	// InventoryRevision counts the changes of the inventory on this VM: of the servers, of which
	// of them are outdated or unused, and of the stores.
	InventoryRevision uint64
	VMs               []membership.VM
	// VMsComplete is true once VMs has been the list of all VMs.
	VMsComplete bool
	// Rollouts holds the latest rollout of each service, and Releases decides which servers requests may
	// use because of them. Both are nil in deployments without rollouts.
	Rollouts map[string]releasetraffic.Rollout
	Releases *releasetraffic.Table
	// byKey holds the servers by fleet.Server.Key.
	byKey map[string]fleet.Server
}

// NewView returns a view of a configuration, which may be nil, and the given servers.
func NewView(config *fleet.Config, servers ...fleet.Server) *View {
	v := &View{Config: config}
	v.setServers(servers)
	return v
}

// setServers sets the servers and their index.
func (v *View) setServers(servers []fleet.Server) {
	v.Servers = servers
	v.byKey = make(map[string]fleet.Server, len(servers))
	for _, s := range servers {
		v.byKey[s.Key()] = s
	}
}

// Complete reports whether the view has had a configuration and a list of servers.
func (v *View) Complete() bool { return v.Config != nil && v.Servers != nil }

// tokensPerSecond returns the rate at which a store's link transfers cached tokens of the
// engines, or 0 if their size is unknown.
func (v *View) tokensPerSecond(store *fleet.Store) float64 {
	const bitsPerByte = 8
	for _, s := range v.Config.Services {
		if s.Engine != nil && s.Engine.TokenBytes > 0 {
			return store.LinkBitsPerSecond / bitsPerByte / float64(s.Engine.TokenBytes)
		}
	}
	return 0
}

// cacheTokens returns the cache capacity of one server of a service, or 0 if it has none.
func (v *View) cacheTokens(service string) int {
	if v.Config == nil {
		return 0
	}
	if s := v.Config.Service(service); s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

// HealthPath returns the path at which the servers of a service answer health checks, or "".
func (v *View) HealthPath(service string) string {
	if v.Config == nil {
		return ""
	}
	if s := v.Config.Service(service); s != nil {
		return s.HealthPath
	}
	return ""
}

// importLink returns the link over which the servers of a service exchange cached tokens.
func (v *View) importLink(service string) transfercost.Link {
	if v.Config == nil {
		return transfercost.Link{}
	}
	if s := v.Config.Service(service); s != nil && s.Engine != nil {
		return transfercost.LinkOf(s.Engine.TokenBytes, s.Engine.LinkBitsPerSecond)
	}
	return transfercost.Link{}
}

// CacheSpace returns the namespace in which the server with a key caches an owner's prompts, and the version of the model's
// weights there. If the weights are not known, the version is 0 and no other request has the namespace.
func (v *View) CacheSpace(key, model string, owner cachespace.Owner) (cachespace.Space, int64) {
	version, known := v.byKey[key].WeightsVersion(model)
	if v.Config == nil || !known {
		return cachespace.Unique(), 0
	}
	return cachespace.New(owner, model, version), version
}

// modelServersWithoutWeights returns the IDs of the servers of services with models whose entries name no weights.
func (v *View) modelServersWithoutWeights() (ids []string) {
	for _, s := range v.Servers {
		if v.lacksWeights(s) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// lacksWeights reports whether the entry of a server names no weights although the service's servers have models. Its
// process is down, or the entry is not the platform's.
func (v *View) lacksWeights(s fleet.Server) bool {
	if len(s.Weights) > 0 || v.Config == nil {
		return false
	}
	service := v.Config.Service(s.Service)
	return service != nil && service.Engine != nil && len(service.Engine.Models) > 0
}

// snapshot returns the servers and stores for routing.
func (v *View) snapshot() routing.Snapshot {
	snapshot := routing.Snapshot{Revision: v.InventoryRevision}
	for _, s := range v.Servers {
		snapshot.Endpoints = append(snapshot.Endpoints, v.endpoint(s))
	}
	if v.Config == nil {
		return snapshot
	}
	for _, s := range v.Config.Services {
		if s.Store != nil {
			snapshot.Stores = append(snapshot.Stores, routing.Store{
				Name: s.Name, Address: s.Store.Address, CapacityTokens: s.Store.CacheTokens, TokensPerSecond: v.tokensPerSecond(s.Store),
			})
		}
	}
	return snapshot
}

// unused reports whether a server gets no requests: it drains, loads other weights, has weights below the minimum
// version, or should have some and names none.
func (v *View) unused(s fleet.Server) bool {
	return s.Draining || s.Changing || v.lacksWeights(s) || slices.ContainsFunc(s.Weights, func(w fleet.Weights) bool {
		return w.Version < v.MinVersions[w.Model]
	})
}

// endpoint returns a server in the form that routing uses.
func (v *View) endpoint(s fleet.Server) routing.Endpoint {
	e := routing.Endpoint{
		Name: s.Key(), KnownIncarnation: s.Incarnation(), Address: s.Address, FailureDomain: s.FailureDomain, Service: s.Service,
		Release: s.Release, Leaving: v.unused(s), MaxConcurrent: s.Slots, CacheCapacityTokens: v.cacheTokens(s.Service),
		ImportLink: v.importLink(s.Service),
	}
	for _, w := range s.Weights {
		e.Outdated = e.Outdated || w.Version < v.TargetVersions[w.Model]
		e.Weights += w.Name() + " "
	}
	return e
}
