package controld

import (
	"context"
	"crypto/tls"
	"os"
	"strings"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/connguard"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/control"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/journal"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/logging"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/placement"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/statemachine"
	"eelgrasshollow/internal/tlsconf"
	"eelgrasshollow/internal/watch"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// daemonName is the daemon's name in its log lines.
const daemonName = "eelgrass-control"

// builder registers the modules of the daemon. It holds the state that they share.
type builder struct {
	settings *Settings
	log      *zap.Logger
	kernel   *kernel.Kernel
	mux      *statemachine.Mux
	machine  *state.Machine
	onFatal  func(error) // called when the replica can't continue
	guard    *connguard.Guard
	memory   *membudget.Budget // of operators' requests
}

// Run runs a control replica until ctx ends or a fatal error occurs, which it returns.
func Run(ctx context.Context, s *Settings) error {
	log, err := logging.New(s.Log, daemonName, s.Node.Name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k, err := Build(s, log, cancel)
	if err != nil {
		return err
	}
	err = k.Run(ctx, s.Control.StopGrace)
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return errors.CombineErrors(cause, err)
	}
	return err
}

// Build returns a kernel with the modules of a control replica. onFatal is called with
// the error when the replica can't continue.
func Build(s *Settings, log *zap.Logger, onFatal func(error)) (*kernel.Kernel, error) {
	b := &builder{settings: s, log: log, kernel: kernel.New(log), mux: statemachine.NewMux(), onFatal: onFatal}
	b.addBounds()
	if err := b.addPeers(); err != nil {
		return nil, err
	}
	b.addConsensus()
	if err := b.addOperators(); err != nil {
		return nil, err
	}
	b.addServices()
	b.addMetrics()
	return b.kernel, nil
}

// addBounds creates the bounds of what peers and operators make the daemon hold.
func (b *builder) addBounds() {
	memoryBytes := membudget.ProcessBytes(int64(b.settings.Node.Memory))
	membudget.LimitRuntime(memoryBytes)
	b.guard = connguard.New(connguard.BoundsFor(memoryBytes, b.settings.Node.Descriptors), b.log.Named("connections"))
	b.memory = membudget.New(membudget.LimitsFor(memoryBytes).Requests, "operators")
	b.memory.ReclaimWith(b.guard.CloseStalled)
}

// addPeers registers the server and the connection pool for peers.
func (b *builder) addPeers() error {
	var serverTLS, clientTLS *tls.Config
	if t := b.settings.PeerTLS; t.Enabled() {
		files, err := tlsconf.New(t)
		if err != nil {
			return errors.Wrap(err, "load peer TLS files")
		}
		serverTLS, clientTLS = files.Server(), files.Client()
	}
	b.kernel.Register(peer.ServerName, peer.NewServerModule(b.log.Named("peer"), b.settings.Node.PeerAddress, serverTLS, b.guard))
	b.kernel.Register(peer.PoolName, peer.NewPoolModule(peer.Options{TLS: clientTLS}, b.settings.controlAddresses()))
	return nil
}

// addConsensus registers the replicated configuration, the consensus module and the watch
// module. A service with replicated state adds its machine to b.mux here or in
// addServices.
func (b *builder) addConsensus() {
	c := b.settings.Control
	machine := state.NewMachine()
	b.machine = machine
	b.mux.Add(state.Namespace, machine)
	b.kernel.Register(state.ModuleName, state.NewModule(machine))
	b.kernel.Register(consensus.ModuleName, consensus.NewModule(consensus.ModuleConfig{
		ReplicaID: c.ReplicaID, InitialMembership: b.settings.initialMembership(), DataDir: b.settings.Node.DataDir,
		ElectionTimeout: c.ElectionTimeout, HeartbeatInterval: c.HeartbeatInterval,
		EntriesPerSnapshot: c.EntriesPerSnapshot, RetainedEntries: c.RetainedEntries, MaxBatch: c.MaxBatch,
		Machine: b.mux, Logger: b.log.Named("consensus"), OnFatal: b.onFatal,
	}), peer.ServerName, peer.PoolName)
	b.kernel.Register(watch.ModuleName, watch.NewModule(c.Freshness, b.log.Named("watch")), consensus.ModuleName, state.ModuleName)
}

// addOperators registers the operator API and, if configured, the platform module.
func (b *builder) addOperators() error {
	hashKey, err := os.ReadFile(b.settings.Security.HashKeyFile)
	if err != nil {
		return errors.Wrap(err, "read hash key")
	}
	operators, err := control.LoadOperatorTokens(b.settings.Security.OperatorTokensFile)
	if err != nil {
		return err
	}
	deriver := keys.NewDeriver(strings.TrimSpace(string(hashKey)))
	var tlsConfig *tls.Config
	if t := b.settings.TLS; t.Enabled() {
		files, err := tlsconf.New(t)
		if err != nil {
			return errors.Wrap(err, "load operator TLS files")
		}
		tlsConfig = files.Server()
	}
	b.kernel.Register(control.ModuleName, control.NewModule(b.settings.Node.OperatorAddress, tlsConfig, operators, deriver, control.Bounds{Guard: b.guard, Memory: b.memory}, b.log.Named("operator")), watch.ModuleName)
	if c := b.settings.Control; c.PlatformAddress != "" {
		b.kernel.Register(control.PlatformName, control.NewPlatformModule(c.PlatformAddress, c.PlatformPollInterval, b.log.Named("platform")), watch.ModuleName)
	}
	return nil
}

// addServices registers the services that run on the leader. Each adds its machine to
// b.mux and its module to b.kernel, with consensus.ModuleName as one of its dependencies.
func (b *builder) addServices() {
	grantMachine := grants.NewMachine()
	b.mux.Add(grants.Namespace, grantMachine)
	b.kernel.Register(grants.OwnerName, grants.NewOwnerModule(grants.OwnerOptions{Lease: b.settings.Grants.Lease}, grantMachine, grants.StateLimits{Source: b.machine}, clock.Boot), consensus.ModuleName, state.ModuleName, peer.ServerName)
	journalMachine := journal.NewMachine()
	b.mux.Add(journal.Namespace, journalMachine)
	b.kernel.Register(journal.OwnerName, journal.NewOwnerModule(b.settings.Journal, journalMachine), consensus.ModuleName, peer.ServerName)
	b.kernel.Register(placement.ModuleName, placement.NewModule(b.settings.Placement), consensus.ModuleName, state.ModuleName)
}
