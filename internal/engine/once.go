package engine

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/firstwrite"
	"eelgrasshollow/internal/strictresponse"
)

// DoOnce sends a call that must run at most once, on a new connection. It calls begin
// immediately before it writes the first byte. If begin fails, nothing is sent and DoOnce
// returns begin's error. Any other error has outcome NotRun if no byte was written, and
// Unknown otherwise.
func (c *Client) DoOnce(ctx context.Context, call Call, begin func() error) (*Response, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.settings.PlainTimeout, errUnresponsive)
	defer cancel()
	request, err := call.request(ctx)
	if err != nil {
		return nil, err
	}
	request.Close = true
	conn, err := c.dial(ctx, "tcp", call.Address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.EndpointFailed, "endpoint is unreachable").WithOutcome(errkind.NotRun)
	}
	once := firstwrite.New(conn, begin)
	defer func() { _ = once.Close() }()
	// When ctx ends, the deadline in the past ends every read and write.
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	response, err := c.exchange(ctx, strictresponse.NewConn(once, request.ContentLength), call, request)
	switch {
	case err == nil:
		return response, nil
	case once.Err() != nil:
		return nil, once.Err()
	case !once.Begun():
		return nil, errkind.Of(err).WithOutcome(errkind.NotRun)
	}
	return nil, errkind.Of(err).WithOutcome(errkind.Unknown)
}

// exchange writes the request to conn and reads the whole response. It leaves the body open, as closing it reads the rest,
// which may have no end; DoOnce closes the connection.
func (c *Client) exchange(ctx context.Context, conn *strictresponse.Conn, call Call, request *http.Request) (*Response, error) {
	if err := request.Write(conn); err != nil {
		return nil, classify(ctx, err)
	}
	limited := &headerLimitConn{Conn: conn, remaining: int64(c.settings.MaxHeader)}
	response, err := readFinal(bufio.NewReader(limited), request)
	if err != nil {
		return nil, classify(ctx, err)
	}
	limited.remaining = -1 // no limit for the body
	strictresponse.Check(response, conn, c.dial)
	if err := c.checkEcho(call, response, true); err != nil {
		return nil, err
	}
	c.headers.Check(call.Address, response.Header)
	return c.readResponse(ctx, response, call.Lease)
}

// readFinal reads the head of the response to a request, after any informational ones.
func readFinal(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// headerLimitConn limits the bytes read to remaining. A negative value means no limit.
type headerLimitConn struct {
	net.Conn
	remaining int64
}

// Read implements net.Conn within the limit.
func (h *headerLimitConn) Read(p []byte) (int, error) {
	if h.remaining < 0 {
		return h.Conn.Read(p)
	}
	if h.remaining == 0 {
		return 0, errkind.New(errkind.EndpointFailed, "response header is larger than max_header")
	}
	if int64(len(p)) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.Conn.Read(p)
	h.remaining -= int64(n)
	return n, err
}
