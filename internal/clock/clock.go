// Package clock measures elapsed time, including time during which the VM is suspended.
//
// Go's monotonic time is CLOCK_MONOTONIC, which stops while the VM is suspended. A lease holder
// that resumes after a suspension would still use a lease that has expired for all others.
// Everything that limits a right to act (leases, token slices, freshness) is therefore measured
// by Boot.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Only differences between two times of one clock are
// meaningful.
type Clock func() time.Time

// Boot returns the time since the VM's boot (CLOCK_BOOTTIME). The result has no monotonic clock
// reading, so that differences include suspensions.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel that Go supports has this clock, and without it no lease is safe.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Unix(t.Sec, t.Nsec)
}
