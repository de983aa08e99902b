package onplatform

import (
	"context"

	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/gateway"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"
)

// dryRunModule serves dry runs of routing to control VMs.
type dryRunModule struct{ gateway *gateway.Gateway }

// Provision implements kernel.Module.
func (m dryRunModule) Provision(k *kernel.Kernel) error {
	server, err := kernel.Lookup[*peer.ServerModule](k, peer.ServerName)
	if err != nil {
		return err
	}
	return server.Register(dryrun.ServiceName, dryrun.NewReceiver(m.gateway.DryRun))
}

// Start implements kernel.Module.
func (dryRunModule) Start(context.Context) error { return nil }

// Stop implements kernel.Module.
func (dryRunModule) Stop(context.Context) error { return nil }
