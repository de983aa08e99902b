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
	Slots         int
	Draining      bool
	// Changing servers are loading other weights and take no requests until then.
	Changing bool
	Weights  []Weights
}

// Weights is a model that a server has loaded.
type Weights struct {
	Model   string
	Version int64
}

// Name names the weights.
func (w Weights) Name() string { return w.Model + "/" + strconv.FormatInt(w.Version, 10) }

// Key names a server's place: a server that starts again elsewhere is another one.
func (s Server) Key() string { return s.ID + "@" + s.Address }

// WeightsVersion is the version of a model's weights on the server; ok is false when the model
// is not loaded there.
func (s Server) WeightsVersion(model string) (version int64, ok bool) {
	for _, w := range s.Weights {
		if w.Model == model {
			return w.Version, true
		}
	}
	return 0, false
}

// SortServers puts servers in the order of their keys.
func SortServers(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.Key(), b.Key()) })
}

// SameServers reports whether two sorted lists say the same.
func SameServers(a, b []Server) bool {
	return slices.EqualFunc(a, b, func(x, y Server) bool {
		return x.ID == y.ID && x.Service == y.Service && x.Address == y.Address && x.FailureDomain == y.FailureDomain &&
			x.Slots == y.Slots && x.Draining == y.Draining && x.Changing == y.Changing && slices.Equal(x.Weights, y.Weights)
	})
}
