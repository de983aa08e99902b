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

// Module is the kernel's wrapper around a Server.
type Module struct {
	*Server
	freshness time.Duration
	log       *zap.Logger
	calls     Caller
	done      chan struct{}
}

// NewModule returns a module; freshness is the bound that the watchers keep.
func NewModule(freshness time.Duration, log *zap.Logger) *Module {
	return &Module{freshness: freshness, log: log, done: make(chan struct{})}
}

// Provision makes the server and registers its net/rpc receivers.
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
	m.calls = pool
	m.Server = NewServer(replica, machine.Machine, membership.NewTable(MaxStaleness(m.freshness)), m.freshness, m.log)
	if err := server.Register(ExchangeServiceName, NewExchangeReceiver(m.Server)); err != nil {
		return err
	}
	return server.Register(ServiceName, NewReceiver(m.Server))
}

// Start begins to exchange reports.
func (m *Module) Start(context.Context) error {
	go func() {
		defer close(m.done)
		m.Run(m.calls)
	}()
	return nil
}

// Stop answers every held poll.
func (m *Module) Stop(context.Context) error {
	m.Close()
	<-m.done
	return nil
}
