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
// concurrent use; the messages it returns must not be changed.
type View struct {
	config     *pb.Configuration
	accounts   map[string]*pb.ClientAccount
	keys       map[string]*pb.Key
	models     map[string]*pb.Model
	modelRoute map[string]*pb.Route
	plain      []*pb.Route // longest path prefix first
	endpoints  map[string]*pb.Endpoint
	byModel    map[string][]*pb.Endpoint
	byService  map[string][]*pb.Endpoint
}

// NewView indexes a configuration, which must not change afterwards.
func NewView(c *pb.Configuration) *View {
	v := &View{
		config:     c,
		accounts:   map[string]*pb.ClientAccount{},
		keys:       map[string]*pb.Key{},
		models:     map[string]*pb.Model{},
		modelRoute: map[string]*pb.Route{},
		endpoints:  map[string]*pb.Endpoint{},
		byModel:    map[string][]*pb.Endpoint{},
		byService:  map[string][]*pb.Endpoint{},
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
			v.modelRoute[r.GetModel()] = r
			continue
		}
		v.plain = append(v.plain, r)
	}
	sort.Slice(v.plain, func(i, j int) bool {
		return len(v.plain[i].GetPathPrefix()) > len(v.plain[j].GetPathPrefix())
	})
}

func (v *View) indexEndpoints(endpoints []*pb.Endpoint) {
	for _, e := range endpoints {
		v.endpoints[e.GetName()] = e
		switch e.GetRole() {
		case pb.EndpointRole_ENDPOINT_ROLE_ENGINE:
			for _, m := range e.GetModels() {
				v.byModel[m] = append(v.byModel[m], e)
			}
		case pb.EndpointRole_ENDPOINT_ROLE_PLAIN:
			v.byService[e.GetService()] = append(v.byService[e.GetService()], e)
		}
	}
}

// Revision returns the configuration's revision.
func (v *View) Revision() uint64 { return v.config.GetRevision() }

// Configuration returns the whole configuration.
func (v *View) Configuration() *pb.Configuration { return v.config }

// Account finds a client account by name.
func (v *View) Account(name string) (*pb.ClientAccount, bool) {
	a, ok := v.accounts[name]
	return a, ok
}

// Model finds a model by name.
func (v *View) Model(name string) (*pb.Model, bool) {
	m, ok := v.models[name]
	return m, ok
}

// Models lists every model.
func (v *View) Models() []*pb.Model { return v.config.GetModels() }

// ModelRoute finds the route of a model.
func (v *View) ModelRoute(model string) (*pb.Route, bool) {
	r, ok := v.modelRoute[model]
	return r, ok
}

// PlainRoute finds the route with the longest path prefix that covers path. A prefix
// covers itself and what lies below it.
func (v *View) PlainRoute(path string) (*pb.Route, bool) {
	for _, r := range v.plain {
		prefix := strings.TrimSuffix(r.GetPathPrefix(), "/")
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return r, true
		}
	}
	return nil, false
}

// Endpoint finds an endpoint by name.
func (v *View) Endpoint(name string) (*pb.Endpoint, bool) {
	e, ok := v.endpoints[name]
	return e, ok
}

// EndpointsOfModel lists the engines of a model, leaving ones included.
func (v *View) EndpointsOfModel(model string) []*pb.Endpoint { return v.byModel[model] }

// EndpointsOfService lists the endpoints of a plain service, leaving ones included.
func (v *View) EndpointsOfService(service string) []*pb.Endpoint { return v.byService[service] }

// Authenticate returns the client account of a caller's token. Every refusal is
// errkind Unauthenticated and says nothing about which part was wrong.
func (v *View) Authenticate(h keys.Hasher, token string) (*pb.ClientAccount, error) {
	refused := errkind.New(errkind.Unauthenticated, "key is not valid")
	t, err := keys.Parse(token)
	if err != nil {
		return nil, refused
	}
	k, ok := v.keys[t.ID]
	if !ok || !h.Matches(t.Secret, k.GetSecretHash()) || k.GetWithdrawn() {
		return nil, refused
	}
	a, ok := v.accounts[k.GetClientAccount()]
	if !ok || a.GetDisabled() {
		return nil, refused
	}
	return a, nil
}
