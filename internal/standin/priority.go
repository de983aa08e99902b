package standin

import (
	"container/heap"
	"context"
	"sync"
)

// prioritySemaphore admits a bounded number at a time, higher priorities first and
// first come, first served within one.
type prioritySemaphore struct {
	mu    sync.Mutex
	free  int
	seq   uint64
	queue waiters
}

type waiter struct {
	priority int
	seq      uint64
	tokens   int
	index    int
	ready    chan struct{}
}

func newPrioritySemaphore(n int) *prioritySemaphore { return &prioritySemaphore{free: n} }

// acquire waits for a place; tokens is what the load report shows as waiting.
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
		s.giveUp(w)
		return ctx.Err()
	}
}

// giveUp leaves the queue, or passes the place on when it had just come.
func (s *prioritySemaphore) giveUp(w *waiter) {
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

// waiting returns the number of waiters and their tokens.
func (s *prioritySemaphore) waiting() (count, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.queue {
		tokens += w.tokens
	}
	return len(s.queue), tokens
}

// waiters is a heap.Interface.
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
