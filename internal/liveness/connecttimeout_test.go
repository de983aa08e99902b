package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestConnectTimeoutFollowsConnectTimes(t *testing.T) {
	const shortest, longest = 100 * time.Millisecond, 400 * time.Millisecond
	c := NewConnectTimeout(shortest, longest)
	assert.Equal(t, c.Current(), longest, "nothing is known yet")
	for range 50 {
		c.Connected(2 * time.Millisecond)
	}
	assert.Equal(t, c.Current(), shortest)
	for range 50 {
		c.Connected(150 * time.Millisecond)
	}
	assert.Assert(t, c.Current() > 150*time.Millisecond && c.Current() < longest, "%v", c.Current())
	c.Connected(2 * time.Second)
	assert.Equal(t, c.Current(), longest)
}

// Servers that fall silent do not make the timeout longer, but a network on which no
// connection is opened in time any more does.
func TestConnectTimeoutAfterTimeouts(t *testing.T) {
	c := NewConnectTimeout(100*time.Millisecond, 400*time.Millisecond)
	for range 200 {
		for range maxConsecutiveTimeouts - 1 {
			c.TimedOut()
		}
		c.Connected(time.Millisecond)
	}
	assert.Equal(t, c.Current(), 100*time.Millisecond)
	for range maxConsecutiveTimeouts {
		c.TimedOut()
	}
	assert.Equal(t, c.Current(), 400*time.Millisecond)
	c.Connected(time.Millisecond)
	assert.Equal(t, c.Current(), 100*time.Millisecond)
}
