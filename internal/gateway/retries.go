package gateway

import (
	"sync"

	"eelgrasshollow/internal/budget"

	"github.com/prometheus/client_golang/prometheus"
)

// RetryLimits limit the retries of a service, summed over all VMs.
type RetryLimits struct {
	// Share is the ratio of retries to the service's requests that is allowed over any
	// window; Burst is the number of retries allowed beyond that.
	Share float64
	Burst float64
	// VMs returns the number of VMs that share Burst, or false while this VM may not know all
	// of them. It then retries only what its own requests have earned.
	VMs func() (int, bool)
}

// retrySafetyFactor is the share of the limits that the known VMs use. The rest covers VMs that
// spend retries but are not counted, because they are partitioned off or not yet known.
const retrySafetyFactor = 0.7

// RetryBudgets holds one retry budget per service. It is safe for concurrent use.
type RetryBudgets struct {
	limits  RetryLimits
	mu      sync.Mutex
	reserve int // of each budget
	budgets map[string]*budget.Budget
}

// NewRetryBudgets returns budgets that start full, if the number of VMs is known by then.
func NewRetryBudgets(limits RetryLimits) *RetryBudgets {
	return &RetryBudgets{limits: limits, budgets: map[string]*budget.Budget{}}
}

// earnedReserve is the reserve while the number of VMs is not known: enough for one retry.
const earnedReserve = 1

func (r *RetryBudgets) forService(service string) *budget.Budget {
	vms, known := r.limits.VMs()
	reserve := earnedReserve
	if known {
		reserve = int(r.limits.Burst * retrySafetyFactor / float64(max(vms, 1)))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reserve != r.reserve {
		r.reserve = reserve
		for _, b := range r.budgets {
			b.SetReserve(reserve)
		}
	}
	b := r.budgets[service]
	if b == nil {
		initial := reserve
		if !known {
			initial = 0
		}
		b = budget.New(r.limits.Share*retrySafetyFactor, initial)
		b.SetReserve(reserve)
		r.budgets[service] = b
	}
	return b
}

// Earn adds to the service's budget for one request.
func (r *RetryBudgets) Earn(service string) { r.forService(service).Deposit() }

// budgetLeftDesc describes the gauge of the retries left, by service.
var budgetLeftDesc = prometheus.NewDesc("eelgrass_gateway_retry_budget_left", "Second tries that the budget still allows at this VM.", []string{"service"}, nil)

// Describe implements prometheus.Collector.
func (r *RetryBudgets) Describe(d chan<- *prometheus.Desc) { d <- budgetLeftDesc }

// Collect implements prometheus.Collector.
func (r *RetryBudgets) Collect(m chan<- prometheus.Metric) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, b := range r.budgets {
		m <- prometheus.MustNewConstMetric(budgetLeftDesc, prometheus.GaugeValue, b.Remaining(), service)
	}
}

// Spend takes one retry from the service's budget, or returns false if none is left.
func (r *RetryBudgets) Spend(service string) bool { return r.forService(service).TryWithdraw() }
