package engine

import (
	"context"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/membudget"

	"go.uber.org/zap"
)

// Module is the module entry.engine, which provides the client for endpoints.
type Module struct {
	client *Client
}

// NewModule returns the module. memory bounds what is held of all responses.
func NewModule(s Settings, memory *membudget.Budget, log *zap.Logger) *Module {
	return &Module{client: New(s, nil, memory, log.Named("engine"))}
}

// Client returns the client for endpoints.
func (m *Module) Client() *Client { return m.client }

// Provision does nothing: the module depends on no other.
func (m *Module) Provision(*kernel.Kernel) error { return nil }

// Start does nothing.
func (m *Module) Start(context.Context) error { return nil }

// Stop closes idle connections.
func (m *Module) Stop(context.Context) error {
	m.client.Close()
	return nil
}

// Load reads an endpoint's load report; see Client.Load.
func (m *Module) Load(ctx context.Context, address string) (engineapi.Load, error) {
	return m.client.Load(ctx, address)
}

// Probe opens a connection to an endpoint and closes it again; see Client.Probe.
func (m *Module) Probe(ctx context.Context, address string) error {
	return m.client.Probe(ctx, address)
}

// Events reads an endpoint's cache events; see Client.Events.
func (m *Module) Events(ctx context.Context, address string, after uint64, handle func(engineapi.Event) error) error {
	return m.client.Events(ctx, address, after, handle)
}
