package watch

import (
	"context"
	"time"

	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/state"

	"go.uber.org/zap"
)

// ModuleName is the server's name in the kernel.
const ModuleName = "control.watch"

// Module runs a Server as a kernel module.
type Module struct {
	*Server
	freshness time.Duration
	log       *zap.Logger
	caller    Caller
	done      chan struct{}
}

// NewModule returns a module; freshness is the freshness bound of the entry VMs.
func NewModule(freshness time.Duration, log *zap.Logger) *Module {
	return &Module{freshness: freshness, log: log, done: make(chan struct{})}
}

// Provision creates the server and registers its net/rpc receivers.
func (m *Module) Provision(k *kernel.Kernel) error {
	var (
		replica *consensus.Module
		machine *state.Module
		pool    *peer.PoolModule
		server  *peer.ServerModule
	)
	err := k.Find(kernel.As(consensus.ModuleName, &replica), kernel.As(state.ModuleName, &machine),
		kernel.As(peer.PoolName, &pool), kernel.As(peer.ServerName, &server))
	if err != nil {
		return err
	}
	m.caller = pool
	m.Server = NewServer(replica, machine.Machine, membership.NewTable(MaxStaleness(m.freshness)), m.freshness, m.log)
	if err := server.Register(ExchangeServiceName, NewExchangeReceiver(m.Server)); err != nil {
		return err
	}
	return server.Register(ServiceName, NewReceiver(m.Server))
}

// Start starts exchanging reports with the other replicas.
func (m *Module) Start(context.Context) error {
	go func() {
		defer close(m.done)
		m.Run(m.caller)
	}()
	return nil
}

// Stop answers every held poll and ends the exchange.
func (m *Module) Stop(context.Context) error {
	m.Close()
	<-m.done
	return nil
}
