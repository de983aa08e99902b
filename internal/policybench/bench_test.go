package policybench

import (
	"testing"

	"gotest.tools/v3/assert"
)

func findVariant(t *testing.T, name string) Variant {
	for _, v := range Variants() {
		if v.Name == name {
			return v
		}
	}
	t.Fatalf("no variant %q", name)
	return Variant{}
}

// TestTargets checks the targets of the routing policy: a hit rate within 3 percentage points of
// the oracle's, a p99 time to first token below every baseline's, and a wasted share below a third
// of least-load's.
func TestTargets(t *testing.T) {
	seeds := []uint64{1}
	steady := Scenarios()[0]
	for _, w := range []Workload{Litoral(), Tatrametal()} {
		t.Run(w.Name, func(t *testing.T) {
			ours := runSeeds(w, steady, findVariant(t, "ours"), 9, seeds)
			oracle := runSeeds(w, steady, findVariant(t, "oracle"), 1, seeds)
			assert.Assert(t, ours.HitRate >= oracle.HitRate-0.03, "%v against %v", ours.HitRate, oracle.HitRate)
			for _, name := range []string{"round-robin", "least-load", "whole-prefix"} {
				baseline := runSeeds(w, steady, findVariant(t, name), 9, seeds)
				assert.Assert(t, ours.P99 < baseline.P99, "%v against %v of %s", ours.P99, baseline.P99, name)
				if name == "least-load" {
					assert.Assert(t, ours.WastedShare < baseline.WastedShare/3)
				}
			}
		})
	}
}

// TestRunsAreDeterministic checks that two runs with the same seed have the same results.
func TestRunsAreDeterministic(t *testing.T) {
	a := runSeeds(Tatrametal(), Scenarios()[2], findVariant(t, "ours"), 9, []uint64{7})
	b := runSeeds(Tatrametal(), Scenarios()[2], findVariant(t, "ours"), 9, []uint64{7})
	assert.DeepEqual(t, a, b)
}
