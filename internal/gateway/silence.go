package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// probeAfter is how long a server may send nothing for an attempt before this VM checks
	// whether it is reachable at all.
	probeAfter = 300 * time.Millisecond
	// minSilence is the shortest silence of an attempt that is given up when its server turns
	// out to be unreachable.
	minSilence = 200 * time.Millisecond
)

// ErrUnreachable marks the error of a send to a server that did not answer the opening of a
// connection. A server that refuses connections is not unreachable.
var ErrUnreachable = errors.New("server is unreachable")

// silenceWatch finds attempts whose server has become unreachable. Silence alone does not end
// an attempt, because a busy server may be slow: a connection has to fail to open as well. It is
// safe for concurrent use.
type silenceWatch struct {
	// probe opens a connection to an address and closes it again.
	probe func(ctx context.Context, address string) error
	log   *zap.Logger

	mu       sync.Mutex
	attempts map[string]map[*watchedAttempt]struct{} // by server address
	probing  map[string]bool
}

func newSilenceWatch(probe func(context.Context, string) error, log *zap.Logger) *silenceWatch {
	return &silenceWatch{probe: probe, log: log, attempts: map[string]map[*watchedAttempt]struct{}{}, probing: map[string]bool{}}
}

// watchedAttempt is an attempt that another one may follow.
type watchedAttempt struct {
	watch      *silenceWatch
	address    string
	giveUp     context.CancelCauseFunc
	timer      *time.Timer
	activityAt time.Time // guarded by silenceWatch.mu
}

// add starts to watch an attempt. giveUp is called with ErrUnreachable when its server is
// unreachable.
func (s *silenceWatch) add(address string, giveUp context.CancelCauseFunc) *watchedAttempt {
	a := &watchedAttempt{watch: s, address: address, giveUp: giveUp, activityAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[address] == nil {
		s.attempts[address] = map[*watchedAttempt]struct{}{}
	}
	s.attempts[address][a] = struct{}{}
	a.timer = time.AfterFunc(probeAfter, a.check)
	return a
}

// remove ends the watch of an attempt; a may be nil.
func (a *watchedAttempt) remove() {
	if a == nil {
		return
	}
	s := a.watch
	s.mu.Lock()
	defer s.mu.Unlock()
	a.timer.Stop()
	delete(s.attempts[a.address], a)
	if len(s.attempts[a.address]) == 0 {
		delete(s.attempts, a.address)
	}
}

// received records that the server has sent something; a may be nil.
func (a *watchedAttempt) received() {
	if a == nil {
		return
	}
	a.watch.mu.Lock()
	defer a.watch.mu.Unlock()
	a.activityAt = time.Now()
}

// check probes the server if the attempt has been silent for probeAfter, and otherwise comes
// back when it will have been.
func (a *watchedAttempt) check() {
	s := a.watch
	s.mu.Lock()
	if _, watched := s.attempts[a.address][a]; !watched {
		s.mu.Unlock()
		return
	}
	silence := time.Since(a.activityAt)
	if silence < probeAfter {
		a.timer.Reset(probeAfter - silence)
		s.mu.Unlock()
		return
	}
	a.timer.Reset(probeAfter)
	busy := s.probing[a.address]
	s.probing[a.address] = true
	s.mu.Unlock()
	if busy {
		return
	}
	err := s.probe(context.Background(), a.address)
	s.mu.Lock()
	delete(s.probing, a.address)
	s.mu.Unlock()
	if errors.Is(err, ErrUnreachable) {
		s.unreachable(a.address)
	}
}

// unreachable gives up the silent attempts at an address that could not be connected to.
func (s *silenceWatch) unreachable(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for a := range s.attempts[address] {
		if time.Since(a.activityAt) >= minSilence {
			n++
			a.giveUp(ErrUnreachable)
		}
	}
	if n > 0 {
		s.log.Info("silent attempts given up, their server is unreachable", zap.String("address", address), zap.Int("attempts", n))
	}
}
