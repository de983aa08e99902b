package explain

import (
	"slices"
	"time"
)

// clocks brings the times of all VMs onto one line. With the collector's times it knows
// how far the clock of each VM is off; without, it takes each clock as it is.
type clocks struct {
	compared bool
	zero     time.Time // the collector's start, by the median of all lines
	offset   map[string]time.Duration
}

// compare works out the clocks. A clock that was stepped between two lines makes the
// median of the VM's differences, so lines from the other side of the step are off.
func compare(lines []Line) clocks {
	c := clocks{offset: map[string]time.Duration{}}
	starts := map[string][]time.Duration{}
	var all []time.Duration
	base := time.Time{}
	for _, l := range lines {
		if !l.HasCollected {
			continue
		}
		if base.IsZero() {
			base = l.At.Add(-l.Collected)
		}
		start := l.At.Add(-l.Collected).Sub(base)
		starts[l.VM] = append(starts[l.VM], start)
		all = append(all, start)
	}
	if len(all) == 0 {
		return c
	}
	c.compared = true
	middle := median(all)
	c.zero = base.Add(middle)
	for vm, s := range starts {
		c.offset[vm] = median(s) - middle
	}
	return c
}

func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// when is the time of a line on the common line.
func (c clocks) when(l *Line) time.Time {
	if l.HasCollected {
		return c.zero.Add(l.Collected)
	}
	return l.At.Add(-c.offset[l.VM])
}
