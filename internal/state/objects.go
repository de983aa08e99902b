package state

import (
	"slices"

	pb "eelgrasshollow/gen/eelgrass/v1"
)

// object is a stored message. It is immutable once stored.
type object interface {
	GetRevision() uint64
}

// table holds the objects of one type by name.
type table[T object] map[string]T

// sorted returns the objects changed after a revision, sorted by name.
func (t table[T]) sorted(after uint64) []T {
	var names []string
	for name, x := range t {
		if x.GetRevision() > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := make([]T, len(names))
	for i, name := range names {
		out[i] = t[name]
	}
	return out
}

// tableOf indexes a list of objects by name.
func tableOf[T object](list []T, name func(T) string) table[T] {
	t := table[T]{}
	for _, x := range list {
		t[name(x)] = x
	}
	return t
}

// objects holds the objects of a configuration by type and name.
type objects struct {
	revision  uint64
	accounts  table[*pb.ClientAccount]
	keys      table[*pb.Key]
	routes    table[*pb.Route]
	models    table[*pb.Model]
	endpoints table[*pb.Endpoint]
}

func newObjects() objects { return objectsOf(&pb.Configuration{}) }

func objectsOf(c *pb.Configuration) objects {
	return objects{
		revision:  c.GetRevision(),
		accounts:  tableOf(c.GetClientAccounts(), (*pb.ClientAccount).GetName),
		keys:      tableOf(c.GetKeys(), (*pb.Key).GetId),
		routes:    tableOf(c.GetRoutes(), (*pb.Route).GetName),
		models:    tableOf(c.GetModels(), (*pb.Model).GetName),
		endpoints: tableOf(c.GetEndpoints(), (*pb.Endpoint).GetName),
	}
}

// configuration returns the objects changed after a revision, sorted by name.
func (o *objects) configuration(after uint64) *pb.Configuration {
	return &pb.Configuration{
		Revision:       o.revision,
		ClientAccounts: o.accounts.sorted(after),
		Keys:           o.keys.sorted(after),
		Routes:         o.routes.sorted(after),
		Models:         o.models.sorted(after),
		Endpoints:      o.endpoints.sorted(after),
	}
}
