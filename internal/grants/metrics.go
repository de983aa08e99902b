package grants

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	tokensLeft = prometheus.NewDesc("eelgrass_grant_tokens_left", "Tokens of a client account that this VM may admit without asking the owner.", []string{"client_account"}, nil)
	waiting    = prometheus.NewDesc("eelgrass_grant_waiting", "Requests of a client account that wait for tokens at this VM.", []string{"client_account"}, nil)
)

// Describe implements prometheus.Collector.
func (m *HolderModule) Describe(d chan<- *prometheus.Desc) {
	d <- tokensLeft
	d <- waiting
}

// Collect implements prometheus.Collector. Labels are bounded by the accounts in use.
func (m *HolderModule) Collect(to chan<- prometheus.Metric) {
	if m.client == nil {
		return // not provisioned yet
	}
	c := m.client
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, a := range c.holder.accounts {
		to <- prometheus.MustNewConstMetric(tokensLeft, prometheus.GaugeValue, float64(a.left(c.now())), name)
		to <- prometheus.MustNewConstMetric(waiting, prometheus.GaugeValue, float64(len(a.queue)), name)
	}
}

// left is what may still be admitted from slices whose lease runs.
func (a *holding) left(now time.Duration) int64 {
	left := int64(0)
	for _, s := range []*slice{a.current, a.former} {
		if s != nil && now < s.end {
			left += s.unspent()
		}
	}
	return left
}
