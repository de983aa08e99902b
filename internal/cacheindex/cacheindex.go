// Package cacheindex estimates which endpoints have which prefixes cached. Its main inputs are
// the endpoints to which requests were sent and the cached-token counts of their responses;
// cache events only correct the estimate. The package does no I/O, and callers pass in the
// current time.
//
// Invariant: a match never includes an entry of an earlier incarnation of an endpoint, because
// every holder has the generation of the endpoint at which it was recorded.
package cacheindex

import (
	"time"

	"eelgrasshollow/internal/prefix"
)

// Endpoint is the number of an endpoint within one index. Numbers start at 0.
type Endpoint uint16

// InitialLifetime is the lifetime of the entries of a new endpoint.
const InitialLifetime = 30 * time.Second

const (
	tickLength  = 10 * time.Millisecond
	minLifetime = 200 * time.Millisecond
	maxLifetime = 10 * time.Minute
	shrinkShare = 0.3  // share by which a miss shrinks the gap between lifetime and age of the entry
	growFactor  = 1.05 // growth of the lifetime after a hit in its older half
	noEntry     = -1   // end of the list of entries
)

// holder records that an endpoint has a prefix cached.
type holder struct {
	endpoint   Endpoint
	generation uint16 // of the endpoint when this was recorded
	recordedAt uint32 // ticks since Index.startedAt
}

// entry is a prefix and an element of the doubly linked list in order of last use.
type entry struct {
	hash     prefix.Hash
	child    prefix.Hash // first recorded continuation, or 0
	branched bool        // a second continuation was recorded
	newer    int32       // position in Index.entries, or noEntry
	older    int32       // position in Index.entries, or noEntry
	rate     float32     // uses per second at rateAt, as an exponentially decaying average
	rateAt   uint32      // ticks since Index.startedAt
	holders  []holder
	occupied bool
}

// endpointState is the state of one endpoint.
type endpointState struct {
	generation uint16        // incremented by ClearEndpoint
	lifetime   time.Duration // holders older than this no longer count as cached
}

// Index tracks a limited number of prefixes and evicts the least recently used ones. It is not
// safe for concurrent use.
type Index struct {
	startedAt time.Time
	limit     int                   // number of prefixes
	byHash    map[prefix.Hash]int32 // position in entries
	entries   []entry
	free      []int32 // unoccupied positions in entries
	newest    int32   // most recently used entry
	oldest    int32   // least recently used entry
	endpoints []endpointState
}

// New returns an empty index of at most limit prefixes.
func New(limit int, now time.Time) *Index {
	return &Index{startedAt: now, limit: limit, byHash: map[prefix.Hash]int32{}, newest: noEntry, oldest: noEntry}
}

// AddEndpoint adds an endpoint and returns its number.
func (x *Index) AddEndpoint() Endpoint {
	x.endpoints = append(x.endpoints, endpointState{lifetime: InitialLifetime})
	return Endpoint(len(x.endpoints) - 1)
}

// ClearEndpoint removes all holders of an endpoint that has a new incarnation or was removed.
func (x *Index) ClearEndpoint(e Endpoint) { x.endpoints[e].generation++ }

// SetLifetime sets the lifetime of an endpoint's entries: older ones no longer count as cached.
func (x *Index) SetLifetime(e Endpoint, lifetime time.Duration) { x.endpoints[e].lifetime = lifetime }

// Lifetime returns the lifetime of an endpoint's entries.
func (x *Index) Lifetime(e Endpoint) time.Duration { return x.endpoints[e].lifetime }

// Len returns the number of prefixes in the index.
func (x *Index) Len() int { return len(x.byHash) }

// Touch records that the endpoint has, or will soon have, every prefix of the chain cached, and
// counts a use of each. If the endpoint already holds a prefix, the later time is kept.
func (x *Index) Touch(e Endpoint, chain []prefix.Hash, now time.Time) {
	at := x.ticks(now)
	for i := len(chain) - 1; i >= 0; i-- { // in this order, a parent is evicted after its children
		pos := x.markUsed(chain[i])
		en := &x.entries[pos]
		if i+1 < len(chain) {
			en.recordChild(chain[i+1])
		}
		en.recordUse(at)
		x.recordHolder(en, e, at)
	}
}

// RecordStored records that the endpoint's current incarnation has the prefixes cached, as
// learned from cache events, responses or digests of peers. It counts no use.
func (x *Index) RecordStored(e Endpoint, hashes []prefix.Hash, now time.Time) {
	at := x.ticks(now)
	for _, h := range hashes {
		x.recordHolder(&x.entries[x.markUsed(h)], e, at)
	}
}

// Remove records that the endpoint evicted the prefixes at removedAt. Holders that were recorded
// after removedAt are kept.
func (x *Index) Remove(e Endpoint, hashes []prefix.Hash, removedAt time.Time) {
	at := x.ticks(removedAt)
	for _, h := range hashes {
		pos, ok := x.byHash[h]
		if !ok {
			continue
		}
		en := &x.entries[pos]
		for i := range en.holders {
			if en.holders[i].endpoint == e && en.holders[i].recordedAt <= at {
				en.removeHolder(i)
				break
			}
		}
	}
}

// recordHolder records that the endpoint holds the entry. It also removes holders of earlier
// generations that precede the endpoint's holder.
func (x *Index) recordHolder(en *entry, e Endpoint, at uint32) {
	generation := x.endpoints[e].generation
	for i := 0; i < len(en.holders); {
		h := &en.holders[i]
		switch {
		case h.endpoint == e:
			if h.generation != generation || h.recordedAt < at {
				*h = holder{e, generation, at}
			}
			return
		case x.endpoints[h.endpoint].generation != h.generation:
			en.removeHolder(i)
		default:
			i++
		}
	}
	en.holders = append(en.holders, holder{e, generation, at})
}

// removeHolder removes the i-th holder; it does not keep the order of holders.
func (en *entry) removeHolder(i int) {
	last := len(en.holders) - 1
	en.holders[i] = en.holders[last]
	en.holders = en.holders[:last]
}

// recordChild records a continuation of the prefix.
func (en *entry) recordChild(child prefix.Hash) {
	if en.child == 0 {
		en.child = child
	} else if en.child != child {
		en.branched = true
	}
}

// ticks returns the number of ticks from startedAt to t, or 0 if t is before startedAt.
func (x *Index) ticks(t time.Time) uint32 {
	if t.Before(x.startedAt) {
		return 0
	}
	return uint32(t.Sub(x.startedAt) / tickLength)
}

// markUsed returns the position of the prefix's entry, which it adds if there is none, and makes
// it the most recently used.
func (x *Index) markUsed(h prefix.Hash) int32 {
	pos, ok := x.byHash[h]
	if ok {
		x.unlink(pos)
	} else {
		pos = x.insert(h)
	}
	en := &x.entries[pos]
	en.older, en.newer = x.newest, noEntry
	if x.newest != noEntry {
		x.entries[x.newest].newer = pos
	} else {
		x.oldest = pos
	}
	x.newest = pos
	return pos
}

// insert adds an entry for the prefix and returns its position. It evicts an entry if the index
// is full. The entry is not linked yet.
func (x *Index) insert(h prefix.Hash) int32 {
	if len(x.byHash) >= x.limit {
		x.evict()
	}
	var pos int32
	if last := len(x.free) - 1; last >= 0 {
		pos = x.free[last]
		x.free = x.free[:last]
	} else {
		x.entries = append(x.entries, entry{})
		pos = int32(len(x.entries) - 1)
	}
	x.entries[pos] = entry{hash: h, holders: x.entries[pos].holders[:0], occupied: true}
	x.byHash[h] = pos
	return pos
}

// evict removes the least recently used entry.
func (x *Index) evict() {
	pos := x.oldest
	x.unlink(pos)
	delete(x.byHash, x.entries[pos].hash)
	x.entries[pos].occupied = false
	x.free = append(x.free, pos)
}

// unlink removes an entry from the list of last use.
func (x *Index) unlink(pos int32) {
	en := &x.entries[pos]
	if en.older != noEntry {
		x.entries[en.older].newer = en.newer
	} else {
		x.oldest = en.newer
	}
	if en.newer != noEntry {
		x.entries[en.newer].older = en.older
	} else {
		x.newest = en.older
	}
}
