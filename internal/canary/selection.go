package canary

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Arm is one of the two releases of a rollout.
type Arm uint8

// Arms of a rollout.
const (
	OldRelease Arm = iota
	NewRelease
)

// manyServers is the number of servers of the new release from which on at least two are in use, so
// that trouble on a single one can be told from a bad release.
const manyServers = 4

// Fraction maps a request ID to [0, 1), independently for each rollout. It is also independent of
// other hashes of the ID, such as the one that chooses the service: with a common hash, the requests of
// a service would have fractions in a part of [0, 1) only.
func Fraction(service string, number uint64, requestID string) float64 {
	const bits = 53 // of a float64
	hash := xxhash.Sum64String("release\x00" + service + "\x00" + strconv.FormatUint(number, 10) + "\x00" + requestID)
	return float64(hash>>(64-bits)) / (1 << bits)
}

// Share returns the share of a route's requests that go to the new release.
func (s Stage) Share(route string) float64 {
	switch s.Phase {
	case Completed, All:
		return 1
	case RolledBack:
		return 0
	case Canary, Ramp:
	}
	if share, ok := s.Shares[route]; ok {
		return share
	}
	return s.Default
}

// ArmFor returns the release that a request of a route goes to. fraction is that of the request's ID.
func ArmFor(fraction float64, route string, s Stage) Arm {
	if fraction < s.Share(route) {
		return NewRelease
	}
	return OldRelease
}

// ServersInUse returns the servers of the new release that may be used, in rendezvous order: their order
// doesn't depend on which others exist. names are the names of all servers of the new release that are
// listed; the slice is not changed.
func ServersInUse(names []string, s Stage) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	order := make([]weighted, len(names))
	for i, name := range names {
		order[i] = weighted{name, xxhash.Sum64String(name)}
	}
	slices.SortFunc(order, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	n := serversInUse(len(names), s)
	used := make([]string, n)
	for i := range used {
		used[i] = order[i].name
	}
	return used
}

// serversInUse returns how many of the listed servers of the new release may be used.
func serversInUse(listed int, s Stage) int {
	switch s.Phase {
	case All, Completed:
		return listed
	case RolledBack:
		return 0
	case Canary, Ramp:
	}
	least := 1
	if listed >= manyServers {
		least = 2
	}
	// The tolerance keeps rounding errors of the product from adding a server.
	wanted := int(math.Ceil(s.ServerShare*float64(listed) - 1e-9))
	return min(max(wanted, least), listed)
}
