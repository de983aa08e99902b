package grants

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// addition is a number of tokens and the times when they were admitted and added.
type addition struct {
	admitted, added time.Duration
	tokens          int64
	epoch           int64
}

// TestWindowBucketBoundsEveryWindow compares the bucket with its definition: no window that
// ends now contains more tokens than maxLevel + rate × length, whatever was refunded.
func TestWindowBucketBoundsEveryWindow(t *testing.T) {
	const rate = 100
	rapid.Check(t, func(t *rapid.T) {
		bucket := newWindowBucket(0, 0)
		bucket.capacity = rapid.SampledFrom([]int{4, maxIntervals}).Draw(t, "spans")
		now := time.Duration(0)
		var all []addition
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "d"))
				bucket.drain(now, rate)
			},
			"add": func(t *rapid.T) {
				tokens := rapid.Int64Range(1, 200).Draw(t, "tokens")
				before := time.Duration(rapid.Int64Range(0, int64(now)).Draw(t, "before"))
				bucket.add(tokens)
				all = append(all, addition{admitted: now - before, added: now, tokens: tokens, epoch: bucket.currentEpoch()})
			},
			"refund": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				a := &all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
				back := rapid.Int64Range(0, a.tokens).Draw(t, "back")
				a.tokens -= back
				bucket.refund(a.epoch, back)
			},
			"": func(t *rapid.T) {
				for _, from := range all {
					sum := int64(0)
					for _, a := range all {
						if a.admitted >= from.admitted {
							sum += a.tokens
						}
					}
					bound := bucket.maxLevel() + int64((now-from.admitted).Seconds()*rate)
					assert.Assert(t, sum <= bound, "window from %v to %v holds %d, bound %d", from.admitted, now, sum, bound)
				}
			},
		})
	})
}

// TestIntervalCountIsBounded checks that old intervals are merged.
func TestIntervalCountIsBounded(t *testing.T) {
	bucket := newWindowBucket(0, 0)
	for i := range 100_000 {
		bucket.drain(time.Duration(i)*time.Millisecond, 1000)
		bucket.add(1)
	}
	assert.Assert(t, len(bucket.intervals) <= maxIntervals)
}

// TestMergedIntervalKeepsLaterTokens refunds tokens that were added only to the older part
// of a merged interval. Tokens added to the newer part must still count.
func TestMergedIntervalKeepsLaterTokens(t *testing.T) {
	bucket := newWindowBucket(0, 0)
	bucket.capacity = 2
	bucket.add(100)
	first := bucket.currentEpoch()
	bucket.drain(600*time.Millisecond, 100)
	bucket.add(30)
	bucket.drain(601*time.Millisecond, 100)
	bucket.refund(first, 100)
	assert.Assert(t, bucket.maxLevel() >= 30, "%d", bucket.maxLevel())
}
