package gateway

import (
	"sync"

	"eelgrasshollow/internal/budget"

	"github.com/prometheus/client_golang/prometheus"
)

// RetryLimits bound second tries of a service over all VMs together.
type RetryLimits struct {
	// Share of the service's requests, and Extra beyond it, over any window.
	Share float64
	Burst float64
	// VMs tells how many VMs share Extra.
	VMs func() int
}

// retrySafety is the part of the bound that is used: VMs that are cut off, or not known
// yet, spend too.
const retrySafety = 0.7

// RetryBudgets keeps one budget for each service. It is safe for concurrent use.
type RetryBudgets struct {
	bounds  RetryLimits
	mu      sync.Mutex
	budgets map[string]*budget.Budget
}

// NewRetryBudgets returns full budgets.
func NewRetryBudgets(b RetryLimits) *RetryBudgets {
	return &RetryBudgets{bounds: b, budgets: map[string]*budget.Budget{}}
}

func (r *RetryBudgets) of(service string) *budget.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = budget.New(r.bounds.Share*retrySafety, int(r.bounds.Burst*retrySafety/float64(max(r.bounds.VMs(), 1))))
		r.budgets[service] = b
	}
	return b
}

// Earn counts a first try.
func (r *RetryBudgets) Earn(service string) { r.of(service).Earn() }

// left describes how many second tries are left.
var left = prometheus.NewDesc("eelgrass_gateway_retry_budget_left", "Second tries that the budget still allows at this VM.", []string{"service"}, nil)

// Describe implements prometheus.Collector.
func (r *RetryBudgets) Describe(d chan<- *prometheus.Desc) { d <- left }

// Collect implements prometheus.Collector.
func (r *RetryBudgets) Collect(m chan<- prometheus.Metric) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, b := range r.budgets {
		m <- prometheus.MustNewConstMetric(left, prometheus.GaugeValue, b.Left(), service)
	}
}

// Spend asks for a second try.
func (r *RetryBudgets) Spend(service string) bool { return r.of(service).Spend() }
