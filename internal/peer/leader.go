package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/errkind"
)

// Caller sends RPCs to the control leader.
type Caller interface {
	// Call calls method on the replica that is the leader. It never returns an error of kind
	// NotLeader. An error of kind Timeout means that the call may have been executed.
	Call(ctx context.Context, method string, args, reply any) error
}

// LeaderRetryInterval is the wait after all replicas were tried without success.
const LeaderRetryInterval = 50 * time.Millisecond

// LeaderClient sends RPCs to the leader among a list of control replicas.
type LeaderClient struct {
	pool      *Pool
	addresses []string

	mu      sync.Mutex
	current int           // index in addresses of the replica to call first
	moved   chan struct{} // closed when Prefer names another replica
}

// NewLeaderClient returns a client of the replicas at addresses.
func NewLeaderClient(pool *Pool, addresses []string) *LeaderClient {
	return &LeaderClient{pool: pool, addresses: addresses, moved: make(chan struct{})}
}

// SetAddresses replaces the replicas. The replica to call first stays the same if addresses
// contains it; otherwise it is the first of addresses. An empty list is ignored.
func (l *LeaderClient) SetAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(addresses) == 0 || slices.Equal(addresses, l.addresses) {
		return
	}
	first := ""
	if l.current < len(l.addresses) {
		first = l.addresses[l.current]
	}
	l.addresses = slices.Clone(addresses)
	l.current = max(0, slices.Index(l.addresses, first))
}

// Prefer makes the replica at address the first to call, for example when another replica
// reported it as the leader. An address that is not in the list is ignored. Calls in progress to
// other replicas end with an error of kind Timeout, as a former leader may not respond at all.
func (l *LeaderClient) Prefer(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := slices.Index(l.addresses, address); at >= 0 && at != l.current {
		l.current = at
		close(l.moved)
		l.moved = make(chan struct{})
	}
}

// Call tries the last known leader first, then the other replicas, until ctx ends. It tries
// another replica only if the call was certainly not executed: the replica is unreachable or
// is not the leader.
func (l *LeaderClient) Call(ctx context.Context, method string, args, reply any) error {
	for {
		var err error
		for range l.count() {
			address := l.currentAddress()
			err = l.callUnlessMoved(ctx, address, method, args, reply)
			if err == nil {
				return nil
			}
			if timedOut(err) {
				l.advance(address) // no retry, as the call may have run; the next call starts elsewhere
			}
			if !mayTryNext(err) || ctx.Err() != nil {
				return err
			}
			l.advance(address)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(LeaderRetryInterval):
		}
	}
}

// callUnlessMoved calls the replica at address until ctx ends or Prefer names another one.
func (l *LeaderClient) callUnlessMoved(ctx context.Context, address, method string, args, reply any) error {
	l.mu.Lock()
	moved := l.moved
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-moved:
			cancel()
		}
	}()
	return l.pool.Call(ctx, address, method, args, reply)
}

// timedOut reports whether the replica sent no response: it is paused, partitioned, or behind a
// middlebox that accepts connections and drops their data.
func timedOut(err error) bool { return errkind.Is(err, errkind.Timeout) }

// mayTryNext reports whether the call may be sent to another replica: it was not executed, and
// this replica is unreachable or is not the leader.
func mayTryNext(err error) bool {
	e := errkind.Of(err)
	return e.Outcome == errkind.NotRun && (e.Kind == errkind.NotLeader || e.Kind == errkind.NoQuorum)
}

func (l *LeaderClient) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.addresses)
}

// currentAddress returns the address of the replica to call first.
func (l *LeaderClient) currentAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[l.current]
}

// advance makes the replica after address the first to call, unless a concurrent call already
// changed it.
func (l *LeaderClient) advance(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[l.current] == address {
		l.current = (l.current + 1) % len(l.addresses)
	}
}
