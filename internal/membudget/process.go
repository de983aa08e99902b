package membudget

import (
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// runtimeShare is the share of the memory limit that the Go runtime may use. The rest is for memory that it does not count.
const runtimeShare = 0.75

// LimitRuntime makes the Go runtime collect garbage in time to stay within a memory limit in bytes; 0 means that there is none.
func LimitRuntime(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(memoryBytes)))
	}
}

// ProcessBytes returns the memory limit of a process whose settings have the given one: without one, that is
// the VM's memory, or 0 if it is not known.
func ProcessBytes(limit int64) int64 {
	var info unix.Sysinfo_t
	if limit > 0 || unix.Sysinfo(&info) != nil {
		return limit
	}
	return int64(info.Totalram) * int64(info.Unit)
}
