// Package state holds the replicated configuration: client accounts, keys, routes,
// models and endpoints, and the state machine that changes them.
package state

import (
	"sort"
	"strings"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/keys"
)

// View is an immutable, indexed configuration at one revision. It is safe for
// concurrent use; the messages that it returns must not be modified.
type View struct {
	config             *pb.Configuration
	accounts           map[string]*pb.ClientAccount
	keys               map[string]*pb.Key
	models             map[string]*pb.Model
	routeByModel       map[string]*pb.Route
	plainRoutes        []*pb.Route // longest path prefix first
	endpoints          map[string]*pb.Endpoint
	endpointsByModel   map[string][]*pb.Endpoint
	endpointsByService map[string][]*pb.Endpoint
}

// NewView returns a view of c, which must not be modified afterwards.
func NewView(c *pb.Configuration) *View {
	v := &View{
		config:             c,
		accounts:           map[string]*pb.ClientAccount{},
		keys:               map[string]*pb.Key{},
		models:             map[string]*pb.Model{},
		routeByModel:       map[string]*pb.Route{},
		endpoints:          map[string]*pb.Endpoint{},
		endpointsByModel:   map[string][]*pb.Endpoint{},
		endpointsByService: map[string][]*pb.Endpoint{},
	}
	for _, a := range c.GetClientAccounts() {
		v.accounts[a.GetName()] = a
	}
	for _, k := range c.GetKeys() {
		v.keys[k.GetId()] = k
	}
	for _, m := range c.GetModels() {
		v.models[m.GetName()] = m
	}
	v.indexRoutes(c.GetRoutes())
	v.indexEndpoints(c.GetEndpoints())
	return v
}

func (v *View) indexRoutes(routes []*pb.Route) {
	for _, r := range routes {
		if r.GetKind() == pb.RouteKind_ROUTE_KIND_MODEL {
			v.routeByModel[r.GetModel()] = r
			continue
		}
		v.plainRoutes = append(v.plainRoutes, r)
	}
	sort.Slice(v.plainRoutes, func(i, j int) bool {
		return len(v.plainRoutes[i].GetPathPrefix()) > len(v.plainRoutes[j].GetPathPrefix())
	})
}

func (v *View) indexEndpoints(endpoints []*pb.Endpoint) {
	for _, e := range endpoints {
		v.endpoints[e.GetName()] = e
		switch e.GetRole() {
		case pb.EndpointRole_ENDPOINT_ROLE_ENGINE:
			for _, m := range e.GetModels() {
				v.endpointsByModel[m] = append(v.endpointsByModel[m], e)
			}
		case pb.EndpointRole_ENDPOINT_ROLE_PLAIN:
			v.endpointsByService[e.GetService()] = append(v.endpointsByService[e.GetService()], e)
		}
	}
}

// Revision returns the configuration's revision.
func (v *View) Revision() uint64 { return v.config.GetRevision() }

// Configuration returns the whole configuration.
func (v *View) Configuration() *pb.Configuration { return v.config }

// Account returns the client account with a name.
func (v *View) Account(name string) (*pb.ClientAccount, bool) {
	a, ok := v.accounts[name]
	return a, ok
}

// Model returns the model with a name.
func (v *View) Model(name string) (*pb.Model, bool) {
	m, ok := v.models[name]
	return m, ok
}

// Models returns all models.
func (v *View) Models() []*pb.Model { return v.config.GetModels() }

// ModelRoute returns the route of a model.
func (v *View) ModelRoute(model string) (*pb.Route, bool) {
	r, ok := v.routeByModel[model]
	return r, ok
}

// PlainRoute returns the route with the longest path prefix that matches path. A prefix
// matches itself and every path below it.
func (v *View) PlainRoute(path string) (*pb.Route, bool) {
	for _, r := range v.plainRoutes {
		prefix := strings.TrimSuffix(r.GetPathPrefix(), "/")
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return r, true
		}
	}
	return nil, false
}

// Endpoint returns the endpoint with a name.
func (v *View) Endpoint(name string) (*pb.Endpoint, bool) {
	e, ok := v.endpoints[name]
	return e, ok
}

// EndpointsOfModel returns the engines of a model, including leaving ones.
func (v *View) EndpointsOfModel(model string) []*pb.Endpoint { return v.endpointsByModel[model] }

// EndpointsOfService returns the endpoints of a plain service, including leaving ones.
func (v *View) EndpointsOfService(service string) []*pb.Endpoint {
	return v.endpointsByService[service]
}

// Authenticate returns the client account of a client's token. Every error is errkind
// Unauthenticated and does not reveal which part of the token is invalid.
func (v *View) Authenticate(h keys.Hasher, token string) (*pb.ClientAccount, error) {
	errInvalid := errkind.New(errkind.Unauthenticated, "key is not valid")
	t, err := keys.Parse(token)
	if err != nil {
		return nil, errInvalid
	}
	k, ok := v.keys[t.ID]
	if !ok || !h.Matches(t.Secret, k.GetSecretHash()) || k.GetWithdrawn() {
		return nil, errInvalid
	}
	a, ok := v.accounts[k.GetClientAccount()]
	if !ok || a.GetDisabled() {
		return nil, errInvalid
	}
	return a, nil
}
