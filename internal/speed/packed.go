package speed

import "math"

// Packed is the mean of some samples of an endpoint in one byte, for a digest: the number of samples, as an index
// into packedCounts, in the upper three bits, and the logarithm of the factor, in equal steps from MinFactor to
// MaxFactor, in the lower five.
type Packed uint8

// packedCounts are the numbers of samples that can be told. The highest bounds what one message counts for.
var packedCounts = [8]float64{1, 2, 3, 4, 5, 6, 8, 12}

const packedSteps = 31

// Sum is a sum of samples: their number and the sum of the logarithms of their factors.
type Sum struct{ Count, Log float64 }

// Add adds another sum.
func (s *Sum) Add(o Sum) { s.Count, s.Log = s.Count+o.Count, s.Log+o.Log }

// Sum returns the samples of a packed value.
func (p Packed) Sum() Sum {
	n, value := p.unpack()
	return Sum{n, n * value}
}

func (p Packed) unpack() (samples, value float64) {
	return packedCounts[p>>5], (float64(p&packedSteps)/packedSteps*2 - 1) * logMax
}

// minPacked is the least weight of samples that is told to others.
const minPacked = 0.7

// Pack returns the packed sum, or false if it is of too few samples.
func (s Sum) Pack() (Packed, bool) {
	if s.Count < minPacked {
		return 0, false
	}
	class := 0
	for class < len(packedCounts)-1 && packedCounts[class+1] <= s.Count+0.5 {
		class++
	}
	step := math.Round((clampLog(s.Log/s.Count)/logMax + 1) / 2 * packedSteps)
	return Packed(class<<5) | Packed(step), true
}

// HasNews reports whether TakeNews would return samples.
func (e *Estimate) HasNews() bool { return e.news.weight >= minPacked }

// TakeNews returns this VM's samples since the last call, or false if there are too few.
func (e *Estimate) TakeNews() (Packed, bool) {
	p, ok := Sum{e.news.weight, e.news.sum}.Pack()
	if ok {
		e.news = mean{}
	}
	return p, ok
}

// Recall returns all samples of the endpoint, for a VM that has just started.
func (e *Estimate) Recall() (Packed, bool) { return Sum{e.long.weight, e.long.sum}.Pack() }
