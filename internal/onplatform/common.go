// Package onplatform joins the modules of the daemons as the users' platform runs them.
package onplatform

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/logging"
	"eelgrasshollow/platform"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

const (
	// memoryShare is the part of the memory limit that the runtime aims to stay below; the
	// rest is for what it does not count.
	memoryShare = 0.75
	// settingsEvery is the time between two looks at the settings file, which may change
	// without a signal.
	settingsEvery = 2 * time.Second
	// acknowledge bounds how long a client may leave bytes unacknowledged, and sendBuffer
	// the bytes it has not taken.
	acknowledge = 10 * time.Second
	sendBuffer  = 64 << 10
	// logWait bounds the writing of the last log lines.
	logWait = 300 * time.Millisecond
	// headTime bounds the reading of a request's head, and keepIdle an idle connection,
	// where no configuration does.
	headTime = 10 * time.Second
	keepIdle = 60 * time.Second
)

// process is what every daemon starts with.
type process struct {
	settings *platform.Settings
	log      *zap.Logger
	out      *logging.BoundedWriter
	registry *prometheus.Registry
	path     string
	hup      chan os.Signal
}

func begin(path, daemon string) (*process, error) {
	// Caught from the start to the very end: uncaught, the signal would end the process,
	// also while it stops and still serves.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	out := logging.NewBoundedWriter(os.Stdout)
	log, err := logging.NewWithOutput(logging.Settings{Level: "info"}, daemon, s.VM, out)
	if err != nil {
		return nil, err
	}
	p := &process{settings: s, log: log, out: out, registry: prometheus.NewRegistry(), path: path, hup: hup}
	p.registry.MustRegister(collectors.NewGoCollector(), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "eelgrass_log_lines_dropped_total", Help: "Log lines that found no room.",
	}, func() float64 { return float64(out.Dropped()) }))
	log.Info("start", zap.String("failure_domain", s.FailureDomain), zap.String("peer_address", s.PeerAddress),
		zap.Strings("seeds", s.Seeds), zap.Bool("first_start", s.FirstStart))
	return p, nil
}

func (p *process) end(err error) {
	p.log.Info("stop", zap.Error(err))
	p.out.Close(logWait)
}

// watchSettings reads the settings again at SIGHUP and when the file has changed, until
// ctx ends. Settings that can't be read leave the old ones in force.
func (p *process) watchSettings(ctx context.Context, changed func(*platform.Settings)) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last := stamp(p.path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-p.hup:
			signalled = true
		case <-ticker.C:
		}
		now := stamp(p.path)
		if now == last && !signalled {
			continue
		}
		last = now
		s, err := platform.LoadSettings(p.path)
		if err != nil {
			p.log.Error("settings can't be read; the old ones stay", zap.Error(err))
			continue
		}
		p.log.Info("settings reloaded", zap.Bool("signal", signalled), zap.Strings("seeds", s.Seeds))
		changed(s)
	}
}

type fileStamp struct {
	modified time.Time
	size     int64
}

func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{} // it is being replaced; the next look will tell
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// open listens and serves in the background. Clients have the patience in force, or with
// nil the constant one.
func (p *process) open(ctx context.Context, name, address string, handler http.Handler, patience func() liveness.ReadTimeouts) (*http.Server, error) {
	listener, err := liveness.Listen(ctx, address, acknowledge, sendBuffer)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headTime, IdleTimeout: keepIdle, ErrorLog: zap.NewStdLog(p.log.Named("http")),
	}
	if patience != nil {
		listener = liveness.WithReadTimeouts(server, listener, patience)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("listener ended", zap.String("door", name), zap.Error(err))
		}
	}()
	return server, nil
}

// openMetrics serves the process's own metrics; without a port there are none.
func (p *process) openMetrics(ctx context.Context, port string) {
	if port == "" {
		return
	}
	host, _, err := net.SplitHostPort(p.settings.PeerAddress)
	if err == nil {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
		_, err = p.open(ctx, "metrics", net.JoinHostPort(host, port), mux, nil)
	}
	if err != nil {
		p.log.Error("metrics are not served", zap.Error(err))
	}
}
