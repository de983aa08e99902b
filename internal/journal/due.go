package journal

import "bytes"

// dueEntry schedules the next change of a record by time. It is obsolete if the record's Due
// differs from dueAt.
type dueEntry struct {
	dueAt int64 // Unix milliseconds
	key   key
}

// dueQueue is a min-heap ordered by time, then by key.
type dueQueue []dueEntry

// Len implements heap.Interface.
func (q dueQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q dueQueue) Less(i, j int) bool {
	if q[i].dueAt != q[j].dueAt {
		return q[i].dueAt < q[j].dueAt
	}
	return lessKey(q[i].key, q[j].key)
}

// Swap implements heap.Interface.
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) { *q = append(*q, x.(dueEntry)) }

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func lessKey(a, b key) bool { return bytes.Compare(a[:], b[:]) < 0 }
