package state

import (
	"maps"
	"slices"
	"strings"

	pb "eelgrasshollow/gen/eelgrass/v1"
)

// ApplyDelta returns the configuration after a delta. Neither argument is changed;
// lists in which nothing changed are shared.
func ApplyDelta(c *pb.Configuration, d *pb.Delta) *pb.Configuration {
	n := d.GetChanged()
	return &pb.Configuration{
		Revision:       d.GetToRevision(),
		ClientAccounts: merge(c.GetClientAccounts(), n.GetClientAccounts(), d.GetDeletedClientAccounts(), (*pb.ClientAccount).GetName),
		Keys:           merge(c.GetKeys(), n.GetKeys(), nil, (*pb.Key).GetId),
		Routes:         merge(c.GetRoutes(), n.GetRoutes(), d.GetDeletedRoutes(), (*pb.Route).GetName),
		Models:         merge(c.GetModels(), n.GetModels(), d.GetDeletedModels(), (*pb.Model).GetName),
		Endpoints:      merge(c.GetEndpoints(), n.GetEndpoints(), d.GetDeletedEndpoints(), (*pb.Endpoint).GetName),
	}
}

// merge puts changed objects into a list that is sorted by name, and takes deleted
// ones out. A name that is in both was made anew.
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

// WithDelta returns the view after a delta. Indexes of types in which nothing changed
// are shared with v.
func (v *View) WithDelta(d *pb.Delta) *View {
	c, n := ApplyDelta(v.config, d), d.GetChanged()
	next := *v
	next.config = c
	next.accounts = reindex(v.accounts, n.GetClientAccounts(), d.GetDeletedClientAccounts(), (*pb.ClientAccount).GetName)
	next.keys = reindex(v.keys, n.GetKeys(), nil, (*pb.Key).GetId)
	next.models = reindex(v.models, n.GetModels(), d.GetDeletedModels(), (*pb.Model).GetName)
	if len(n.GetRoutes())+len(d.GetDeletedRoutes()) > 0 {
		next.modelRoute, next.plain = map[string]*pb.Route{}, nil
		next.indexRoutes(c.GetRoutes())
	}
	if len(n.GetEndpoints())+len(d.GetDeletedEndpoints()) > 0 {
		next.endpoints = make(map[string]*pb.Endpoint, len(c.GetEndpoints()))
		next.byModel, next.byService = map[string][]*pb.Endpoint{}, map[string][]*pb.Endpoint{}
		next.indexEndpoints(c.GetEndpoints())
	}
	return &next
}

// reindex returns the index after a change, or the same one when nothing changed.
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
