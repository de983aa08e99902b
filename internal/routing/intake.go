package routing

import (
	"math"
	"time"

	"eelgrasshollow/internal/cacheindex"
)

const (
	// tokenRateWindow is the time constant of the decaying average.
	tokenRateWindow = 4 * time.Second
	// reusableShare is the share of a cache that running requests do not occupy.
	reusableShare = 0.75
	// Bounds of an estimated lifetime.
	minLifetime = time.Second
	maxLifetime = 2 * time.Minute
)

// tokenRate is a decaying average of tokens per second, such as those added to a cache.
type tokenRate struct {
	perSecond float64
	updatedAt time.Time
}

func (r *tokenRate) add(tokens int, now time.Time) {
	r.perSecond = r.at(now) + float64(tokens)/tokenRateWindow.Seconds()
	r.updatedAt = now
}

func (r *tokenRate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/tokenRateWindow.Seconds())
}

// lifetime estimates how long an entry stays in a cache of the given capacity in tokens
// that evicts the least recently used entries: the time in which all VMs together fill it.
// Every VM is assumed to add as much as this one.
func (r *tokenRate) lifetime(capacity, vmCount int, now time.Time) time.Duration {
	perSecond := r.at(now) * float64(max(vmCount, 1))
	if perSecond <= 0 {
		return maxLifetime
	}
	seconds := reusableShare * float64(capacity) / perSecond
	return min(max(time.Duration(seconds*float64(time.Second)), minLifetime), maxLifetime)
}

// updateLifetime sets the lifetime of the index entries of an endpoint or store, if its
// capacity is known.
func (c *Core) updateLifetime(at cacheindex.Endpoint, inflow *tokenRate, capacity int, now time.Time) {
	if capacity > 0 {
		c.index.SetLifetime(at, inflow.lifetime(capacity, c.vmCount, now))
	}
}
