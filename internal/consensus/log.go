package consensus

// memoryLog is the log after the last snapshot.
type memoryLog struct {
	snapIndex, snapTerm uint64
	base                Membership
	entries             []Entry
}

func (l *memoryLog) last() uint64 { return l.snapIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry; ok is false when it is not in the log.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapIndex:
		return l.snapTerm, true
	case index < l.snapIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.snapIndex-1].Term, true
}

func (l *memoryLog) at(index uint64) Entry { return l.entries[index-l.snapIndex-1] }

// slice copies the entries in (after, upTo] within the byte limit, at least one.
func (l *memoryLog) slice(after, upTo uint64, limit int) []Entry {
	var out []Entry
	size := 0
	for i := after + 1; i <= upTo; i++ {
		e := l.at(i)
		size += len(e.Data)
		if len(out) > 0 && size > limit {
			break
		}
		out = append(out, e)
	}
	return out
}

// replaceFrom drops the entries from the first of es on and appends es.
func (l *memoryLog) replaceFrom(es []Entry) {
	keep := es[0].Index - l.snapIndex - 1
	l.entries = append(l.entries[:keep:keep], es...)
}

// compact forgets the entries up to index, which a snapshot holds.
func (l *memoryLog) compact(index uint64, base Membership) {
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.snapIndex:]...)
	l.snapIndex, l.snapTerm, l.base = index, term, base
}
