package liveness

import (
	"sync"
	"time"
)

const (
	// connectDeviations is how many mean deviations above the mean connect time the timeout
	// lies.
	connectDeviations = 8
	// minConnectSamples is the number of connections from which the timeout is derived.
	minConnectSamples = 8
	// maxConsecutiveTimeouts is the number of timeouts without a connection in between after
	// which the longest timeout applies: the network may have become slower.
	maxConsecutiveTimeouts = 4
	// connectLearningRate is the weight of a new sample in the averages.
	connectLearningRate = 1.0 / 8
)

// ConnectTimeout adapts the timeout for opening connections to the times that connecting
// takes, as TCP does for its retransmissions. It is safe for concurrent use.
type ConnectTimeout struct {
	shortest, longest time.Duration

	mu              sync.Mutex
	mean, deviation time.Duration
	samples         int
	timeouts        int // since the last connection
}

// NewConnectTimeout returns a timeout that stays between shortest and longest.
func NewConnectTimeout(shortest, longest time.Duration) *ConnectTimeout {
	return &ConnectTimeout{shortest: shortest, longest: longest}
}

// Current returns the timeout for the next connection.
func (c *ConnectTimeout) Current() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.samples < minConnectSamples || c.timeouts >= maxConsecutiveTimeouts {
		return c.longest
	}
	return min(max(c.mean+connectDeviations*c.deviation, c.shortest), c.longest)
}

// Connected records that opening a connection took the given time.
func (c *ConnectTimeout) Connected(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeouts = 0
	if c.samples++; c.samples == 1 {
		c.mean, c.deviation = took, took/2
		return
	}
	difference := took - c.mean
	c.mean += time.Duration(connectLearningRate * float64(difference))
	c.deviation += time.Duration(connectLearningRate * float64(difference.Abs()-c.deviation))
}

// TimedOut records that a connection was not opened in time.
func (c *ConnectTimeout) TimedOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeouts++
}
