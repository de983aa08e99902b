package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/strictresponse"
)

const (
	maxResponseBytes = 64 << 10
	dialTimeout      = time.Second
	// unackedTimeout is how long an endpoint may leave a call unacknowledged before its connection is aborted.
	unackedTimeout = time.Second
)

// Client reads load reports of endpoints and sends orders to them.
type Client interface {
	// Load returns the endpoint's load report.
	Load(ctx context.Context, address string) (engineapi.Load, error)
	// LastOrder returns the last order that the endpoint accepted.
	LastOrder(ctx context.Context, address string) (engineapi.Order, error)
	// Order sends an order. The error of a refused order has errkind Fenced or
	// EndpointFailed.
	Order(ctx context.Context, address string, o engineapi.Order) error
}

// httpClient is the Client over HTTP.
type httpClient struct{ http *http.Client }

func newHTTPClient() *httpClient {
	dialer := liveness.AbortingDialer(dialTimeout, unackedTimeout)
	return &httpClient{&http.Client{Transport: strictresponse.New(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true})}}
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

// call sends a request with the optional body as JSON and decodes the JSON response into
// result.
func (c *httpClient) call(ctx context.Context, method, address, path string, body, result any) error {
	var bodyReader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "encode order")
		}
		bodyReader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bodyReader)
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
		return errkind.New(errkind.Fenced, "endpoint %s has accepted an order with the same or a higher fencing number", address)
	default:
		return errkind.New(errkind.EndpointFailed, "endpoint %s responded with status %s", address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return errkind.Wrap(err, errkind.EndpointFailed, "endpoint %s", address)
	}
	return nil
}
