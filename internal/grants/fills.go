package grants

import "time"

// part is the number of parts that a token is counted in, so that rate × nanoseconds is exact.
const part = int64(time.Second)

// maxSpans bounds the spans that a bucket is kept in.
const maxSpans = 64

// fills is a token bucket that can take back tokens admitted earlier. For windows that
// start in a span of time it keeps the greatest fill: tokens admitted since the start,
// less rate × length. No window passes its bound as long as no fill passes the burst.
//
// Tokens are added to every span that there is, also where the window may start after
// the admission; windows that start after that are in a new span. A refund lowers just
// the spans that the tokens were added to: in each, what is left of them is at least what
// the windows really hold. So a refund never makes room for a burst that some window
// would not bear.
type fills struct {
	last  time.Duration
	added bool // to the newest span, since it was opened
	most  int  // spans
	spans []span
}

// span holds the fill of windows that start in it. Fills fall from span to span: an
// older one that is not above a later one never will be, as every refund that lowers the
// later one lowers it as well.
type span struct {
	epoch int64 // number of the span, or of the newest one merged in
	fill  int64 // tokens × part
}

// newFills returns fills of a number of tokens that were admitted before now.
func newFills(now time.Duration, tokens int64) fills {
	return fills{last: now, added: true, most: maxSpans, spans: []span{{epoch: 1, fill: max(0, tokens) * part}}}
}

// epoch is the number of the newest span: what is added now is in no later one.
func (f *fills) epoch() int64 { return f.spans[len(f.spans)-1].epoch }

// open starts a new span, and merges old ones in pairs when there are too many.
func (f *fills) open() {
	f.added = false
	f.spans = append(f.spans, span{epoch: f.epoch() + 1})
	if len(f.spans) <= f.most {
		return
	}
	merged := f.spans[:0]
	for i := 0; i < len(f.spans); i++ {
		s := f.spans[i]
		if i < f.most/2 && i%2 == 0 {
			s.epoch = f.spans[i+1].epoch
			i++
		}
		merged = append(merged, s)
	}
	f.spans = merged
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
	if f.added {
		f.open()
	}
	f.prune()
}

// add counts tokens that may have been admitted up to now.
func (f *fills) add(tokens int64) {
	if tokens <= 0 {
		return
	}
	f.added = true
	for i := range f.spans {
		f.spans[i].fill += tokens * part
	}
}

// refund takes back tokens that were added in the epoch or later.
func (f *fills) refund(epoch, tokens int64) {
	for i := range f.spans {
		if s := &f.spans[i]; s.epoch <= epoch {
			s.fill = max(0, s.fill-tokens*part)
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
