package consensus

import "github.com/prometheus/client_golang/prometheus"

// commitBucketsSeconds range from a commit in memory to a stalled disk.
var commitBucketsSeconds = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

func newCommitHistogram() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "eelgrass_control_commit_seconds", Help: "Time from a command's arrival at the leader until it is applied there.", Buckets: commitBucketsSeconds,
	})
}

func newWriteHistogram() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "eelgrass_control_store_write_seconds", Help: "Time of a synced write to the store.", Buckets: commitBucketsSeconds,
	})
}

// Collectors returns the replica's metrics: term, log indexes, leadership, commit and store write
// duration.
func (r *Replica) Collectors() []prometheus.Collector {
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "eelgrass", Subsystem: "control", Name: name, Help: help}, f)
	}
	return []prometheus.Collector{
		gauge("term", "Term of the agreement.", func() float64 { return float64(r.Status().Term) }),
		gauge("commit_index", "Last committed log entry.", func() float64 { return float64(r.Status().CommitIndex) }),
		gauge("applied_index", "Last applied log entry.", func() float64 { return float64(r.Status().Applied) }),
		gauge("leading", "1 while this replica holds the leader lease.", func() float64 {
			if _, ok := r.Leading(); ok {
				return 1
			}
			return 0
		}),
		r.commitDuration,
		r.writeDuration,
	}
}
