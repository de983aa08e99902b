package scenario

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a TCP forwarder between two processes that can be cut.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	forward bool // whether bytes from the dialling side get through
	back    bool
	pipes   map[*pipe]bool
}

// pipe is one connection over a link.
type pipe struct {
	client, server net.Conn
	silent         atomic.Bool // nothing gets through any more, for good
	lossy          atomic.Bool // bytes were dropped: it can't go on after the cut
}

const dialTimeout = 2 * time.Second

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, forward: true, back: true, pipes: map[*pipe]bool{}}
	go k.serve()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.connect(c)
	}
}

func (k *link) connect(c net.Conn) {
	s, err := net.DialTimeout("tcp", k.target, dialTimeout)
	if err != nil {
		_ = c.Close()
		return
	}
	p := &pipe{client: c, server: s}
	k.mu.Lock()
	k.pipes[p] = true
	k.mu.Unlock()
	go k.pump(p, s, c, true)
	k.pump(p, c, s, false)
}

// pump copies one direction until an end closes; a silent pipe does not tell the
// other end.
func (k *link) pump(p *pipe, dst, src net.Conn, forward bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			break
		}
		if !k.passes(p, forward) {
			p.lossy.Store(true)
			continue
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			break
		}
	}
	_ = src.Close()
	if k.passes(p, forward) {
		_ = dst.Close()
	}
	k.mu.Lock()
	delete(k.pipes, p)
	k.mu.Unlock()
}

func (k *link) passes(p *pipe, forward bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !p.silent.Load() && !p.lossy.Load() && (forward && k.forward || !forward && k.back)
}

// cut drops bytes in the given directions, without a word to either end.
func (k *link) cut(forward, back bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forward, k.back = k.forward && !forward, k.back && !back
}

// heal lets bytes through again; connections that lost some are reset.
func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forward, k.back = true, true
	for p := range k.pipes {
		if p.lossy.Load() {
			_ = p.client.Close()
			_ = p.server.Close()
		}
	}
}

// silence makes the open connections silent for good, while new ones work.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		p.silent.Store(true)
	}
	return len(k.pipes)
}

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		_ = p.client.Close()
		_ = p.server.Close()
	}
}
