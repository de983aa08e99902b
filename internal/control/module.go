package control

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"eelgrasshollow/gen/eelgrass/v1/eelgrassv1connect"
	"eelgrasshollow/internal/connguard"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// ModuleName is the operator API's name in the kernel.
const ModuleName = "control.operator"

const (
	idleTimeout = 2 * time.Minute
	// ackTimeout limits the time for which an operator may leave sent bytes unacknowledged or unread, and socketBuffer is the size
	// in bytes up to which the buffers of a connection are enlarged.
	ackTimeout      = 10 * time.Second
	socketBuffer    = 64 << 10
	maxMessageBytes = 32 << 20
	// messageCost is the memory of a message that is being executed, in sizes of its encoded form.
	messageCost = 3
)

// Bounds limit what operators make the process hold.
type Bounds struct {
	Guard  *connguard.Guard  // connections
	Memory *membudget.Budget // requests
}

// Module serves the operator API over HTTP.
type Module struct {
	address   string
	tlsConfig *tls.Config
	operators *OperatorTokens
	keys      keys.Deriver
	bounds    Bounds
	log       *zap.Logger
	server    *http.Server
	listener  net.Listener
}

// NewModule returns a module that serves operators at address. tlsConfig is nil for plain
// HTTP.
func NewModule(address string, tlsConfig *tls.Config, operators *OperatorTokens, deriver keys.Deriver, bounds Bounds, log *zap.Logger) *Module {
	return &Module{address: address, tlsConfig: tlsConfig, operators: operators, keys: deriver, bounds: bounds, log: log}
}

// Provision builds the HTTP handler and registers the net/rpc receiver that followers
// call.
func (m *Module) Provision(k *kernel.Kernel) error {
	var (
		replica *consensus.Module
		machine *state.Module
		w       *watch.Module
		pool    *peer.PoolModule
		server  *peer.ServerModule
	)
	err := k.Find(kernel.As(consensus.ModuleName, &replica), kernel.As(state.ModuleName, &machine),
		kernel.As(watch.ModuleName, &w), kernel.As(peer.PoolName, &pool), kernel.As(peer.ServerName, &server))
	if err != nil {
		return err
	}
	service := NewService(replica, machine.Machine, w.Server, pool, m.keys, m.log)
	handler := membudget.BoundRequests(m.bounds.Memory, messageCost, Handler(service, m.operators, replica.Health))
	m.server = &http.Server{Handler: handler, IdleTimeout: idleTimeout}
	return server.Register(ServiceName, service.leader.local)
}

// uncompressed refuses compressed messages, whose size in memory their body does not tell.
var uncompressed = connect.WithCompression("gzip", nil, nil)

// Handler returns an HTTP handler that serves the operator API with authentication and
// /healthz without.
func Handler(service *Service, operators *OperatorTokens, health func() error) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(eelgrassv1connect.NewOperatorHandler(service, connect.WithInterceptors(authenticate(operators)), connect.WithReadMaxBytes(maxMessageBytes), uncompressed))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if err := health(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	return mux
}

// Start listens and serves in the background.
func (m *Module) Start(ctx context.Context) error {
	l, err := liveness.Listen(ctx, m.address, ackTimeout, connguard.InitialBuffer, connguard.InitialBuffer)
	if err != nil {
		return errors.Wrap(err, "operators")
	}
	m.listener = l
	l = m.bounds.Guard.HTTP(m.server, l, connguard.HTTPOptions{
		Name: "operators", TLS: m.tlsConfig, Limits: func() connguard.HTTPLimits { return connguard.HTTPLimits{IdleTime: idleTimeout} },
		ReceiveBuffer: socketBuffer, SendBuffer: socketBuffer,
	})
	go func() {
		if err := m.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			m.log.Error("operator API server stopped unexpectedly", zap.Error(err))
		}
	}()
	return nil
}

// Address returns the listening address. The module must have been started.
func (m *Module) Address() string { return m.listener.Addr().String() }

// Stop shuts the server down; calls in progress may finish until ctx ends.
func (m *Module) Stop(ctx context.Context) error {
	return m.server.Shutdown(ctx)
}
