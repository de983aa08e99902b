package canary

import (
	"maps"
	"math"
	"slices"
)

const (
	// minServed is the number of requests that a server, and the others together, must have had for the
	// release to be judged without that server.
	minServed = 10
	// minAlone is the number of requests from which on a server is taken for the only one in use. The
	// first results often come from one server, in particular from one that fails fast.
	minAlone = 20
	// maxUnchecked is the number of bad requests from which on a verdict doesn't wait for other servers.
	maxUnchecked = 25
	// Evidence without the worst server must reach supportFactor for Bad, and unclearFactor for a
	// suspicion. It is not sequential, but confirms a sequential test.
	supportFactor = 40
	unclearFactor = 8
)

// support says whether a finding holds without the worst server.
type support uint8

const (
	refuted support = iota
	unclear
	supported
)

// window holds the requests between two times by which one finding is judged.
type window struct {
	metric      metric
	route       string           // "" for all routes
	routes      map[string]table // by route
	serverTotal map[string]int
	serverBad   map[string]int
}

// newWindow returns the requests since a time.
func newWindow(m metric, route string, start, now *snapshot) *window {
	w := &window{metric: m, route: route, routes: map[string]table{}, serverTotal: map[string]int{}, serverBad: map[string]int{}}
	var oldLatency Histogram
	for r, c := range now.new {
		old, reference := now.old[r], now.reference(m, r)
		oldLatency.Merge(reference.Latency)
		bucket := slowBucket(reference.Latency)
		if m == slowness && bucket < 0 {
			continue
		}
		t := m.difference(start.old[r], old, start.new[r], c, bucket)
		if t.oldTotal < t.newTotal {
			t.oldTotal, t.oldBad = m.tallyResults(reference, bucket) // as in Judge.logRatios
		}
		if t.valid() && t.newTotal > 0 {
			w.routes[r] = t
		}
	}
	bucket := slowBucket(oldLatency)
	for server, c := range now.servers {
		total, bad := m.tallyResults(c, bucket)
		total0, bad0 := m.tallyResults(start.servers[server], bucket)
		if total > total0 {
			w.serverTotal[server], w.serverBad[server] = total-total0, min(max(bad-bad0, 0), total-total0)
		}
	}
	return w
}

// all returns the requests of the window's route. For all routes it scales the old release's requests to
// the distribution of the new one's over the routes.
func (w *window) all() table {
	if w.route != "" {
		return w.routes[w.route]
	}
	var sum table
	expected, variance := 0.0, 0.0
	for _, r := range slices.Sorted(maps.Keys(w.routes)) {
		t := w.routes[r]
		sum.newTotal += t.newTotal
		sum.newBad += t.newBad
		expected += float64(t.newTotal) * t.oldRate()
		variance += float64(t.newTotal) * float64(t.newTotal) / float64(max(t.oldTotal, 1))
	}
	if sum.newTotal == 0 {
		return sum
	}
	// The number of requests whose mean rate would be as uncertain as that of the scaled ones.
	sum.oldTotal = max(int(float64(sum.newTotal)*float64(sum.newTotal)/variance), 1)
	sum.oldBad = min(int(math.Round(expected/float64(sum.newTotal)*float64(sum.oldTotal))), sum.oldTotal)
	return sum
}

// withoutWorst judges the window without the requests of the server that has the most bad requests above
// what the old release would have.
func (w *window) withoutWorst() support {
	all := w.all()
	pooled := *w
	pooled.route = ""
	rate := pooled.all().oldRate()
	worst, worstExcess, excess, total, bad := "", math.Inf(-1), 0.0, 0, 0
	for _, s := range slices.Sorted(maps.Keys(w.serverTotal)) {
		e := float64(w.serverBad[s]) - rate*float64(w.serverTotal[s])
		if e > worstExcess {
			worst, worstExcess = s, e
		}
		excess += e
		total += w.serverTotal[s]
		bad += w.serverBad[s]
	}
	others := total - w.serverTotal[worst]
	switch {
	case len(w.serverTotal) == 0:
		return supported // servers are unknown
	case others == 0 && total >= minAlone, others < minServed && all.newBad >= maxUnchecked:
		return supported
	case others < minServed:
		return unclear
	}
	rest := table{newTotal: others, newBad: bad - w.serverBad[worst], oldTotal: all.oldTotal, oldBad: all.oldBad}
	if w.route != "" {
		// Servers are counted over all routes. Of the route's bad requests above the old release's
		// rate, the worst server gets its share of all such requests.
		served := float64(w.serverTotal[worst]) / float64(total)
		share := max(served, min(1, worstExcess/max(excess, 1)))
		routeExcess := max(0, float64(all.newBad)-all.oldRate()*float64(all.newTotal))
		rest.newTotal = int(math.Round(float64(all.newTotal) * (1 - served)))
		rest.newBad = int(math.Round(float64(all.newBad) - share*routeExcess - served*(float64(all.newBad)-routeExcess)))
		rest.newBad = min(max(rest.newBad, 0), rest.newTotal)
	}
	if rest.newRate()-rest.oldRate() < minExcess {
		return refuted
	}
	switch evidence := logMean(conditionalLogRatios(rest, w.metric.alternatives(), w.metric.tolerated())); {
	case evidence >= math.Log(supportFactor):
		return supported
	case evidence >= math.Log(unclearFactor):
		return unclear
	default:
		return refuted
	}
}
