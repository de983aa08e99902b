package routing

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Prober opens a connection to an endpoint's address and closes it again. Its errors are those
// of the dial.
type Prober interface {
	Probe(ctx context.Context, address string) error
}

// checkCrash finds out whether the endpoint of an attempt whose connection broke has ended: its
// address then refuses connections. A lost connection alone says nothing about the endpoint.
func (m *Module) checkCrash(p *Pending) {
	address := p.Decision.Address
	_, err, _ := m.probes.Do(address, func() (any, error) { return nil, m.prober.Probe(context.Background(), address) })
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	m.crashes.Inc()
	m.log.Info("endpoint crashed under the request", zap.String("request", p.Request.ID), zap.String("endpoint", p.Decision.Endpoint),
		zap.String("incarnation", p.Decision.Incarnation), zap.Error(err))
}
