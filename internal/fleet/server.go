package fleet

import (
	"slices"
	"strconv"
	"strings"
)

// Server is one process behind a service, as the platform lists it.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Release is the version of the server's software; "" if unknown.
	Release string
	Slots   int
	// StartedAt is when the server's process started, in Unix milliseconds by its own clock; 0
	// if unknown. A server may start again under the same ID and address.
	StartedAt int64
	Draining  bool
	// Changing is true while the server loads other weights; it gets no requests meanwhile.
	Changing bool
	Weights  []Weights
}

// Weights is a version of a model's weights that a server has loaded.
type Weights struct {
	Model   string
	Version int64
}

// Name returns the name of the weights, as MODEL/VERSION.
func (w Weights) Name() string { return w.Model + "/" + strconv.FormatInt(w.Version, 10) }

// Key identifies a server by ID and address: after a restart at another address it has another
// key.
func (s Server) Key() string { return s.ID + "@" + s.Address }

// Incarnation identifies one run of the server's process, as far as it is known.
func (s Server) Incarnation() string {
	if s.StartedAt == 0 {
		return s.ID
	}
	return s.ID + "/" + strconv.FormatInt(s.StartedAt, 10)
}

// WeightsVersion returns the version of a model's weights on the server, 1 or more; ok is false if the
// server has not loaded the model.
func (s Server) WeightsVersion(model string) (version int64, ok bool) {
	for _, w := range s.Weights {
		if w.Model == model && w.Version > 0 {
			return w.Version, true
		}
	}
	return 0, false
}

// SortServers sorts servers by their keys.
func SortServers(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.Key(), b.Key()) })
}

// Equal reports whether two servers are the same in all fields.
func (s Server) Equal(o Server) bool {
	return s.ID == o.ID && s.Service == o.Service && s.Address == o.Address && s.FailureDomain == o.FailureDomain && s.Release == o.Release &&
		s.Slots == o.Slots && s.StartedAt == o.StartedAt && s.Draining == o.Draining && s.Changing == o.Changing && slices.Equal(s.Weights, o.Weights)
}

// SameServers reports whether two sorted lists are equal.
func SameServers(a, b []Server) bool { return slices.EqualFunc(a, b, Server.Equal) }
