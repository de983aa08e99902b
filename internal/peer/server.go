// Package peer carries net/rpc calls between the system's own processes: a server
// that drops silent connections, a pool of client connections that pings each one,
// and a client that follows the control leader.
//
// Invariant: a connection on which nothing was heard for the silence bound is
// closed on both sides, and the next call dials a new one.
package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Defaults for liveness of connections between processes.
const (
	DefaultPingInterval    = 500 * time.Millisecond
	DefaultLivenessTimeout = 2 * time.Second
	DefaultDialTimeout     = time.Second
)

// Server serves net/rpc receivers to peers.
type Server struct {
	rpc     *rpc.Server
	log     *zap.Logger
	silence time.Duration

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server that closes a connection silent for longer than silence.
func NewServer(log *zap.Logger, silence time.Duration) *Server {
	s := &Server{rpc: rpc.NewServer(), log: log, silence: silence, conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName("Peer", pinger{}); err != nil {
		panic(err) // the receiver is our own and fits
	}
	return s
}

// Register offers the receiver's methods under name.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// Serve accepts connections from l until Close. config is nil for plain TCP.
func (s *Server) Serve(l net.Listener, config *tls.Config) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		if config != nil {
			conn = tls.Server(conn, config)
		}
		s.ServeConn(conn)
	}
}

// ServeConn serves one connection in the background.
func (s *Server) ServeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.wg.Go(func() {
		s.rpc.ServeConn(&bounded{Conn: conn, read: s.silence, write: s.silence})
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	})
}

// Close closes every connection and waits for their handlers' readers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Ping is the empty message of a liveness probe.
type Ping struct{}

type pinger struct{}

// Ping answers a liveness probe.
func (pinger) Ping(Ping, *Ping) error { return nil }

// bounded sets a deadline before every read and write, so that a connection on
// which the other side says nothing fails.
type bounded struct {
	net.Conn
	read, write time.Duration
}

// Read reads within the read bound.
func (b *bounded) Read(p []byte) (int, error) {
	if b.read > 0 {
		if err := b.SetReadDeadline(time.Now().Add(b.read)); err != nil {
			return 0, err
		}
	}
	return b.Conn.Read(p)
}

// Write writes within the write bound.
func (b *bounded) Write(p []byte) (int, error) {
	if b.write > 0 {
		if err := b.SetWriteDeadline(time.Now().Add(b.write)); err != nil {
			return 0, err
		}
	}
	return b.Conn.Write(p)
}
