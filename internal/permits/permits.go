// Package permits spaces requests to endpoints that take only so many of them from all VMs
// together. One VM, the owner, spaces the permits of an endpoint evenly at its limit, and gives
// them to the VMs that ask for them. All VMs together therefore send at most the limit, as far as
// permits are used within their lifetime, and whichever VM has requests can use all of it. While
// the owner does not answer, a VM uses its equal share.
//
// The package makes decisions only: it reads no clock and sends nothing.
package permits

import (
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/pace"
	"eelgrasshollow/internal/ratelimit"
)

const (
	// horizon is how far ahead of its time a permit is given. A request that would have to wait
	// longer goes to another endpoint, if one has room.
	horizon = 100 * time.Millisecond
	// TTL is how long a permit may be used.
	TTL = 500 * time.Millisecond
	// maxAsksPerSecond limits how often all VMs together ask for the permits of one endpoint.
	maxAsksPerSecond = 40
)

// Ask is a VM's question for permits of one incarnation of an endpoint.
type Ask struct {
	Limit digest.RateLimit
	Count int
	VM    string // peer address of the VM
	VMs   int    // entry VMs that the VM knows, including itself
	// Pace is set if the endpoint needs permits whatever limit it states, and Observed counts the
	// results that the VM has seen since its last ask. Earlier builds have neither.
	Pace     Pace
	Observed pace.Feedback
}

// Reply is the owner's reply.
type Reply struct {
	// Limit is the newest limit that the owner knows.
	Limit digest.RateLimit
	// Begin are the times from the reply on after which each permit may be used.
	Begin []time.Duration
	// AskAfter is the time after which to ask for those that are missing.
	AskAfter time.Duration
	Askers   int // VMs that have asked lately
	// Rate is the rate of the endpoint's permits for all VMs together, if the ask had a Pace.
	Rate float64
	// PaceDone reports to a VM of an earlier build that the endpoint has warmed up.
	PaceDone bool
}

// Pace describes an endpoint whose rate is derived from its responses.
type Pace struct {
	// Brittle is the number of rejections in a second beyond which the endpoint goes down, or 0 if
	// it has stated none.
	Brittle uint32
	// WarmingUp and Alone are set by earlier builds only: they need permits for endpoints that have just
	// started.
	WarmingUp bool
	Alone     bool
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Fair is the number of requests per second that the endpoint serves when its slots are in use,
	// as far as the VM knows.
	Fair float64
	// Known is the last rate that the VM has got from an owner, or 0. A new owner starts from it.
	Known float64
}

// Active reports whether the endpoint needs permits for its pace.
func (p Pace) Active() bool { return p.Brittle > 0 }

// MergeLimits returns which of two limits of one incarnation of an endpoint holds: the one with the
// higher version, and of two with the same the lower one.
func MergeLimits(a, b digest.RateLimit) digest.RateLimit {
	limitA, limitB := ratelimit.Limit(a.MilliPerSecond), ratelimit.Limit(b.MilliPerSecond)
	if b.Version > a.Version || b.Version == a.Version && limitB.Stated() && (!limitA.Stated() || limitB < limitA) {
		return b
	}
	return a
}

// askGap returns the mean time between two asks of one of vms VMs for the permits of an endpoint.
func askGap(vms int) time.Duration {
	return time.Duration(float64(vms) / maxAsksPerSecond * float64(time.Second))
}

// interval returns the time between two events of which there are perSecond a second.
func interval(perSecond float64) time.Duration {
	return time.Duration(1 / perSecond * float64(time.Second))
}
