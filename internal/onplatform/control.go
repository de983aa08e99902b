package onplatform

import (
	"context"
	"net/http"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/control"
	"eelgrasshollow/internal/fleetcontrol"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/group"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/statemachine"
	"eelgrasshollow/platform"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// electionTimeout is how long a replica waits for the leader before an election. For the
	// same time a restarted replica does not vote, which is nearly all of the time without
	// control after all VMs restart. With a disk thirty times slower, a replica still responds
	// to a heartbeat within half of this timeout.
	electionTimeout   = 600 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// consensusTick is the interval of the consensus clock. A shorter one costs more wake-ups.
	consensusTick = 50 * time.Millisecond
	// entriesPerSnapshot and retainedEntries are numbers of log entries. A few entries are
	// written per second: durable bounds of grants and configurations. consensus.LimitsFor
	// bounds their bytes.
	entriesPerSnapshot = 2000
	retainedEntries    = 500
	// restartPause is the wait before a failed replica is restarted.
	restartPause = 300 * time.Millisecond
	// maxRefusedPause is the longest wait before a replica is restarted that the group has refused
	// several times in a row, each time within refusedResetTime of its start.
	maxRefusedPause  = 5 * time.Second
	refusedResetTime = 10 * time.Second
	// grantLease is how long an entry VM may use a token slice without contact with the owner.
	grantLease = 3 * time.Second
	// operatorDivisor is the part of the budget for responses that operators' calls may hold, as a divisor. The buffers of their
	// connections are the largest, as configurations have megabytes.
	operatorDivisor = 2
	// controlStopTimeout is the part of the platform's grace period that a control VM uses to
	// stop.
	controlStopTimeout = 3 * time.Second
)

// RunControl runs a control VM until ctx ends. An empty metricsPort serves no metrics. operatorTokens is
// the file with the tokens of the operators who may use eelctl; without it, only the platform's calls are
// served.
func RunControl(ctx context.Context, settingsPath, metricsPort, operatorTokens string) error {
	var operators *control.OperatorTokens
	if operatorTokens != "" {
		var err error
		if operators, err = control.LoadOperatorTokens(operatorTokens); err != nil {
			return err
		}
	}
	p, err := newProcess(settingsPath, "eelgrass-control")
	if err != nil {
		return err
	}
	p.serveMetrics(ctx, metricsPort)
	firstStart, refusals := p.settings.FirstStart, 0
	for {
		start := clock.Boot()
		started, err := p.runReplica(ctx, operators, firstStart)
		if ctx.Err() != nil {
			p.close(err)
			return nil
		}
		// Only the first replica of a process can be a first member, whatever became of its store.
		firstStart = firstStart && !started
		if storeRefused(err) && clock.Boot().Sub(start) < refusedResetTime {
			refusals++
		} else {
			refusals = 0
		}
		pause := restartDelay(refusals)
		// A full or failing disk must not end the process: the replica is restarted until it works.
		p.log.Error("replica failed; restarting it", zap.Error(err), zap.Duration("pause", pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// restartDelay returns the wait before a failed replica is restarted. It doubles with each of the
// refusals in a row after the first.
func restartDelay(refusals int) time.Duration {
	delay := restartPause
	for range refusals - 1 {
		delay = min(2*delay, maxRefusedPause)
	}
	return delay
}

// runReplica opens the store and runs the replica until ctx ends or the replica fails. started
// reports whether the replica has run.
func (p *process) runReplica(ctx context.Context, operators *control.OperatorTokens, firstStart bool) (started bool, err error) {
	s := p.settings
	identity, err := group.Identify(s.DataDir, s.PeerAddress, s.Seeds, firstStart)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k := kernel.New(p.log)
	machine, grantMachine := fleetcontrol.NewMachine(new(platform.ConfigDecoder).Decode, clock.Boot), grants.NewMachine()
	mux := statemachine.NewMux()
	mux.Add(fleetcontrol.Namespace, machine)
	mux.Add(grants.Namespace, grantMachine)
	k.Register(peer.ServerName, peer.NewServerModule(p.log.Named("peer"), s.PeerAddress, nil, p.guard))
	k.Register(peer.PoolName, peer.NewPoolModule(peer.Options{}, s.Seeds))
	k.Register(consensus.ModuleName, consensus.NewModule(consensus.ModuleConfig{
		ReplicaID: identity.ReplicaID, InitialMembership: identity.InitialMembership, DataDir: s.DataDir,
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, TickInterval: consensusTick,
		EntriesPerSnapshot: entriesPerSnapshot, RetainedEntries: retainedEntries, Limits: consensus.LimitsFor(s.MemoryBytes), Machine: mux,
		Logger: p.log.Named("consensus"), OnFatal: cancel, Now: clock.Boot,
	}), peer.ServerName, peer.PoolName)
	k.Register(grants.OwnerName, grants.NewOwnerModule(grants.OwnerOptions{Lease: grantLease, Tolerance: grantTolerance(s)}, grantMachine, machine, clock.Boot),
		consensus.ModuleName, peer.ServerName)
	groupModule := group.NewModule(s.DataDir, s.PeerAddress, identity.ReplicaID, s.Seeds, clock.Boot, cancel)
	k.Register(group.ModuleName, groupModule, consensus.ModuleName)
	serverClient := platform.NewClient(s.ListAddress, s.VM, membudget.LimitsFor(s.MemoryBytes).SocketBuffer, p.log.Named("servers"))
	fleet := fleetcontrol.NewModule(fleetcontrol.ModuleConfig{
		Self:    fleetcontrol.ControlVM{Address: s.PeerAddress, FailureDomain: s.FailureDomain},
		Machine: machine, Lister: serverClient, ServerClient: serverClient, OrderLease: s.Bounds.OrderLease, Now: clock.Boot,
		Rollouts: fleetcontrol.RolloutBounds{ExposureShare: s.Bounds.Rollouts.ExposureShare, ExposureSlack: s.Bounds.Rollouts.ExposureSlack}, AckTime: s.Bounds.Rollouts.AckTime,
	})
	k.Register(fleetcontrol.ModuleName, fleet, consensus.ModuleName)
	k.Register("control.operator", &listenerModule{process: p, name: "operators", address: s.OperatorAddress,
		handler: func() http.Handler { return p.operatorHandler(fleet, operators) }, options: listenerOptions{writeTimeout: operatorWriteTimeout}}, fleetcontrol.ModuleName)
	k.Register("control.metrics", &metricsModule{registry: p.registry, calls: serverClient.CallCollectors()}, consensus.ModuleName, fleetcontrol.ModuleName, grants.OwnerName)
	go p.watchSettings(ctx, func(s *platform.Settings) { groupModule.AddPeers(s.Seeds) })
	err = k.Run(ctx, controlStopTimeout)
	cause := context.Cause(ctx)
	if storeRefused(cause) {
		p.log.Warn("store was refused by the other replicas; removing it", zap.Uint64("replica", identity.ReplicaID), zap.Error(cause))
		err = errors.CombineErrors(err, group.RemoveStore(s.DataDir, identity.ReplicaID))
	}
	if cause != nil && !errors.Is(cause, context.Canceled) {
		err = errors.CombineErrors(cause, err)
	}
	return groupModule.Started(), err
}

// operatorHandler serves the platform's calls and, if operators have tokens, those of eelctl for rollouts and dry runs.
func (p *process) operatorHandler(fleet *fleetcontrol.Module, operators *control.OperatorTokens) http.Handler {
	limits := membudget.LimitsFor(p.settings.MemoryBytes)
	documents, requests := membudget.New(limits.Requests, "documents"), membudget.New(limits.Responses/operatorDivisor, "operators")
	documents.ReclaimWith(p.guard.CloseStalled)
	requests.ReclaimWith(p.guard.CloseStalled)
	mux := http.NewServeMux()
	mux.Handle("/", platform.OperatorHandler(fleet, documents))
	if operators != nil {
		path, calls := control.PlatformHandler(fleet, fleet.EntryVMs, fleet, operators, p.log.Named("operator"))
		mux.Handle(path, membudget.BoundRequests(documents, platform.DocumentCost, calls))
	}
	const bodyCost = 0 // bodies hold bytes of documents
	return membudget.BoundRequests(requests, bodyCost, mux)
}

// storeRefused reports whether the other replicas refused the store as lost or replaced.
func storeRefused(cause error) bool {
	return errors.Is(cause, group.ErrRefused) || errors.Is(cause, consensus.ErrStoreRefused)
}
