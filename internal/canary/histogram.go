package canary

import "math"

const (
	// histogramMin is the upper bound of the first bucket. Latencies are relative to what the prompt
	// needs, so a healthy response has about 1.
	histogramMin = 0.25
	// bucketsPerDoubling sets the width of a bucket: a factor of 1.26.
	bucketsPerDoubling = 3
	// HistogramBuckets is the number of buckets; the last one is open and begins at 41.
	HistogramBuckets = 24
)

// Histogram counts values in logarithmic buckets. The zero value is empty.
type Histogram [HistogramBuckets]uint32

// bucketOf returns the bucket of a value.
func bucketOf(value float64) int {
	if !(value > histogramMin) { // also NaN
		return 0
	}
	// Capped before the conversion, which is undefined for infinity.
	return int(min(math.Ceil(bucketsPerDoubling*math.Log2(value/histogramMin)), HistogramBuckets-1))
}

// upperBound returns the greatest value of a bucket.
func upperBound(bucket int) float64 {
	return histogramMin * math.Exp2(float64(bucket)/bucketsPerDoubling)
}

// Add counts a value. Values at or below 0 count as the smallest, as does NaN.
func (h *Histogram) Add(value float64) { h[bucketOf(value)]++ }

// Merge adds the counts of another histogram.
func (h *Histogram) Merge(other Histogram) {
	for i, n := range other {
		h[i] += n
	}
}

// Count returns the number of values.
func (h *Histogram) Count() uint64 { return h.above(-1) }

// above returns the number of values in the buckets after the given one.
func (h *Histogram) above(bucket int) uint64 {
	sum := uint64(0)
	for _, n := range h[min(bucket+1, HistogramBuckets):] {
		sum += uint64(n)
	}
	return sum
}

// quantileBucket returns the bucket that contains the quantile q, or -1 if the histogram is empty.
func (h *Histogram) quantileBucket(q float64) int {
	total := h.Count()
	if total == 0 {
		return -1
	}
	rank := max(uint64(math.Ceil(q*float64(total))), 1)
	sum := uint64(0)
	for i, n := range h {
		if sum += uint64(n); sum >= rank {
			return i
		}
	}
	return HistogramBuckets - 1
}

// Quantile returns an upper bound of the quantile q, at most one bucket width above it; 0 if the
// histogram is empty. Values in the last bucket are reported as its lower bound.
func (h *Histogram) Quantile(q float64) float64 {
	bucket := h.quantileBucket(q)
	if bucket < 0 {
		return 0
	}
	return upperBound(min(bucket, HistogramBuckets-2))
}
