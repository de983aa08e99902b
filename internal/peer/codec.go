package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"

	"eelgrasshollow/internal/connguard"

	"github.com/cockroachdb/errors"
)

// maxCallsPerConnection limits the calls of one connection that are served at a time. Further ones wait unread.
const maxCallsPerConnection = 1024

// serverCodec is the gob codec of net/rpc with a bound on the calls that are served at a time.
type serverCodec struct {
	conn    net.Conn
	bounded *connguard.MessageConn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	slots   chan struct{} // one for each call being served
	reading uint64        // sequence number of the call that is being read
	once    sync.Once     // for Close
	closed  chan struct{}

	mu    sync.Mutex
	costs map[uint64]int64 // what calls being served hold, by sequence number
}

// newServerCodec returns a codec that reads and writes conn, which is bounded with deadlines.
func newServerCodec(conn net.Conn, bounded *connguard.MessageConn) *serverCodec {
	buffer := bufio.NewWriter(conn)
	return &serverCodec{
		conn: conn, bounded: bounded, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer), buffer: buffer,
		slots: make(chan struct{}, maxCallsPerConnection), closed: make(chan struct{}), costs: map[uint64]int64{},
	}
}

// ReadRequestHeader implements rpc.ServerCodec. It waits while the connection has too many calls, or there is no memory for another one.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.closed:
		return net.ErrClosed
	}
	if !c.bounded.AwaitRoom(c.closed) {
		return net.ErrClosed
	}
	if err := c.decoder.Decode(r); err != nil {
		return err // unwrapped: net/rpc compares it with io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, exists := c.costs[r.Seq]; exists {
		return errors.Newf("peer used the number %d for two calls", r.Seq)
	}
	c.reading, c.costs[r.Seq] = r.Seq, c.bounded.BeginCall()
	return nil
}

// ReadRequestBody implements rpc.ServerCodec. net/rpc calls it before the call is served.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.costs[c.reading] += c.bounded.TakeMessages()
	return err // unwrapped: net/rpc passes its text on
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.endCall(r.Seq)
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		_ = c.Close() // a part of the response may have been sent
	}
	return err
}

// endCall gives back what a call holds.
func (c *serverCodec) endCall(seq uint64) {
	c.mu.Lock()
	cost, exists := c.costs[seq]
	delete(c.costs, seq)
	c.mu.Unlock()
	if exists {
		c.bounded.EndCall(cost)
		<-c.slots
	}
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		err = c.conn.Close()
	})
	return err
}
