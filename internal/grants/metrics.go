package grants

import (
	"strconv"
	"time"

	"eelgrasshollow/internal/errkind"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	tokensLeftDesc = prometheus.NewDesc("eelgrass_grant_tokens_left", "Tokens of a client account that this VM may admit without asking the owner.", []string{"client_account"}, nil)
	waitingDesc    = prometheus.NewDesc("eelgrass_grant_waiting", "Requests of a client account that wait for tokens at this VM.", []string{"client_account"}, nil)
)

// Describe implements prometheus.Collector.
func (m *HolderModule) Describe(descs chan<- *prometheus.Desc) {
	descs <- tokensLeftDesc
	descs <- waitingDesc
	m.tokens.Describe(descs)
}

// Collect implements prometheus.Collector. The number of label values is bounded by the
// number of accounts in use.
func (m *HolderModule) Collect(metrics chan<- prometheus.Metric) {
	m.tokens.Collect(metrics)
	if m.client == nil {
		return // before Provision
	}
	c := m.client
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, a := range c.holder.accounts {
		metrics <- prometheus.MustNewConstMetric(tokensLeftDesc, prometheus.GaugeValue, float64(a.usableTokens(c.now())), name)
		metrics <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(len(a.queue)), name)
	}
}

// usableTokens returns the unspent tokens of slices whose lease has not ended.
func (a *heldAccount) usableTokens(now time.Duration) int64 {
	usable := int64(0)
	for _, s := range []*slice{a.current, a.former} {
		if s != nil && now < s.leaseEnd {
			usable += s.unspent()
		}
	}
	return usable
}

// newTokensCounter returns a counter of the tokens that requests asked for.
func newTokensCounter(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{"priority", "outcome"})
}

// maxPriorityLabel bounds the values of the label priority, in both directions.
const maxPriorityLabel = 9

// countTokens counts the tokens of a request by its priority and its result.
func countTokens(c *prometheus.CounterVec, priority int, tokens int64, err error) {
	outcome := "served"
	switch {
	case err == nil:
	case errkind.Is(err, errkind.RateLimited):
		outcome = "refused"
	case ownerUnreachable(err):
		outcome = "owner-away"
	default:
		outcome = "failed"
	}
	label := strconv.Itoa(min(max(priority, -maxPriorityLabel), maxPriorityLabel))
	c.WithLabelValues(label, outcome).Add(float64(max(tokens, 0)))
}
