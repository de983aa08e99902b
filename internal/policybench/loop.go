// Package policybench measures the routing policy against baselines: the real
// decision code before a fake endpoint with continuous batching, a limited prefix
// cache, prefill and decode cost, lagged load reports and lossy cache events, in
// virtual time with fixed seeds.
package policybench

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000_000, 0)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is for container/heap.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// loop is virtual time: events in order of time, then of scheduling.
type loop struct {
	now    time.Duration
	seq    int
	events eventHeap
}

func (l *loop) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{l.now + d, l.seq, do})
}

func (l *loop) every(d time.Duration, do func()) {
	l.after(d, func() { do(); l.every(d, do) })
}

func (l *loop) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
	l.now = until
}

func (l *loop) time() time.Time { return epoch.Add(l.now) }
