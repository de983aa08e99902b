package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the gateway's Prometheus metrics.
type Metrics struct {
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	retries    *prometheus.CounterVec
	firstEvent *prometheus.HistogramVec
	queueWait  *prometheus.HistogramVec
	eventGap   *prometheus.HistogramVec
	// slowReaders counts streams that were stopped because their clients did not read.
	slowReaders prometheus.Counter
	// promptSends counts the attempts of prompts by whether other requests may have their cache namespace.
	promptSends *prometheus.CounterVec
}

// latencyBuckets are in seconds, from the response time of a plain application server to
// the longest deadline.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, 1, 2, 5, 10}

// waitBuckets are in seconds, from no wait to a wait that makes a request time out.
var waitBuckets = []float64{.001, .005, .02, .05, .1, .2, .5, 1, 2, 5}

// Values of the label "for" of the queue metric: the resource that a request waits for.
const (
	waitForTokens = "tokens"
	waitForSlot   = "place"
)

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrass_gateway_requests_total", Help: "Requests by route, client account and reason of failure.",
		}, []string{"route", "client_account", "kind"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrass_gateway_request_seconds", Help: "Time from a request's arrival to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrass_gateway_first_event_seconds", Help: "Time from a request's arrival to the first event of its stream.", Buckets: latencyBuckets,
		}, []string{"route"}),
		queueWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrass_gateway_queue_seconds", Help: "Wait of a request for tokens and for a place at a server, each try apart.", Buckets: waitBuckets,
		}, []string{"route", "for"}),
		eventGap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrass_gateway_event_gap_seconds", Help: "Time between two events of a stream.", Buckets: waitBuckets,
		}, []string{"route"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrass_gateway_retries_total", Help: "Second tries by service and whether the budget allowed them.",
		}, []string{"service", "allowed"}),
	}
	m.slowReaders = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "eelgrass_gateway_slow_readers_total", Help: "Streams that were stopped because their clients did not read.",
	})
	m.promptSends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrass_gateway_prompt_sends_total", Help: "Sends of prompts to servers by whether other requests may have their cache namespace.",
	}, []string{"shared"})
	r.MustRegister(m.promptSends, m.slowReaders, m.requests, m.latency, m.firstEvent, m.queueWait, m.eventGap, m.retries)
	return m
}

func (m *Metrics) observeRequest(route, account, kind string, took time.Duration) {
	m.requests.WithLabelValues(route, account, kind).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// observeWait records a wait for a resource that began at since and ends now.
func (m *Metrics) observeWait(route, resource string, since time.Time) {
	m.queueWait.WithLabelValues(route, resource).Observe(time.Since(since).Seconds())
}
