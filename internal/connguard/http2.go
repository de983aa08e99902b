package connguard

import (
	"io"
	"net/http"
	"sync"
)

const (
	// http2Bytes is what an HTTP/2 connection holds beyond connectionBytes: the receive buffer that HTTP2Config allows, frames and
	// tables.
	http2Bytes = http2ReceiveBytes + 64<<10
	// http2ReceiveBytes limits what has arrived and is unread on an HTTP/2 connection. http2FrameBytes limits a
	// frame, and maxHTTP2Streams the open streams of a connection.
	http2ReceiveBytes = 128 << 10
	http2FrameBytes   = 16 << 10
	maxHTTP2Streams   = 100
)

// HTTP2Config returns the limits for HTTP/2 connections that the guard counts on.
func HTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxHTTP2Streams, MaxReadFrameSize: http2FrameBytes,
		MaxReceiveBufferPerConnection: http2ReceiveBytes, MaxReceiveBufferPerStream: http2ReceiveBytes,
	}
}

// http2Streams are the requests of an HTTP/2 connection. Their framing is left to net/http.
type http2Streams struct {
	mu         sync.Mutex
	ready      bool // the connection has been set up
	used       bool // there has been a stream
	open       int  // requests at the handler
	incomplete int  // of these, whose body is incomplete
}

// changed follows whether the connection has open streams.
func (s *http2Streams) changed(c *httpConn, to http.ConnState) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case to == http.StateActive && s.ready:
		s.used = true
		return c.update(serving, http2Bytes)
	case to == http.StateIdle && s.used:
		return c.update(idle, http2Bytes)
	case to == http.StateIdle:
		s.ready = true // the server reports both states before the first stream
	}
	return nil
}

// count changes the numbers of requests and of those whose body is incomplete.
func (s *http2Streams) count(c *httpConn, open, incomplete int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += open
	s.incomplete += incomplete
	to := serving
	if s.open > 0 && s.incomplete == s.open {
		to = receiving
	}
	if s.open > 0 { // else the server reports that the connection is idle
		_ = c.update(to, http2Bytes) // reads of a closed connection fail
	}
}

// BoundStreams returns a handler whose HTTP/2 requests hold memory for their heads, which the framing of a connection does
// not tell. refuse responds to a request for which there is none; it has not run.
func (g *Guard) BoundStreams(next http.Handler, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*httpConn)
		if r.ProtoMajor < 2 || !ok {
			next.ServeHTTP(w, r)
			return
		}
		cost := headCost(r)
		if !g.acquire(cost) {
			refuse(w, r)
			return
		}
		defer g.release(cost)
		body := &streamBody{ReadCloser: r.Body, conn: c}
		if r.ContentLength != 0 {
			body.incomplete = 1
		}
		c.streams.count(c, 1, body.incomplete)
		defer func() { c.streams.count(c, -1, -body.incomplete) }()
		bounded := *r
		bounded.Body = body
		next.ServeHTTP(w, &bounded)
	})
}

// streamBody is the body of an HTTP/2 request.
type streamBody struct {
	io.ReadCloser
	conn       *httpConn
	incomplete int // 1 until the body has been read to its end
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.incomplete > 0 {
		b.incomplete = 0
		b.conn.streams.count(b.conn, 0, -1)
	}
	return n, err
}

// headCost returns the memory of the head of a request.
func headCost(r *http.Request) int64 {
	cost := int64(headByteCost * len(r.RequestURI))
	for name, values := range r.Header {
		for _, v := range values {
			cost += fieldCost + headByteCost*int64(len(name)+len(v))
		}
	}
	return cost
}
