package policybench

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"eelgrasshollow/internal/admission"
	"eelgrasshollow/internal/routing"
)

// Uneven describes engines of different speeds whose demand moves between the failure domains.
type Uneven struct {
	Speeds []float64 // relative speeds, of the engines in turn
	// SlowPeriods gives the engines short slow periods.
	SlowPeriods bool
	// NewWeights empties the caches every weightsInterval, so that shared parts are computed again.
	NewWeights bool
}

// UnevenKinds returns the kinds of the reference deployment with uneven engines.
func UnevenKinds() []Kind {
	return []Kind{
		{Name: "long", Rate: 57, Priority: 0, Target: 800 * time.Millisecond, Deadline: 6 * time.Second, Worth: 18, WorthLate: 2.2},
		{Name: "short", Rate: 546, Priority: 2, Target: time.Second, Deadline: 3 * time.Second, Worth: 0.77, WorthLate: 0.34},
	}
}

const (
	unevenVMs     = 81
	unevenDomains = 4
	// unevenDigestInterval is the time that a digest takes over relays at most. With 81 small VMs, digests go
	// over relays.
	unevenDigestInterval = 500 * time.Millisecond

	waveTime      = 13 * time.Second // of the demand in a failure domain
	waveHeight    = 0.5
	highestDemand = 1 + waveHeight

	slowShare  = 1.0 / 7 // of the engines that are in a slow period
	slowFactor = 2.5
	slowTime   = 600 * time.Millisecond
)

// UnevenLoads are the loads of the table of uneven engines.
var UnevenLoads = []float64{1, 1.5}

// DefaultUnevenConfig returns the configuration of the table of uneven engines: speeds 1 : 2 : 3 with a mean of 1.
func DefaultUnevenConfig() OverloadConfig {
	return OverloadConfig{
		Duration: 40 * time.Second, WarmUp: 14 * time.Second, DigestInterval: unevenDigestInterval, Load: 1,
		Uneven: &Uneven{Speeds: []float64{0.5, 1, 1.5}, SlowPeriods: true},
	}
}

// UnevenPolicies returns the policies that are compared: the present one, the one that learns the speeds, and the
// one that knows them.
func UnevenPolicies() []OverloadPolicy {
	present := func(c *routing.Core) { c.SetAdmission(admission.DefaultPolicy()) }
	weigh := func(c *routing.Core) {
		present(c)
		c.WeighSpeeds(true)
	}
	return []OverloadPolicy{
		{Name: "present", Configure: present},
		{Name: "learned speeds", Configure: weigh},
		{Name: "actual speeds", Configure: weigh, Speeds: actualSpeeds},
	}
}

// actualSpeeds returns the time factors of the engines relative to the mean of their logarithms.
func actualSpeeds(r *overloadRun) func(endpoint string) (usual, slow float64) {
	sum := 0.0
	for i := range r.fleet.engines {
		sum += math.Log(r.config.Uneven.speed(i))
	}
	mean := math.Exp(sum / float64(len(r.fleet.engines)))
	factors := map[string]float64{}
	for i, e := range r.fleet.engines {
		factors[e.name] = min(max(mean/r.config.Uneven.speed(i), 0.2), 5)
	}
	return func(endpoint string) (usual, slow float64) {
		return factors[endpoint], r.slowness[endpoint]
	}
}

func (u *Uneven) speed(engine int) float64 { return u.Speeds[engine%len(u.Speeds)] }

// setSpeeds gives the engines of an uneven run their speeds and schedules their slow periods.
func (r *overloadRun) setSpeeds() {
	u := r.config.Uneven
	if u == nil {
		return
	}
	r.slowness = map[string]float64{}
	for i, e := range r.fleet.engines {
		r.slowness[e.name] = 1
		e.timeFactor = func() float64 { return r.slowness[e.name] / u.speed(i) }
		if u.SlowPeriods {
			r.scheduleSlowPeriod(e, rand.New(rand.NewPCG(r.config.Seed, uint64(1000+i))))
		}
	}
}

// scheduleSlowPeriod schedules the next slow period of an engine, and with its end the one after it.
func (r *overloadRun) scheduleSlowPeriod(e *engine, rng *rand.Rand) {
	usual := float64(slowTime) * (1/slowShare - 1)
	r.loop.after(time.Duration(rng.ExpFloat64()*usual), func() {
		r.slowness[e.name] = slowFactor
		r.loop.after(slowTime, func() {
			r.slowness[e.name] = 1
			r.scheduleSlowPeriod(e, rng)
		})
	})
}

// domainOf returns the failure domain of an arrival, and false if the demand there is too low for it.
func (r *overloadRun) domainOf(atSeconds float64) (domain int, accepted bool) {
	if r.config.Uneven == nil {
		return 0, true
	}
	domain = r.rng.IntN(unevenDomains)
	phase := atSeconds/waveTime.Seconds() + float64(domain)/unevenDomains
	return domain, r.rng.Float64()*highestDemand < 1+waveHeight*math.Sin(2*math.Pi*phase)
}

// vmFor returns the VM that gets an attempt of a client.
func (r *overloadRun) vmFor(q *clientRequest) int {
	if r.config.Uneven == nil || len(r.cores) < unevenDomains {
		return r.rng.IntN(len(r.cores))
	}
	return r.rng.IntN(len(r.cores)/unevenDomains)*unevenDomains + q.domain
}

// WriteUnevenTable writes the rows as a Markdown table.
func WriteUnevenTable(w io.Writer, rows []OverloadRow) {
	_, _ = fmt.Fprintln(w, "| policy | load | worth | long: in time, late, refused, failed | short: in time, late, refused, failed | p50 TTFT ms long, short | p99 TTFT ms long, short | repeated | busy |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "| %s | %.1f | %.3f |", r.Policy, r.Load, r.Worth)
		for kind := range r.InTime {
			_, _ = fmt.Fprintf(w, " %.3f, %.3f, %.3f, %.3f |", r.InTime[kind], r.Late[kind], r.Refused[kind], r.Failed[kind])
		}
		_, _ = fmt.Fprintf(w, " %d, %d | %d, %d | %.3f | %.2f |\n", milliseconds(r.FirstToken[longKind]), milliseconds(r.FirstToken[shortKind]),
			milliseconds(r.SlowestFirst[longKind]), milliseconds(r.SlowestFirst[shortKind]), r.Repeated, r.Busy)
	}
}
