package consensus

// memoryLog holds the entries after the last snapshot. The data of the oldest ones may be in
// the store only; see evictData.
type memoryLog struct {
	snapshotIndex, snapshotTerm uint64
	snapshotMembership          Membership
	entries                     []Entry
}

func (l *memoryLog) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and whether the log or the end of the
// snapshot covers index.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotTerm, true
	case index < l.snapshotIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Term, true
}

func (l *memoryLog) entry(index uint64) Entry { return l.entries[index-l.snapshotIndex-1] }

// copyEntries returns the entries in (after, through], up to maxBytes of data but at
// least one entry.
func (l *memoryLog) copyEntries(after, through uint64, maxBytes int) []Entry {
	var out []Entry
	size := 0
	for i := after + 1; i <= through; i++ {
		e := l.entry(i)
		size += e.dataBytes()
		if len(out) > 0 && size > maxBytes {
			break
		}
		out = append(out, e)
	}
	return out
}

// truncateAndAppend drops the log from the index of the first of entries on, then
// appends entries.
func (l *memoryLog) truncateAndAppend(entries []Entry) {
	kept := entries[0].Index - l.snapshotIndex - 1
	l.entries = append(l.entries[:kept:kept], entries...)
}

// evictData drops the data of commands in entries, the oldest first, until maxBytes are left.
// The caller must have stored the entries. Memberships are always kept. It returns the bytes
// that are left.
func evictData(entries []Entry, maxBytes int) int {
	size := 0
	for i := len(entries) - 1; i >= 0; i-- {
		e := &entries[i]
		if size += len(e.Data); size > maxBytes && e.Kind == EntryCommand && len(e.Data) > 0 {
			size -= len(e.Data)
			e.Data, e.storedBytes = nil, len(e.Data)
		}
	}
	return size
}

// retainFrom returns the index up to which entries may be dropped so that at most maxEntries
// entries with at most maxBytes of data are left before index.
func (l *memoryLog) retainFrom(index, maxEntries uint64, maxBytes int) uint64 {
	size := 0
	for dropTo := index; ; dropTo-- {
		if dropTo <= l.snapshotIndex || index-dropTo >= maxEntries {
			return dropTo
		}
		if size += l.entry(dropTo).dataBytes(); size > maxBytes {
			return dropTo
		}
	}
}

// compact discards the entries up to index, which a snapshot covers. membership is the
// one in force at index.
func (l *memoryLog) compact(index uint64, membership Membership) {
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex, l.snapshotTerm, l.snapshotMembership = index, term, membership
}
