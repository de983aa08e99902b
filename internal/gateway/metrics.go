package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics of the gateway.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	first    *prometheus.HistogramVec
	queue    *prometheus.HistogramVec
	gap      *prometheus.HistogramVec
}

// latencyBuckets are in seconds, from an app's answer to the longest deadline.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, 1, 2, 5, 10}

// waitBuckets are in seconds, from no wait to one that fails a request.
var waitBuckets = []float64{.001, .005, .02, .05, .1, .2, .5, 1, 2, 5}

// What a request waits for.
const (
	forTokens = "tokens"
	forPlace  = "place"
)

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrass_gateway_requests_total", Help: "Requests by route, client account and reason of failure.",
		}, []string{"route", "client_account", "kind"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrass_gateway_request_seconds", Help: "Time from a request's arrival to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrass_gateway_first_event_seconds", Help: "Time from a request's arrival to the first event of its stream.", Buckets: latencyBuckets,
		}, []string{"route"}),
		queue: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrass_gateway_queue_seconds", Help: "Wait of a request for tokens and for a place at a server, each try apart.", Buckets: waitBuckets,
		}, []string{"route", "for"}),
		gap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrass_gateway_event_gap_seconds", Help: "Time between two events of a stream.", Buckets: waitBuckets,
		}, []string{"route"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrass_gateway_retries_total", Help: "Second tries by service and whether the budget allowed them.",
		}, []string{"service", "allowed"}),
	}
	r.MustRegister(m.requests, m.latency, m.first, m.queue, m.gap, m.retries)
	return m
}

func (m *Metrics) finished(route, account, kind string, took time.Duration) {
	m.requests.WithLabelValues(route, account, kind).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// waited notes a wait that began at since.
func (m *Metrics) waited(route, what string, since time.Time) {
	m.queue.WithLabelValues(route, what).Observe(time.Since(since).Seconds())
}
