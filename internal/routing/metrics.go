package routing

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// noticeMetrics counts the notices of endpoints.
type noticeMetrics struct{ total *prometheus.CounterVec }

func newNoticeMetrics() noticeMetrics {
	return noticeMetrics{prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "routing", Name: "endpoint_notices_total",
		Help: "Responses in which an endpoint announced that it leaves, asked for a pause, stated a rate limit or that it is brittle. The last two are applied when they change.",
	}, []string{"kind", "applied"})}
}

func (m noticeMetrics) record(n Notice, applied bool) {
	if n.Leaving {
		m.total.WithLabelValues("leaving", strconv.FormatBool(applied)).Inc()
	}
	if n.PauseFor > 0 {
		m.total.WithLabelValues("pause", strconv.FormatBool(applied)).Inc()
	}
}

func newCrashCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "routing", Name: "crashed_attempts_total",
		Help: "Attempts whose connection broke and whose endpoint then refused connections, by whether an earlier attempt of the request had failed.",
	}, []string{"retry"})
}

func newLimitedSendCounter() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "routing", Name: "rate_limited_sends_total",
		Help: "Attempts sent to endpoints that state a rate limit.",
	})
}

func newPermitCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "routing", Name: "permits_total",
		Help: "Permits for endpoints that state a rate limit, or are brittle, by who answered (owner: another VM; self; share: this VM's part while the owner is away) and result.",
	}, []string{"from", "result"})
}

// Collectors returns the metrics of the digest exchange and of endpoints' notices.
func (m *Module) Collectors() []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "eelgrass", Subsystem: "routing", Name: name, Help: help}, func() float64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return value()
		})
	}
	return []prometheus.Collector{
		gauge("digest_peers", "Entry VMs whose digests this one has.", func() float64 { return float64(len(m.core.peers)) }),
		gauge("digest_age_seconds", "Time since the oldest of these digests arrived.", func() float64 { return m.core.oldestDigest(m.now()).Seconds() }),
		m.notices.total,
		m.crashes,
		gauge("quarantined_parts", "Prompt parts whose requests are refused because endpoints crashed under them.", func() float64 {
			parts, _ := m.core.quarantine.Quarantined()
			return float64(parts)
		}),
		gauge("quarantined_requests", "Requests whose repeats are refused because endpoints crashed under them.", func() float64 {
			_, requests := m.core.quarantine.Quarantined()
			return float64(requests)
		}),
		gauge("rate_limited_endpoints", "Endpoints that state a rate limit.", func() float64 { return float64(m.core.limitedEndpoints()) }),
		gauge("brittle_endpoints", "Endpoints that may go down if they reject too many requests.", func() float64 { return float64(m.core.brittleEndpoints()) }),
		gauge("started_endpoints", "Endpoints that have just started or recovered and are spared.", func() float64 { return float64(m.core.starts.count) }),
		gauge("uneven_services", "Services whose endpoints differ in speed, which placement weighs.", func() float64 { return float64(m.core.speeds.uneven) }),
		m.slowPeriods,
		m.paceMetrics.results,
		m.paceMetrics.elsewhere,
		gauge("crowded_services", "Services with as many requests in flight as slots, whose requests differ in priority or target.", func() float64 {
			services, _ := m.core.crowdedServices(m.now())
			return float64(services)
		}),
		gauge("held_requests", "Requests that wait because their service is crowded.", func() float64 {
			_, held := m.core.crowdedServices(m.now())
			return float64(held)
		}),
		admissionCounter{m},
		m.limitedSends,
		m.permits.answers,
		gauge("relay_alerts_left", "Suspects and rate limits that the last reply to a VM of this relay's cell had no room for.", func() float64 { return float64(m.hub.AlertsLeft()) }),
		gauge("relay_members", "Entry VMs to which this one relays digests.", func() float64 { return float64(len(m.hub.Members())) }),
	}
}

// admissionDescription describes the counter of admission's decisions.
var admissionDescription = prometheus.NewDesc("eelgrass_routing_admission_total",
	"Decisions on requests of crowded services: sent at once, held, refused on arrival, expired while held.", []string{"decision"}, nil)

// admissionCounter exports the counts of admission's decisions.
type admissionCounter struct{ module *Module }

// Describe implements prometheus.Collector.
func (admissionCounter) Describe(out chan<- *prometheus.Desc) { out <- admissionDescription }

// Collect implements prometheus.Collector.
func (a admissionCounter) Collect(out chan<- prometheus.Metric) {
	a.module.mu.Lock()
	counts := a.module.core.admissionCounts
	a.module.mu.Unlock()
	for decision, n := range map[string]int{"sent": counts.sent, "held": counts.held, "refused": counts.refused, "expired": counts.expired} {
		out <- prometheus.MustNewConstMetric(admissionDescription, prometheus.CounterValue, float64(n), decision)
	}
}

// oldestDigest returns the time since the oldest of the peers' last digests arrived, or 0
// without peers.
func (c *Core) oldestDigest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, view := range c.peers {
		oldest = max(oldest, now.Sub(view.receivedAt))
	}
	return oldest
}
