package controld

import (
	"context"
	"crypto/tls"
	"os"
	"strings"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/control"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/journal"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/logging"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/placement"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/statemachine"
	"eelgrasshollow/internal/tlsconf"
	"eelgrasshollow/internal/watch"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// daemonName is the name in the logs.
const daemonName = "eelgrass-control"

// parts is what the modules of the daemon are built from.
type parts struct {
	settings *Settings
	log      *zap.Logger
	kernel   *kernel.Kernel
	mux      *statemachine.Mux
	machine  *state.Machine
	fatal    func(error)
}

// Run serves until ctx ends or the replica can't go on.
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

// Build registers the modules of a control replica. fatal is called when the
// replica can't go on.
func Build(s *Settings, log *zap.Logger, fatal func(error)) (*kernel.Kernel, error) {
	p := &parts{settings: s, log: log, kernel: kernel.New(log), mux: statemachine.NewMux(), fatal: fatal}
	if err := p.addPeers(); err != nil {
		return nil, err
	}
	p.addAgreement()
	if err := p.addOperators(); err != nil {
		return nil, err
	}
	p.addServices()
	p.addMetrics()
	return p.kernel, nil
}

func (p *parts) addPeers() error {
	var serverTLS, clientTLS *tls.Config
	if t := p.settings.PeerTLS; t.Enabled() {
		files, err := tlsconf.New(t)
		if err != nil {
			return errors.Wrap(err, "peer TLS")
		}
		serverTLS, clientTLS = files.Server(), files.Client()
	}
	p.kernel.Register(peer.ServerName, peer.NewServerModule(p.log.Named("peer"), p.settings.Node.PeerAddress, serverTLS))
	p.kernel.Register(peer.PoolName, peer.NewPoolModule(peer.Options{TLS: clientTLS}, p.settings.controlAddresses()))
	return nil
}

// addAgreement registers the replicated machines and agreement over them. A
// service with replicated state adds its machine to p.mux here or in addServices.
func (p *parts) addAgreement() {
	c := p.settings.Control
	machine := state.NewMachine()
	p.machine = machine
	p.mux.Add(state.Namespace, machine)
	p.kernel.Register(state.ModuleName, state.NewModule(machine))
	p.kernel.Register(consensus.ModuleName, consensus.NewModule(consensus.ModuleConfig{
		ReplicaID: c.ReplicaID, InitialMembership: p.settings.initial(), DataDir: p.settings.Node.DataDir,
		ElectionTimeout: c.ElectionTimeout, HeartbeatInterval: c.HeartbeatInterval,
		EntriesPerSnapshot: c.EntriesPerSnapshot, RetainedEntries: c.RetainedEntries, MaxBatch: c.MaxBatch,
		Machine: p.mux, Logger: p.log.Named("consensus"), OnFatal: p.fatal,
	}), peer.ServerName, peer.PoolName)
	p.kernel.Register(watch.ModuleName, watch.NewModule(c.Freshness, p.log.Named("watch")), consensus.ModuleName, state.ModuleName)
}

func (p *parts) addOperators() error {
	hashKey, err := os.ReadFile(p.settings.Security.HashKeyFile)
	if err != nil {
		return errors.Wrap(err, "hash key")
	}
	operators, err := control.LoadOperatorTokens(p.settings.Security.OperatorTokensFile)
	if err != nil {
		return err
	}
	deriver := keys.NewDeriver(strings.TrimSpace(string(hashKey)))
	var config *tls.Config
	if t := p.settings.TLS; t.Enabled() {
		files, err := tlsconf.New(t)
		if err != nil {
			return errors.Wrap(err, "operators' TLS")
		}
		config = files.Server()
	}
	p.kernel.Register(control.ModuleName, control.NewModule(p.settings.Node.OperatorAddress, config, operators, deriver, p.log.Named("operator")), watch.ModuleName)
	if c := p.settings.Control; c.PlatformAddress != "" {
		p.kernel.Register(control.PlatformName, control.NewPlatformModule(c.PlatformAddress, c.PlatformPollInterval, p.log.Named("platform")), watch.ModuleName)
	}
	return nil
}

// addServices registers the services that run on the leader. Each adds its machine
// to p.mux and its module to p.kernel, with consensus.ModuleName among its needs.
func (p *parts) addServices() {
	bucket := grants.NewMachine()
	p.mux.Add(grants.Namespace, bucket)
	p.kernel.Register(grants.OwnerName, grants.NewOwnerModule(p.settings.Grants, bucket, grants.StateLimits{Source: p.machine}, clock.Boot), consensus.ModuleName, state.ModuleName, peer.ServerName)
	records := journal.NewMachine()
	p.mux.Add(journal.Namespace, records)
	p.kernel.Register(journal.OwnerName, journal.NewOwnerModule(p.settings.Journal, records), consensus.ModuleName, peer.ServerName)
	p.kernel.Register(placement.ModuleName, placement.NewModule(p.settings.Placement), consensus.ModuleName, state.ModuleName)
}
