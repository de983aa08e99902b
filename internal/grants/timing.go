package grants

import "time"

// Timing of leases.
const (
	// DefaultLease is how long a holder may use a slice after it sent the report.
	DefaultLease = 5 * time.Second
	// DriftPPM bounds the rate error of any VM's monotonic clock, in parts per million.
	DriftPPM = 1000
	// ppm is the number 1 in parts per million.
	ppm = 1_000_000
)

// OwnerLease returns how long the owner counts a slice as outstanding. It is longer than
// the holder's lease, because the holder's clock may be slow and the owner's fast, each by
// the drift bound.
func OwnerLease(lease time.Duration) time.Duration {
	return lease + lease*4*DriftPPM/ppm
}
