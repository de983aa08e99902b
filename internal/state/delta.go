package state

import (
	"maps"
	"slices"
	"strings"

	pb "eelgrasshollow/gen/eelgrass/v1"
)

// ApplyDelta returns the configuration that results from applying d to c. It modifies
// neither argument; the result shares the lists of c in which nothing changed.
func ApplyDelta(c *pb.Configuration, d *pb.Delta) *pb.Configuration {
	changed := d.GetChanged()
	return &pb.Configuration{
		Revision:       d.GetToRevision(),
		ClientAccounts: merge(c.GetClientAccounts(), changed.GetClientAccounts(), d.GetDeletedClientAccounts(), (*pb.ClientAccount).GetName),
		Keys:           merge(c.GetKeys(), changed.GetKeys(), nil, (*pb.Key).GetId),
		Routes:         merge(c.GetRoutes(), changed.GetRoutes(), d.GetDeletedRoutes(), (*pb.Route).GetName),
		Models:         merge(c.GetModels(), changed.GetModels(), d.GetDeletedModels(), (*pb.Model).GetName),
		Endpoints:      merge(c.GetEndpoints(), changed.GetEndpoints(), d.GetDeletedEndpoints(), (*pb.Endpoint).GetName),
	}
}

// merge returns a copy of a list sorted by name without the deleted objects and with the
// changed ones inserted or replaced. An object in both was deleted and created again.
func merge[T object](list, changed []T, deleted []string, name func(T) string) []T {
	if len(changed)+len(deleted) == 0 {
		return list
	}
	out := slices.Clone(list)
	find := func(n string) (int, bool) {
		return slices.BinarySearchFunc(out, n, func(x T, n string) int { return strings.Compare(name(x), n) })
	}
	for _, n := range deleted {
		if at, ok := find(n); ok {
			out = slices.Delete(out, at, at+1)
		}
	}
	for _, x := range changed {
		if at, ok := find(name(x)); ok {
			out[at] = x
		} else {
			out = slices.Insert(out, at, x)
		}
	}
	return out
}

// WithDelta returns the view of v's configuration after a delta. The result shares the
// indexes of v for types in which nothing changed.
func (v *View) WithDelta(d *pb.Delta) *View {
	c, changed := ApplyDelta(v.config, d), d.GetChanged()
	next := *v
	next.config = c
	next.accounts = reindex(v.accounts, changed.GetClientAccounts(), d.GetDeletedClientAccounts(), (*pb.ClientAccount).GetName)
	next.keys = reindex(v.keys, changed.GetKeys(), nil, (*pb.Key).GetId)
	next.models = reindex(v.models, changed.GetModels(), d.GetDeletedModels(), (*pb.Model).GetName)
	if len(changed.GetRoutes())+len(d.GetDeletedRoutes()) > 0 {
		next.routeByModel, next.plainRoutes = map[string]*pb.Route{}, nil
		next.indexRoutes(c.GetRoutes())
	}
	if len(changed.GetEndpoints())+len(d.GetDeletedEndpoints()) > 0 {
		next.endpoints = make(map[string]*pb.Endpoint, len(c.GetEndpoints()))
		next.endpointsByModel, next.endpointsByService = map[string][]*pb.Endpoint{}, map[string][]*pb.Endpoint{}
		next.indexEndpoints(c.GetEndpoints())
	}
	return &next
}

// reindex returns a copy of index with the changes applied, or index itself if nothing
// changed.
func reindex[T any](index map[string]T, changed []T, deleted []string, name func(T) string) map[string]T {
	if len(changed)+len(deleted) == 0 {
		return index
	}
	out := maps.Clone(index)
	for _, n := range deleted {
		delete(out, n)
	}
	for _, x := range changed {
		out[name(x)] = x
	}
	return out
}
