package policybench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"eelgrasshollow/internal/prefix"
)

// worthBound returns an upper bound on the share of the worth that any policy can serve. It knows all
// arrivals, ignores their times, and fills the engines' time with the requests of the highest worth per
// unit of time, each at its least cost: full batches, and every shared part computed once for each version
// of the weights, by its shortest prompt. If an idle engine takes longer than the target for that prompt, it
// is late.
func (r *overloadRun) worthBound() float64 {
	m := overloadEngineModel
	tokenStep := float64(m.StepBaseTime)/float64(m.MaxSequences) + float64(m.StepTimePerSequence)
	capacity := float64(overloadEngines) * float64(r.config.Duration-r.config.WarmUp+r.kinds[longKind].Target)
	type read struct {
		part    int
		weights time.Duration
	}
	readers := map[read]*clientRequest{}
	readOf := func(q *clientRequest) read { return read{q.part, q.arrivedAt / weightsInterval} }
	for _, q := range r.arrivals {
		if first := readers[readOf(q)]; q.arrivedAt >= r.config.WarmUp && q.kind == longKind && (first == nil || q.prompt < first.prompt) {
			readers[readOf(q)] = q
		}
	}
	type item struct{ worth, cost float64 }
	var items []item
	all := 0.0
	for _, q := range r.arrivals {
		if q.arrivedAt < r.config.WarmUp {
			continue
		}
		k := r.kinds[q.kind]
		all += k.Worth
		worth, computed := k.Worth, q.prompt-len(q.chain)*prefix.PieceTokens
		if q.kind == longKind && readers[readOf(q)] == q {
			computed = q.prompt
			steps := (computed + m.PrefillChunkTokens - 1) / m.PrefillChunkTokens
			if time.Duration(computed)*m.PrefillTimePerToken+time.Duration(steps)*m.StepBaseTime > k.Target {
				worth = k.WorthLate
			}
		}
		items = append(items, item{worth, float64(computed)*float64(m.PrefillTimePerToken) + float64(q.output-1)*tokenStep})
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(b.worth/b.cost, a.worth/a.cost) })
	got := 0.0
	for _, i := range items {
		share := math.Min(1, capacity/i.cost)
		got += share * i.worth
		if capacity -= share * i.cost; capacity <= 0 {
			break
		}
	}
	return got / math.Max(all, 1e-9)
}
