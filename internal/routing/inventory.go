package routing

import (
	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"
)

// Inventory tells which endpoints there are.
type Inventory interface {
	// Revision changes whenever Stock does; known is false while there is nothing yet.
	Revision() (revision uint64, known bool)
	// Snapshot returns what there is now.
	Snapshot() Snapshot
	// Changed returns a channel that is closed when Stock may have changed.
	Changed() <-chan struct{}
}

// Snapshot is what requests can be routed to at one revision.
type Snapshot struct {
	Revision       uint64
	Endpoints      []Endpoint
	Stores         []Store
	TargetVersions map[string]string // weights version by model
}

// configured is the inventory of the product's own configuration.
type configured struct{ watch.Directory }

// Revision implements Inventory.
func (c configured) Revision() (uint64, bool) {
	v := c.View()
	if v == nil {
		return 0, false
	}
	return v.Revision(), true
}

// Snapshot implements Inventory.
func (c configured) Snapshot() Snapshot {
	v := c.View()
	stock := Snapshot{Revision: v.Revision(), Endpoints: Endpoints(v), Stores: Stores(v), TargetVersions: map[string]string{}}
	for _, model := range v.Models() {
		stock.TargetVersions[model.GetName()] = model.GetWeightsVersion()
	}
	return stock
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

// Endpoints lists the endpoints of a view that requests go to.
func Endpoints(v *state.View) []Endpoint {
	var fleet []Endpoint
	for _, e := range v.Configuration().GetEndpoints() {
		switch e.GetRole() {
		case pb.EndpointRole_ENDPOINT_ROLE_ENGINE, pb.EndpointRole_ENDPOINT_ROLE_PLAIN:
			fleet = append(fleet, Endpoint{
				Name: e.GetName(), Address: e.GetAddress(), FailureDomain: e.GetFailureDomain(),
				Models: e.GetModels(), Service: e.GetService(), Leaving: e.GetLeaving(),
				MaxConcurrent: int(e.GetMaxConcurrent()),
			})
		}
	}
	return fleet
}
