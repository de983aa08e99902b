package strictresponse

import (
	"net"
	"sync"
)

// Conn is a connection to a server. It checks the head of each response while it is read.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head head
	err  error // of the head
}

// NewConn returns a Conn for one request.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// begin prepares for the response to the next request.
func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head{}
}

// Read implements net.Conn. From the first malformed line of a head on, it returns an error that is marked with
// ErrMalformed.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err // the server may send nothing more
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	// The malformed line is returned, too: net/http may repeat a request if it can't read a single byte of the response.
	if n, c.err = c.head.check(p[:n]); c.err != nil {
		return n, c.err
	}
	return n, err
}

func (c *Conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
