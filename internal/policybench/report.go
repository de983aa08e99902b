package policybench

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Config selects the runs of the table.
type Config struct {
	Seeds       []uint64
	VMs         []int
	Scenarios   []Scenario
	Variants    []Variant
	Workloads   []Workload
	MaxParallel int
}

// DefaultConfig returns the configuration of the full table.
func DefaultConfig() Config {
	return Config{
		Seeds: []uint64{1, 2, 3}, VMs: []int{1, 9}, Scenarios: Scenarios(), Variants: Variants(),
		Workloads: []Workload{Litoral(), Tatrametal()}, MaxParallel: 3,
	}
}

// RunTable runs every combination of the configuration and returns a row for each, at most
// MaxParallel combinations concurrently. Rows are ordered by workload, number of VMs, scenario and
// variant.
func RunTable(c Config) ([]Row, error) {
	var rows []Row
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(c.MaxParallel)
	for _, w := range c.Workloads {
		for _, vms := range c.VMs {
			for _, s := range c.Scenarios {
				for _, v := range c.Variants {
					mu.Lock()
					index := len(rows)
					rows = append(rows, Row{})
					mu.Unlock()
					g.Go(func() error {
						row := runSeeds(w, s, v, vms, c.Seeds)
						mu.Lock()
						defer mu.Unlock()
						rows[index] = row
						return nil
					})
				}
			}
		}
	}
	err := g.Wait()
	return rows, err
}

// runSeeds runs one combination once per seed and merges the results.
func runSeeds(w Workload, s Scenario, v Variant, vms int, seeds []uint64) Row {
	merged := newMeasures()
	for _, seed := range seeds {
		merged.merge(Run(w, s, v, vms, seed))
	}
	return merged.row(w, s, v, vms, len(seeds))
}

// WriteTable writes the rows as a Markdown table.
func WriteTable(w io.Writer, rows []Row) {
	_, _ = fmt.Fprintln(w, "| workload | VMs | scenario | policy | hit rate | p50 TTFT ms | p99 TTFT ms | wasted share | worst account in time | worst account p99 ms | refused in rate | requests | digest B/s per VM |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "| %s | %d | %s | %s | %.3f | %d | %d | %.4f | %.3f | %d | %d | %d | %.0f |\n",
			r.Workload, r.VMs, r.Scenario, r.Variant, r.HitRate, milliseconds(r.P50), milliseconds(r.P99), r.WastedShare, r.WorstShareInTime, milliseconds(r.WorstP99), r.RefusedInRate, r.Requests, r.DigestBytesPerSecond)
	}
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
