package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/firstwrite"
	"eelgrasshollow/internal/gateway"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/retryafter"
	"eelgrasshollow/internal/strictresponse"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// connectTimeout limits connecting to another VM. VMs answer within a round trip; the rest of
	// the client's time is for the next VM.
	connectTimeout = 200 * time.Millisecond
	// unackedTimeout is how long another VM may leave sent bytes or keep-alive probes
	// unacknowledged. Its clients have no other VM to turn to meanwhile.
	unackedTimeout = 2 * time.Second
	// maxHeaderBytes limits the head of a response.
	maxHeaderBytes = 64 << 10
)

// Client sends requests to other VMs. It implements gateway.Peers.
type Client struct {
	transport *strictresponse.Transport
	version   int
	sent      *prometheus.CounterVec
}

// NewClient returns a client. It opens a connection for each request: a reused one may be dead,
// and then it would be unknown whether the request has run.
func NewClient() *Client {
	dialer := liveness.Dialer(connectTimeout, unackedTimeout)
	return &Client{version: Version, transport: strictresponse.New(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			begin, _ := ctx.Value(beginKey{}).(func() error)
			return firstwrite.New(conn, begin), nil
		},
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}), sent: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "forward", Name: "sent_total", Help: "Requests sent to other VMs, by result: answered, lost, or the reason why not run.",
	}, []string{"result"})}
}

// Collector returns the metric of the client.
func (c *Client) Collector() prometheus.Collector { return c.sent }

// beginKey is the context key of a func() error that is called before the first byte is written.
type beginKey struct{}

// Results in the metric of sent requests; others are values of gateway.HeaderNotRun.
const (
	resultAnswered    = "answered"
	resultUnreachable = "unreachable"
	resultLost        = "lost"
)

// SendToPeer implements gateway.Peers.
func (c *Client) SendToPeer(ctx context.Context, peerAddress string, a gateway.ForwardAttempt) (*gateway.Reply, error) {
	reply, result, err := c.send(ctx, peerAddress, a)
	c.sent.WithLabelValues(result).Inc()
	return reply, err
}

func (c *Client) send(ctx context.Context, peerAddress string, a gateway.ForwardAttempt) (reply *gateway.Reply, result string, err error) {
	address, err := Address(peerAddress)
	if err != nil {
		return nil, resultUnreachable, errkind.Wrap(err, errkind.NoEndpoint, "other VM")
	}
	m := message{Request: *a.Request, TimeLeft: a.TimeLeft}
	m.Request.Forwarded, m.Request.PriorRuns, m.Request.LastEventID = true, a.PriorRuns, a.LastEventID
	m.Request.ConfigVersion = a.ConfigVersion
	var body bytes.Buffer
	if err := encode(&body, c.version, &m); err != nil {
		return nil, resultUnreachable, errkind.Wrap(err, errkind.Internal, "forward").WithOutcome(errkind.NotRun)
	}
	var started atomic.Bool
	ctx = context.WithValue(ctx, beginKey{}, func() error {
		if started.CompareAndSwap(false, true) {
			a.OnSend()
		}
		return nil
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body.Bytes()))
	if err != nil {
		return nil, resultUnreachable, errkind.Wrap(err, errkind.Internal, "forward").WithOutcome(errkind.NotRun)
	}
	response, err := c.transport.RoundTrip(request)
	switch {
	case err == nil:
		return c.decode(response)
	case !started.Load():
		return nil, resultUnreachable, errkind.Wrap(err, errkind.EndpointFailed, "other VM is unreachable").WithOutcome(errkind.NotRun)
	case ctx.Err() != nil:
		return nil, resultLost, errkind.Wrap(ctx.Err(), errkind.Timeout, "other VM did not respond in time")
	}
	return nil, resultLost, errkind.Wrap(errors.Mark(err, errkind.ErrBroken), errkind.EndpointFailed, "connection to the other VM failed")
}

// decode returns the response of another VM, or an error if that VM can't serve the request and
// has not run it, or if another process has written the response.
func (c *Client) decode(response *http.Response) (*gateway.Reply, string, error) {
	if response.Header.Get(headerForwarded) == "" {
		_ = response.Body.Close() // it is of no use
		if response.StatusCode == http.StatusNotFound {
			// A build that takes no forwarded requests.
			return nil, resultUnreachable, errkind.New(errkind.NoEndpoint, "other VM takes no requests").WithOutcome(errkind.NotRun)
		}
		return nil, resultLost, errkind.New(errkind.EndpointFailed, "response with status %d is not that of a VM", response.StatusCode)
	}
	reason := response.Header.Get(gateway.HeaderNotRun)
	kind, known := errkind.FromCode(reason)
	retryAfter, _ := retryafter.Parse(response.Header, time.Now()) // 0 if it can't be decoded
	unusable := errkind.New(errkind.NoEndpoint, "other VM has not run the request: %s", reason).WithRetryAfter(retryAfter)
	switch {
	case reason == "":
	case reason == reasonFull:
		unusable.Kind = errkind.Overloaded
		fallthrough
	case !known, kind == errkind.Draining, kind == errkind.Stale, kind == errkind.NoEndpoint:
		_ = response.Body.Close() // the text of the refusal is not used
		err := error(unusable.WithOutcome(errkind.NotRun))
		if known && kind == errkind.NoEndpoint {
			err = errors.Mark(err, gateway.ErrPeerLacksEndpoint)
		}
		return nil, reason, err
	}
	result := resultAnswered
	if reason != "" {
		result = reason
	}
	return &gateway.Reply{
		Status: response.StatusCode, Header: clientHeader(response.Header), NotRun: reason != "", Body: response.Body, Signed: true,
		Stream: strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"),
	}, result, nil
}

// discard reads the rest of a body, so that the sender of a refused request gets the refusal.
func discard(r io.Reader) { _, _ = io.Copy(io.Discard, r) }
