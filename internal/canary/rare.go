package canary

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// rareTraffic is the share of the traffic that rare routes have together. Too few of their requests go to
	// both releases to compare these with each other before the ramp; most of them may go to the new one, as
	// that adds little to the exposure.
	rareTraffic = 0.05
	// maxRareShare is the share of a rare route that may go to the new release before the ramp.
	maxRareShare = 0.9
	// It gets that share if it has minRareRequests to maxRareRequests until the ramp: fewer don't suffice for a
	// verdict in any case, and of more, enough go to both releases.
	minRareRequests = 5
	maxRareRequests = 40
	// minBefore is the number of a route's requests before the order from which on its rate is known.
	minBefore = 20
)

// rareRoutes returns the rare routes whose rate before the order is known.
func rareRoutes(before map[string]Counts) map[string]bool {
	total := 0.0
	for _, c := range before {
		total += float64(c.Requests)
	}
	routes := slices.SortedFunc(maps.Keys(before), func(a, b string) int {
		return cmp.Or(cmp.Compare(before[a].Requests, before[b].Requests), cmp.Compare(a, b))
	})
	rare := map[string]bool{}
	sum := 0.0
	for _, route := range routes {
		if sum += float64(before[route].Requests); sum > rareTraffic*total {
			break
		}
		if before[route].Requests >= minBefore {
			rare[route] = true
		}
	}
	return rare
}
