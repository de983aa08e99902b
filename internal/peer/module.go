package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"eelgrasshollow/internal/connguard"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/liveness"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Names under which the modules are registered in the kernel.
const (
	ServerName = "peer.server"
	PoolName   = "peer.pool"
)

// ackTimeout limits the time for which a peer may leave sent bytes unacknowledged or unread.
const ackTimeout = 10 * time.Second

// ServerModule is the kernel module of a Server. Other modules register their receivers while
// they are provisioned; Start begins to listen.
type ServerModule struct {
	address string
	config  *tls.Config
	server  *Server
	guard   *connguard.Guard
	log     *zap.Logger

	listener net.Listener
}

// NewServerModule returns a module that serves peers at address, whose connections guard bounds. A nil config
// means TCP without TLS.
func NewServerModule(log *zap.Logger, address string, config *tls.Config, guard *connguard.Guard) *ServerModule {
	return &ServerModule{address: address, config: config, log: log, guard: guard, server: NewServer(log, DefaultLivenessTimeout)}
}

// Register registers the methods of receiver under name. It must be called before Start, while
// modules are provisioned.
func (m *ServerModule) Register(name string, receiver any) error {
	return m.server.Register(name, receiver)
}

// Address returns the address at which peers reach this process. After Start it contains the
// port that was bound.
func (m *ServerModule) Address() string {
	if m.listener != nil {
		return m.listener.Addr().String()
	}
	return m.address
}

// Provision does nothing: the module depends on no other.
func (m *ServerModule) Provision(*kernel.Kernel) error { return nil }

// Start listens and serves connections in the background.
func (m *ServerModule) Start(ctx context.Context) error {
	listener, err := liveness.Listen(ctx, m.address, ackTimeout, connguard.InitialBuffer, connguard.InitialBuffer)
	if err != nil {
		return errors.Wrap(err, "peers")
	}
	m.listener = listener
	go func() {
		err := m.server.Serve(m.guard.Messages(listener, "peers"), m.config)
		if !errors.Is(err, net.ErrClosed) {
			m.log.Error("peer server stopped unexpectedly", zap.Error(err))
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

// PoolModule is the kernel module of a Pool and a LeaderClient.
type PoolModule struct {
	pool   *Pool
	leader *LeaderClient
}

// NewPoolModule returns a module with a pool and a client of the control replicas at the
// given peer addresses.
func NewPoolModule(options Options, controlAddresses []string) *PoolModule {
	pool := NewPool(options)
	return &PoolModule{pool: pool, leader: NewLeaderClient(pool, controlAddresses)}
}

// Call calls method on the peer at address; see Pool.Call.
func (m *PoolModule) Call(ctx context.Context, address, method string, args, reply any) error {
	if address == "" {
		return errkind.New(errkind.NoQuorum, "no peer address for call of %s", method)
	}
	return m.pool.Call(ctx, address, method, args, reply)
}

// Leader returns the client of the control leader.
func (m *PoolModule) Leader() Caller { return m.leader }

// LeaderClient returns the client of the control leader, for callers that update its list of
// replicas.
func (m *PoolModule) LeaderClient() *LeaderClient { return m.leader }

// Provision does nothing: the module depends on no other.
func (m *PoolModule) Provision(*kernel.Kernel) error { return nil }

// Start does nothing; the pool connects on the first call to an address.
func (m *PoolModule) Start(context.Context) error { return nil }

// Stop closes every connection.
func (m *PoolModule) Stop(context.Context) error {
	m.pool.Close()
	return nil
}
