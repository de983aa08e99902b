package explain

import (
	"slices"
	"time"
)

// clocks converts the times of all VMs to one time scale. If lines carry the collector's
// time, the offset of each VM's clock is estimated from them; otherwise each VM's clock is
// used unchanged.
type clocks struct {
	compared bool
	zero     time.Time                // start of the collector: median over all lines
	offset   map[string]time.Duration // by VM; positive for a clock that is ahead
}

// estimateClocks estimates the clock offset of each VM as the median over its lines. If a
// clock was stepped between two lines, the offset fits only the side of the step that holds
// the median; times on the other side are wrong by the step.
func estimateClocks(lines []Line) clocks {
	c := clocks{offset: map[string]time.Duration{}}
	starts := map[string][]time.Duration{}
	var all []time.Duration
	reference := time.Time{}
	for _, l := range lines {
		if !l.HasCollected {
			continue
		}
		if reference.IsZero() {
			reference = l.At.Add(-l.Collected)
		}
		start := l.At.Add(-l.Collected).Sub(reference)
		starts[l.VM] = append(starts[l.VM], start)
		all = append(all, start)
	}
	if len(all) == 0 {
		return c
	}
	c.compared = true
	overall := median(all)
	c.zero = reference.Add(overall)
	for vm, ofVM := range starts {
		c.offset[vm] = median(ofVM) - overall
	}
	return c
}

// median sorts durations, which must not be empty, and returns the upper median.
func median(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
}

// when returns the time of a line on the common time scale.
func (c clocks) when(l *Line) time.Time {
	if l.HasCollected {
		return c.zero.Add(l.Collected)
	}
	return l.At.Add(-c.offset[l.VM])
}
