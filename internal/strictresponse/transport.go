// Package strictresponse lets only sound responses through. Everything that reads responses of endpoints, of other VMs
// or of the platform does it with a Transport, or with a Conn and Check.
//
// A sound response has a head that is valid HTTP/1. net/http is more lenient: it accepts blanks in the names of fields,
// which are then unknown fields to it, so that a body may get another end than its server meant. A server that sends
// such a head is faulty, and nothing else in the response can be relied on.
//
// The end of a sound response's body is proven. A length or chunks prove it. A body with neither ends with its
// connection, and that end proves something only if the request had been written by then and the server still accepts
// connections; see body.checkConnectionEnd.
package strictresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"eelgrasshollow/internal/liveness"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes limits the head of a response if the transport has no limit.
const maxHeadBytes = 64 << 10

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.RoundTripper for sound responses.
type Transport struct {
	base *http.Transport
	dial Dial
}

// New returns a Transport that sends requests through base, which it changes. base must have a DialContext and is used
// for HTTP/1 without TLS.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn, 0), nil // GotConn sets the length of the body
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = maxHeadBytes
	}
	return &Transport{base: base, dial: dial}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	bodyLength := request.ContentLength
	if bodyLength == 0 && request.Body != nil && request.Body != http.NoBody {
		bodyLength = -1 // as net/http has it
	}
	var conn *Conn // the last one, if net/http repeats the request
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*Conn)
		conn.begin(bodyLength)
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	response.Request = request
	Check(response, conn, t.dial)
	return response, nil
}

// CloseIdleConnections closes connections that are kept for further requests.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// Check makes the body of a response that was read from conn end with an error if its end is not sound. dial opens
// connections to the server.
func Check(response *http.Response, conn *Conn, dial Dial) {
	response.Body = &body{ReadCloser: response.Body, response: response, conn: conn, dial: dial}
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks, so that only the end of its
// connection ends it.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	response *http.Response
	conn     *Conn
	dial     Dial
	end      error // result of Read from the end on
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.checkEnd()
	}
	b.end = err
	return n, err
}

// checkEnd returns io.EOF if the end of the body is sound.
func (b *body) checkEnd() error {
	for name := range b.response.Trailer {
		if !validName(name) {
			return errors.Mark(errors.Newf("invalid field name %q in the trailer", name), ErrMalformed)
		}
	}
	if EndsWithConnection(b.response) {
		return b.checkConnectionEnd()
	}
	return io.EOF
}

// checkConnectionEnd returns io.EOF if the end of the connection may be that of the body.
//
// The operating system reports a reset to one system call only; those after it find the connection at its end. If a write
// of the request gets the reset, what can be read ends as if the server had closed the connection in order. So an end that
// comes while the request is being written is none.
//
// The connections of a crashed server are closed in order, too, but it accepts no others.
func (b *body) checkConnectionEnd() error {
	if !b.conn.requestWritten() {
		return errors.Wrap(io.ErrUnexpectedEOF, "connection ended before the request was written")
	}
	request := b.response.Request
	probe, err := b.dial(request.Context(), "tcp", request.URL.Host)
	switch {
	case err == nil:
		_ = probe.Close() // nothing was sent
	case liveness.Refused(err):
		return errors.Wrap(io.ErrUnexpectedEOF, "server ended with the connection")
	}
	return io.EOF
}
