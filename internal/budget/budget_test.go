package budget

import (
	"testing"

	_ "eelgrasshollow/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestRetriesStayWithinShareAndReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "share")
		reserve := rapid.IntRange(0, 20).Draw(t, "reserve")
		b := New(share, reserve)
		firstAttempts, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "retry") {
				if b.TryWithdraw() {
					retries++
				}
			} else {
				b.Deposit()
				firstAttempts++
			}
			assert.Assert(t, float64(retries) <= float64(reserve)+share*float64(firstAttempts))
		}
	})
}

func TestRetriesReachShareUnderConstantFailure(t *testing.T) {
	b := New(0.1, 10)
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw() {
			retries++
		}
	}
	assert.Assert(t, retries >= 100 && retries <= 110, "%d", retries)
}
