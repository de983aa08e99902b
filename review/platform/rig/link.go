package rig

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// Link is a proxy before a server, whose path can be cut for a while. Bytes that are sent while it is cut
// arrive when TCP repeats them for the first time after the cut.
type Link struct {
	Address string
	target  string

	mu       sync.Mutex
	trigger  func(data []byte) (cut time.Duration) // looks at the bytes towards the server; nil does nothing
	cutUntil time.Time
}

// retransmissions are the times after a send at which TCP repeats bytes that are not acknowledged.
var retransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond, 6200 * time.Millisecond}

// StartLink starts a link on a host to a target.
func (r *Rig) StartLink(host int, target string) (*Link, error) {
	listener, err := net.Listen("tcp", r.Addr(host, listPort))
	if err != nil {
		return nil, err
	}
	l := &Link{Address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // ends with the process
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// SetTrigger sets a function that looks at the bytes towards the server and returns for how long the path is
// cut from then on, these bytes included; 0 does not cut it.
func (l *Link) SetTrigger(trigger func(data []byte) time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trigger = trigger
}

// HealedAt returns the end of the last cut, or the zero time.
func (l *Link) HealedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutUntil
}

// await waits until bytes that are sent now arrive.
func (l *Link) await() {
	sent := time.Now()
	l.mu.Lock()
	healed := l.cutUntil
	l.mu.Unlock()
	if !sent.Before(healed) {
		return
	}
	for _, after := range retransmissions {
		if at := sent.Add(after); at.After(healed) {
			time.Sleep(time.Until(at))
			return
		}
	}
}

// serve passes on a connection.
func (l *Link) serve(client net.Conn) {
	defer func() { _ = client.Close() }() // passed on
	l.await()
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }() // passed on
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(client, server, nil)
	}()
	l.copy(server, client, func(data []byte) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.trigger == nil {
			return
		}
		if cut := l.trigger(data); cut > 0 {
			l.cutUntil, l.trigger = time.Now().Add(cut), nil
		}
	})
	<-done
}

// copy passes on the bytes of one direction and their end.
func (l *Link) copy(to, from net.Conn, look func([]byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			data := bytes.Clone(buffer[:n])
			if look != nil {
				look(data)
			}
			l.await()
			if _, err := to.Write(data); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other side may have closed it
			}
			return
		}
	}
}
