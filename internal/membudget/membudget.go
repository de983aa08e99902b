// Package membudget bounds the memory that a process holds for the requests that it serves: bodies,
// what has been read of responses and not been delivered, and buffers of connections.
//
// Invariant: the bytes held never exceed the budget.
package membudget

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// requestShare and responseShare are the shares of a process's memory limit that requests, and what is
	// buffered of responses, may hold. They are apart, so that responses that nobody reads keep no
	// request from being served. The Go runtime may use 0.75 of the limit for everything; garbage and
	// the VM's own state need the rest of that.
	requestShare  = 0.2
	responseShare = 0.1
	// socketShare is the share of the memory limit for what the operating system buffers for
	// socketReaders slow readers, each with a connection on both sides.
	socketShare   = 0.15
	socketReaders = 200
	// socketCost is the memory of a request's buffers in sizes of one buffer: two buffers, for which the
	// operating system takes twice their size.
	socketCost = 4
	// minSocketBytes and maxSocketBytes bound the size of one buffer. Smaller ones slow down
	// connections with round trips of some milliseconds.
	minSocketBytes = 16 << 10
	maxSocketBytes = 64 << 10
	// unlimitedBytes is the budget of a process without a memory limit.
	unlimitedBytes = 256 << 20
	// partShare is the share of a budget that parts of requests may take. The rest is kept for requests that begin.
	partShare = 0.9
	// reclaimAttempts and reclaimPause are how often memory is reclaimed for a request that finds none, and the time for
	// its holder to give it back.
	reclaimAttempts = 10
	reclaimPause    = 5 * time.Millisecond
	// RequestBytes is what a request holds apart from its body: goroutines, buffers of both
	// connections, and the first part of a response.
	RequestBytes = 96 << 10
)

// Limits are the bounds of a process in bytes.
type Limits struct {
	Requests     int64 // of all requests together
	Responses    int64 // buffered of all responses together
	SocketBuffer int   // of one direction of one connection
}

// LimitsFor returns the bounds under a memory limit in bytes; 0 means that there is none.
func LimitsFor(memoryBytes int64) Limits {
	if memoryBytes <= 0 {
		return Limits{Requests: unlimitedBytes, Responses: unlimitedBytes, SocketBuffer: maxSocketBytes}
	}
	socket := int(socketShare * float64(memoryBytes) / socketReaders / socketCost)
	return Limits{
		Requests: int64(requestShare * float64(memoryBytes)), Responses: int64(responseShare * float64(memoryBytes)),
		SocketBuffer: min(max(socket, minSocketBytes), maxSocketBytes),
	}
}

// Budget counts the bytes held. It is safe for concurrent use.
type Budget struct {
	labels  prometheus.Labels
	limit   int64
	held    atomic.Int64
	refused prometheus.Counter
	// reclaim makes a holder give back its bytes soon and reports whether there was one.
	reclaim func() bool
}

// New returns a budget of limit bytes. use is the label of its metrics.
func New(limit int64, use string) *Budget {
	labels := prometheus.Labels{"use": use}
	return &Budget{limit: limit, labels: labels, refused: prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "memory", Name: "refused_total", Help: "Times that there was no memory left for a request or a part of a response.", ConstLabels: labels,
	})}
}

// ReclaimWith sets what Acquire calls when no bytes are left: reclaim makes a holder give back its bytes soon and
// reports whether there was one. It must be called before the budget is used.
func (b *Budget) ReclaimWith(reclaim func() bool) { b.reclaim = reclaim }

// TryAcquire takes n bytes and reports whether they were left.
func (b *Budget) TryAcquire(n int64) bool {
	if b.tryAcquire(n, b.limit) {
		return true
	}
	b.refused.Inc()
	return false
}

func (b *Budget) tryAcquire(n, limit int64) bool {
	if b.held.Add(n) > limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// Acquire takes n bytes and reports whether they were left, or were given back within some milliseconds.
func (b *Budget) Acquire(ctx context.Context, n int64) bool {
	return b.reclaimUntil(ctx, func() bool { return b.tryAcquire(n, b.limit) })
}

// acquirePart is Acquire for a part of a request that has begun. It leaves bytes for other requests.
func (b *Budget) acquirePart(ctx context.Context, n int64) bool {
	return b.reclaimUntil(ctx, func() bool { return b.tryAcquire(n, b.partLimit()) })
}

// fits reports whether n bytes are left for parts of a request, or were given back within some milliseconds.
func (b *Budget) fits(ctx context.Context, n int64) bool {
	return b.reclaimUntil(ctx, func() bool { return b.held.Load()+n <= b.partLimit() })
}

func (b *Budget) partLimit() int64 { return int64(partShare * float64(b.limit)) }

// reclaimUntil reclaims memory until the condition holds, and reports whether it does.
func (b *Budget) reclaimUntil(ctx context.Context, condition func() bool) bool {
	if condition() {
		return true
	}
	for range reclaimAttempts {
		if b.reclaim == nil || !b.reclaim() {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(reclaimPause):
		}
		if condition() {
			return true
		}
	}
	b.refused.Inc()
	return false
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) { b.held.Add(-n) }

// Held returns the bytes held.
func (b *Budget) Held() int64 { return b.held.Load() }

// Collectors returns the metrics of the budget.
func (b *Budget) Collectors() []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "eelgrass", Subsystem: "memory", Name: name, Help: help, ConstLabels: b.labels}, value)
	}
	return []prometheus.Collector{
		b.refused,
		gauge("held_bytes", "Bytes held for requests.", func() float64 { return float64(b.Held()) }),
		gauge("held_limit_bytes", "Bytes that may be held for requests.", func() float64 { return float64(b.limit) }),
	}
}
