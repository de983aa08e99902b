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

// Options of a Pool. Zero values take the defaults.
type Options struct {
	Dial            func(ctx context.Context, address string) (net.Conn, error)
	TLS             *tls.Config
	DialTimeout     time.Duration
	PingInterval    time.Duration
	LivenessTimeout time.Duration
}

// Pool keeps one connection per peer address, pings it, and redials after a loss.
type Pool struct {
	opt Options

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

type clientConn struct {
	ready chan struct{} // closed once client or err is set
	rpc   *rpc.Client
	err   error
	done  chan struct{} // closed when the connection is given up
	once  sync.Once
}

// NewPool returns an empty pool.
func NewPool(opt Options) *Pool {
	if opt.DialTimeout == 0 {
		opt.DialTimeout = DefaultDialTimeout
	}
	if opt.PingInterval == 0 {
		opt.PingInterval = DefaultPingInterval
	}
	if opt.LivenessTimeout == 0 {
		opt.LivenessTimeout = DefaultLivenessTimeout
	}
	if opt.Dial == nil {
		opt.Dial = dialTCP
	}
	return &Pool{opt: opt, conns: map[string]*clientConn{}}
}

// Call calls method at address; reply points to the value that takes the answer, and is
// written to only when Call returns nil. A failure to dial is errkind NoQuorum with outcome
// not-run; a lost connection or an ended ctx after sending is Timeout with outcome
// unknown; an answer of the handler keeps its kind.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.get(ctx, address)
	if err != nil {
		return errkind.Wrap(err, errkind.NoQuorum, "cannot reach peer %s", address)
	}
	// An answer may come after the caller has given up and uses reply for another try,
	// so it is decoded apart.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.rpc.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(answer.Elem())
			return nil
		}
		if call.Error == rpc.ErrShutdown {
			p.drop(address, c)
		}
		return decodeError(call.Error)
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "peer %s did not answer %s", address, method)
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
	p.mu.Unlock()
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial connects in the background, so that one caller's deadline does not fail the others.
func (p *Pool) dial(address string, c *clientConn) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(context.Background(), p.opt.DialTimeout)
	defer cancel()
	conn, err := p.opt.Dial(ctx, address)
	if err == nil && p.opt.TLS != nil {
		secure := tls.Client(conn, p.opt.TLS)
		err = secure.HandshakeContext(ctx)
		conn = secure
	}
	if err != nil {
		c.err = err
		p.drop(address, c)
		return
	}
	// Reads carry no deadline: the pings decide on silence.
	c.rpc = rpc.NewClient(&bounded{Conn: conn, write: p.opt.LivenessTimeout})
	go p.watch(address, c)
}

// watch pings the connection and gives it up when a ping stays unanswered.
func (p *Pool) watch(address string, c *clientConn) {
	<-c.ready
	defer p.drop(address, c)
	ticker := time.NewTicker(p.opt.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		call := c.rpc.Go("Peer.Ping", Ping{}, &Ping{}, make(chan *rpc.Call, 1))
		timer := time.NewTimer(p.opt.LivenessTimeout)
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
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
