package policybench

import (
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// OverloadRow is a row of the overload table: the mean of the runs of several seeds.
type OverloadRow struct {
	Policy                        string
	Load                          float64
	Worth, Bound                  float64
	InTime, Late, Refused, Failed []float64       // shares by kind
	WorthShare                    []float64       // by kind
	FirstToken                    []time.Duration // median by kind
	SlowestFirst                  []time.Duration // p99 by kind
	Repeated                      float64
	AtOnce, AfterRetryTime        []float64 // shares served, by what clients do when refused
	RefusedWithRoom, Rejections   float64   // per run
	Busy                          float64
	UncachedLong                  float64 // tokens
}

// OverloadLoads are the loads of the overload table.
var OverloadLoads = []float64{0.5, 1, 1.5, 2, 3}

// RunOverloadTable runs each policy at each load with each seed, at most maxParallel runs concurrently.
func RunOverloadTable(base OverloadConfig, policies []OverloadPolicy, loads []float64, seeds []uint64, maxParallel int) []OverloadRow {
	rows := make([]OverloadRow, len(policies)*len(loads))
	var g errgroup.Group
	g.SetLimit(maxParallel)
	for i, p := range policies {
		for j, load := range loads {
			g.Go(func() error {
				var results []*OverloadResult
				for _, seed := range seeds {
					c := base
					c.Policy, c.Load, c.Seed = p, load, seed
					results = append(results, RunOverload(c))
				}
				rows[i*len(loads)+j] = overloadRow(p.Name, load, results)
				return nil
			})
		}
	}
	_ = g.Wait() // no run returns an error
	return rows
}

func overloadRow(policy string, load float64, results []*OverloadResult) OverloadRow {
	row := OverloadRow{Policy: policy, Load: load}
	mean := func(of func(*OverloadResult) float64) float64 {
		sum := 0.0
		for _, r := range results {
			sum += of(r)
		}
		return sum / float64(len(results))
	}
	row.Worth, row.Bound = mean((*OverloadResult).Worth), mean(func(r *OverloadResult) float64 { return r.Bound })
	row.RefusedWithRoom = mean(func(r *OverloadResult) float64 { return float64(r.RefusedWithRoom) })
	row.Rejections = mean(func(r *OverloadResult) float64 { return float64(r.Rejections) })
	row.Repeated = mean(func(r *OverloadResult) float64 { return r.Repeated })
	row.Busy = mean(func(r *OverloadResult) float64 { return r.EngineBusy })
	row.UncachedLong = mean(func(r *OverloadResult) float64 { return float64(r.UncachedLong) })
	for kind := range results[0].Spec {
		share := func(of func(*KindResult) int) float64 {
			return mean(func(r *OverloadResult) float64 {
				return float64(of(&r.Kinds[kind])) / float64(max(r.Kinds[kind].Total(), 1))
			})
		}
		row.InTime = append(row.InTime, share(func(k *KindResult) int { return k.InTime }))
		row.Late = append(row.Late, share(func(k *KindResult) int { return k.Late }))
		row.Refused = append(row.Refused, share(func(k *KindResult) int { return k.Refused }))
		row.Failed = append(row.Failed, share(func(k *KindResult) int { return k.Failed }))
		row.WorthShare = append(row.WorthShare, mean(func(r *OverloadResult) float64 { return r.WorthShare(kind) }))
		served := func(patience int) float64 {
			return mean(func(r *OverloadResult) float64 {
				return float64(r.Kinds[kind].Served[patience]) / float64(max(r.Kinds[kind].Asked[patience], 1))
			})
		}
		row.AfterRetryTime, row.AtOnce = append(row.AfterRetryTime, served(0)), append(row.AtOnce, served(1))
		row.FirstToken = append(row.FirstToken, time.Duration(mean(func(r *OverloadResult) float64 { return float64(quantile(r.Kinds[kind].FirstTokens, 0.5)) })))
		row.SlowestFirst = append(row.SlowestFirst, time.Duration(mean(func(r *OverloadResult) float64 { return float64(quantile(r.Kinds[kind].FirstTokens, 0.99)) })))
	}
	return row
}

// WriteOverloadTable writes the rows as a Markdown table. The columns of a kind are the shares in time, late,
// refused and failed.
func WriteOverloadTable(w io.Writer, rows []OverloadRow) {
	_, _ = fmt.Fprintln(w, "| policy | load | worth | bound | long: in time, late, refused, failed | worth of long | short: in time, late, refused, failed | worth of short | p50 TTFT ms long, short | served if retried at once / after the time, long | short | refused with room | rejected by engines | busy | uncached tokens, long |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "| %s | %.1f | %.3f | %.3f |", r.Policy, r.Load, r.Worth, r.Bound)
		for kind := range r.InTime {
			_, _ = fmt.Fprintf(w, " %.3f, %.3f, %.3f, %.3f | %.3f |", r.InTime[kind], r.Late[kind], r.Refused[kind], r.Failed[kind], r.WorthShare[kind])
		}
		_, _ = fmt.Fprintf(w, " %d, %d |", milliseconds(r.FirstToken[longKind]), milliseconds(r.FirstToken[shortKind]))
		for kind := range r.InTime {
			_, _ = fmt.Fprintf(w, " %.3f / %.3f |", r.AtOnce[kind], r.AfterRetryTime[kind])
		}
		_, _ = fmt.Fprintf(w, " %.0f | %.0f | %.2f | %.0f |\n", r.RefusedWithRoom, r.Rejections, r.Busy, r.UncachedLong)
	}
}
