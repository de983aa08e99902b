package grants

import "time"

// tokenScale is the number of units per token in a level. With it, rate × nanoseconds is
// an exact integer.
const tokenScale = int64(time.Second)

// maxIntervals is the default capacity of a windowBucket.
const maxIntervals = 64

// windowBucket is a sliding-window token bucket that accepts refunds of tokens admitted
// earlier.
//
// The level of a time window that ends now is the number of tokens admitted in the
// window less rate × length. The grant is kept as long as no window's level exceeds the
// burst. The bucket divides the past into intervals. The level of an interval is an upper
// bound on the levels of all windows that start in the interval.
//
// add counts tokens in every existing interval, because the time of their admission is
// only known to lie before the call. An interval may thus count tokens that were admitted
// before its windows start. Windows that start after the call lie in an interval that is
// opened later.
//
// refund lowers only intervals in which the refunded tokens were counted. The remainder
// of those tokens still counts there, and is at least what the windows contain. Each
// interval's level therefore stays an upper bound, and a refund never lets a window's
// level pass the burst.
type windowBucket struct {
	lastDrain     time.Duration
	addedToNewest bool       // tokens were added since the newest interval was opened
	capacity      int        // most intervals kept
	intervals     []interval // oldest first, at least one
}

// interval is a period of window starts, with an upper bound on the levels of those
// windows. Levels decrease strictly from older to newer intervals, because an older
// interval whose level is not above a newer one's is dropped. Its level could not become
// the higher one later: every refund that lowers the newer interval lowers the older one.
type interval struct {
	epoch int64 // number of the interval; of merged intervals, that of the newest
	level int64 // in tokens × tokenScale
}

// newWindowBucket returns a bucket that counts tokens as admitted before now.
func newWindowBucket(now time.Duration, tokens int64) windowBucket {
	return windowBucket{lastDrain: now, addedToNewest: true, capacity: maxIntervals, intervals: []interval{{epoch: 1, level: max(0, tokens) * tokenScale}}}
}

// currentEpoch returns the number of the newest interval. Tokens added now are counted in
// this interval and older ones, but in no newer one.
func (b *windowBucket) currentEpoch() int64 { return b.intervals[len(b.intervals)-1].epoch }

// openInterval starts a new interval. If that exceeds the capacity, the older half of the
// intervals is merged in pairs. A merged interval has the older one's level, which is the
// higher, and the newer one's epoch, so that only refunds that lower both lower it.
func (b *windowBucket) openInterval() {
	b.addedToNewest = false
	b.intervals = append(b.intervals, interval{epoch: b.currentEpoch() + 1})
	if len(b.intervals) <= b.capacity {
		return
	}
	merged := b.intervals[:0]
	for i := 0; i < len(b.intervals); i++ {
		iv := b.intervals[i]
		if i < b.capacity/2 && i%2 == 0 {
			iv.epoch = b.intervals[i+1].epoch
			i++
		}
		merged = append(merged, iv)
	}
	b.intervals = merged
}

// drain lowers all levels by the rate for the time since the last call. It shortens that
// time by the drift bound, because the clock may be fast and the true rate must be kept.
func (b *windowBucket) drain(now time.Duration, rate int64) {
	elapsed := now - b.lastDrain
	if elapsed <= 0 {
		return
	}
	b.lastDrain = now
	elapsed -= elapsed / (ppm / DriftPPM)
	for i := range b.intervals {
		iv := &b.intervals[i]
		if elapsed.Seconds()*float64(rate) >= float64(iv.level)/float64(tokenScale) {
			iv.level = 0
		} else {
			iv.level -= int64(elapsed) * rate
		}
	}
	if b.addedToNewest {
		b.openInterval()
	}
	b.prune()
}

// add counts tokens that were admitted at any time up to now.
func (b *windowBucket) add(tokens int64) {
	if tokens <= 0 {
		return
	}
	b.addedToNewest = true
	for i := range b.intervals {
		b.intervals[i].level += tokens * tokenScale
	}
}

// refund lowers the bucket by tokens that were added in the epoch or later.
func (b *windowBucket) refund(epoch, tokens int64) {
	for i := range b.intervals {
		if iv := &b.intervals[i]; iv.epoch <= epoch {
			iv.level = max(0, iv.level-tokens*tokenScale)
		}
	}
	b.prune()
}

// prune drops intervals whose level is not above that of a newer interval.
func (b *windowBucket) prune() {
	kept := len(b.intervals) - 1
	for i := kept - 1; i >= 0; i-- {
		if b.intervals[i].level > b.intervals[kept].level {
			kept--
			b.intervals[kept] = b.intervals[i]
		}
	}
	b.intervals = b.intervals[kept:]
}

// maxLevel returns the highest level of any window in tokens, rounded up.
func (b *windowBucket) maxLevel() int64 { return (b.intervals[0].level + tokenScale - 1) / tokenScale }

// refillTime returns how long the rate needs to supply tokens, within minRetryAfter and
// maxRetryAfter.
func refillTime(tokens, rate int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	d := time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Bounds of the retry times that are returned to clients.
const (
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = time.Minute
)
