// Package cacheindex tracks which endpoint probably holds which prefix. It stands on
// where requests were sent and on the cached-token counts of their answers; cache
// events only correct it. It does no I/O and takes the time in.
//
// Invariant: a match never names an entry of an earlier incarnation of an endpoint,
// because every holder carries the generation it was learned under.
package cacheindex

import (
	"time"

	"eelgrasshollow/internal/prefix"
)

// Endpoint is the small number of an endpoint within one index.
type Endpoint uint16

// InitialLifetime is the age up to which entries of a new endpoint are believed.
const InitialLifetime = 30 * time.Second

const (
	tick        = 10 * time.Millisecond
	minLifetime = 200 * time.Millisecond
	maxLifetime = 10 * time.Minute
	shrinkShare = 0.3  // of the gap to the age at which an entry was found missing
	growFactor  = 1.05 // for a hit in the older half of the lifetime
	nowhere     = -1
)

type holder struct {
	endpoint   Endpoint
	generation uint16
	at         uint32 // ticks since the index began
}

type entry struct {
	hash     prefix.Hash
	child    prefix.Hash // first continuation seen
	forked   bool        // a second continuation was seen
	newer    int32
	older    int32
	rate     float32 // touches per second, decaying
	rateAt   uint32
	holders  []holder
	occupied bool
}

type endpointState struct {
	generation uint16
	lifetime   time.Duration
}

// Index is bounded by the number of prefixes it tracks; the least recently used go
// first. It is not safe for concurrent use.
type Index struct {
	began     time.Time
	limit     int
	byHash    map[prefix.Hash]int32
	entries   []entry
	free      []int32
	newest    int32
	oldest    int32
	endpoints []endpointState
}

// New returns an index of at most limit prefixes.
func New(limit int, now time.Time) *Index {
	return &Index{began: now, limit: limit, byHash: map[prefix.Hash]int32{}, newest: nowhere, oldest: nowhere}
}

// Add returns the number for a further endpoint.
func (x *Index) AddEndpoint() Endpoint {
	x.endpoints = append(x.endpoints, endpointState{lifetime: InitialLifetime})
	return Endpoint(len(x.endpoints) - 1)
}

// Forget empties what is known of an endpoint: it has a new incarnation or is gone.
func (x *Index) ClearEndpoint(e Endpoint) { x.endpoints[e].generation++ }

// Believe sets the age up to which entries of the endpoint are believed.
func (x *Index) SetLifetime(e Endpoint, age time.Duration) { x.endpoints[e].lifetime = age }

// Lifetime is the age up to which entries of the endpoint are believed.
func (x *Index) Lifetime(e Endpoint) time.Duration { return x.endpoints[e].lifetime }

// Len is the number of prefixes tracked.
func (x *Index) Len() int { return len(x.byHash) }

// Touch records that the endpoint holds, or is about to compute, every prefix of the
// chain. A later touch wins over an earlier one; an older one changes nothing.
func (x *Index) Touch(e Endpoint, chain []prefix.Hash, now time.Time) {
	at := x.ticks(now)
	for i := len(chain) - 1; i >= 0; i-- { // parents end up more recent than children
		n := x.use(chain[i])
		en := &x.entries[n]
		if i+1 < len(chain) {
			en.follow(chain[i+1])
		}
		en.count(at)
		x.hold(en, e, at)
	}
}

// Stored records cache events of the endpoint's present incarnation; it counts no
// use.
func (x *Index) RecordStored(e Endpoint, hashes []prefix.Hash, now time.Time) {
	at := x.ticks(now)
	for _, h := range hashes {
		x.hold(&x.entries[x.use(h)], e, at)
	}
}

// Remove records that the endpoint no longer holds the prefixes, unless it was given
// them again after the time at which they went.
func (x *Index) Remove(e Endpoint, hashes []prefix.Hash, went time.Time) {
	at := x.ticks(went)
	for _, h := range hashes {
		n, ok := x.byHash[h]
		if !ok {
			continue
		}
		en := &x.entries[n]
		for i := range en.holders {
			if en.holders[i].endpoint == e && en.holders[i].at <= at {
				en.drop(i)
				break
			}
		}
	}
}

func (x *Index) hold(en *entry, e Endpoint, at uint32) {
	generation := x.endpoints[e].generation
	for i := 0; i < len(en.holders); {
		h := &en.holders[i]
		switch {
		case h.endpoint == e:
			if h.generation != generation || h.at < at {
				*h = holder{e, generation, at}
			}
			return
		case x.endpoints[h.endpoint].generation != h.generation:
			en.drop(i)
		default:
			i++
		}
	}
	en.holders = append(en.holders, holder{e, generation, at})
}

func (en *entry) drop(i int) {
	last := len(en.holders) - 1
	en.holders[i] = en.holders[last]
	en.holders = en.holders[:last]
}

func (en *entry) follow(child prefix.Hash) {
	if en.child == 0 {
		en.child = child
	} else if en.child != child {
		en.forked = true
	}
}

func (x *Index) ticks(t time.Time) uint32 {
	if t.Before(x.began) {
		return 0
	}
	return uint32(t.Sub(x.began) / tick)
}

// use finds or makes the entry and moves it to the recent end.
func (x *Index) use(h prefix.Hash) int32 {
	n, ok := x.byHash[h]
	if ok {
		x.unlink(n)
	} else {
		n = x.take(h)
	}
	en := &x.entries[n]
	en.older, en.newer = x.newest, nowhere
	if x.newest != nowhere {
		x.entries[x.newest].newer = n
	} else {
		x.oldest = n
	}
	x.newest = n
	return n
}

func (x *Index) take(h prefix.Hash) int32 {
	if len(x.byHash) >= x.limit {
		x.evict()
	}
	var n int32
	if last := len(x.free) - 1; last >= 0 {
		n = x.free[last]
		x.free = x.free[:last]
	} else {
		x.entries = append(x.entries, entry{})
		n = int32(len(x.entries) - 1)
	}
	x.entries[n] = entry{hash: h, holders: x.entries[n].holders[:0], occupied: true}
	x.byHash[h] = n
	return n
}

func (x *Index) evict() {
	n := x.oldest
	x.unlink(n)
	delete(x.byHash, x.entries[n].hash)
	x.entries[n].occupied = false
	x.free = append(x.free, n)
}

func (x *Index) unlink(n int32) {
	en := &x.entries[n]
	if en.older != nowhere {
		x.entries[en.older].newer = en.newer
	} else {
		x.oldest = en.newer
	}
	if en.newer != nowhere {
		x.entries[en.newer].older = en.older
	} else {
		x.newest = en.older
	}
}
