package entry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics holds the Prometheus metrics, by client account and route. The prefix hit rate is the
// ratio of cachedTokens to promptTokens.
type metrics struct {
	registry     *prometheus.Registry
	inFlight     *prometheus.GaugeVec
	requests     *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	promptTokens *prometheus.CounterVec
	cachedTokens *prometheus.CounterVec
	recomputed   *prometheus.CounterVec
	outputTokens *prometheus.CounterVec
	firstToken   *prometheus.HistogramVec
}

// firstTokenBuckets are in seconds. They are closely spaced around the time-to-first-token
// targets of interactive requests.
var firstTokenBuckets = []float64{.01, .025, .05, .1, .2, .3, .41, .6, 1, 2, 5, 10, 30}

func newMetrics() *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "eelgrass", Subsystem: "entry", Name: name, Help: help}, labels)
	}
	m := &metrics{
		registry:     prometheus.NewRegistry(),
		inFlight:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "eelgrass", Subsystem: "entry", Name: "requests_in_flight", Help: "Requests being served."}, []string{"client_account", "route"}),
		requests:     counter("requests_total", "Requests answered whole.", "client_account", "route"),
		refusals:     counter("refusals_total", "Requests refused or failed, by error kind.", "client_account", "route", "kind"),
		retries:      counter("retries_total", "Attempts after the first.", "client_account", "route"),
		promptTokens: counter("prompt_tokens_total", "Prompt tokens of answered requests.", "client_account", "route"),
		cachedTokens: counter("cached_prompt_tokens_total", "Prompt tokens that an engine had cached.", "client_account", "route"),
		recomputed:   counter("recomputed_tokens_total", "Prompt tokens that were predicted to be cached and were computed again.", "client_account", "route"),
		outputTokens: counter("output_tokens_total", "Output tokens.", "client_account", "route"),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "eelgrass", Subsystem: "entry", Name: "first_token_seconds",
			Help: "Time from a request's arrival to its first token.", Buckets: firstTokenBuckets,
		}, []string{"client_account", "route"}),
	}
	m.registry.MustRegister(m.inFlight, m.requests, m.refusals, m.retries, m.promptTokens, m.cachedTokens,
		m.recomputed, m.outputTokens, m.firstToken, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}
