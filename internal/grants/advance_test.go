package grants

import (
	"bytes"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// excessWithin returns the largest excess over the limit in any window of at most length.
func (s *sim) excessWithin(account string, limit Limit, length time.Duration) float64 {
	excess := math.Inf(-1)
	for i, first := range s.admitted {
		sum := int64(0)
		for _, a := range s.admitted[i:] {
			window := a.at - first.at
			if window > length {
				break
			}
			if a.account == account {
				sum += a.tokens
			}
			excess = max(excess, float64(sum-limit.Burst)-float64(limit.Rate)*window.Seconds())
		}
	}
	return excess
}

// TestAdvancesStayWithinTolerance changes the owner again and again under a load above the
// rate, with lost messages, drifting clocks and paused holders. In every window of the
// tolerance's length the advances must stay within their share of it.
func TestAdvancesStayWithinTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := defaultSim()
		opt.holders = rapid.IntRange(1, 3).Draw(t, "holders")
		opt.lease = time.Duration(rapid.IntRange(500, 1500).Draw(t, "lease")) * time.Millisecond
		opt.interval, opt.horizon = opt.lease/5, opt.lease/2
		opt.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		opt.dup = opt.loss
		opt.drift = float64(DriftPPM) / ppm
		opt.seed = rapid.Uint64().Draw(t, "seed")
		opt.tolerance = Tolerance{Overshoot: 0.1, Slack: rapid.SampledFrom([]float64{0, 500, 5000}).Draw(t, "slack"),
			Window: time.Duration(rapid.IntRange(1, 8).Draw(t, "window")) * time.Second}
		limit := Limit{Rate: 1000, Burst: rapid.SampledFrom([]int64{600, 3000}).Draw(t, "burst")}
		s := newSim(opt, map[string]Limit{"a": limit})
		const end = 8 * time.Second
		s.injectFaults(end)
		changes := rapid.IntRange(0, 12).Draw(t, "changes")
		for range changes {
			s.at(time.Duration(s.rng.Int64N(int64(end))), func() { s.elect(time.Duration(s.rng.Int64N(int64(300 * time.Millisecond)))) })
		}
		for node := range opt.holders {
			s.alternatingLoad(node, "a", end, limit)
		}
		s.runUntil(end + 2*time.Second)
		allowed := advanceShare * opt.tolerance.tokens(limit)
		excess := s.excessWithin("a", limit, opt.tolerance.Window)
		assert.Assert(t, excess <= allowed, "%v tokens above the grant, %v allowed", excess, allowed)
	})
}

// refusedAfterOwnerChange returns how many requests of an account at half of its rate are
// refused in the lease after a change of the owner. The requests take up to a third of the
// burst, as long prompts do.
func refusedAfterOwnerChange(seed uint64, tolerance Tolerance, change bool) (refused, arrived int) {
	opt := defaultSim()
	opt.seed, opt.lease, opt.ownerWait, opt.tolerance = seed, 3*time.Second, 300*time.Millisecond, tolerance
	limit := Limit{Rate: 36_000, Burst: 37_000}
	s := newSim(opt, map[string]Limit{"a": limit})
	requests := rand.New(rand.NewPCG(seed, 3))
	const changeAt, gap = 5 * time.Second, 700 * time.Millisecond
	for at := time.Second; at < 10*time.Second; at += time.Duration(requests.ExpFloat64() * float64(360*time.Millisecond)) {
		node, tokens := requests.IntN(len(s.nodes)), 1000+requests.Int64N(11_000)
		s.at(at, func() { s.request(node, "a", tokens, tokens, 0) })
	}
	if change {
		s.at(changeAt, func() { s.elect(gap) })
	}
	s.runUntil(12 * time.Second)
	for _, a := range s.arrivals {
		if a.at < changeAt+gap+20*time.Millisecond || a.at > changeAt+gap+opt.lease {
			continue
		}
		arrived++
		if a.refused {
			refused++
		}
	}
	return refused, arrived
}

// TestOwnerChangeRefusesNothingInsideRate compares the refusals after a change of the owner
// with those of the same requests without one.
func TestOwnerChangeRefusesNothingInsideRate(t *testing.T) {
	tolerance := Tolerance{Overshoot: 0.1, Slack: 140_000, Window: 8 * time.Second}
	with, without, all := 0, 0, 0
	for seed := range uint64(40) {
		refused, arrived := refusedAfterOwnerChange(seed, tolerance, true)
		with, all = with+refused, all+arrived
		refused, _ = refusedAfterOwnerChange(seed, tolerance, false)
		without += refused
	}
	assert.Assert(t, all > 200)
	assert.Assert(t, with <= without, "%d of %d requests refused after a change of the owner, %d without", with, all, without)
}

// TestAdvanceIsDurable restores a machine from a snapshot: advances of a former owner count
// until the service time has passed the horizon, however often replicas restart.
func TestAdvanceIsDurable(t *testing.T) {
	m := NewMachine()
	apply := func(c command) {
		data, err := c.encode()
		assert.NilError(t, err)
		assert.DeepEqual(t, m.Apply(0, data), applied)
	}
	apply(command{Term: 1, Advances: []Advance{{Account: "a", Tokens: 70, At: 0}}})
	apply(command{Term: 2, Advances: []Advance{{Account: "a", Tokens: 20, At: 4 * time.Second}, {Account: "b", Tokens: 5}}, Served: 4 * time.Second})
	var image bytes.Buffer
	assert.NilError(t, m.Snapshot(&image))
	m = NewMachine()
	assert.NilError(t, m.Restore(&image))
	const horizon = 10 * time.Second
	tokens, some := m.Advanced("a", horizon)
	assert.Equal(t, tokens, int64(90))
	assert.Assert(t, some)
	apply(command{Term: 2, Served: 11 * time.Second})
	tokens, _ = m.Advanced("a", horizon)
	assert.Equal(t, tokens, int64(20))
	apply(command{Term: 2, Served: 3 * time.Second}) // a late command of a slower clock
	assert.Equal(t, m.Served(), 11*time.Second)
	apply(command{Term: 3, Served: 15 * time.Second})
	_, some = m.Advanced("", horizon)
	assert.Assert(t, !some)
}

// Without a tolerance a new owner waits for the former owner's slices, as before.
func TestNoAdvanceWithoutTolerance(t *testing.T) {
	opt := OwnerOptions{Lease: time.Second}
	assert.Equal(t, opt.allowedAdvance(Limit{Rate: 1000, Burst: 1000}, DurableBound{Cap: 500}, 0), int64(0))
}
