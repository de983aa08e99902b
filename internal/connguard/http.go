package connguard

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultHeadBytes limits a head where no configuration sets a limit yet, and on listeners for which none does.
	DefaultHeadBytes = 64 << 10
	// DefaultHeadTime, DefaultIdleTime and DefaultBodyTime limit the time to read a head, the time between two requests,
	// and the time to read a body that nothing else limits.
	DefaultHeadTime = 10 * time.Second
	DefaultIdleTime = time.Minute
	DefaultBodyTime = 5 * time.Minute
	// lingerTime is how long a connection stays open after a refusal, for the client to read it.
	lingerTime = 500 * time.Millisecond
	// refusalTime limits the time to write a refusal.
	refusalTime = time.Second
)

// HTTPLimits limit what a client may send on a connection, and for how long. A zero value means the default.
type HTTPLimits struct {
	HeadBytes                    int64
	HeadTime, IdleTime, BodyTime time.Duration
}

// HTTPOptions describe a listener for HTTP.
type HTTPOptions struct {
	// Name is that of the listener in logs and metrics.
	Name string
	// TLS, if set, is the configuration of TLS connections.
	TLS *tls.Config
	// Limits, if set, returns the limits in force. It is called when a wait for the client begins, and for each part of a head.
	Limits func() HTTPLimits
	// Part limits the listener to a part of all connections, so that those of others find room.
	Part bool
	// ReceiveBuffer and SendBuffer are the sizes up to which the operating system's buffers of a connection are enlarged for requests
	// and responses over InitialBuffer. With 0 they stay as the listener has set them.
	ReceiveBuffer, SendBuffer int
}

// HTTP returns a listener that bounds the connections of an HTTP server. It sets the server's own limits, which
// are constant, so that those of the options apply. The server's Protocols say whether HTTP/2 is served.
func (g *Guard) HTTP(server *http.Server, l net.Listener, o HTTPOptions) net.Listener {
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if c, ok := c.(*httpConn); ok {
			c.stateChanged(s)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	// These mark the start of a wait, for which SetReadDeadline applies the limits in force.
	if server.ReadHeaderTimeout <= 0 {
		server.ReadHeaderTimeout = DefaultHeadTime
	}
	if server.IdleTimeout <= 0 {
		server.IdleTimeout = DefaultIdleTime
	}
	http2 := server.Protocols != nil && server.Protocols.UnencryptedHTTP2()
	if !http2 {
		server.MaxHeaderBytes = maxServerHeadBytes
	}
	limits := o.Limits
	if limits == nil {
		limits = func() HTTPLimits { return HTTPLimits{} }
	}
	return &httpListener{Listener: l, guard: g, options: o, limits: func() HTTPLimits { return limits().withDefaults() }, http2: http2}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// maxServerHeadBytes is above each limit for a head, so that net/http does not apply its own.
const maxServerHeadBytes = 1 << 30

func (l HTTPLimits) withDefaults() HTTPLimits {
	or := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	or(&l.HeadTime, DefaultHeadTime)
	or(&l.IdleTime, DefaultIdleTime)
	or(&l.BodyTime, DefaultBodyTime)
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	return l
}

type httpListener struct {
	net.Listener
	guard   *Guard
	options HTTPOptions
	limits  func() HTTPLimits
	http2   bool
}

// Accept returns a connection for which there is room.
func (l *httpListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err // unwrapped: http.Server inspects the listener's error
		}
		record := l.guard.admit(&tracked{raw: raw, listener: l.options.Name, part: l.options.Part})
		if record == nil {
			continue
		}
		plain := raw
		if l.options.TLS != nil {
			plain = tls.Server(raw, l.options.TLS) // the first read does the handshake
		}
		c := &httpConn{Conn: plain, record: record, limits: l.limits, receiveBuffer: l.options.ReceiveBuffer, sendBuffer: l.options.SendBuffer}
		c.meter.http2 = l.http2
		c.meter.startHead()
		return c, nil
	}
}

// httpConn is a connection of an HTTP server. Only one goroutine at a time reads from it and changes its state, as
// net/http does it.
type httpConn struct {
	net.Conn // without TLS
	record   *tracked
	limits   func() HTTPLimits
	// receiveBuffer and sendBuffer are those of the options.
	receiveBuffer, sendBuffer int

	meter   httpMeter
	state   state
	held    int64
	served  bool  // a request was served
	refused error // the result of all further reads
	widened bool  // the receive buffer has been enlarged
	streams http2Streams

	// Handlers set deadlines while another goroutine reads.
	requestOpen  atomic.Bool  // a request has a whole head and no response yet
	bodyOpen     atomic.Bool  // its body is incomplete
	bodyDeadline atomic.Bool  // the read deadline is the one for a body
	startsIdle   atomic.Bool  // the next deadline bounds the idle time
	lingers      atomic.Bool  // the response to a refused request is to be read
	written      atomic.Int64 // bytes of the current response
}

// errRefused is the error of reads from a connection whose client was refused.
var errRefused = errors.New("request refused by the limits of the connection")

// Read implements net.Conn.
func (c *httpConn) Read(p []byte) (int, error) {
	if c.refused != nil {
		return 0, c.refused
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if err := c.received(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// Write implements net.Conn. The guard knows how long a write waits for the client.
func (c *httpConn) Write(p []byte) (int, error) {
	if before := c.written.Add(int64(len(p))) - int64(len(p)); before <= InitialBuffer && before+int64(len(p)) > InitialBuffer {
		c.record.widen(sent, c.sendBuffer)
	}
	c.record.writing.Store(time.Now().UnixNano())
	defer c.record.writing.Store(0)
	return c.Conn.Write(p)
}

// received accounts for bytes that have been read.
func (c *httpConn) received(p []byte) error {
	if c.meter.phase == phaseHTTP2 {
		return nil
	}
	c.meter.feed(p, c.limits().HeadBytes)
	var err error
	switch {
	case c.meter.phase == phaseHTTP2:
		c.requestOpen.Store(true) // the deadlines of the HTTP/2 server are its own
		c.record.widen(received, c.receiveBuffer)
		err = c.update(fresh, http2Bytes)
	case c.meter.phase == phaseBroken && len(c.meter.whole) == 0:
		return c.refuseRequest(c.meter.broke)
	default:
		if c.meter.phase == phaseBroken { // behind a request that is being served, which still gets its response
			c.record.guard.count(c.record, c.meter.broke)
			c.refuse(errRefused)
		}
		err = c.sync()
	}
	if err != nil {
		return c.refuse(err)
	}
	return nil
}

// sync notes the state of an HTTP/1 connection and tells the guard if it has changed.
func (c *httpConn) sync() error {
	s, open := fresh, c.meter.bodyOpen()
	switch {
	case len(c.meter.whole) == 1 && open:
		s = receiving
	case len(c.meter.whole) > 0:
		s = serving
	case c.served:
		s = idle
	}
	if s == receiving && !c.widened && c.meter.largeBody() {
		c.widened = c.record.widen(received, c.receiveBuffer)
	}
	c.requestOpen.Store(s >= receiving)
	c.bodyOpen.Store(s == receiving)
	if s != receiving && c.bodyDeadline.Swap(false) {
		_ = c.Conn.SetReadDeadline(time.Time{}) // a closed connection needs none
	}
	return c.update(s, c.meter.held())
}

// update tells the guard the state of the connection if it has changed.
func (c *httpConn) update(s state, held int64) error {
	if s == c.state && held == c.held {
		if s == receiving {
			c.record.progress.Store(time.Now().UnixNano())
		}
		return nil
	}
	c.state, c.held = s, held
	return c.record.update(s, held)
}

// refuse makes all further reads fail. net/http does not respond to an error of this type.
func (c *httpConn) refuse(cause error) error {
	c.refused = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: cause}
	return c.refused
}

// refuseRequest responds to a request whose head was not read to its end.
func (c *httpConn) refuseRequest(reason closeReason) error {
	c.record.guard.count(c.record, reason)
	status := http.StatusBadRequest
	if reason == reasonHeadSize {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", text, len(text), text)
	if err == nil && c.CloseWrite() == nil {
		c.lingers.Store(true)
	}
	return c.refuse(errRefused)
}

// stateChanged follows the server's state of the connection.
func (c *httpConn) stateChanged(s http.ConnState) {
	var err error
	switch {
	case c.meter.phase == phaseHTTP2:
		err = c.streams.changed(c, s)
	case s == http.StateIdle:
		c.served = true
		c.written.Store(0)
		c.startsIdle.Store(true)
		c.meter.served()
		err = c.sync()
		if c.meter.phase == phaseUnknown { // where the next request starts is not known
			err = errRefused
		}
	}
	if err != nil {
		_ = c.Conn.Close() // the server's next read fails
	}
}

// SetReadDeadline implements net.Conn. It replaces the constant deadlines of the server by those in force.
func (c *httpConn) SetReadDeadline(deadline time.Time) error {
	switch {
	case deadline.IsZero() && c.bodyOpen.Load():
		c.bodyDeadline.Store(true)
		deadline = time.Now().Add(c.limits().BodyTime)
	case deadline.IsZero() || time.Until(deadline) <= 0:
		// None, or one that interrupts a read.
	case c.startsIdle.Swap(false):
		deadline = time.Now().Add(c.limits().IdleTime)
	case !c.requestOpen.Load(): // otherwise a handler or the HTTP/2 server has set it
		deadline = time.Now().Add(c.limits().HeadTime)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// CloseWrite closes the sending side. net/http uses it to close a connection without losing the response to a request
// whose body it has not read.
func (c *httpConn) CloseWrite() error {
	if h, ok := c.Conn.(halfCloser); ok {
		return h.CloseWrite()
	}
	return errors.New("connections of this listener do not support CloseWrite")
}

// Close implements net.Conn.
func (c *httpConn) Close() error {
	if c.lingers.Swap(false) {
		time.AfterFunc(lingerTime, func() { _ = c.close() }) // the client may have closed it
		return nil
	}
	return c.close()
}

func (c *httpConn) close() error {
	c.record.forget()
	return c.Conn.Close()
}
