package routing

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

func newSlowPeriodCounter() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "routing", Name: "slow_periods_total",
		Help: "Slow periods of endpoints of services whose endpoints differ in speed, as this VM has seen them.",
	})
}

// reportSpeeds logs and counts what has changed since the last call. The caller must hold the mutex.
func (m *Module) reportSpeeds() {
	changes, slow := m.core.TakeSpeedChanges()
	for _, change := range changes {
		m.log.Info("speeds of a service's endpoints", zap.String("service", change.Service), zap.Bool("weighed", change.Uneven),
			zap.Float64("fastest_time_factor", change.Fastest), zap.Float64("slowest_time_factor", change.Slowest))
	}
	m.slowPeriods.Add(float64(slow))
}
