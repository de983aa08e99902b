package onplatform

import (
	"context"
	"net/http"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/fleetcontrol"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/group"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/statemachine"
	"eelgrasshollow/platform"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// electionTimeout is how long a silent leader is waited for. It is also how long a
	// restarted replica votes for nobody, so nearly all of the time without control after
	// all VMs restart. A disk that is thirty times slower still answers a heartbeat in half.
	electionTimeout = 600 * time.Millisecond
	heartbeatEvery  = 100 * time.Millisecond
	// agreementTick is the time step of agreement; a finer one costs wake-ups.
	agreementTick = 50 * time.Millisecond
	// snapshotEvery is in entries: promises of grants and configurations, a few a second.
	snapshotEvery = 2000
	keepEntries   = 500
	// restartPause is the wait before a replica that could not go on is opened again.
	restartPause = 300 * time.Millisecond
	// grantLease is how long an entry VM may use a slice without word of the owner.
	grantLease = 3 * time.Second
	// stopGrace is the part of the platform's grace that a control VM uses.
	stopGrace = 3 * time.Second
)

// RunControl serves as a control VM until ctx ends. metricsPort is "" for none.
func RunControl(ctx context.Context, settingsPath, metricsPort string) error {
	p, err := begin(settingsPath, "eelgrass-control")
	if err != nil {
		return err
	}
	p.openMetrics(ctx, metricsPort)
	for {
		err = p.replica(ctx)
		if ctx.Err() != nil {
			p.end(err)
			return nil
		}
		// A full or failing disk must not end the process: it is opened again until it works.
		p.log.Error("replica can't go on; it is opened again", zap.Error(err), zap.Duration("pause", restartPause))
		select {
		case <-ctx.Done():
		case <-time.After(restartPause):
		}
	}
}

// replica runs the replica once, from its store to its end.
func (p *process) replica(ctx context.Context) error {
	s := p.settings
	identity, err := group.Identify(s.DataDir, s.PeerAddress, s.Seeds, s.FirstStart)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k := kernel.New(p.log)
	machine, promises := fleetcontrol.NewMachine(platform.DecodeConfig, clock.Boot), grants.NewMachine()
	mux := statemachine.NewMux()
	mux.Add(fleetcontrol.Namespace, machine)
	mux.Add(grants.Namespace, promises)
	k.Register(peer.ServerName, peer.NewServerModule(p.log.Named("peer"), s.PeerAddress, nil))
	k.Register(peer.PoolName, peer.NewPoolModule(peer.Options{}, s.Seeds))
	k.Register(consensus.ModuleName, consensus.NewModule(consensus.ModuleConfig{
		ReplicaID: identity.ReplicaID, InitialMembership: identity.InitialMembership, DataDir: s.DataDir,
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatEvery, TickInterval: agreementTick,
		EntriesPerSnapshot: snapshotEvery, RetainedEntries: keepEntries, Machine: mux,
		Logger: p.log.Named("consensus"), OnFatal: cancel, Now: clock.Boot,
	}), peer.ServerName, peer.PoolName)
	k.Register(grants.OwnerName, grants.NewOwnerModule(grants.OwnerSettings{Lease: grantLease}, promises, machine, clock.Boot),
		consensus.ModuleName, peer.ServerName)
	members := group.NewModule(s.PeerAddress, identity.ReplicaID, s.Seeds, clock.Boot, cancel)
	k.Register(group.ModuleName, members, consensus.ModuleName)
	client := platform.NewClient(s.ListAddress, s.VM, p.log.Named("servers"))
	fleet := fleetcontrol.NewModule(fleetcontrol.ModuleConfig{
		Machine: machine, Lister: client, ServerClient: client, OrderLease: s.Bounds.OrderLease, Now: clock.Boot,
	})
	k.Register(fleetcontrol.ModuleName, fleet, consensus.ModuleName)
	k.Register("control.operator", &doorModule{process: p, name: "operators", address: s.OperatorAddress,
		handler: func() http.Handler { return platform.OperatorHandler(fleet) }}, fleetcontrol.ModuleName)
	k.Register("control.metrics", &metricsModule{registry: p.registry}, consensus.ModuleName, fleetcontrol.ModuleName, grants.OwnerName)
	go p.watchSettings(ctx, func(s *platform.Settings) { members.AddPeers(s.Seeds) })
	err = k.Run(ctx, stopGrace)
	cause := context.Cause(ctx)
	if refusedStore(cause) {
		p.log.Warn("store is given up", zap.Uint64("replica", identity.ReplicaID), zap.Error(cause))
		err = errors.CombineErrors(err, group.RemoveStore(s.DataDir, identity.ReplicaID))
	}
	if cause != nil && !errors.Is(cause, context.Canceled) {
		err = errors.CombineErrors(cause, err)
	}
	return err
}

// refusedStore reports whether the other replicas know the store as lost or replaced.
func refusedStore(cause error) bool {
	return errors.Is(cause, group.ErrRefused) || errors.Is(cause, consensus.ErrStoreRefused)
}
