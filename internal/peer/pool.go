package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"eelgrasshollow/internal/errkind"
)

// Options configures a Pool. Zero values mean the defaults; a nil TLS means TCP without TLS.
type Options struct {
	Dial            func(ctx context.Context, address string) (net.Conn, error)
	TLS             *tls.Config
	DialTimeout     time.Duration
	PingInterval    time.Duration
	LivenessTimeout time.Duration // for the response to a ping and for a write
	IdleTimeout     time.Duration // after which a connection without calls is closed
}

// Pool keeps one connection for each peer address that is in use, pings it, and dials a new one
// after it was lost.
type Pool struct {
	options Options

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

// clientConn is a connection of a Pool.
type clientConn struct {
	ready chan struct{} // closed when rpc or err is set
	rpc   *rpc.Client
	err   error         // error of the dial
	done  chan struct{} // closed when the connection is closed
	once  sync.Once     // for close

	// calls is the number of calls that use the connection, and lastUsed the time when the last
	// one ended. Pool.mu guards both.
	calls    int
	lastUsed time.Time
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.PingInterval == 0 {
		options.PingInterval = DefaultPingInterval
	}
	if options.LivenessTimeout == 0 {
		options.LivenessTimeout = DefaultLivenessTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	return &Pool{options: options, conns: map[string]*clientConn{}}
}

// Call calls method on the peer at address. reply points to the value for the response, which
// is set only if Call returns nil. An error of the handler keeps its kind. If the dial fails or
// ctx ends before the connection is ready, the error has kind NoQuorum and outcome NotRun. If the
// connection is lost or ctx ends after the call was sent, the error has kind Timeout and outcome
// Unknown.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.get(ctx, address)
	if c != nil {
		defer p.release(c)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.NoQuorum, "peer %s is unreachable", address)
	}
	// Decode into a separate value: a response may be received after Call has returned, when
	// the caller may already use reply for a retry.
	response := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.rpc.Go(method, args, response.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(response.Elem())
			return nil
		}
		if call.Error == rpc.ErrShutdown {
			p.drop(address, c)
		}
		return decodeError(call.Error)
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "peer %s did not respond to %s in time", address, method)
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns, p.closed = map[string]*clientConn{}, true
	p.mu.Unlock()
	for _, c := range conns {
		<-c.ready
		c.close()
	}
}

// get returns the connection to address once it is dialed. It starts the dial if there is none.
// The caller must release a connection that is not nil, also if there is an error.
func (p *Pool) get(ctx context.Context, address string) (*clientConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, rpc.ErrShutdown
	}
	c := p.conns[address]
	if c == nil {
		c = &clientConn{ready: make(chan struct{}), done: make(chan struct{})}
		p.conns[address] = c
		go p.dial(address, c)
	}
	c.calls++
	p.mu.Unlock()
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return c, ctx.Err()
	}
}

// release ends a call's use of a connection.
func (p *Pool) release(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.lastUsed = time.Now()
}

// dropIdle removes and closes a connection that has had no call for the idle timeout. It
// reports whether it did so.
func (p *Pool) dropIdle(address string, c *clientConn) bool {
	p.mu.Lock()
	idle := c.calls == 0 && time.Since(c.lastUsed) > p.options.IdleTimeout
	if idle && p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	if idle {
		c.close()
	}
	return idle
}

// dial connects to address. It runs in its own goroutine with its own timeout, so that the
// deadline of one call does not fail other calls that wait for the connection.
func (p *Pool) dial(address string, c *clientConn) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(context.Background(), p.options.DialTimeout)
	defer cancel()
	conn, err := p.connect(ctx, address)
	if err == nil && p.options.TLS != nil {
		tlsConn := tls.Client(conn, p.options.TLS)
		err = tlsConn.HandshakeContext(ctx)
		conn = tlsConn
	}
	if err != nil {
		c.err = err
		p.drop(address, c)
		return
	}
	// Reads have no deadline: pingLoop detects an unresponsive peer.
	c.rpc = rpc.NewClient(&deadlineConn{Conn: conn, writeTimeout: p.options.LivenessTimeout})
	go p.pingLoop(address, c)
}

// connect connects to address, with new attempts until ctx ends. TCP repeats a lost SYN only
// after a second, which is how long a VM that has just started would seem unreachable.
func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	for timeout := firstDialAttempt; ; timeout *= 2 {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		conn, err := p.options.Dial(attempt, address)
		timedOut := attempt.Err() != nil
		cancel()
		if err == nil || ctx.Err() != nil || !timedOut {
			return conn, err
		}
	}
}

// pingLoop pings the connection and drops it when a ping fails or times out.
func (p *Pool) pingLoop(address string, c *clientConn) {
	<-c.ready
	defer p.drop(address, c)
	ticker := time.NewTicker(p.options.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		if p.dropIdle(address, c) {
			return
		}
		call := c.rpc.Go("Peer.Ping", Ping{}, &Ping{}, make(chan *rpc.Call, 1))
		timer := time.NewTimer(p.options.LivenessTimeout)
		select {
		case <-call.Done:
		case <-timer.C:
			return
		case <-c.done:
			timer.Stop()
			return
		}
		timer.Stop()
		if call.Error != nil {
			return
		}
	}
}

// drop removes the connection from the pool and closes it.
func (p *Pool) drop(address string, c *clientConn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	c.close()
}

func (c *clientConn) close() {
	c.once.Do(func() {
		close(c.done)
		if c.rpc != nil {
			_ = c.rpc.Close()
		}
	})
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
