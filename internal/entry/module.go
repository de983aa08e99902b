package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/tlsconf"
	"eelgrasshollow/internal/watch"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Config is what the module entry.http is made from.
type Config struct {
	Settings Settings
	TLS      tlsconf.Settings
	Self     watch.VM
	Hasher   keys.Hasher
}

// Module is entry.http: the callers' listener and its graceful stop.
type Module struct {
	config Config
	front  *Front
	server *http.Server
	log    *zap.Logger
	cancel context.CancelFunc
	work   errgroup.Group
}

// NewModule returns the module.
func NewModule(c Config) *Module { return &Module{config: c} }

// Dependencies names the modules that entry.http works with.
func Dependencies() []string {
	return []string{"entry.directory", "entry.grants", "entry.journal", "entry.routing", "entry.engine"}
}

// Provision finds the other modules.
func (m *Module) Provision(k *kernel.Kernel) error {
	m.log = k.Log.Named("http")
	d := Deps{Hasher: m.config.Hasher, Log: m.log, Fleet: selfOnly{m.config.Self}}
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
	return nil
}

// Start listens and serves.
func (m *Module) Start(ctx context.Context) error {
	s := m.config.Settings
	l, err := liveness.Listen(ctx, m.config.Self.Address, s.AckTimeout, int(s.SendBuffer))
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.cancel = cancel
	m.server = m.front.Server(m.log)
	m.work.Go(func() error { m.front.recheck(background); return nil })
	if !m.config.TLS.Enabled() {
		m.work.Go(func() error { return m.serveUntilClosed(l, m.server.Serve) })
		return nil
	}
	certificates, err := tlsconf.New(m.config.TLS)
	if err != nil {
		return errors.CombineErrors(err, l.Close())
	}
	m.server.TLSConfig = certificates.Server("h2", "http/1.1")
	m.work.Go(func() error {
		return m.serveUntilClosed(l, func(l net.Listener) error { return m.server.ServeTLS(l, "", "") })
	})
	return nil
}

// Server returns an HTTP server of the front with its limits.
func (f *Front) Server(log *zap.Logger) *http.Server {
	errorLog, err := zap.NewStdLogAt(log, zap.DebugLevel)
	if err != nil {
		panic(err) // the level is a constant
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	half := f.settings.AckTimeout / 2
	return &http.Server{
		Handler: f.Handler(), ErrorLog: errorLog, Protocols: &protocols,
		// HTTP/2 callers are pinged, so that one that is gone is found on quiet streams too.
		HTTP2:             &http.HTTP2Config{SendPingTimeout: half, PingTimeout: half},
		ReadHeaderTimeout: f.settings.ReadHeaderTimeout, IdleTimeout: f.settings.IdleTimeout,
		MaxHeaderBytes: int(f.settings.MaxHeader),
	}
}

func (m *Module) serveUntilClosed(l net.Listener, serve func(net.Listener) error) error {
	err := serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	m.log.Error("callers' listener ended", zap.Error(err))
	return err
}

// Drain takes this VM out of the lookup, waits until callers have asked again, refuses
// new work, and lets open requests finish within their grace.
func (m *Module) Drain(ctx context.Context) error { return m.front.Drain(ctx) }

// Drain is the graceful stop of a front; see Module.Drain.
func (f *Front) Drain(ctx context.Context) error {
	f.open.setPhase(leaving)
	if err := f.fleet.Leave(ctx); err != nil {
		f.log.Warn("could not announce leaving", zap.Error(err))
	}
	pause(ctx, f.settings.LookupTTL)
	f.open.setPhase(draining)
	grace := time.NewTimer(f.settings.StreamGrace)
	defer grace.Stop()
	select {
	case <-f.open.idle:
		return nil
	case <-grace.C:
	case <-ctx.Done():
	}
	f.open.end(func(*openRequest) error {
		return errkind.New(errkind.Draining, "this VM stopped before the answer was whole").WithOutcome(errkind.Unknown)
	})
	select {
	case <-f.open.idle:
	case <-time.After(f.settings.WriteTimeout):
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Stop closes the listener and what is left of the connections.
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

// Health reports whether the front takes work.
func (m *Module) Health() error {
	_, err := m.front.currentView()
	return err
}

// selfOnly is the fleet as far as a VM knows it by itself.
type selfOnly struct{ self watch.VM }

// VMs names this VM.
func (s selfOnly) VMs() []watch.VM { return []watch.VM{s.self} }

// Leave has nobody to tell.
func (selfOnly) Leave(context.Context) error { return nil }
