package connguard

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callBytes is the memory of a call apart from its messages, and guaranteedCalls are the calls of a connection that are served at a
	// time in any case.
	callBytes       = 8 << 10
	guaranteedCalls = 4
	// roomInterval is the time between two looks for the memory of another call.
	roomInterval = 50 * time.Millisecond
)

// Messages returns a listener whose connections are those of peers that send gob messages.
func (g *Guard) Messages(l net.Listener, name string) *MessageListener {
	return &MessageListener{Listener: l, guard: g, name: name}
}

// MessageListener accepts connections of peers.
type MessageListener struct {
	net.Listener
	guard *Guard
	name  string
}

// Accept returns a connection for which there is room. The caller must read from what Bound returns for it.
func (l *MessageListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.Wrap(err, "accept peer connection")
		}
		if record := l.guard.admit(&tracked{raw: raw, listener: l.name, peer: true}); record != nil {
			return &peerConn{raw, record}, nil
		}
	}
}

// peerConn is an accepted connection of a peer.
type peerConn struct {
	net.Conn
	record *tracked
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.record.forget()
	return c.Conn.Close()
}

// MessageConn bounds the messages that arrive on a connection.
type MessageConn struct {
	net.Conn // without TLS
	record   *tracked

	mu    sync.Mutex
	meter gobMeter
	calls int   // being served
	held  int64 // by the messages of calls being served
	// whole is the cost of whole messages that no call has taken yet.
	whole   int64
	widened bool // the receive buffer has been enlarged
}

// Bound returns a connection that bounds the messages that are read from plain. accepted is the connection that Accept
// returned; plain is the same one, or the TLS connection over it. For a connection of another listener, which has no bounds,
// only the size of messages is limited.
func Bound(accepted, plain net.Conn) *MessageConn {
	c := &MessageConn{Conn: plain}
	c.meter.limit = minMessageBytes
	if p, ok := accepted.(*peerConn); ok {
		c.record = p.record
		c.meter.limit = p.record.guard.bounds.MessageBytes
	}
	return c
}

// Read implements net.Conn.
func (c *MessageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.meter.feed(p[:n]) {
		if c.record != nil {
			c.record.guard.count(c.record, reasonMessageSize)
		}
		return 0, errors.New("peer sent a message over its limit")
	}
	c.whole += c.meter.takeWhole()
	if c.record != nil && !c.widened && c.meter.messages > 0 && c.meter.length > InitialBuffer {
		c.widened = c.record.widen(received, c.record.guard.bounds.PeerBuffer)
	}
	if err := c.sync(); err != nil {
		return 0, err
	}
	return n, err
}

// Write implements net.Conn.
func (c *MessageConn) Write(p []byte) (int, error) {
	if c.record != nil && len(p) > InitialBuffer {
		c.record.widen(sent, c.record.guard.bounds.PeerBuffer)
	}
	return c.Conn.Write(p)
}

// AwaitRoom waits until there is memory for another call and reports whether there is, which it is not once closed is closed. The
// peer's further calls wait unread meanwhile.
func (c *MessageConn) AwaitRoom(closed <-chan struct{}) bool {
	for !c.hasRoom() {
		select {
		case <-closed:
			return false
		case <-time.After(roomInterval):
		}
	}
	return true
}

func (c *MessageConn) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record == nil || c.calls < guaranteedCalls || c.record.guard.hasRoom(callBytes)
}

// BeginCall notes that a call is being served and returns what its messages hold so far.
func (c *MessageConn) BeginCall() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return c.takeMessages()
}

// TakeMessages returns what the messages hold that have arrived since the last one was taken. They are held until the call ends.
func (c *MessageConn) TakeMessages() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeMessages()
}

func (c *MessageConn) takeMessages() int64 {
	cost := c.whole
	c.whole = 0
	c.held += cost
	_ = c.sync() // a closed connection fails the next read
	return cost
}

// EndCall ends a call and gives back what its messages hold: what BeginCall and TakeMessages returned.
func (c *MessageConn) EndCall(cost int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held -= cost
	c.calls--
	_ = c.sync() // a closed connection fails the next read
}

// sync tells the guard the state of the connection.
func (c *MessageConn) sync() error {
	if c.record == nil {
		return nil
	}
	s := fresh
	switch {
	case c.calls > 0:
		s = serving
	case c.meter.messages > 0 && c.meter.partial():
		s = receiving
	case c.meter.messages > 0:
		s = idle
	}
	held := callBytes*int64(max(c.calls-guaranteedCalls, 0)) + c.held + c.whole + c.meter.held()
	return c.record.updateMessage(s, held, c.meter.held())
}
