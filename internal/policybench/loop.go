// Package policybench compares the routing policy with baselines. It runs the production
// decision code in virtual time with fixed seeds, in front of simulated engines with continuous
// batching, a limited prefix cache, prefill and decode costs, delayed load reports and lossy
// cache events.
package policybench

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000_000, 0)

// event is an action at a point of virtual time. seq orders events of the same time.
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

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// loop is an event loop in virtual time. It runs events in order of their time, and events of
// the same time in the order in which they were scheduled.
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

// run executes all events up to a point of virtual time.
func (l *loop) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
	l.now = until
}

func (l *loop) time() time.Time { return epoch.Add(l.now) }
