package controld

import (
	"context"
	"net/http"
	"time"

	"eelgrasshollow/internal/connguard"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/journal"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/state"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

const (
	metricsName = "control.metrics"
	// writeTimeout limits the time from a request to the end of its response.
	writeTimeout = 10 * time.Second
	// ackTimeout limits the time for which a client may leave sent bytes unacknowledged or unread.
	ackTimeout = 10 * time.Second
	// maxMetricsRequests limits the responses that are written at a time. Each is held in memory.
	maxMetricsRequests = 4
)

// metricsModule serves the replica's metrics over HTTP.
type metricsModule struct {
	address string
	guard   *connguard.Guard
	memory  *membudget.Budget
	log     *zap.Logger
	server  *http.Server
}

// addMetrics registers the metrics module if an address is configured.
func (b *builder) addMetrics() {
	if address := b.settings.Node.MetricsAddress; address != "" {
		b.kernel.Register(metricsName, &metricsModule{address: address, guard: b.guard, memory: b.memory, log: b.log}, consensus.ModuleName)
	}
}

// Provision registers the collectors.
func (m *metricsModule) Provision(k *kernel.Kernel) error {
	var (
		consensusModule *consensus.Module
		stateModule     *state.Module
		journalOwner    *journal.OwnerModule
		grantOwner      *grants.OwnerModule
	)
	err := k.Find(kernel.As(consensus.ModuleName, &consensusModule), kernel.As(state.ModuleName, &stateModule),
		kernel.As(journal.OwnerName, &journalOwner), kernel.As(grants.OwnerName, &grantOwner))
	if err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string, value func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "eelgrass", Subsystem: "control", Name: name, Help: help}, value))
	}
	reg.MustRegister(consensusModule.Collectors()...)
	reg.MustRegister(append(m.guard.Collectors(), m.memory.Collectors()...)...)
	gauge("revision", "Revision of the configuration.", func() float64 { return float64(stateModule.Revision()) })
	gauge("journal_records", "Requests with a record in the journal.", func() float64 { return float64(journalOwner.Stats().Records) })
	gauge("journal_claims", "Records whose request is claimed and not settled.", func() float64 { return float64(journalOwner.Stats().Claims) })
	gauge("journal_expired_ids", "Request IDs kept after the retention.", func() float64 { return float64(journalOwner.Stats().Expired) })
	gauge("journal_answer_bytes", "Bytes of stored answers.", func() float64 { return float64(journalOwner.Stats().AnswerBytes) })
	gauge("grant_accounts", "Client accounts whose grants this replica owns.", func() float64 { return float64(grantOwner.Accounts()) })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
	m.server = &http.Server{Handler: mux, WriteTimeout: writeTimeout}
	return nil
}

// Start listens and serves in the background.
func (m *metricsModule) Start(ctx context.Context) error {
	l, err := liveness.Listen(ctx, m.address, ackTimeout, connguard.InitialBuffer, connguard.InitialBuffer)
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	l = m.guard.HTTP(m.server, l, connguard.HTTPOptions{Name: "metrics", Part: true})
	go func() {
		if err := m.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			m.log.Error("metrics server stopped unexpectedly", zap.Error(err))
		}
	}()
	return nil
}

// Stop closes the server and its connections.
func (m *metricsModule) Stop(context.Context) error { return m.server.Close() }
