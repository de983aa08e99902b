package errkind

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestEveryKindHasOneRow(t *testing.T) {
	codes, exits := map[string]bool{}, map[int]bool{}
	for _, k := range Kinds() {
		a := k.Properties()
		assert.Assert(t, a.Code != "" && a.HTTP >= 400 && a.RPC != 0 && a.Exit > 0, "kind %d", k)
		assert.Assert(t, !codes[a.Code] && !exits[a.Exit], "kind %s repeats a code", a.Code)
		codes[a.Code], exits[a.Exit] = true, true
		back, ok := FromCode(a.Code)
		assert.Assert(t, ok && back == k)
	}
}

func TestRetryIsNeverOfferedForUnknownOutcomeOfOrders(t *testing.T) {
	for _, k := range []Kind{OutcomeUnknown, StreamBroken, Timeout} {
		assert.Assert(t, !k.Properties().Retryable, k.String())
	}
}

func TestOfFindsKindInChain(t *testing.T) {
	base := New(RateLimited, "account %s", "a").WithRetryAfter(time.Second)
	err := errors.Wrap(base, "outer")
	assert.Equal(t, Of(err).RetryAfter, time.Second)
	assert.Assert(t, errors.Is(err, Sentinel(RateLimited)))
	assert.Assert(t, !errors.Is(err, Sentinel(Stale)))
	assert.Equal(t, Of(errors.New("x")).Kind, Internal)
	assert.Assert(t, Of(nil) == nil)
}
