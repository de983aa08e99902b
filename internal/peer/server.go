// Package peer implements net/rpc between the system's own processes: a server that closes
// unresponsive connections, a pool of client connections with periodic pings, and a client
// of the control leader.
//
// Invariant: both sides close an unresponsive connection, and the next call dials a new one.
// The server closes a connection on which it received nothing for the liveness timeout, the
// client one on which a ping got no response within it.
package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"eelgrasshollow/internal/connguard"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Default liveness settings of connections between processes.
const (
	DefaultPingInterval    = 500 * time.Millisecond
	DefaultLivenessTimeout = 2 * time.Second
	DefaultDialTimeout     = time.Second
	DefaultIdleTimeout     = 5 * time.Second
	// firstDialAttempt limits the first attempt to connect; each further one takes twice as
	// long.
	firstDialAttempt = 100 * time.Millisecond
)

// Server serves net/rpc receivers to peers.
type Server struct {
	rpc     *rpc.Server
	log     *zap.Logger
	timeout time.Duration // of every read and write

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server that closes a connection after it received nothing for timeout,
// or could not complete a write within timeout.
func NewServer(log *zap.Logger, timeout time.Duration) *Server {
	s := &Server{rpc: rpc.NewServer(), log: log, timeout: timeout, conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName("Peer", pingService{}); err != nil {
		panic(err) // can't happen: pingService has a suitable method
	}
	return s
}

// Register registers the methods of receiver under name.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// Serve accepts connections from listener until it is closed, and returns the error of Accept.
// A nil config means TCP without TLS.
func (s *Server) Serve(listener net.Listener, config *tls.Config) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept peer connection")
		}
		plain := conn
		if config != nil {
			plain = tls.Server(conn, config)
		}
		s.serve(connguard.Bound(conn, plain))
	}
}

// ServeConn serves one connection in the background.
func (s *Server) ServeConn(conn net.Conn) { s.serve(connguard.Bound(conn, conn)) }

// serve serves one connection in the background.
func (s *Server) serve(conn *connguard.MessageConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.wg.Go(func() {
		s.rpc.ServeCodec(newServerCodec(&deadlineConn{Conn: conn, readTimeout: s.timeout, writeTimeout: s.timeout}, conn))
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	})
}

// Close closes every connection and waits until its serving goroutine has returned.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Ping is the empty argument and reply of the RPC Peer.Ping.
type Ping struct{}

// pingService is the net/rpc receiver of Peer.Ping.
type pingService struct{}

// Ping returns nil; a client calls it to check that the connection works.
func (pingService) Ping(Ping, *Ping) error { return nil }

// deadlineConn sets a deadline before every read and write, so that a connection to an
// unresponsive peer fails. A timeout of 0 means no deadline.
type deadlineConn struct {
	net.Conn
	readTimeout, writeTimeout time.Duration
}

// Read implements net.Conn with the read timeout.
func (c *deadlineConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn with the write timeout.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
