package policybench

import (
	"testing"

	"gotest.tools/v3/assert"
)

func variant(t *testing.T, name string) Variant {
	for _, v := range Variants() {
		if v.Name == name {
			return v
		}
	}
	t.Fatalf("no variant %q", name)
	return Variant{}
}

// The stated targets: hit rate within 3 points of the oracle, p99 to first token below
// every baseline, repeated work below a third of least load's.
func TestTargets(t *testing.T) {
	seeds := []uint64{1}
	steady := Scenarios()[0]
	for _, w := range []Workload{Litoral(), Tatrametal()} {
		t.Run(w.Name, func(t *testing.T) {
			ours := pooled(w, steady, variant(t, "ours"), 9, seeds)
			oracle := pooled(w, steady, variant(t, "oracle"), 1, seeds)
			assert.Assert(t, ours.HitRate >= oracle.HitRate-0.03, "%v against %v", ours.HitRate, oracle.HitRate)
			for _, name := range []string{"round-robin", "least-load", "whole-prefix"} {
				baseline := pooled(w, steady, variant(t, name), 9, seeds)
				assert.Assert(t, ours.P99 < baseline.P99, "%v against %v of %s", ours.P99, baseline.P99, name)
				if name == "least-load" {
					assert.Assert(t, ours.WastedShare < baseline.WastedShare/3)
				}
			}
		})
	}
}

func TestRunsRepeat(t *testing.T) {
	a := pooled(Tatrametal(), Scenarios()[2], variant(t, "ours"), 9, []uint64{7})
	b := pooled(Tatrametal(), Scenarios()[2], variant(t, "ours"), 9, []uint64{7})
	assert.DeepEqual(t, a, b)
}
