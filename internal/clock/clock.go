// Package clock tells elapsed time that goes on while the VM is suspended.
//
// Go's monotonic time is CLOCK_MONOTONIC, which stands still during a suspension: a
// thawed holder would still believe a lease that others have counted out. Whatever
// bounds a right to act (leases, slices, freshness) is measured by Boot instead.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time now. Only differences between two of its times mean anything.
type Clock func() time.Time

// Boot returns the time since the VM's boot as a time without a monotonic reading, so
// that all arithmetic on it counts suspensions.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel that Go runs on; without it no lease is safe.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Unix(t.Sec, t.Nsec)
}
