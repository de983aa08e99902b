package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
)

const (
	reportLimit = 64 << 10 // bytes of an answer
	dialTimeout = time.Second
)

// Client speaks to endpoints for the planner.
type Client interface {
	// Load reads the load report.
	Load(ctx context.Context, address string) (engineapi.Load, error)
	// LastOrder reads what the endpoint obeyed last.
	LastOrder(ctx context.Context, address string) (engineapi.Order, error)
	// Order gives an order; a refused one is errkind Fenced or EndpointFailed.
	Order(ctx context.Context, address string, o engineapi.Order) error
}

// httpClient is the Client over HTTP.
type httpClient struct{ http *http.Client }

func newHTTPClient() *httpClient {
	return &httpClient{&http.Client{Transport: &http.Transport{DialContext: dialAborting, DisableKeepAlives: true}}}
}

// dialAborting makes connections whose unsent bytes are dropped when they are closed:
// an order that was given up must not arrive later.
func dialAborting(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	return conn, nil
}

// Load implements Client.
func (c *httpClient) Load(ctx context.Context, address string) (engineapi.Load, error) {
	var l engineapi.Load
	err := c.call(ctx, http.MethodGet, address, "/load", nil, &l)
	return l, err
}

// LastOrder implements Client.
func (c *httpClient) LastOrder(ctx context.Context, address string) (engineapi.Order, error) {
	var o engineapi.Order
	err := c.call(ctx, http.MethodGet, address, "/orders", nil, &o)
	return o, err
}

// Order implements Client.
func (c *httpClient) Order(ctx context.Context, address string, o engineapi.Order) error {
	var reply engineapi.OrderReply
	if err := c.call(ctx, http.MethodPost, address, "/orders", o, &reply); err != nil {
		return err
	}
	if !reply.Accepted {
		return errkind.New(errkind.EndpointFailed, "order refused: %s", reply.Reason)
	}
	return nil
}

func (c *httpClient) call(ctx context.Context, method, address, path string, body, into any) error {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "encode order")
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errkind.Wrap(err, errkind.EndpointFailed, "endpoint %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return errkind.New(errkind.Fenced, "endpoint %s has obeyed a later order", address)
	default:
		return errkind.New(errkind.EndpointFailed, "endpoint %s answered %s", address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, reportLimit)).Decode(into); err != nil {
		return errkind.Wrap(err, errkind.EndpointFailed, "endpoint %s", address)
	}
	return nil
}
