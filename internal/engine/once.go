package engine

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"eelgrasshollow/internal/errkind"
)

// DoOnce sends a call that may run once only, on a connection of its own. begin is
// called right before the first byte leaves; when it fails nothing is sent and its
// error is returned. Every other error has outcome not-run while no byte has left,
// and unknown from then on.
func (c *Client) DoOnce(ctx context.Context, call Call, begin func() error) (*Response, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.settings.PlainAnswer, errSilent)
	defer cancel()
	request, err := call.request(ctx)
	if err != nil {
		return nil, err
	}
	request.Close = true
	conn, err := c.dial(ctx, "tcp", call.Address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.EndpointFailed, "endpoint cannot be reached").WithOutcome(errkind.NotRun)
	}
	defer func() { _ = conn.Close() }()
	// Ending ctx ends every wait on the connection.
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	guarded := &guardedConn{Conn: conn, begin: begin}
	answer, err := c.exchange(ctx, guarded, call, request)
	switch {
	case err == nil:
		return answer, nil
	case guarded.refused != nil:
		return nil, guarded.refused
	case !guarded.begun:
		return nil, errkind.Of(err).WithOutcome(errkind.NotRun)
	}
	return nil, errkind.Of(err).WithOutcome(errkind.Unknown)
}

func (c *Client) exchange(ctx context.Context, conn net.Conn, call Call, request *http.Request) (*Response, error) {
	if err := request.Write(conn); err != nil {
		return nil, failure(ctx, err)
	}
	limited := &headLimit{Conn: conn, left: int64(c.settings.MaxHeader)}
	response, err := http.ReadResponse(bufio.NewReader(limited), request)
	if err != nil {
		return nil, failure(ctx, err)
	}
	limited.left = -1
	defer func() { _ = response.Body.Close() }()
	if err := c.checkEcho(call, response); err != nil {
		return nil, err
	}
	return c.whole(ctx, response)
}

// guardedConn calls begin before the first byte is written.
type guardedConn struct {
	net.Conn
	begin   func() error
	begun   bool
	refused error
}

// Write writes once begin has agreed.
func (g *guardedConn) Write(p []byte) (int, error) {
	if g.refused != nil {
		return 0, g.refused
	}
	if !g.begun {
		if err := g.begin(); err != nil {
			g.refused = err
			return 0, err
		}
		g.begun = true
	}
	return g.Conn.Write(p)
}

// headLimit bounds the bytes read while left is not negative.
type headLimit struct {
	net.Conn
	left int64
}

// Read reads within the bound.
func (h *headLimit) Read(p []byte) (int, error) {
	if h.left < 0 {
		return h.Conn.Read(p)
	}
	if h.left == 0 {
		return 0, errkind.New(errkind.EndpointFailed, "header of the answer is too large")
	}
	if int64(len(p)) > h.left {
		p = p[:h.left]
	}
	n, err := h.Conn.Read(p)
	h.left -= int64(n)
	return n, err
}
