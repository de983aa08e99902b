package peer

import (
	"context"
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

// LeaderRetryPause is the wait between two rounds over the replicas.
const LeaderRetryPause = 50 * time.Millisecond

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

// Call tries the last known leader, then the others, until ctx ends. Only answers
// that prove the call did not run (cannot reach, not leader) are tried elsewhere.
func (l *LeaderClient) Call(ctx context.Context, method string, args, reply any) error {
	for {
		var err error
		for range l.addresses {
			at := l.current()
			err = l.pool.Call(ctx, l.addresses[at], method, args, reply)
			if err == nil {
				return nil
			}
			if silent(err) {
				l.advance(at) // the call may have run; the next one asks another replica
			}
			if !elsewhere(err) || ctx.Err() != nil {
				return err
			}
			l.advance(at)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(LeaderRetryPause):
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

func (l *LeaderClient) current() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// advance moves past the replica at index at, unless another call already did.
func (l *LeaderClient) advance(at int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == at {
		l.last = (at + 1) % len(l.addresses)
	}
}
