package routing

import (
	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"
)

// Inventory provides the endpoints and stores that requests can be routed to.
type Inventory interface {
	// Revision changes whenever Snapshot does. known is false until there is a first
	// snapshot.
	Revision() (revision uint64, known bool)
	// Snapshot returns the current endpoints, stores and target versions.
	Snapshot() Snapshot
	// Changed returns a channel that is closed when Snapshot may have changed.
	Changed() <-chan struct{}
}

// Snapshot lists the endpoints and stores that requests can be routed to at one revision.
type Snapshot struct {
	Revision       uint64
	Endpoints      []Endpoint
	Stores         []Store
	TargetVersions map[string]string // weights version by model
}

// configInventory is the Inventory of the product's own configuration.
type configInventory struct{ watch.Directory }

// Revision implements Inventory.
func (c configInventory) Revision() (uint64, bool) {
	v := c.View()
	if v == nil {
		return 0, false
	}
	return v.Revision(), true
}

// Snapshot implements Inventory.
func (c configInventory) Snapshot() Snapshot {
	v := c.View()
	snapshot := Snapshot{Revision: v.Revision(), Endpoints: Endpoints(v), Stores: Stores(v), TargetVersions: map[string]string{}}
	for _, model := range v.Models() {
		snapshot.TargetVersions[model.GetName()] = model.GetWeightsVersion()
	}
	return snapshot
}

// Stores lists the kept-cache stores of a view.
func Stores(v *state.View) []Store {
	var stores []Store
	for _, e := range v.Configuration().GetEndpoints() {
		if e.GetRole() == pb.EndpointRole_ENDPOINT_ROLE_KEPT_CACHE && !e.GetLeaving() {
			stores = append(stores, Store{Name: e.GetName(), Address: e.GetAddress()})
		}
	}
	return stores
}

// Endpoints lists the endpoints of a view that requests can be sent to.
func Endpoints(v *state.View) []Endpoint {
	var endpoints []Endpoint
	for _, e := range v.Configuration().GetEndpoints() {
		switch e.GetRole() {
		case pb.EndpointRole_ENDPOINT_ROLE_ENGINE, pb.EndpointRole_ENDPOINT_ROLE_PLAIN:
			endpoints = append(endpoints, Endpoint{
				Name: e.GetName(), Address: e.GetAddress(), FailureDomain: e.GetFailureDomain(),
				Models: e.GetModels(), Service: e.GetService(), Leaving: e.GetLeaving(),
				MaxConcurrent: int(e.GetMaxConcurrent()),
			})
		}
	}
	return endpoints
}
