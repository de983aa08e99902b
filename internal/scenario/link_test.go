package scenario

import (
	"net"
	"sync"
	"time"
)

// link is a TCP forwarder between two processes that can be cut. What is sent into a
// cut waits, as TCP would send it again: an end that has not given up by then gets it
// after the cut.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	forward bool // whether bytes from the dialling side get through
	back    bool
	closed  bool
	pipes   map[*pipe]bool
}

// pipe is one connection over a link.
type pipe struct {
	client, server net.Conn
	silent         bool // nothing gets through any more, for good
}

// holdBytes is the receive buffer, small so that a sender into a cut soon notices.
const holdBytes = 8 << 10

const dialTimeout = 2 * time.Second

func newLink(target string) (*link, error) {
	l, err := freeListener()
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, forward: true, back: true, pipes: map[*pipe]bool{}}
	k.changed = sync.NewCond(&k.mu)
	go k.serve(l)
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// dead makes dialling fail, as it does when no process listens.
func (k *link) dead() error { return k.listener.Close() }

// accept takes connections again after dead.
func (k *link) accept() error {
	l, err := net.Listen("tcp", k.address())
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.listener = l
	k.mu.Unlock()
	go k.serve(l)
	return nil
}

func (k *link) serve(l net.Listener) {
	for {
		c, err := l.Accept()
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
	for _, end := range []net.Conn{c, s} {
		_ = end.(*net.TCPConn).SetReadBuffer(holdBytes) // a larger one only makes notice later
	}
	p := &pipe{client: c, server: s}
	k.mu.Lock()
	k.pipes[p] = true
	k.mu.Unlock()
	go k.pump(p, s, c, true)
	k.pump(p, c, s, false)
}

// pump copies one direction until an end closes. A cut or silent pipe tells the other
// end nothing, a close included.
func (k *link) pump(p *pipe, dst, src net.Conn, forward bool) {
	buffer := make([]byte, holdBytes)
	for {
		n, err := src.Read(buffer)
		if !k.passes(p, forward) {
			break
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = src.Close()
	_ = dst.Close()
	k.mu.Lock()
	delete(k.pipes, p)
	k.mu.Unlock()
}

// passes waits until bytes get through; it returns false once the link is closed.
func (k *link) passes(p *pipe, forward bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for !k.closed && (p.silent || forward && !k.forward || !forward && !k.back) {
		k.changed.Wait()
	}
	return !k.closed
}

// cut holds bytes in the given directions, without a word to either end.
func (k *link) cut(forward, back bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forward, k.back = k.forward && !forward, k.back && !back
}

// heal lets bytes through again.
func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forward, k.back = true, true
	k.changed.Broadcast()
}

// silence makes the open connections silent for good, while new ones work.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		p.silent = true
	}
	return len(k.pipes)
}

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.changed.Broadcast()
	for p := range k.pipes {
		_ = p.client.Close()
		_ = p.server.Close()
	}
}
