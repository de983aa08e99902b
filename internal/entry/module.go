package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"eelgrasshollow/internal/connguard"
	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/tlsconf"
	"eelgrasshollow/internal/watch"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Config configures the module entry.http.
type Config struct {
	Settings Settings
	TLS      tlsconf.Settings
	Self     watch.VM
	Hasher   keys.Hasher
	// Guard bounds the connections, and Memory what requests hold.
	Guard  *connguard.Guard
	Memory *membudget.Budget
	// ResponseMemory bounds what the module entry.engine holds of responses; its metrics are served here.
	ResponseMemory *membudget.Budget
}

// Module is the kernel module entry.http: the listener for clients and its graceful stop.
type Module struct {
	config Config
	front  *Front
	server *http.Server
	log    *zap.Logger
	cancel context.CancelFunc
	work   errgroup.Group
}

// NewModule returns a module that has not been started.
func NewModule(c Config) *Module { return &Module{config: c} }

// Dependencies returns the names of the modules that entry.http requires.
func Dependencies() []string {
	return []string{"entry.directory", "entry.grants", "entry.journal", "entry.routing", "entry.engine"}
}

// Provision looks up the required modules and creates the front.
func (m *Module) Provision(k *kernel.Kernel) error {
	m.log = k.Log.Named("http")
	d := Deps{Hasher: m.config.Hasher, Log: m.log, Fleet: singleVMFleet{m.config.Self}, Memory: m.config.Memory}
	var module *engine.Module
	err := k.Find(kernel.As("entry.directory", &d.Directory), kernel.As("entry.grants", &d.Limiter),
		kernel.As("entry.journal", &d.Journal), kernel.As("entry.routing", &d.Router), kernel.As("entry.engine", &module))
	if err != nil {
		return err
	}
	d.Engine = module.Client()
	if fleet, err := kernel.Lookup[watch.Fleet](k, "entry.directory"); err == nil {
		d.Fleet = fleet
	}
	m.front = NewFront(m.config.Settings, d)
	m.front.metrics.registry.MustRegister(d.Engine.Collectors()...)
	m.front.metrics.registry.MustRegister(m.config.Guard.Collectors()...)
	m.front.metrics.registry.MustRegister(append(m.config.Memory.Collectors(), m.config.ResponseMemory.Collectors()...)...)
	if server, err := kernel.Lookup[peerServer](k, peer.ServerName); err == nil {
		return server.Register(dryrun.ServiceName, dryrun.NewReceiver(m.front.DryRun))
	}
	return nil
}

// peerServer is implemented by the module peer.server.
type peerServer interface {
	Register(name string, receiver any) error
}

// Start opens the listener and serves requests in the background.
func (m *Module) Start(ctx context.Context) error {
	s := m.config.Settings
	options := connguard.HTTPOptions{
		Name: "callers", Limits: m.front.connectionLimits, ReceiveBuffer: int(s.ReceiveBuffer), SendBuffer: int(s.SendBuffer),
	}
	if m.config.TLS.Enabled() {
		certificates, err := tlsconf.New(m.config.TLS)
		if err != nil {
			return err
		}
		options.TLS = certificates.Server("h2", "http/1.1")
	}
	l, err := liveness.Listen(ctx, m.config.Self.Address, s.AckTimeout, min(connguard.InitialBuffer, options.SendBuffer), min(connguard.InitialBuffer, options.ReceiveBuffer))
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.cancel = cancel
	m.server = m.front.Server(m.log)
	m.server.Handler = m.config.Guard.BoundStreams(m.server.Handler, m.front.refuseStream)
	l = m.config.Guard.HTTP(m.server, l, options)
	m.work.Go(func() error { m.front.recheckKeys(background); return nil })
	m.work.Go(func() error { return m.serveUntilClosed(l) })
	return nil
}

// connectionLimits returns the limits of the settings for connections of clients.
func (f *Front) connectionLimits() connguard.HTTPLimits {
	s := f.settings
	return connguard.HTTPLimits{HeadBytes: int64(s.MaxHeader), HeadTime: s.ReadHeaderTimeout, IdleTime: s.IdleTimeout, BodyTime: s.ReadBodyTimeout}
}

// refuseStream refuses a request for whose head there is no memory.
func (f *Front) refuseStream(w http.ResponseWriter, _ *http.Request) {
	refuse(w, errkind.New(errkind.Overloaded, "no memory for another request"))
}

// Server returns an HTTP server for the front with the limits of its settings.
func (f *Front) Server(log *zap.Logger) *http.Server {
	errorLog, err := zap.NewStdLogAt(log, zap.DebugLevel)
	if err != nil {
		panic(err) // the level is a constant
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	// Pings detect an unresponsive HTTP/2 client even while its streams are idle.
	http2 := connguard.HTTP2Config()
	http2.PingTimeout = f.settings.AckTimeout / 2
	http2.SendPingTimeout = http2.PingTimeout
	return &http.Server{
		Handler: f.Handler(), ErrorLog: errorLog, Protocols: &protocols, HTTP2: http2,
		ReadHeaderTimeout: f.settings.ReadHeaderTimeout, IdleTimeout: f.settings.IdleTimeout,
		MaxHeaderBytes: int(f.settings.MaxHeader),
	}
}

func (m *Module) serveUntilClosed(l net.Listener) error {
	err := m.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	m.log.Error("client listener failed", zap.Error(err))
	return err
}

// Drain removes this VM from the lookup, waits for LookupTTL until clients have repeated their
// lookup, refuses new requests, and waits up to StreamGrace for open requests to finish.
func (m *Module) Drain(ctx context.Context) error { return m.front.Drain(ctx) }

// Drain stops the front gracefully; see Module.Drain.
func (f *Front) Drain(ctx context.Context) error {
	f.open.setPhase(leaving)
	if err := f.fleet.Leave(ctx); err != nil {
		f.log.Warn("announcing the stop of this VM failed", zap.Error(err))
	}
	sleepContext(ctx, f.settings.LookupTTL)
	f.open.setPhase(draining)
	grace := time.NewTimer(f.settings.StreamGrace)
	defer grace.Stop()
	select {
	case <-f.open.idle:
		return nil
	case <-grace.C:
	case <-ctx.Done():
	}
	f.end()
	f.open.cancelRefused(func(*openRequest) error {
		return errkind.New(errkind.Draining, "this VM stopped before the response was complete").WithOutcome(errkind.Unknown)
	})
	select {
	case <-f.open.idle:
	case <-time.After(f.settings.WriteTimeout):
	}
	return nil
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Stop closes the listener and the remaining connections.
func (m *Module) Stop(ctx context.Context) error {
	if m.server == nil {
		return nil
	}
	m.cancel()
	err := m.server.Shutdown(ctx)
	if err != nil {
		err = errors.CombineErrors(err, m.server.Close())
	}
	return errors.CombineErrors(err, m.work.Wait())
}

// Health returns an error if the front can't serve requests.
func (m *Module) Health() error {
	_, err := m.front.currentView()
	return err
}

// singleVMFleet is a watch.Fleet that consists of this VM only, for use without a directory
// that provides one.
type singleVMFleet struct{ self watch.VM }

// VMs returns this VM.
func (s singleVMFleet) VMs() []watch.VM { return []watch.VM{s.self} }

// Leave does nothing, because there are no other VMs.
func (singleVMFleet) Leave(context.Context) error { return nil }
