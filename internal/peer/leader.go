package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/errkind"
)

// Caller makes calls to the control leader.
type Caller interface {
	// Call calls method on whichever replica leads. NotLeader never comes back;
	// Timeout says that the call may have run.
	Call(ctx context.Context, method string, args, reply any) error
}

// LeaderRetryInterval is the wait between two rounds over the replicas.
const LeaderRetryInterval = 50 * time.Millisecond

// LeaderClient follows the leader among a fixed list of control replicas.
type LeaderClient struct {
	pool      *Pool
	addresses []string

	mu   sync.Mutex
	last int
}

// NewLeaderClient returns a client of the replicas at addresses.
func NewLeaderClient(pool *Pool, addresses []string) *LeaderClient {
	return &LeaderClient{pool: pool, addresses: addresses}
}

// SetAddresses replaces the replicas; the last known leader stays the first to ask.
func (l *LeaderClient) SetAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(addresses) == 0 || slices.Equal(addresses, l.addresses) {
		return
	}
	leader := ""
	if l.last < len(l.addresses) {
		leader = l.addresses[l.last]
	}
	l.addresses = slices.Clone(addresses)
	l.last = max(0, slices.Index(l.addresses, leader))
}

// Prefer makes the replica at address the first to ask, as when another one named it as
// the leader. One that is not known is ignored.
func (l *LeaderClient) Prefer(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := slices.Index(l.addresses, address); at >= 0 {
		l.last = at
	}
}

// Skip moves on from the replica that is asked first.
func (l *LeaderClient) Skip() { l.advance(l.current()) }

// Call tries the last known leader, then the others, until ctx ends. Only answers
// that prove the call did not run (cannot reach, not leader) are tried elsewhere.
func (l *LeaderClient) Call(ctx context.Context, method string, args, reply any) error {
	for {
		var err error
		for range l.count() {
			address := l.current()
			err = l.pool.Call(ctx, address, method, args, reply)
			if err == nil {
				return nil
			}
			if silent(err) {
				l.advance(address) // the call may have run; the next one asks another replica
			}
			if !elsewhere(err) || ctx.Err() != nil {
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

// silent reports that no answer came: the replica is paused, cut off, or behind
// something that takes connections and drops them.
func silent(err error) bool { return errkind.Is(err, errkind.Timeout) }

func elsewhere(err error) bool {
	e := errkind.Of(err)
	return e.Outcome == errkind.NotRun && (e.Kind == errkind.NotLeader || e.Kind == errkind.NoQuorum)
}

func (l *LeaderClient) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.addresses)
}

// current returns the replica to ask.
func (l *LeaderClient) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[l.last]
}

// advance moves past the replica at address, unless another call already did.
func (l *LeaderClient) advance(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[l.last] == address {
		l.last = (l.last + 1) % len(l.addresses)
	}
}
