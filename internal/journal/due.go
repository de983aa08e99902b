package journal

import "bytes"

// dueAt is a record's next change by time; it is void if the record's Due is another.
type dueAt struct {
	at  int64
	key key
}

// dueQueue is a heap by time, then key.
type dueQueue []dueAt

// Len implements heap.Interface.
func (q dueQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q dueQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return less(q[i].key, q[j].key)
}

// Swap implements heap.Interface.
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) { *q = append(*q, x.(dueAt)) }

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func less(a, b key) bool { return bytes.Compare(a[:], b[:]) < 0 }
