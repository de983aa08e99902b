package canary

import "math"

// metric is a property by which a request counts as bad.
type metric uint8

const (
	failures metric = iota
	slowness
	metricCount
)

func (m metric) String() string {
	if m == slowness {
		return "slow responses"
	}
	return "failures"
}

// tolerated is the odds ratio up to which a new release isn't worse than the old one. New servers may
// be somewhat slower at first and carry another load; at a share of 5%, an odds ratio of 1.6 is 7.8%.
func (m metric) tolerated() float64 {
	if m == slowness {
		return 1.6
	}
	return 1.2
}

// alternatives are the odds ratios of bad releases that are tested against the tolerated one. From 14%
// to 34% is a ratio of 3.2, from 1% to 21% one of 26.
func (m metric) alternatives() []float64 { return []float64{3.2, 6, 15, 40, 120} }

// minOldSamples is the number of the old release's latencies from which on slow ones can be told.
const minOldSamples = 8

// slowBucket returns the last bucket that isn't slow, given the old release's latencies, or -1 if there
// are too few. Slow is above the 95th percentile and above twice the median.
func slowBucket(old Histogram) int {
	if old.Count() < minOldSamples {
		return -1
	}
	return max(old.quantileBucket(0.95), old.quantileBucket(0.5)+bucketsPerDoubling)
}

// tally returns how many requests say something about the metric, and how many of these are bad. bucket
// is the last one that isn't slow.
func (m metric) tally(c Counts, bucket int) (total, bad int) {
	if m == slowness {
		slow := c.Waiting.above(bucket)
		return int(c.Latency.Count() + slow), int(c.Latency.above(bucket) + slow)
	}
	return int(c.Requests + c.Pending), int(c.Failures)
}

// tallyResults is tally without requests that are pending.
func (m metric) tallyResults(c Counts, bucket int) (total, bad int) {
	c.Pending = 0
	return m.tally(c, bucket)
}

// difference returns the table of the requests between two times.
func (m metric) difference(oldBefore, oldNow, newBefore, newNow Counts, bucket int) table {
	oldTotal, oldBad := m.tallyResults(oldNow, bucket)
	newTotal, newBad := m.tally(newNow, bucket)
	oldTotal0, oldBad0 := m.tallyResults(oldBefore, bucket)
	newTotal0, newBad0 := m.tally(newBefore, bucket)
	return table{newTotal - newTotal0, newBad - newBad0, oldTotal - oldTotal0, oldBad - oldBad0}
}

const (
	// firstStartWeight is the prior probability that a bad release is bad from the start. The others
	// are spread over later times, the i-th of which gets a share in proportion to
	// 1/((i+spread)(i+spread+1)).
	firstStartWeight = 0.5
	laterStartSpread = 8
	// A later start is added after minStartGap requests of the new release, or startGapShare of those
	// before if these are more, so that their number grows slowly in long rollouts.
	minStartGap   = 3
	startGapShare = 0.03
)

// stream is the sequential test of one metric, on a route or on all of them.
//
// The test statistic is a mixture of likelihood ratios over the alternatives and over the times from
// which on the release may have been bad. Its expectation under the null hypothesis is at most 1 at any
// time, so it ever reaches 1/a with a probability of at most a.
type stream struct {
	metric    metric
	reference bool        // update gets the ratios of both comparisons, one after the other
	logMix    []float64   // by alternative: logarithm of the weighted sum over starts
	logRun    []float64   // by alternative: CUSUM statistic
	runStart  []*snapshot // by alternative: evidence at the last time when logRun was 0
	starts    int
	total     int // requests of the new release
	startGap  int // of these, since the last start
	// logGood is the log-likelihood ratio of the old release's rate to one that is goodMargin higher.
	logGood float64
}

// newStream returns the test of a metric by comparison with the old release's requests of the same time.
func newStream(m metric) *stream { return newStreamOf(m, len(m.alternatives())) }

// newReferenceStream returns a test that also compares with the old release's rate until then.
func newReferenceStream(m metric) *stream {
	s := newStreamOf(m, 2*len(m.alternatives())) // both comparisons
	s.reference = true
	return s
}

func newStreamOf(m metric, n int) *stream {
	s := &stream{metric: m, logMix: make([]float64, n), logRun: make([]float64, n), runStart: make([]*snapshot, n)}
	for i := range s.logMix {
		s.logMix[i] = math.Inf(-1)
	}
	return s
}

// update adds requests with the given log-likelihood ratios. before is the evidence before them.
func (s *stream) update(logRatios []float64, newTotal int, before *snapshot) {
	weight := 0.0
	if s.starts == 0 {
		weight = firstStartWeight
	} else if s.startGap >= max(minStartGap, int(startGapShare*float64(s.total))) {
		i := float64(s.starts - 1 + laterStartSpread)
		weight = (1 - firstStartWeight) * laterStartSpread / (i * (i + 1))
	}
	if weight > 0 {
		s.starts++
		s.startGap = 0
	}
	s.total += newTotal
	s.startGap += newTotal
	for i, l := range logRatios {
		s.logMix[i] = logAdd(s.logMix[i], math.Log(weight)) + l
		if s.logRun[i] <= 0 {
			s.logRun[i], s.runStart[i] = 0, before
		}
		s.logRun[i] += l
	}
}

// logEvidence returns the logarithm of the test statistic.
func (s *stream) logEvidence() float64 { return logMean(s.logMix) }

// likelyStart returns the evidence at the time from which on the release is bad, if it is.
func (s *stream) likelyStart() *snapshot {
	best := 0
	for i, l := range s.logMix {
		if l > s.logMix[best] {
			best = i
		}
	}
	return s.runStart[best]
}
