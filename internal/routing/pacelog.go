package routing

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// paceMetrics counts the results of requests to endpoints with a pace, and the requests that went to
// another endpoint than one that had just started.
type paceMetrics struct {
	results   *prometheus.CounterVec
	elsewhere prometheus.Counter
}

func newPaceMetrics() paceMetrics {
	return paceMetrics{results: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "routing", Name: "paced_results_total",
		Help: "Results of requests to brittle endpoints, whose rate is derived from their responses.",
	}, []string{"result"}), elsewhere: prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "routing", Name: "spared_placements_total",
		Help: "Placements of requests for which an endpoint that had just started or recovered was left out.",
	})}
}

// logBrittle logs that endpoints of a service have become brittle, tolerate another number of
// rejections, or are brittle no more.
func (m *Module) logBrittle(change BrittleChange, fields ...zap.Field) {
	m.log.Info("brittle endpoints of a service changed", append(fields, zap.String("service", change.Service),
		zap.Uint32("from_tolerated_per_second", change.From), zap.Uint32("tolerated_per_second", change.To))...)
}

// reportPace logs and counts what has changed since the last call. The caller must hold the mutex.
func (m *Module) reportPace() {
	for _, change := range m.core.TakeBrittleChanges() {
		m.logBrittle(change)
	}
	for _, change := range m.core.TakePaceChanges() {
		m.log.Info("endpoint rate derived from responses changed", zap.String("endpoint", change.Endpoint),
			zap.Float64("from_per_second", change.From), zap.Float64("per_second", change.To), zap.Float64("fair_per_second", change.Fair))
	}
	m.reportSpeeds()
	starts, elsewhere := m.core.TakeStartChanges()
	for _, change := range starts {
		if change.Cause != "" {
			m.log.Info("endpoint has started", zap.String("endpoint", change.Endpoint), zap.String("cause", change.Cause))
			continue
		}
		m.log.Info("endpoint is used without restriction", zap.String("endpoint", change.Endpoint), zap.Duration("after", change.After), zap.Int("spared", change.Spared))
	}
	m.paceMetrics.elsewhere.Add(float64(elsewhere))
	results := m.core.TakePaceResults()
	for result, n := range map[string]uint32{"answered": results.Answered, "rejected": results.Rejected, "slow": results.Slow, "failed": results.Failed} {
		m.paceMetrics.results.WithLabelValues(result).Add(float64(n))
	}
}
