package grants

import "time"

// Timing of leases. The owner counts a slice for longer than its holder uses it.
const (
	// DefaultLease is how long a slice may be used, from the sending of the request on.
	DefaultLease = 5 * time.Second
	// DriftPPM bounds how far the rate of any VM's monotonic clock is off, in parts
	// per million.
	DriftPPM = 1000
	// ppm is one, in parts per million.
	ppm = 1_000_000
)

// OwnerLease is how long the owner counts a slice as outstanding: the holder's clock
// may be slow and the owner's fast, each by the drift bound.
func OwnerLease(lease time.Duration) time.Duration {
	return lease + lease*4*DriftPPM/ppm
}
