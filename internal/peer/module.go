package peer

import (
	"context"
	"crypto/tls"
	"net"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Names of the modules in the kernel.
const (
	ServerName = "peer.server"
	PoolName   = "peer.pool"
)

// ServerModule is the kernel's wrapper around a Server: other modules Register
// their receivers while they are provisioned, Start listens.
type ServerModule struct {
	address string
	config  *tls.Config
	server  *Server
	log     *zap.Logger

	listener net.Listener
}

// NewServerModule returns a module that serves peers at address; config is nil for
// plain TCP.
func NewServerModule(log *zap.Logger, address string, config *tls.Config) *ServerModule {
	return &ServerModule{address: address, config: config, log: log, server: NewServer(log, DefaultLivenessTimeout)}
}

// Register offers the receiver's methods to peers under name. It is called while
// modules are provisioned.
func (m *ServerModule) Register(name string, receiver any) error {
	return m.server.Register(name, receiver)
}

// Address returns the address that peers reach this process at. After Start it
// names the bound port.
func (m *ServerModule) Address() string {
	if m.listener != nil {
		return m.listener.Addr().String()
	}
	return m.address
}

// Provision needs nothing.
func (m *ServerModule) Provision(*kernel.Kernel) error { return nil }

// Start listens and serves in the background.
func (m *ServerModule) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", m.address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	m.listener = l
	go func() {
		err := m.server.Serve(l, m.config)
		if !errors.Is(err, net.ErrClosed) {
			m.log.Error("peer server ended", zap.Error(err))
		}
	}()
	return nil
}

// Stop closes the listener and every connection.
func (m *ServerModule) Stop(context.Context) error {
	if m.listener == nil {
		return nil
	}
	err := m.listener.Close()
	m.server.Close()
	return err
}

// PoolModule is the kernel's wrapper around a Pool and a client of the control
// leader.
type PoolModule struct {
	pool   *Pool
	leader *LeaderClient
}

// NewPoolModule returns a module with a pool, and a client of the control replicas
// at the given peer addresses.
func NewPoolModule(opt Options, control []string) *PoolModule {
	pool := NewPool(opt)
	return &PoolModule{pool: pool, leader: NewLeaderClient(pool, control)}
}

// Call calls method at a peer's address; see Pool.Call.
func (m *PoolModule) Call(ctx context.Context, address, method string, args, reply any) error {
	if address == "" {
		return errkind.New(errkind.NoQuorum, "no address to call %s at", method)
	}
	return m.pool.Call(ctx, address, method, args, reply)
}

// Leader returns the client of the control leader.
func (m *PoolModule) Leader() Caller { return m.leader }

// LeaderClient returns the client of the control leader, for one who follows the replicas.
func (m *PoolModule) LeaderClient() *LeaderClient { return m.leader }

// Provision needs nothing.
func (m *PoolModule) Provision(*kernel.Kernel) error { return nil }

// Start dials nothing; connections are made at the first call.
func (m *PoolModule) Start(context.Context) error { return nil }

// Stop closes every connection.
func (m *PoolModule) Stop(context.Context) error {
	m.pool.Close()
	return nil
}
