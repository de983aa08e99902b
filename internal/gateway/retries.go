package gateway

import (
	"sync"
	"time"

	"eelgrasshollow/internal/budget"
	"eelgrasshollow/internal/clock"

	"github.com/prometheus/client_golang/prometheus"
)

// RetryLimits limit the retries of a service, summed over all VMs.
type RetryLimits struct {
	// Share is the ratio of retries to the service's requests that is allowed over any
	// window; Burst is the number of retries allowed beyond that.
	Share float64
	Burst float64
	// Window is the length of the windows. What requests earn is kept for that long; if it is 0, only
	// up to this VM's part of Burst.
	Window time.Duration
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
	reserve float64 // of each budget
	budgets map[string]retryBudget
}

// retryBudget is the retry budget of a service at this VM.
type retryBudget interface {
	// SetReserve changes the number of retries that are allowed without requests that earn them.
	SetReserve(retries float64)
	Deposit(now time.Time)
	TryWithdraw(now time.Time) bool
	Remaining(now time.Time) float64
}

// retryBucket is a budget.Budget, which keeps whole retries only and needs no time.
type retryBucket struct{ *budget.Budget }

// SetReserve implements retryBudget.
func (b retryBucket) SetReserve(retries float64) { b.Budget.SetReserve(int(retries)) }

// Deposit implements retryBudget.
func (b retryBucket) Deposit(time.Time) { b.Budget.Deposit() }

// TryWithdraw implements retryBudget.
func (b retryBucket) TryWithdraw(time.Time) bool { return b.Budget.TryWithdraw() }

// Remaining implements retryBudget.
func (b retryBucket) Remaining(time.Time) float64 { return b.Budget.Remaining() }

// NewRetryBudgets returns budgets that start full, if the number of VMs is known by then.
func NewRetryBudgets(limits RetryLimits) *RetryBudgets {
	return &RetryBudgets{limits: limits, budgets: map[string]retryBudget{}}
}

// earnedReserve is the reserve of a bucket while the number of VMs is not known: enough for one retry.
const earnedReserve = 1

func (r *RetryBudgets) forService(service string) retryBudget {
	vms, known := r.limits.VMs()
	reserve := 0.0
	switch {
	case known:
		reserve = r.limits.Burst * retrySafetyFactor / float64(max(vms, 1))
	case r.limits.Window == 0:
		reserve = earnedReserve
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
		b = r.newBudget(initial)
		b.SetReserve(reserve)
		r.budgets[service] = b
	}
	return b
}

func (r *RetryBudgets) newBudget(initial float64) retryBudget {
	share := r.limits.Share * retrySafetyFactor
	if r.limits.Window > 0 {
		return budget.NewWindow(share, initial, r.limits.Window)
	}
	return retryBucket{budget.New(share, int(initial))}
}

// Earn adds to the service's budget for one request.
func (r *RetryBudgets) Earn(service string) { r.forService(service).Deposit(clock.Boot()) }

// budgetLeftDesc describes the gauge of the retries left, by service.
var budgetLeftDesc = prometheus.NewDesc("eelgrass_gateway_retry_budget_left", "Second tries that the budget still allows at this VM.", []string{"service"}, nil)

// Describe implements prometheus.Collector.
func (r *RetryBudgets) Describe(d chan<- *prometheus.Desc) { d <- budgetLeftDesc }

// Collect implements prometheus.Collector.
func (r *RetryBudgets) Collect(m chan<- prometheus.Metric) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	for service, b := range r.budgets {
		m <- prometheus.MustNewConstMetric(budgetLeftDesc, prometheus.GaugeValue, b.Remaining(now), service)
	}
}

// Spend takes one retry from the service's budget, or returns false if none is left.
func (r *RetryBudgets) Spend(service string) bool {
	return r.forService(service).TryWithdraw(clock.Boot())
}
