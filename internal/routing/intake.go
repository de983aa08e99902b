package routing

import (
	"math"
	"time"

	"eelgrasshollow/internal/cacheindex"
)

const (
	// intakeWindow is the time over which tokens that go into a cache are averaged.
	intakeWindow = 4 * time.Second
	// reusable is the part of a cache that is not taken by running requests.
	reusable = 0.75
	// Bounds of an estimated lifetime.
	shortestLifetime = time.Second
	longestLifetime  = 2 * time.Minute
)

// intake measures the tokens a second that go into a cache, decaying.
type intake struct {
	rate float64
	at   time.Time
}

func (i *intake) add(tokens int, now time.Time) {
	i.rate = i.now(now) + float64(tokens)/intakeWindow.Seconds()
	i.at = now
}

func (i *intake) now(now time.Time) float64 {
	return i.rate * math.Exp(-now.Sub(i.at).Seconds()/intakeWindow.Seconds())
}

// lifetime is how long an entry stays in a cache that drops the least recently used: the
// time in which the intake of all VMs fills it. Each VM is taken to add as much as this
// one.
func (i *intake) lifetime(capacity, vms int, now time.Time) time.Duration {
	rate := i.now(now) * float64(max(vms, 1))
	if rate <= 0 {
		return longestLifetime
	}
	seconds := reusable * float64(capacity) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), shortestLifetime), longestLifetime)
}

// believe sets the lifetime of an endpoint's or store's entries where its capacity is
// known.
func (c *Core) believe(at cacheindex.Endpoint, i *intake, capacity int, now time.Time) {
	if capacity > 0 {
		c.index.Believe(at, i.lifetime(capacity, c.vms, now))
	}
}
