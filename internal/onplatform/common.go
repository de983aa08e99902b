// Package onplatform assembles the daemons from their modules for the users' platform.
package onplatform

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"eelgrasshollow/internal/connguard"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/logging"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/platform"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

const (
	// settingsPollInterval is the time between checks of the settings file, which may change
	// without a signal.
	settingsPollInterval = 2 * time.Second
	// ackTimeout limits the time for which a client may leave sent bytes unacknowledged.
	ackTimeout = 10 * time.Second
	// logFlushTimeout limits the time to write the last log lines.
	logFlushTimeout = 300 * time.Millisecond
	// writeTimeout limits the time from a request to the end of its response on listeners whose responses are short. Calls of
	// operators wait for agreement, and their documents have megabytes.
	writeTimeout         = 10 * time.Second
	operatorWriteTimeout = time.Minute
	// maxMetricsRequests limits the responses with metrics that are written at a time. Each is held in memory.
	maxMetricsRequests = 4
)

// process is the state that all daemons have in common.
type process struct {
	settings     *platform.Settings
	log          *zap.Logger
	logOutput    *logging.BoundedWriter
	registry     *prometheus.Registry
	settingsPath string
	hangups      chan os.Signal
	// guard bounds the connections of all listeners.
	guard *connguard.Guard
}

// newProcess loads the settings, sets up logging and metrics, and logs the start. daemon is the
// name of the daemon in its log lines.
func newProcess(path, daemon string) (*process, error) {
	// SIGHUP is caught until the process exits: uncaught, the signal would end the process, also
	// while it still serves during a stop.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	membudget.LimitRuntime(s.MemoryBytes)
	logOutput := logging.NewBoundedWriter(os.Stdout)
	log, err := logging.NewWithOutput(logging.Settings{Level: "info"}, daemon, s.VM, logOutput)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: s, log: log, logOutput: logOutput, registry: prometheus.NewRegistry(), settingsPath: path, hangups: hangups,
		guard: connguard.New(connguard.BoundsFor(s.MemoryBytes, s.Descriptors), log.Named("connections")),
	}
	p.registry.MustRegister(p.guard.Collectors()...)
	p.registry.MustRegister(collectors.NewGoCollector(), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "eelgrass_log_lines_dropped_total", Help: "Log lines that found no room.",
	}, func() float64 { return float64(logOutput.Dropped()) }))
	log.Info("start", zap.String("failure_domain", s.FailureDomain), zap.String("peer_address", s.PeerAddress),
		zap.Strings("seeds", s.Seeds), zap.Bool("first_start", s.FirstStart))
	return p, nil
}

// grantTolerance returns what the platform lets accounts get beyond their grants.
func grantTolerance(s *platform.Settings) grants.Tolerance {
	return grants.Tolerance{Overshoot: s.Bounds.GrantOvershoot, Slack: s.Bounds.GrantSlack, Window: s.Bounds.GrantWindow}
}

// close logs the stop and flushes the log.
func (p *process) close(err error) {
	p.log.Info("stop", zap.Error(err))
	p.logOutput.Close(logFlushTimeout)
}

// watchSettings reloads the settings on SIGHUP and when the file has changed, until ctx
// ends. If the settings can't be loaded, the previous ones stay in force.
func (p *process) watchSettings(ctx context.Context, apply func(*platform.Settings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	previous := stampOf(p.settingsPath)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-p.hangups:
			signalled = true
		case <-ticker.C:
		}
		current := stampOf(p.settingsPath)
		if current == previous && !signalled {
			continue
		}
		previous = current
		s, err := platform.LoadSettings(p.settingsPath)
		if err != nil {
			p.log.Error("settings reload failed; the previous settings stay in force", zap.Error(err))
			continue
		}
		p.log.Info("settings reloaded", zap.Bool("signal", signalled), zap.Strings("seeds", s.Seeds))
		apply(s)
	}
}

// fileStamp identifies the state of a file: it changes when the file is written.
type fileStamp struct {
	modified time.Time
	size     int64
}

// stampOf returns the stamp of a file, the zero value if the file can't be read.
func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{} // the file is being replaced; the next check reads its new stamp
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// listenerOptions are the limits of a listener. Zero values mean no limit of its own.
type listenerOptions struct {
	// limits returns those in force for clients.
	limits func() connguard.HTTPLimits
	// writeTimeout limits the time from a request to the end of its response.
	writeTimeout time.Duration
	// shortMessages keeps the operating system's buffers of connections small, and limits the listener to a part of all connections.
	shortMessages bool
}

// listenAndServe listens and serves in the background.
func (p *process) listenAndServe(ctx context.Context, name, address string, handler http.Handler, o listenerOptions) (*http.Server, error) {
	listener, err := liveness.Listen(ctx, address, ackTimeout, connguard.InitialBuffer, connguard.InitialBuffer)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, WriteTimeout: o.writeTimeout, ErrorLog: zap.NewStdLog(p.log.Named("http"))}
	options := connguard.HTTPOptions{Name: name, Limits: o.limits, Part: o.shortMessages}
	if !o.shortMessages {
		buffer := membudget.LimitsFor(p.settings.MemoryBytes).SocketBuffer
		options.ReceiveBuffer, options.SendBuffer = buffer, buffer
	}
	listener = p.guard.HTTP(server, listener, options)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("listener ended", zap.String("door", name), zap.Error(err))
		}
	}()
	return server, nil
}

// serveMetrics serves the process's own metrics in the background, unless port is empty.
func (p *process) serveMetrics(ctx context.Context, port string) {
	if port == "" {
		return
	}
	host, _, err := net.SplitHostPort(p.settings.PeerAddress)
	if err == nil {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
		_, err = p.listenAndServe(ctx, "metrics", net.JoinHostPort(host, port), mux, listenerOptions{writeTimeout: writeTimeout, shortMessages: true})
	}
	if err != nil {
		p.log.Error("metrics are not served", zap.Error(err))
	}
}
