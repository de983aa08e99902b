package grants

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// addition is tokens that were admitted before they were added.
type addition struct {
	admitted, added time.Duration
	tokens          int64
	epoch           int64
}

// TestFillsBoundEveryWindow compares the fills with the definition: no window that ends
// now holds more than the fill says, whatever was refunded.
func TestFillsBoundEveryWindow(t *testing.T) {
	const rate = 100
	rapid.Check(t, func(t *rapid.T) {
		f := newFills(0, 0)
		f.most = rapid.SampledFrom([]int{4, maxSpans}).Draw(t, "spans")
		now := time.Duration(0)
		var all []addition
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "d"))
				f.drain(now, rate)
			},
			"add": func(t *rapid.T) {
				tokens := rapid.Int64Range(1, 200).Draw(t, "tokens")
				before := time.Duration(rapid.Int64Range(0, int64(now)).Draw(t, "before"))
				f.add(tokens)
				all = append(all, addition{admitted: now - before, added: now, tokens: tokens, epoch: f.epoch()})
			},
			"refund": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				a := &all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
				back := rapid.Int64Range(0, a.tokens).Draw(t, "back")
				a.tokens -= back
				f.refund(a.epoch, back)
			},
			"": func(t *rapid.T) {
				for _, from := range all {
					sum := int64(0)
					for _, a := range all {
						if a.admitted >= from.admitted {
							sum += a.tokens
						}
					}
					bound := f.tokens() + int64((now-from.admitted).Seconds()*rate)
					assert.Assert(t, sum <= bound, "window from %v to %v holds %d, bound %d", from.admitted, now, sum, bound)
				}
			},
		})
	})
}

func TestFillsAreFew(t *testing.T) {
	f := newFills(0, 0)
	for i := range 100_000 {
		f.drain(time.Duration(i)*time.Millisecond, 1000)
		f.add(1)
	}
	assert.Assert(t, len(f.spans) <= maxSpans)
}

// TestMergedSpanKeepsWhatItsLaterPartHolds refunds tokens that only the older part of a
// merged span was given.
func TestMergedSpanKeepsWhatItsLaterPartHolds(t *testing.T) {
	f := newFills(0, 0)
	f.most = 2
	f.add(100)
	first := f.epoch()
	f.drain(600*time.Millisecond, 100)
	f.add(30)
	f.drain(601*time.Millisecond, 100)
	f.refund(first, 100)
	assert.Assert(t, f.tokens() >= 30, "%d", f.tokens())
}
