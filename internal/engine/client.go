// Package engine talks to endpoints over HTTP: whole answers, streams with positions,
// calls that may run once only, cancels, load reports and cache events.
//
// Invariants: an answer whose request ID differs from the one sent is never handed
// out; every wait has a bound; nothing is sent again by this package.
package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/liveness"

	"github.com/cockroachdb/errors"
)

// Call is a request to an endpoint.
type Call struct {
	Address string // IP and port
	ID      string // request ID
	Method  string
	Path    string
	Query   string
	Header  http.Header // copied; never holds a caller's key
	Body    []byte
	Tail    []byte // sent after Body
	// AllowUnidentifiedErrors takes an answer with an error status that carries no request ID;
	// nothing of such an answer may be handed to a caller but its status.
	AllowUnidentifiedErrors bool
}

// Response is a whole answer.
type Response struct {
	Status      int
	ContentType string
	Incarnation string
	Body        []byte
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client talks to endpoints.
type Client struct {
	settings Settings
	dial     Dial
	http     *http.Client
	// reports has connections of its own, so that a request never meets one that only
	// a quiet stretch of load reports has kept.
	reports *http.Client
}

// New returns a client; a nil dial opens TCP connections with liveness bounds.
func New(s Settings, dial Dial) *Client {
	if dial == nil {
		dial = liveness.Dialer(s.ConnectTimeout, s.Acknowledge).DialContext
	}
	return &Client{settings: s, dial: dial, http: newHTTP(s, dial, s.Idle), reports: newHTTP(s, dial, reportsIdle)}
}

// reportsIdle is how long an unused connection for reports is kept.
const reportsIdle = 2 * time.Second

func newHTTP(s Settings, dial Dial, idle time.Duration) *http.Client {
	transport := &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      idle == 0,
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    s.IdleConnections,
		MaxResponseHeaderBytes: int64(s.MaxHeader),
		ReadBufferSize:         readBuffer,
	}
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes unused connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.reports.CloseIdleConnections()
}

// Do sends an idempotent call and reads its whole answer within bound.
func (c *Client) Do(ctx context.Context, call Call, bound time.Duration) (*Response, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, bound, errSilent)
	defer cancel()
	response, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return c.whole(ctx, response)
}

// FirstByteTimeout is the time to the first byte of an answer to a prompt of so many tokens.
func (c *Client) FirstByteTimeout(prompt int) time.Duration {
	return c.settings.FirstByte + time.Duration(prompt)*c.settings.PromptTime
}

// ResponseTimeout is the time that an answer of so many output tokens may take in one piece.
func (c *Client) ResponseTimeout(prompt, output int) time.Duration {
	return c.FirstByteTimeout(prompt) + time.Duration(output)*c.settings.TokenTime
}

// PlainTimeout is the time that a plain service may take.
func (c *Client) PlainTimeout() time.Duration { return c.settings.PlainAnswer }

// send sends the call and checks that the answer's head belongs to it.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	request, err := call.request(ctx)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, failure(ctx, err)
	}
	if err := c.checkEcho(call, response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// whole reads a bounded body.
func (c *Client) whole(ctx context.Context, response *http.Response) (*Response, error) {
	limit := int64(c.settings.MaxAnswer)
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, failure(ctx, err)
	}
	if int64(len(body)) > limit {
		return nil, errkind.New(errkind.EndpointFailed, "answer of more than %d bytes", limit)
	}
	return &Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Incarnation: response.Header.Get(engineapi.HeaderIncarnation),
		Body:        body,
	}, nil
}

func (c *Client) checkEcho(call Call, response *http.Response) error {
	echoed := response.Header.Get(engineapi.HeaderRequestID)
	bare := !c.settings.RequireEcho || (call.AllowUnidentifiedErrors && response.StatusCode >= http.StatusBadRequest)
	if echoed == call.ID || (echoed == "" && bare) {
		return nil
	}
	return errkind.New(errkind.EndpointFailed, "answer belongs to another request")
}

func (call Call) request(ctx context.Context) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: call.Address, Path: call.Path, RawQuery: call.Query}
	request, err := http.NewRequestWithContext(ctx, call.Method, u.String(), http.NoBody)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "request cannot be passed on")
	}
	if length := len(call.Body) + len(call.Tail); length > 0 {
		request.Body, request.ContentLength = &oneRead{parts: [2][]byte{call.Body, call.Tail}}, int64(length)
	}
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	request.Header.Set(engineapi.HeaderRequestID, call.ID)
	request.Header.Set("User-Agent", "eelgrass-entry")
	return request, nil
}

// oneRead is a body that can be read once. It lets go of its bytes when closed, as the
// transport keeps a request for as long as its answer streams.
type oneRead struct {
	mu    sync.Mutex // a transport may close while it reads
	parts [2][]byte
}

// Read reads the next bytes.
func (o *oneRead) Read(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.parts {
		if len(o.parts[i]) > 0 {
			n := copy(p, o.parts[i])
			o.parts[i] = o.parts[i][n:]
			return n, nil
		}
	}
	return 0, io.EOF
}

// Close lets go of the bytes.
func (o *oneRead) Close() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.parts = [2][]byte{}
	return nil
}

// errSilent is the cause of a call given up because its endpoint said nothing.
var errSilent = errors.New("endpoint is silent")

// failure tells a failed exchange apart: the caller left, silence, not reached, or broken.
func failure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		if errors.Is(context.Cause(ctx), errSilent) {
			return errkind.Wrap(errSilent, errkind.EndpointFailed, "endpoint gave no sign of life in time")
		}
		return errkind.Wrap(context.Cause(ctx), errkind.Canceled, "request was given up")
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.Wrap(err, errkind.EndpointFailed, "endpoint cannot be reached").WithOutcome(errkind.NotRun)
	}
	return errkind.Wrap(err, errkind.EndpointFailed, "exchange with endpoint broke")
}
