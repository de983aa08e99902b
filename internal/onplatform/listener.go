package onplatform

import (
	"context"
	"net/http"

	"eelgrasshollow/internal/kernel"
)

// listenerModule runs one HTTP listener as a kernel module.
type listenerModule struct {
	process *process
	name    string
	address string
	// handler returns the handler. It is called after the modules that it needs are provisioned.
	handler func() http.Handler
	options listenerOptions
	// drain, if set, runs before any module is stopped.
	drain  func(ctx context.Context)
	server *http.Server
}

// Provision implements kernel.Module.
func (m *listenerModule) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Module.
func (m *listenerModule) Start(ctx context.Context) error {
	var err error
	m.server, err = m.process.listenAndServe(ctx, m.name, m.address, m.handler(), m.options)
	return err
}

// Drain implements kernel.Drainer.
func (m *listenerModule) Drain(ctx context.Context) error {
	if m.drain != nil {
		m.drain(ctx)
	}
	return nil
}

// Stop implements kernel.Module. It closes idle connections and waits for the others until
// ctx ends.
func (m *listenerModule) Stop(ctx context.Context) error {
	if err := m.server.Shutdown(ctx); err != nil {
		return m.server.Close()
	}
	return nil
}
