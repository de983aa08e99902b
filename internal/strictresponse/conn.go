package strictresponse

import (
	"net"
	"sync"
	"time"
)

// Conn is a connection to a server. It checks the head of each response while it is read, and knows whether the request
// has been written.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head head
	err  error // of the head

	writing sync.Mutex // held during each write
	request requestLength
}

// NewConn returns a Conn for a request whose body has bodyLength bytes, or an unknown length if that is negative.
func NewConn(conn net.Conn, bodyLength int64) *Conn {
	return &Conn{Conn: conn, request: requestLength{body: bodyLength}}
}

// begin prepares for the next request and its response.
func (c *Conn) begin(bodyLength int64) {
	c.mu.Lock()
	c.head = head{}
	c.mu.Unlock()
	c.writing.Lock()
	c.request = requestLength{body: bodyLength}
	c.writing.Unlock()
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

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.request.add(p[:n])
	return n, err
}

// requestWritten reports whether the whole request has been written. It ends a write that is blocked, so it is to be
// called when nothing more can be read.
func (c *Conn) requestWritten() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the write, too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.request.complete()
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// requestLength finds the end of a request in the bytes that are written.
type requestLength struct {
	body    int64 // length of the body in bytes, or negative if it is not known
	matched int   // how much of headEnd has been written, all of it from the end of the head on
	written int64 // bytes of the body
}

func (r *requestLength) add(p []byte) {
	for i, b := range p {
		switch {
		case r.matched == len(headEnd):
			r.written += int64(len(p) - i)
			return
		case b == headEnd[r.matched]:
			r.matched++
		case b == headEnd[0]:
			r.matched = 1
		default:
			r.matched = 0
		}
	}
}

func (r *requestLength) complete() bool {
	return r.matched == len(headEnd) && r.body >= 0 && r.written >= r.body
}
