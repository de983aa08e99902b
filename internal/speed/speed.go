// Package speed estimates how long the endpoints of a service take relative to each other, from the times of
// their responses. It makes decisions only: it reads no clock and sends nothing.
//
// A Service holds what a mean endpoint of the service takes, as this VM sees it, and an Estimate what one
// incarnation of an endpoint takes relative to that. All factors are times relative to the mean of the service,
// from MinFactor to MaxFactor: an endpoint with factor 2 takes twice as long.
//
// In a large fleet one VM sends a single endpoint only a few requests in half a minute. The VMs therefore send
// each other the mean of the samples since their last message (see Estimate.TakeNews and Packed).
package speed

import (
	"math"
	"slices"
	"time"
)

// Bounds of a factor.
const (
	MinFactor = 0.2
	MaxFactor = 5
)

const (
	// longWindow is the time constant of the mean that gives the factors, and shortWindow that of the one
	// that shows slow periods, which begin and end within a second.
	longWindow  = 20 * time.Second
	shortWindow = 400 * time.Millisecond
	// priorSamples is the weight of the service's mean in a factor, in samples. Single samples of equal
	// endpoints differ by about a half.
	priorSamples = 4
	// stepPrior is the weight of the factor of both phases, which all VMs contribute to, in the factor of
	// prefill or decoding alone, which only this VM's samples show.
	stepPrior = 16
	// shortPrior is the weight of no deviation in the short mean: a sample alone shows a slow period only if
	// it took three times as long.
	shortPrior = 2
	// learningSamples is the number of samples before the mean of a service counts.
	learningSamples = 10
	// minUnevenSamples is the mean number of samples of an endpoint before a service can count as uneven.
	minUnevenSamples = 8
	// unevenTime is the time for which the spread must last before endpoints count as different.
	unevenTime = 5 * time.Second
	// maxSamples bounds the weight of the samples of an endpoint, so that wrong ones do not count for long.
	maxSamples = 200
	// longestSlowPeriod is the time after which an endpoint in a slow period counts as a slow endpoint.
	longestSlowPeriod = 3 * time.Second
	// waitShare is the weight of a sample above the mean, in samples below it: waits behind other requests
	// lengthen a time, and nothing but speed shortens it. With 1, the factors of busy engines were two thirds
	// of the actual ones, as fast engines have more requests.
	waitShare = 0.25
	// varianceRate is the weight of a sample in the variance of the service's samples.
	varianceRate = 0.002
	// minOwnShare is the least weight of a time to a first token for which other work was ahead.
	minOwnShare = 0.1
	// usualSteps is the number of decoding steps that make a sample of weight 1.
	usualSteps = 10
)

// Thresholds of logarithms of factors.
var (
	// evenSpread and unevenSpread are the spreads (standard deviations) of the factors of a service below
	// which its endpoints count as equal, and from which on they count as different. In simulated fleets of
	// equal engines the spread is up to 0.13, and up to 0.31 for some seconds while caches fill or a load
	// beyond the capacity begins; with speeds of 0.6, 1 and 1.6 it is 0.31 or more.
	evenSpread   = math.Log(1.2)
	unevenSpread = math.Log(1.28)
	// slowCertainty is the number of standard deviations by which the short mean must differ for a slow period
	// to begin. With less, most slow periods seen at busy engines were waits.
	slowCertainty = 3.0
	// slowBegin and slowEnd are the deviations from the other endpoints at which a slow period begins and
	// ends.
	slowBegin = math.Log(1.5)
	slowEnd   = math.Log(1.25)
	logMax    = math.Log(MaxFactor)
)

// Sample is what a response shows of its endpoint.
type Sample struct {
	OwnTokens   int           // uncached prompt tokens of the request
	AheadTokens int           // those of other requests that were pending when it was sent
	FirstToken  time.Duration // time to the first token, or to the end of a response that is no stream
	Steps       int           // decoding steps after the first token; 0 if the response is no stream
	Decoding    time.Duration // time of these steps
	Requests    int           // known to be at the endpoint when the request was sent, itself included
	Slots       int           // requests that the endpoint runs at the same time
}

// mean is a mean of logarithms in which older samples weigh less.
type mean struct {
	weight, sum float64
	at          time.Time
}

func (m *mean) decay(now time.Time, window time.Duration) {
	if d := now.Sub(m.at); d > 0 {
		if !m.at.IsZero() {
			k := decayed(d, window)
			m.weight, m.sum = m.weight*k, m.sum*k
		}
		m.at = now
	}
}

// decayed returns about exp(-d/window), at a fifth of the processor time. The error is below 0.03.
func decayed(d, window time.Duration) float64 {
	x := float64(d) / float64(window)
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

func (m *mean) add(now time.Time, window time.Duration, weight, value float64) {
	m.decay(now, window)
	m.weight += weight
	m.sum += weight * value
	if m.weight > maxSamples {
		m.sum *= maxSamples / m.weight
		m.weight = maxSamples
	}
}

// value returns the mean, or 0 without samples.
func (m *mean) value() float64 {
	if m.weight <= 0 {
		return 0
	}
	return m.sum / m.weight
}

// The phases of a response.
const (
	prefill = iota
	decode
	phases
)

// Estimate is what is known of one incarnation of an endpoint. The zero value knows nothing. An incarnation that
// ends takes its Estimate with it.
type Estimate struct {
	long     mean         // all samples, those of other VMs included
	own      [phases]mean // this VM's samples by phase
	short    mean         // deviations from long
	news     mean         // this VM's samples since the last TakeNews; it does not decay
	slowAt   time.Time    // begin of the slow period, or zero
	sampleAt time.Time    // of the last sample
	factors  Factors
}

// Factors is the result for one endpoint. All fields are 0 before the first Service.Update.
type Factors struct {
	Prefill, Decode float64 // without the slow period
	Slow            float64 // additional factor of a slow period; 1 outside
	Samples         float64 // number of samples, older ones counted less
	Age             time.Duration
}

// InSlowPeriod reports whether the endpoint takes longer than usual for a short time.
func (f Factors) InSlowPeriod() bool { return f.Slow > 1 }

// Factors returns the factors of the last Service.Update.
func (e *Estimate) Factors() Factors { return e.factors }

// add adds a logarithm of a factor, weighted, of a sample of an age.
func (s *Service) add(now time.Time, e *Estimate, age time.Duration, weight, value float64) {
	e.sampleAt = now.Add(-age)
	deviation := 0.0
	if e.long.weight >= 1 {
		deviation = value - e.long.value()
		s.variance += varianceRate * (weight*deviation*deviation - s.variance)
	}
	e.short.add(now, shortWindow, weight*decayed(age, shortWindow), deviation)
	if deviation > 0 {
		weight *= waitShare
	}
	if e.slowAt.IsZero() || now.Sub(e.slowAt) > longestSlowPeriod {
		e.long.add(now, longWindow, weight, value)
	}
}

// Service is what a mean endpoint of a service takes, and whether its endpoints differ.
type Service struct {
	first, steps, whole line
	uneven              bool
	spread              float64
	unevenSince         time.Time // since when the spread is unevenSpread or more, or zero
	variance            float64   // of the deviations of single samples from their endpoint's mean
	deviations          []float64 // scratch
}

// Uneven reports whether the endpoints differ. Their factors are meaningless otherwise.
func (s *Service) Uneven() bool { return s.uneven }

// Spread returns the standard deviation of the logarithms of the endpoints' factors.
func (s *Service) Spread() float64 { return s.spread }

// Observe records a response of an endpoint to this VM. It ignores times that include a wait for a slot.
func (s *Service) Observe(now time.Time, e *Estimate, sample Sample) {
	if sample.FirstToken <= 0 || sample.Requests > sample.Slots {
		return
	}
	work := float64(sample.OwnTokens + sample.AheadTokens)
	share := 1.0
	if sample.AheadTokens > 0 {
		share = max(float64(sample.OwnTokens)/work, minOwnShare)
	}
	if sample.Steps == 0 {
		s.observe(now, e, &s.whole, prefill, work, sample.FirstToken, share)
		return
	}
	s.observe(now, e, &s.first, prefill, work, sample.FirstToken, share)
	if sample.Decoding > 0 {
		s.observe(now, e, &s.steps, decode, float64(sample.Requests), sample.Decoding/time.Duration(sample.Steps), min(1, float64(sample.Steps)/usualSteps))
	}
}

func (s *Service) observe(now time.Time, e *Estimate, l *line, phase int, x float64, took time.Duration, weight float64) {
	usual := l.at(x)
	l.add(x, float64(took))
	if l.samples <= learningSamples || usual <= 0 {
		return
	}
	value := clampLog(math.Log(float64(took) / usual))
	e.own[phase].add(now, longWindow, weight, value)
	e.news.weight += weight
	e.news.sum += weight * value
	s.add(now, e, 0, weight, value)
}

// Receive records samples of another VM, which are of an age.
func (s *Service) Receive(now time.Time, e *Estimate, age time.Duration, p Packed) {
	n, value := p.unpack()
	s.add(now, e, age, n, value)
}

// Update sets the factors of all endpoints of the service, and whether they differ.
func (s *Service) Update(now time.Time, endpoints []*Estimate) {
	center, centers, samples := s.centers(now, endpoints)
	variance, known := 0.0, 0
	for _, e := range endpoints {
		confidence := e.long.weight / (e.long.weight + priorSamples)
		both := confidence * (e.long.value() - center)
		if confidence >= 0.5 {
			variance += both * both
			known++
		}
		phase := func(i int) float64 {
			own := &e.own[i]
			return math.Exp(clampLog((stepPrior*both + own.weight*(own.value()-centers[i])) / (stepPrior + own.weight)))
		}
		e.factors = Factors{Prefill: phase(prefill), Decode: phase(decode), Slow: 1, Samples: e.long.weight, Age: now.Sub(e.sampleAt)}
	}
	spread := math.Sqrt(variance / float64(max(known, 1)))
	s.spread = spread
	if known < 2 || samples < minUnevenSamples*float64(len(endpoints)) || spread < unevenSpread {
		s.unevenSince = time.Time{}
	} else if s.unevenSince.IsZero() {
		s.unevenSince = now
	}
	if s.uneven {
		s.uneven = known >= 2 && spread >= evenSpread
	} else {
		s.uneven = !s.unevenSince.IsZero() && now.Sub(s.unevenSince) >= unevenTime
	}
	s.updateSlow(now, endpoints)
}

// centers returns the means of the service: that of both phases, and those of this VM's samples by phase.
func (s *Service) centers(now time.Time, endpoints []*Estimate) (both float64, byPhase [phases]float64, samples float64) {
	weight, weights := 0.0, [phases]float64{}
	for _, e := range endpoints {
		e.long.decay(now, longWindow)
		samples += e.long.weight
		confidence := e.long.weight / (e.long.weight + priorSamples)
		both += confidence * e.long.value()
		weight += confidence
		for i := range e.own {
			e.own[i].decay(now, longWindow)
			confidence = e.own[i].weight / (e.own[i].weight + priorSamples)
			byPhase[i] += confidence * e.own[i].value()
			weights[i] += confidence
		}
	}
	for i := range byPhase {
		byPhase[i] /= max(weights[i], 1e-9)
	}
	return both / max(weight, 1e-9), byPhase, samples
}

// updateSlow determines which endpoints are in a slow period: those that deviate from their own mean by more
// than the median endpoint. If all are slow, none counts as slow.
func (s *Service) updateSlow(now time.Time, endpoints []*Estimate) {
	s.deviations = s.deviations[:0]
	for _, e := range endpoints {
		e.short.decay(now, shortWindow)
		if e.short.weight >= 0.5 {
			s.deviations = append(s.deviations, e.short.value())
		}
	}
	median := 0.0
	if n := len(s.deviations); n > 2 {
		slices.Sort(s.deviations)
		median = s.deviations[n/2]
	}
	for _, e := range endpoints {
		weight := e.short.weight
		deviation := weight / (weight + shortPrior) * (e.short.value() - median)
		certain := (e.short.value()-median)*math.Sqrt(weight) >= slowCertainty*math.Sqrt(s.variance)
		switch {
		case e.slowAt.IsZero() && deviation >= slowBegin && certain:
			e.slowAt = now
		case !e.slowAt.IsZero() && deviation < slowEnd:
			e.slowAt = time.Time{}
		}
		if !e.slowAt.IsZero() && now.Sub(e.slowAt) <= longestSlowPeriod {
			e.factors.Slow = math.Exp(min(max(e.short.value()-median, 0), logMax))
		}
	}
}

func clampLog(x float64) float64 { return min(max(x, -logMax), logMax) }
