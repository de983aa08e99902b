package onplatform

import (
	"context"
	"math"
	"slices"

	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/fleetcontrol"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/kernel"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metricsModule registers a replica's metrics while the replica runs. The process may run
// several replicas one after another.
type metricsModule struct {
	registry   *prometheus.Registry
	calls      []prometheus.Collector // of calls to servers and the platform
	collectors []prometheus.Collector
}

// Provision looks up the modules and collects their metrics.
func (m *metricsModule) Provision(k *kernel.Kernel) error {
	var (
		replica *consensus.Module
		fleet   *fleetcontrol.Module
		owner   *grants.OwnerModule
	)
	err := k.Find(kernel.As(consensus.ModuleName, &replica), kernel.As(fleetcontrol.ModuleName, &fleet), kernel.As(grants.OwnerName, &owner))
	if err != nil {
		return err
	}
	m.collectors = append(slices.Concat(replica.Collectors(), fleet.Collectors(), m.calls),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "eelgrass_control_list_age_seconds", Help: "Time since this replica read the list of servers; only a leader does. NaN before the first time.",
		}, func() float64 {
			if age, known := fleet.ListAge(); known {
				return age.Seconds()
			}
			return math.NaN()
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "eelgrass_control_grant_accounts", Help: "Client accounts whose grants this replica owns.",
		}, func() float64 { return float64(owner.Accounts()) }))
	return nil
}

// Start registers the metrics.
func (m *metricsModule) Start(context.Context) error {
	for _, c := range m.collectors {
		if err := m.registry.Register(c); err != nil {
			return errors.Wrap(err, "register metrics")
		}
	}
	return nil
}

// Stop unregisters the metrics.
func (m *metricsModule) Stop(context.Context) error {
	for _, c := range m.collectors {
		m.registry.Unregister(c)
	}
	return nil
}
