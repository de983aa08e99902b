package routing

import (
	"testing"
	"time"

	"eelgrasshollow/internal/ratelimit"

	"gotest.tools/v3/assert"
)

// A response without a limit ends an earlier one only if its request was sent after the last
// response with one.
func TestRateLimitEndsWithLaterRequests(t *testing.T) {
	c := listedCore(1, 8)
	state, _ := c.State("e0")
	limit := func() ratelimit.Limit { return state.selfReport.limit.perSecond }
	record := func(at time.Duration, p *Pending, n Notice) bool {
		n.Incarnation = p.Decision.Incarnation
		_, changed := c.RecordLimit(epoch.Add(at), p, n)
		return changed
	}
	first, second := submit(c, epoch, request("a")), submit(c, epoch, request("a"))
	assert.Assert(t, record(time.Second, first, Notice{Limit: 3}))
	assert.Assert(t, !record(time.Second, first, Notice{Limit: 3}), "confirmed")
	assert.Assert(t, !record(2*time.Second, second, Notice{Unlimited: true}), "its response may be older")
	assert.Equal(t, limit(), ratelimit.Limit(3))
	assert.Assert(t, !record(2*time.Second, second, Notice{}), "a response that states nothing")

	state.permits.begin = []time.Time{epoch.Add(3 * time.Second)}
	third := submit(c, epoch.Add(3*time.Second), request("a"))
	assert.Assert(t, record(4*time.Second, third, Notice{Limit: 2}), "another limit")
	state.permits.begin = []time.Time{epoch.Add(5 * time.Second)}
	fourth := submit(c, epoch.Add(5*time.Second), request("a"))
	assert.Assert(t, record(6*time.Second, fourth, Notice{Unlimited: true}))
	assert.Equal(t, limit(), ratelimit.Limit(0))

	assert.Assert(t, record(7*time.Second, fourth, Notice{Limit: 5}))
	c.SetEndpoints(epoch.Add(8*time.Second), listed(1, 8, "run-2"))
	assert.Equal(t, limit(), ratelimit.Limit(0), "another incarnation has stated nothing")
	assert.Assert(t, !record(9*time.Second, fourth, Notice{Limit: 5}), "the former incarnation")
}
