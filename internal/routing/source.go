package routing

import (
	"context"

	"eelgrasshollow/internal/engineapi"
)

// EndpointMonitor reads load reports and cache events from endpoints. The module
// entry.engine implements it.
type EndpointMonitor interface {
	// Load reads an endpoint's load report.
	Load(ctx context.Context, address string) (engineapi.Load, error)
	// Events passes the endpoint's cache events after a sequence number to handle, in
	// order, until ctx ends, the stream ends or handle fails.
	Events(ctx context.Context, address string, after uint64, handle func(engineapi.Event) error) error
}
