// Package engine is the HTTP client for endpoints. It sends requests with buffered or
// streamed responses, requests that must run at most once and cancellations, and reads
// load reports and cache events.
//
// Invariants: a response whose request ID differs from the one sent is never returned, and one
// without an ID only from a connection that carried no other request; every wait is bounded;
// this package never retries a request.
package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/firstwrite"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/ratelimit"
	"eelgrasshollow/internal/retryafter"
	"eelgrasshollow/internal/strictresponse"
	"eelgrasshollow/internal/unknownheader"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Call is a request to an endpoint.
type Call struct {
	Address string // IP and port
	ID      string // request ID
	Method  string
	Path    string
	Query   string
	Header  http.Header // copied; never contains a client's key
	Body    []byte
	Tail    []byte // sent after Body
	// AllowUnidentifiedErrors accepts a response with an error status and no request ID, on a
	// connection that carried no other request. Only the status of such a response may be passed
	// on to a client.
	AllowUnidentifiedErrors bool
	// Repeated is set if a request with this ID may have been sent before. It gets a connection of
	// its own: the ID does not tell a late response to the earlier one from its own.
	Repeated bool
	// Lease holds the memory of the response, or is nil. The caller, who got it from NewLease, releases it when it no longer
	// needs the response. Without it, memory is held while the response is read.
	Lease *membudget.Lease
}

// Response is a response with its whole body.
type Response struct {
	Status      int
	ContentType string
	Incarnation string
	Body        []byte
	Notice      Notice
	// Unidentified reports that the response carries no request ID. It then does not state whether
	// the request has run.
	Unidentified bool
}

// Notice is what an endpoint states about itself in the header of a response.
type Notice struct {
	Leaving  bool          // it will stop and takes no new requests
	PauseFor time.Duration // how long it wants no requests
	// Limit is the rate that it takes from all VMs together, or 0. Unlimited reports that it
	// takes requests without a limit.
	Limit     ratelimit.Limit
	Unlimited bool
}

// noticeOf returns the notice of a response. A malformed time of a pause is ignored, and the
// response then counts as a refusal without a pause. A malformed limit leaves an earlier one in
// force.
func noticeOf(response *http.Response) Notice {
	n := Notice{Leaving: response.Header.Get(engineapi.HeaderLeaving) == engineapi.HeaderLeavingValue}
	if response.StatusCode == http.StatusServiceUnavailable {
		n.PauseFor, _ = retryafter.Parse(response.Header, time.Now()) // the valid values, if there are any
	}
	limit, err := ratelimit.Parse(response.Header.Values(engineapi.HeaderLimit))
	n.Limit, n.Unlimited = limit, !limit.Stated() && err == nil
	return n
}

// Dial opens a connection to an address.
type Dial = strictresponse.Dial

// Client sends requests to endpoints.
type Client struct {
	settings Settings
	dial     Dial
	http     *http.Client
	single   *http.Client // opens a connection for each request
	// reports has its own connections, so that a request never reuses a connection that
	// stayed open only because of load reports.
	reports *http.Client
	headers *unknownheader.Watch // of responses to requests
	memory  *membudget.Budget    // of responses
}

// responseHeaders may be in an endpoint's response.
var responseHeaders = []string{
	engineapi.HeaderIncarnation, engineapi.HeaderRequestID, engineapi.HeaderLeaving, engineapi.HeaderLimit,
}

// New returns a client. If dial is nil, it opens TCP connections with liveness timeouts. memory bounds what is held of all
// responses; nil sets a fixed bound.
func New(s Settings, dial Dial, memory *membudget.Budget, log *zap.Logger) *Client {
	if dial == nil {
		dial = liveness.Dialer(s.ConnectTimeout, s.AckTimeout).DialContext
	}
	if memory == nil {
		memory = membudget.New(maxResponseMemory, "responses")
	}
	single := newHTTPClient(s, singleUse(dial), 0)
	c := &Client{
		settings: s, dial: dial, http: single, single: single, reports: newHTTPClient(s, dial, reportsIdleTimeout),
		headers: unknownheader.New(log, responseHeaders...), memory: memory,
	}
	if s.IdleTimeout > 0 && s.RequireEcho { // without an ID only the connection tells whose a response is
		c.http = newHTTPClient(s, dial, s.IdleTimeout)
	}
	return c
}

// singleUse returns a function that opens connections for one request each, which must be silent
// until the request is sent.
func singleUse(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return firstwrite.New(conn, func() error { return nil }), nil
	}
}

// Collectors returns the metrics of the client.
func (c *Client) Collectors() []prometheus.Collector {
	return []prometheus.Collector{c.headers.Collector()}
}

// reportsIdleTimeout is how long an idle connection for reports is kept open.
const reportsIdleTimeout = 2 * time.Second

func newHTTPClient(s Settings, dial Dial, idle time.Duration) *http.Client {
	transport := strictresponse.New(&http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      idle == 0,
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    s.IdleConnections,
		MaxResponseHeaderBytes: int64(s.MaxHeader),
		ReadBufferSize:         readBufferBytes,
	})
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.single.CloseIdleConnections()
	c.reports.CloseIdleConnections()
}

// Probe opens a connection to an endpoint and closes it again. Its error is that of the dial.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return errkind.Wrap(err, errkind.EndpointFailed, "endpoint does not accept connections").WithOutcome(errkind.NotRun)
	}
	return errors.Wrap(conn.Close(), "close the probe's connection")
}

// Do sends an idempotent call and reads the whole response within timeout.
func (c *Client) Do(ctx context.Context, call Call, timeout time.Duration) (*Response, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, errUnresponsive)
	defer cancel()
	response, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return c.readResponse(ctx, response, call.Lease)
}

// FirstByteTimeout returns how long to wait for the first byte of a response to a prompt of
// promptTokens tokens.
func (c *Client) FirstByteTimeout(promptTokens int) time.Duration {
	return c.settings.FirstByteTimeout + time.Duration(promptTokens)*c.settings.TimePerPromptToken
}

// ResponseTimeout returns how long to wait for a whole response with outputTokens tokens to
// a prompt of promptTokens tokens.
func (c *Client) ResponseTimeout(promptTokens, outputTokens int) time.Duration {
	return c.FirstByteTimeout(promptTokens) + time.Duration(outputTokens)*c.settings.TimePerOutputToken
}

// PlainTimeout returns how long to wait for the whole response of a plain service.
func (c *Client) PlainTimeout() time.Duration { return c.settings.PlainTimeout }

// send sends the call and checks that the response echoes its request ID.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	request, err := call.request(ctx)
	if err != nil {
		return nil, err
	}
	client := c.http
	if call.Repeated {
		client = c.single
	}
	reused := false
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}))
	response, err := client.Do(request)
	if err != nil {
		return nil, classify(ctx, err)
	}
	if err := c.checkEcho(call, response, !reused); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	c.headers.Check(call.Address, response.Header)
	return response, nil
}

// readResponse reads the response body, which may be at most Settings.MaxAnswer bytes.
func (c *Client) readResponse(ctx context.Context, response *http.Response, lease *membudget.Lease) (*Response, error) {
	if lease == nil {
		lease = c.NewLease()
		defer lease.Release()
	}
	body, err := lease.ReadAll(response.Body, int(c.settings.MaxAnswer))
	switch {
	case errors.Is(err, membudget.ErrTooLarge):
		return nil, errkind.New(errkind.EndpointFailed, "response body is larger than %d bytes", c.settings.MaxAnswer)
	case errors.Is(err, membudget.ErrExhausted):
		return nil, errkind.New(errkind.EndpointFailed, "no memory for the rest of the response")
	case err != nil:
		return nil, classify(ctx, err)
	}
	return &Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Incarnation: response.Header.Get(engineapi.HeaderIncarnation),
		Body:        body,
		Notice:      noticeOf(response),

		Unidentified: c.settings.RequireEcho && response.Header.Get(engineapi.HeaderRequestID) == "",
	}, nil
}

// checkEcho returns an error unless the response carries the request ID of the call, or
// carries none where that is allowed. only reports that the connection carried no other request.
func (c *Client) checkEcho(call Call, response *http.Response, only bool) error {
	idOptional := !c.settings.RequireEcho || only && call.AllowUnidentifiedErrors && response.StatusCode >= http.StatusBadRequest
	if echoes := response.Header.Values(engineapi.HeaderRequestID); len(echoes) == 0 && !idOptional || hasOtherID(echoes, call.ID) {
		return errkind.New(errkind.EndpointFailed, "response belongs to another request")
	}
	return nil
}

// hasOtherID reports whether one of the request IDs of a response differs from that of the request.
func hasOtherID(echoes []string, id string) bool {
	return slices.ContainsFunc(echoes, func(echo string) bool { return echo != id })
}

// request builds the HTTP request of the call.
func (call Call) request(ctx context.Context) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: call.Address, Path: call.Path, RawQuery: call.Query}
	request, err := http.NewRequestWithContext(ctx, call.Method, u.String(), http.NoBody)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "build request to endpoint")
	}
	if length := len(call.Body) + len(call.Tail); length > 0 {
		request.Body, request.ContentLength = &oneShotBody{parts: [2][]byte{call.Body, call.Tail}}, int64(length)
	}
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	request.Header.Set(engineapi.HeaderRequestID, call.ID)
	request.Header.Set("User-Agent", "eelgrass-entry")
	return request, nil
}

// oneShotBody is a request body that can be read once. Close releases its bytes, because the
// transport references the request until the whole response has been streamed.
type oneShotBody struct {
	mu    sync.Mutex // the transport may call Close during Read
	parts [2][]byte
}

// Read implements io.Reader.
func (b *oneShotBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.parts {
		if len(b.parts[i]) > 0 {
			n := copy(p, b.parts[i])
			b.parts[i] = b.parts[i][n:]
			return n, nil
		}
	}
	return 0, io.EOF
}

// Close releases the bytes.
func (b *oneShotBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts = [2][]byte{}
	return nil
}

// errUnresponsive is the cancellation cause of a call whose endpoint sent nothing within the
// timeout.
var errUnresponsive = errors.New("endpoint is unresponsive")

// classify returns the errkind error for a failed exchange: the endpoint timed out, the
// client canceled the request, the endpoint is unreachable, or the connection broke.
func classify(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		if errors.Is(context.Cause(ctx), errUnresponsive) {
			return errkind.Wrap(errUnresponsive, errkind.EndpointFailed, "endpoint did not respond in time")
		}
		return errkind.Wrap(context.Cause(ctx), errkind.Canceled, "request was canceled")
	}
	var netErr *net.OpError
	if errors.As(err, &netErr) && netErr.Op == "dial" {
		return errkind.Wrap(err, errkind.EndpointFailed, "endpoint is unreachable").WithOutcome(errkind.NotRun)
	}
	return errkind.Wrap(errors.Mark(err, errkind.ErrBroken), errkind.EndpointFailed, "exchange with endpoint failed")
}
