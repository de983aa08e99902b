package onplatform

import (
	"context"
	"net/http"

	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/liveness"
)

// doorModule serves one HTTP listener as a module of the kernel.
type doorModule struct {
	process *process
	name    string
	address string
	// handler makes the handler once the modules that it needs are provisioned.
	handler func() http.Handler
	// patience, if set, is how long clients may take; else the constants bound it.
	patience func() liveness.ReadTimeouts
	// drain, if set, runs before anything is stopped.
	drain  func(ctx context.Context)
	server *http.Server
}

// Provision implements kernel.Module.
func (m *doorModule) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Module.
func (m *doorModule) Start(ctx context.Context) error {
	var err error
	m.server, err = m.process.open(ctx, m.name, m.address, m.handler(), m.patience)
	return err
}

// Drain implements kernel.Drainer.
func (m *doorModule) Drain(ctx context.Context) error {
	if m.drain != nil {
		m.drain(ctx)
	}
	return nil
}

// Stop implements kernel.Module: it ends idle connections and waits for the others.
func (m *doorModule) Stop(ctx context.Context) error {
	if err := m.server.Shutdown(ctx); err != nil {
		return m.server.Close()
	}
	return nil
}
