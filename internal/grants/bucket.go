package grants

import "time"

// bucket is the level of a token bucket with exact integer refill.
type bucket struct {
	level int64 // tokens
	part  int64 // part of a token, in tokens × nanoseconds a second
	last  time.Duration
}

// refill adds what the rate gave since the last refill, but no more than room tokens.
// It counts the clock as fast by the drift bound, so that the true rate is kept.
func (b *bucket) refill(now time.Duration, rate, room int64) {
	elapsed := now - b.last
	if elapsed <= 0 {
		return
	}
	b.last = now
	elapsed -= elapsed / (ppm / DriftPPM)
	if room <= 0 {
		b.part = 0
		return
	}
	if elapsed.Seconds()*float64(rate) >= float64(room)+1 {
		b.level += room
		b.part = 0
		return
	}
	b.part += int64(elapsed) * rate
	add := b.part / int64(time.Second)
	b.part %= int64(time.Second)
	if add >= room {
		add, b.part = room, 0
	}
	b.level += add
}

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
