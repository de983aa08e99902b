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
	// Stock returns what there is now.
	Stock() Stock
	// Changed returns a channel that is closed when Stock may have changed.
	Changed() <-chan struct{}
}

// Stock is what requests can be routed to at one revision.
type Stock struct {
	Revision  uint64
	Endpoints []Endpoint
	Stores    []Store
	Wanted    map[string]string // weights version by model
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

// Stock implements Inventory.
func (c configured) Stock() Stock {
	v := c.View()
	stock := Stock{Revision: v.Revision(), Endpoints: Fleet(v), Stores: Stores(v), Wanted: map[string]string{}}
	for _, model := range v.Models() {
		stock.Wanted[model.GetName()] = model.GetWeightsVersion()
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

// Fleet lists the endpoints of a view that requests go to.
func Fleet(v *state.View) []Endpoint {
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
