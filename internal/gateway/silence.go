package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// probeAfter is how long a server may send nothing for an attempt before this VM checks
	// whether it is reachable at all.
	probeAfter = 300 * time.Millisecond
	// probePause is the time between a failed check and the next one.
	probePause = 50 * time.Millisecond
	// lossAfter is how long a server must not have been reached, and an attempt must have been
	// silent, before the attempt is given up. Sound servers may be silent for about a second, and
	// TCP may send again what was lost meanwhile only 0.45 s later.
	lossAfter = 1500 * time.Millisecond
	// minProbeTime is the least time that a check has. Checks are cut short so that lost servers
	// are given up at lossAfter, or this much later.
	minProbeTime = 100 * time.Millisecond
	// avoidTime is how long new requests avoid a server after a failed check. It lasts until the
	// next check, which may take the longest connect timeout of 0.4 s.
	avoidTime = 500 * time.Millisecond
	// outageTTL is how long a failed connection to a server counts as part of the same outage.
	outageTTL = 5 * time.Second
	// maxOutages is the number of servers from which on those of past outages are removed.
	maxOutages = 256
)

// ErrUnreachable marks the error of a send to a server that did not answer the opening of a
// connection. A server that refuses connections is not unreachable.
var ErrUnreachable = errors.New("server is unreachable")

// silenceWatch finds attempts whose server has become unreachable. Silence alone does not end
// an attempt, because a busy server may be slow: no connection may open for lossAfter either. It is
// safe for concurrent use.
type silenceWatch struct {
	// probe opens a connection to an address and closes it again.
	probe func(ctx context.Context, address string) error
	log   *zap.Logger

	mu      sync.Mutex
	servers map[string]*watchedServer // by address
}

// watchedServer is a server with watched attempts, or to which connecting has failed.
type watchedServer struct {
	attempts map[*watchedAttempt]struct{}
	probing  bool
	// contactAt is when it last sent something or accepted a connection, or the begin of the
	// watch. failedAt is when connecting last failed, or zero if it has succeeded since.
	contactAt, failedAt time.Time
}

func newSilenceWatch(probe func(context.Context, string) error, log *zap.Logger) *silenceWatch {
	return &silenceWatch{probe: probe, log: log, servers: map[string]*watchedServer{}}
}

// watchedAttempt is an attempt that another one may follow.
type watchedAttempt struct {
	watch      *silenceWatch
	address    string
	giveUp     context.CancelCauseFunc
	avoid      func()
	timer      *time.Timer
	activityAt time.Time // guarded by silenceWatch.mu
}

// server returns the watched server at an address. The caller holds the mutex.
func (s *silenceWatch) server(address string) *watchedServer {
	server := s.servers[address]
	if server == nil {
		server = &watchedServer{attempts: map[*watchedAttempt]struct{}{}, contactAt: time.Now()}
		s.servers[address] = server
		if len(s.servers) > maxOutages {
			maps.DeleteFunc(s.servers, func(_ string, o *watchedServer) bool { return o != server && o.unused() })
		}
	}
	return server
}

// unused reports whether nothing about the server is of use any more.
func (s *watchedServer) unused() bool {
	return len(s.attempts) == 0 && time.Since(s.failedAt) > outageTTL
}

// add starts to watch an attempt. giveUp is called with ErrUnreachable when its server is lost,
// avoid when new requests should avoid the server for avoidTime.
func (s *silenceWatch) add(address string, giveUp context.CancelCauseFunc, avoid func()) *watchedAttempt {
	a := &watchedAttempt{watch: s, address: address, giveUp: giveUp, avoid: avoid, activityAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.server(address)
	if server.unused() {
		server.contactAt = time.Now()
	}
	server.attempts[a] = struct{}{}
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
	server := s.servers[a.address]
	delete(server.attempts, a)
	if server.unused() {
		delete(s.servers, a.address)
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
	server := a.watch.servers[a.address]
	server.contactAt, server.failedAt = a.activityAt, time.Time{}
}

// check probes the server if the attempt has been silent for probeAfter, and otherwise comes
// back when it will have been.
func (a *watchedAttempt) check() {
	s := a.watch
	s.mu.Lock()
	server := s.servers[a.address]
	if server == nil {
		s.mu.Unlock()
		return
	}
	if _, watched := server.attempts[a]; !watched {
		s.mu.Unlock()
		return
	}
	silence := time.Since(a.activityAt)
	if silence < probeAfter {
		a.timer.Reset(probeAfter - silence)
		s.mu.Unlock()
		return
	}
	if server.probing {
		a.timer.Reset(probeAfter)
		s.mu.Unlock()
		return
	}
	server.probing = true
	timeLeft := lossAfter - min(silence, time.Since(server.contactAt))
	s.mu.Unlock()

	ctx, cancel := context.WithCancel(context.Background())
	if timeLeft > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), max(timeLeft, minProbeTime))
	}
	err := s.probe(ctx, a.address)
	failed := errors.Is(err, ErrUnreachable) || err != nil && ctx.Err() != nil
	cancel()
	next := probeAfter
	if failed {
		next = probePause
		a.avoid() // first, so that what is given up goes elsewhere
		s.unreachable(a.address)
	} else {
		s.reached(a.address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	server.probing = false
	if _, watched := server.attempts[a]; watched {
		a.timer.Reset(next)
	}
}

// reached records that the server at an address has answered or refused a connection.
func (s *silenceWatch) reached(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server := s.servers[address]; server != nil {
		server.contactAt, server.failedAt = time.Now(), time.Time{}
		if server.unused() {
			delete(s.servers, address)
		}
	}
}

// unreachable records that connecting to an address has failed. It reports whether the server is
// lost, and then gives up its silent attempts.
func (s *silenceWatch) unreachable(address string) (lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.server(address)
	if server.unused() {
		server.contactAt = time.Now()
	}
	server.failedAt = time.Now()
	if time.Since(server.contactAt) < lossAfter {
		return false
	}
	n := 0
	for a := range server.attempts {
		if time.Since(a.activityAt) >= lossAfter {
			n++
			a.giveUp(ErrUnreachable)
		}
	}
	if n > 0 {
		s.log.Info("silent attempts given up, their server is unreachable", zap.String("address", address), zap.Int("attempts", n))
	}
	return true
}

// silent reports whether connecting to the server at an address has failed and it is not lost yet.
func (s *silenceWatch) silent(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.servers[address]
	return server != nil && !server.failedAt.IsZero() && !server.unused() && time.Since(server.contactAt) < lossAfter
}
