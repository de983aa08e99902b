package grants

import "time"

// part is the number of parts that a token is counted in, so that rate × nanoseconds is exact.
const part = int64(time.Second)

// Epochs tell in which order admissions and window starts lie, without clocks of others:
// a holder marks an admission with the last epoch that it heard of from the owner.
const (
	epochLength = time.Second
	// refundEpochs bounds how long after its admission a request is refunded.
	refundEpochs = 64
)

// fills is a token bucket that can take back tokens admitted earlier. For windows that
// start in a span of epochs it keeps the greatest fill: tokens admitted since the start,
// less rate × length. No window passes its bound as long as no fill passes the burst.
//
// A refund lowers the fills of windows that start before the admission it belongs to,
// and no others; so it never makes room for a burst that some window would not bear.
type fills struct {
	last  time.Duration
	epoch int64 // of the current span
	spans []span
}

// span holds the fill of windows that start before epoch to. The last span is the
// current epoch's. Fills fall from span to span: an older one that is not above a later
// one never will be, as every refund that lowers the later one lowers it as well.
type span struct {
	to   int64
	fill int64 // tokens × part
}

// newFills returns fills of a number of tokens that were admitted before now.
func newFills(now time.Duration, tokens int64) fills {
	epoch := int64(now / epochLength)
	return fills{last: now, epoch: epoch, spans: []span{{to: epoch + 1, fill: max(0, tokens) * part}}}
}

// drain lets the fills fall at the rate. It counts the clock as fast by the drift
// bound, so that the true rate is kept.
func (f *fills) drain(now time.Duration, rate int64) {
	elapsed := now - f.last
	if elapsed <= 0 {
		return
	}
	f.last = now
	elapsed -= elapsed / (ppm / DriftPPM)
	for i := range f.spans {
		s := &f.spans[i]
		if elapsed.Seconds()*float64(rate) >= float64(s.fill)/float64(part) {
			s.fill = 0
		} else {
			s.fill -= int64(elapsed) * rate
		}
	}
	f.prune()
	if epoch := int64(now / epochLength); epoch > f.epoch {
		f.epoch = epoch
		f.spans = append(f.spans, span{to: epoch + 1})
		f.prune()
	}
}

// add counts tokens that may have been admitted up to now.
func (f *fills) add(tokens int64) {
	for i := range f.spans {
		f.spans[i].fill += tokens * part
	}
}

// refund takes back tokens that were admitted in the epoch or later.
func (f *fills) refund(epoch, tokens int64) {
	for i := range f.spans {
		if s := &f.spans[i]; s.to <= epoch {
			s.fill -= tokens * part
		}
	}
	f.prune()
}

// prune drops spans that are not above a later one.
func (f *fills) prune() {
	kept := len(f.spans) - 1
	for i := kept - 1; i >= 0; i-- {
		if f.spans[i].fill > f.spans[kept].fill {
			kept--
			f.spans[kept] = f.spans[i]
		}
	}
	f.spans = f.spans[kept:]
}

// tokens is the greatest fill, rounded up.
func (f *fills) tokens() int64 { return (f.spans[0].fill + part - 1) / part }

// wait is how long the rate needs for a number of tokens.
func wait(tokens, rate int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxWait
	}
	d := time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
	return min(max(d, minWait), maxWait)
}

// Bounds of the retry times that are told to callers.
const (
	minWait = 5 * time.Millisecond
	maxWait = time.Minute
)
