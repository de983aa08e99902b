package standin

import (
	"container/heap"
	"context"
	"sync"
)

// prioritySemaphore is a counting semaphore whose waiters acquire it by descending priority,
// and in order of arrival within a priority.
type prioritySemaphore struct {
	mu    sync.Mutex
	free  int    // slots
	seq   uint64 // number of the last waiter
	queue waiters
}

type waiter struct {
	priority int
	seq      uint64
	tokens   int
	index    int           // in the heap; -1 after removal
	ready    chan struct{} // closed when the waiter has received a slot
}

func newPrioritySemaphore(slots int) *prioritySemaphore { return &prioritySemaphore{free: slots} }

// acquire waits for a free slot. tokens is the prompt length, for the load report. It returns
// the error of ctx if ctx ends first.
func (s *prioritySemaphore) acquire(ctx context.Context, priority, tokens int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.seq++
	w := &waiter{priority: priority, seq: s.seq, tokens: tokens, ready: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// abandon removes a waiter from the queue. If the waiter has just received a slot, abandon
// releases the slot.
func (s *prioritySemaphore) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	s.releaseLocked()
}

func (s *prioritySemaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *prioritySemaphore) releaseLocked() {
	if len(s.queue) == 0 {
		s.free++
		return
	}
	close(heap.Pop(&s.queue).(*waiter).ready)
}

// waiting returns the number of waiters and the sum of their tokens.
func (s *prioritySemaphore) waiting() (count, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.queue {
		tokens += w.tokens
	}
	return len(s.queue), tokens
}

// waiters implements heap.Interface; the first to be served is at the root.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }
func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
