// Package loopback disturbs connections between processes of a test on one machine.
package loopback

import (
	"net"
	"sync"
	"time"
)

// Link is a TCP forwarder between two processes that can be cut. What is sent into a
// cut waits, as TCP would send it again: an end that has not given up by then gets it
// after the cut.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	forward bool // whether bytes from the dialling side get through
	back    bool
	delay   time.Duration // of each piece, both ways
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

// New forwards what comes to a listener to a target until Close.
func New(l net.Listener, target string) *Link {
	k := &Link{listener: l, target: target, forward: true, back: true, pipes: map[*pipe]bool{}}
	k.changed = sync.NewCond(&k.mu)
	go k.serve(l)
	return k
}

// Address is where to dial.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Refuse makes dialling fail, as it does when no process listens.
func (k *Link) Refuse() error { return k.listener.Close() }

// Accept takes connections again after Refuse.
func (k *Link) Accept() error {
	l, err := net.Listen("tcp", k.Address())
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.listener = l
	k.mu.Unlock()
	go k.serve(l)
	return nil
}

func (k *Link) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go k.connect(c)
	}
}

func (k *Link) connect(c net.Conn) {
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
func (k *Link) pump(p *pipe, dst, src net.Conn, forward bool) {
	buffer := make([]byte, holdBytes)
	for {
		n, err := src.Read(buffer)
		time.Sleep(k.held())
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

func (k *Link) held() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delay
}

// passes waits until bytes get through; it returns false once the link is closed.
func (k *Link) passes(p *pipe, forward bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for !k.closed && (p.silent || forward && !k.forward || !forward && !k.back) {
		k.changed.Wait()
	}
	return !k.closed
}

// Delay holds each piece of bytes back for a time, both ways; 0 ends that.
func (k *Link) Delay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// Reset ends the open connections with a reset, and returns how many there were.
func (k *Link) Reset() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		for _, end := range []net.Conn{p.client, p.server} {
			_ = end.(*net.TCPConn).SetLinger(0) // an end that is gone needs no reset
			_ = end.Close()
		}
	}
	return len(k.pipes)
}

// Cut holds bytes in the given directions, without a word to either end.
func (k *Link) Cut(forward, back bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forward, k.back = k.forward && !forward, k.back && !back
}

// Heal lets bytes through again.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forward, k.back = true, true
	k.changed.Broadcast()
}

// Silence makes the open connections silent for good, while new ones work.
func (k *Link) Silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		p.silent = true
	}
	return len(k.pipes)
}

// Close ends the link and its connections.
func (k *Link) Close() {
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
