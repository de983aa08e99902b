package errkind

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestEveryKindHasUniqueRow(t *testing.T) {
	codes, exits := map[string]bool{}, map[int]bool{}
	for _, k := range Kinds() {
		row := k.Properties()
		assert.Assert(t, row.Code != "" && row.HTTP >= 400 && row.RPC != 0 && row.Exit > 0, "kind %d", k)
		assert.Assert(t, !codes[row.Code] && !exits[row.Exit], "kind %s repeats a code", row.Code)
		codes[row.Code], exits[row.Exit] = true, true
		parsed, ok := FromCode(row.Code)
		assert.Assert(t, ok && parsed == k)
	}
}

func TestKindsThatMayHaveRunAreNotRetryable(t *testing.T) {
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
