// Package pace limits the requests to endpoints by what their responses show: Controller finds the rate that
// a brittle endpoint sustains for all VMs together, and Start limits the requests of one VM at an endpoint
// that has just started or recovered. It makes decisions only: it reads no clock and sends nothing.
package pace

import "time"

const (
	// step is the time between two increases of the rate, and between two reductions: the results
	// that arrive within a step of a reduction are of requests that were sent at the rate before.
	step = 250 * time.Millisecond
	// startFactor multiplies the rate in each step until the first negative result; growth is
	// added afterwards, as a share of the ceiling.
	startFactor = 2
	growth      = 0.1
	// reduction multiplies the rate on a negative result, restart the last rate that caused none
	// when a controller that was done gets one.
	reduction = 0.7
	restart   = 0.5
	// negativeShare is the share of slow and failed results in a step from which on they are
	// negative. A single one among many concerns its request and not the endpoint.
	negativeShare = 0.2
	// doneAfter is the time for which the rate must not have limited any VM.
	doneAfter = time.Second
	// carefulShare is the share of the last rejected rate up to which a careful controller grows as
	// usual. Above it, the growth per step is carefulGrowth of the ceiling for each step since the last
	// reduction: a rejection may have had a passing cause, such as requests of before.
	carefulShare  = 0.8
	carefulGrowth = 0.00015
)

// Feedback counts results of requests to an endpoint.
type Feedback struct {
	Answered uint32 // in time
	Rejected uint32 // for lack of capacity
	Slow     uint32 // answered late; only earlier builds count these
	Failed   uint32
}

// Add adds the counts of another feedback.
func (f *Feedback) Add(o Feedback) {
	f.Answered += o.Answered
	f.Rejected += o.Rejected
	f.Slow += o.Slow
	f.Failed += o.Failed
}

// negative reports whether the results show that the rate is too high.
func (f Feedback) negative() bool {
	bad := f.Slow + f.Failed
	return f.Rejected > 0 || bad > 0 && float64(bad) >= negativeShare*float64(f.Answered+bad)
}

// Controller determines the rate of requests to one incarnation of an endpoint. Its zero value is not
// usable.
type Controller struct {
	rate, floor, ceiling float64
	starting             bool // no negative result yet
	careful              bool
	rejectedAt           float64 // rate at the last rejection; 0 for none
	good                 float64 // last rate with sound results only
	pending              Feedback
	stepAt, reducedAt    time.Time
	limitedAt            time.Time // last time at which the rate limited a VM, below the ceiling
	now                  time.Time // of the last call
	answered             bool      // since the start or the last negative result
	done                 bool      // limited no VM for doneAfter
}

// New returns a controller that starts at a rate and keeps between floor and ceiling.
func New(start, floor, ceiling float64) *Controller {
	c := &Controller{floor: floor, ceiling: max(ceiling, floor), starting: true}
	c.rate = c.clamp(start)
	return c
}

// NewCareful returns a controller that approaches a rate at which the endpoint has rejected requests
// slowly.
func NewCareful(start, floor, ceiling float64) *Controller {
	c := New(start, floor, ceiling)
	c.careful = true
	return c
}

func (c *Controller) clamp(rate float64) float64 { return min(max(rate, c.floor), c.ceiling) }

// SetCeiling changes the ceiling.
func (c *Controller) SetCeiling(ceiling float64) {
	c.ceiling = max(ceiling, c.floor)
	c.rate = c.clamp(c.rate)
}

// Observe records results.
func (c *Controller) Observe(now time.Time, f Feedback) {
	c.advance(now)
	c.pending.Add(f)
	if !c.pending.negative() {
		c.answered = c.answered || f.Answered > 0
		return
	}
	if now.Sub(c.reducedAt) < step && !c.reducedAt.IsZero() {
		return
	}
	if f.Rejected > 0 {
		c.rejectedAt = c.rate
	}
	if c.done {
		c.rate = c.clamp(restart * max(c.good, c.floor))
	} else {
		c.rate = c.clamp(reduction * c.rate)
	}
	c.reducedAt, c.stepAt, c.limitedAt = now, now, now
	c.pending = Feedback{}
	c.starting, c.answered, c.done = false, false, false
}

// Limited records that a VM has got less than it asked for.
func (c *Controller) Limited(now time.Time) {
	c.advance(now)
	if c.rate < c.ceiling {
		c.limitedAt = now
	}
}

// Rate returns the rate in requests per second.
func (c *Controller) Rate(now time.Time) float64 {
	c.advance(now)
	return c.rate
}

// advance applies the step that has ended by now, if any. Steps without results change nothing, so
// however long nothing was sent, the rate grows once.
func (c *Controller) advance(now time.Time) {
	if c.now.IsZero() {
		c.stepAt, c.limitedAt = now, now
	}
	c.now = now
	c.done = c.done || c.answered && now.Sub(c.limitedAt) >= doneAfter
	if now.Sub(c.stepAt) < step {
		return
	}
	results := c.pending
	c.pending, c.stepAt = Feedback{}, now
	if results.Answered == 0 || results.negative() {
		return
	}
	c.good = c.rate
	switch {
	case c.starting:
		c.rate = c.clamp(c.rate * startFactor)
	case c.careful && c.rejectedAt > 0 && c.rate >= carefulShare*c.rejectedAt:
		c.rate = c.clamp(c.rate + carefulGrowth*c.ceiling*float64(now.Sub(c.reducedAt)/step))
	default:
		c.rate = c.clamp(c.rate + growth*c.ceiling)
	}
}
