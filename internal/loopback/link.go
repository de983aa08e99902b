// Package loopback injects network faults between the processes of a test on one machine.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Link is a TCP forwarder between two processes that can be cut. Bytes that are sent during a
// cut are delivered after it to connections that are still open, as TCP retransmission would do.
type Link struct {
	target string

	mu           sync.Mutex
	listener     net.Listener
	reserved     *os.File      // a bound socket that keeps the address while connections are refused, or nil
	changed      *sync.Cond    // on mu; signals that a direction was opened or the link closed
	forwardOpen  bool          // whether bytes from the dialing side are forwarded
	backwardOpen bool          // whether bytes to the dialing side are forwarded
	delay        time.Duration // of each chunk, in both directions
	closed       bool
	pipes        map[*pipe]bool
}

// pipe is a connection over a link: client is the accepted end, server the dialed one.
type pipe struct {
	client, server net.Conn
	silent         bool // no more bytes are forwarded; permanent
}

// bufferBytes is the size of the receive buffers. It is small, so that the writes of a sender
// block soon after a cut.
const bufferBytes = 8 << 10

const dialTimeout = 2 * time.Second

// New returns a link that forwards the connections of a listener to a target address until Close.
func New(l net.Listener, target string) *Link {
	k := &Link{listener: l, target: target, forwardOpen: true, backwardOpen: true, pipes: map[*pipe]bool{}}
	k.changed = sync.NewCond(&k.mu)
	go k.serve(l)
	return k
}

// Address returns the address to dial.
func (k *Link) Address() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listener.Addr().String()
}

// Refuse closes the listener, so that new connections are refused. Open ones are not affected. The address stays
// reserved, as the kernel would otherwise give its port to an outgoing connection.
func (k *Link) Refuse() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	listener, ok := k.listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("a %T can't refuse connections", k.listener)
	}
	if err := errors.Join(stopListening(listener), listener.Close()); err != nil {
		return err
	}
	reserved, err := reserve(listener.Addr().(*net.TCPAddr))
	k.reserved = reserved
	return err
}

// Accept listens again on the same address after Refuse.
func (k *Link) Accept() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reserved == nil {
		return errors.New("the link does not refuse connections")
	}
	fd := int(k.reserved.Fd())
	if err := shareAddress(fd, true); err != nil {
		return err
	}
	if err := unix.Listen(fd, unix.SOMAXCONN); err != nil {
		return os.NewSyscallError("listen", err)
	}
	l, err := net.FileListener(k.reserved) // a duplicate
	if err != nil {
		return err
	}
	_ = k.reserved.Close()
	k.listener, k.reserved = l, nil
	go k.serve(l)
	return nil
}

// stopListening ends the listening of a socket in all processes that have it open, such as a child process that has been
// forked and has not started its program yet.
func stopListening(l *net.TCPListener) error {
	conn, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = conn.Control(func(fd uintptr) { failed = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
	return errors.Join(err, os.NewSyscallError("shutdown", failed))
}

// reserve returns a socket that is bound to an IPv4 address and does not listen: connections to it are refused, and no
// other socket can be bound to it.
func reserve(address *net.TCPAddr) (*os.File, error) {
	ip := address.IP.To4()
	if ip == nil {
		return nil, fmt.Errorf("%v is not an IPv4 address", address)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	err = shareAddress(fd, true)
	if err == nil {
		err = os.NewSyscallError("bind", unix.Bind(fd, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(ip)}))
	}
	if err == nil {
		err = shareAddress(fd, false)
	}
	if err != nil {
		return nil, errors.Join(err, unix.Close(fd))
	}
	return os.NewFile(uintptr(fd), address.String()), nil
}

// shareAddress sets whether a socket may be bound, or listen, at an address that other sockets use, such as the
// connections that a former listener accepted. It takes effect only if these sockets allow it, too.
func shareAddress(fd int, share bool) error {
	value := 0
	if share {
		value = 1
	}
	return os.NewSyscallError("setsockopt", unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, value))
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

// connect dials the target for an accepted connection and copies both directions until an end
// closes.
func (k *Link) connect(c net.Conn) {
	s, err := net.DialTimeout("tcp", k.target, dialTimeout)
	if err != nil {
		_ = c.Close()
		return
	}
	for _, end := range []net.Conn{c, s} {
		_ = end.(*net.TCPConn).SetReadBuffer(bufferBytes) // best effort: with a larger buffer, senders only block later
	}
	p := &pipe{client: c, server: s}
	k.mu.Lock()
	k.pipes[p] = true
	k.mu.Unlock()
	go k.pump(p, s, c, true)
	k.pump(p, c, s, false)
}

// pump copies one direction until an end closes, then closes both. While the pipe is cut or silent,
// neither bytes nor a close reach the other end.
func (k *Link) pump(p *pipe, dst, src net.Conn, forward bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		time.Sleep(k.currentDelay())
		if !k.waitUntilOpen(p, forward) {
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

// ClientOf returns the two addresses, the client's and the link's, of the open connection whose bytes arrive at the target from
// an address. It returns false if there is none.
func (k *Link) ClientOf(from string) (client, link net.Addr, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		if p.server.LocalAddr().String() == from {
			return p.client.RemoteAddr(), p.client.LocalAddr(), true
		}
	}
	return nil, nil, false
}

func (k *Link) currentDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delay
}

// waitUntilOpen blocks until the pipe forwards bytes in a direction. It returns false once the link
// is closed.
func (k *Link) waitUntilOpen(p *pipe, forward bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for !k.closed && (p.silent || forward && !k.forwardOpen || !forward && !k.backwardOpen) {
		k.changed.Wait()
	}
	return !k.closed
}

// Delay delays each chunk of bytes in both directions by d, which may be 0.
func (k *Link) Delay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// everyClient matches all connections.
func everyClient(net.Addr, net.Addr) bool { return true }

// Reset closes the open connections with a TCP reset and returns their number.
func (k *Link) Reset() int { return k.ResetOf(everyClient) }

// ResetOf closes the open connections whose two addresses match with a TCP reset and returns their number.
func (k *Link) ResetOf(match func(client, link net.Addr) bool) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		if !match(p.client.RemoteAddr(), p.client.LocalAddr()) {
			continue
		}
		n++
		for _, end := range []net.Conn{p.client, p.server} {
			_ = end.(*net.TCPConn).SetLinger(0) // fails only if the end is already closed
			_ = end.Close()
		}
	}
	return n
}

// Cut stops forwarding in the given directions, also for new connections, without closing any.
// Directions that were cut before remain cut.
func (k *Link) Cut(forward, backward bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forwardOpen, k.backwardOpen = k.forwardOpen && !forward, k.backwardOpen && !backward
}

// Heal resumes forwarding in both directions, except on connections silenced by Silence.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forwardOpen, k.backwardOpen = true, true
	k.changed.Broadcast()
}

// Silence permanently stops forwarding on the open connections, without closing them, and returns
// their number. New connections are not affected.
func (k *Link) Silence() int { return k.SilenceOf(everyClient) }

// SilenceOf is like Silence for the connections whose two addresses match.
func (k *Link) SilenceOf(match func(client, link net.Addr) bool) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		if match(p.client.RemoteAddr(), p.client.LocalAddr()) {
			p.silent = true
			n++
		}
	}
	return n
}

// Close closes the link and its connections.
func (k *Link) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.listener.Close()
	if k.reserved != nil {
		_ = k.reserved.Close()
		k.reserved = nil
	}
	k.closed = true
	k.changed.Broadcast()
	for p := range k.pipes {
		_ = p.client.Close()
		_ = p.server.Close()
	}
}
