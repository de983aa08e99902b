// Package strictresponse lets only sound responses through. Everything that reads responses of endpoints, of other VMs
// or of the platform does it with a Transport, or with a Conn and Check.
//
// A sound response has a head that is valid HTTP/1. net/http is more lenient: it accepts blanks in the names of fields,
// which are then unknown fields to it, so that a body may get another end than its server meant. A server that sends
// such a head is faulty, and nothing else in the response can be relied on.
package strictresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes limits the head of a response if the transport has no limit.
const maxHeadBytes = 64 << 10

// Transport is an http.RoundTripper for sound responses.
type Transport struct{ base *http.Transport }

// New returns a Transport that sends requests through base, which it changes. base must have a DialContext and is used
// for HTTP/1 without TLS.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = maxHeadBytes
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*Conn).begin() }}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	Check(response)
	return response, nil
}

// CloseIdleConnections closes connections that are kept for further requests.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// Check makes the body of a response that was read from a Conn end with an error if its end is not sound.
func Check(response *http.Response) {
	response.Body = &body{ReadCloser: response.Body, response: response}
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	response *http.Response
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
	return io.EOF
}
