package gateway

import (
	"context"
	"net/http"
	"time"

	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Reach knows whether this VM reaches servers, and which other VMs do.
type Reach interface {
	// Answered records that a server has answered on a connection opened some time ago, Failed
	// that an attempt failed to connect or was reset.
	Answered(service string, openedAgo time.Duration)
	Failed(address, service string)
	// Silent records that an attempt has had no answer for silentAfter.
	Silent(address, service string)
	// Direct reports whether a request goes to servers directly. fraction is a number in [0, 1)
	// that is uniformly distributed over requests.
	Direct(fraction float64) bool
	// Doubtful reports whether the VM may be cut off from all servers.
	Doubtful() bool
	// Helper returns the peer address of a VM that reaches servers and is not in tried.
	Helper(ctx context.Context, tried []string) (address string, ok bool)
	// Unusable records that a helper has not taken a request: it is full for the moment, or can't
	// be used at all.
	Unusable(address string, full bool)
}

// ForwardAttempt is one send of a request to another VM.
type ForwardAttempt struct {
	Request     *Request
	TimeLeft    time.Duration
	LastEventID string
	// PriorRuns is the number of servers that may have run the request already.
	PriorRuns int
	// ConfigVersion is the version of this VM's configuration.
	ConfigVersion int64
	// OnSend is called immediately before the first byte is sent.
	OnSend func()
}

// ErrPeerLacksEndpoint marks the refusal of a helper that has no endpoint for the request's service at the moment. It
// says nothing about requests for other services.
var ErrPeerLacksEndpoint = errors.New("the other VM has no endpoint for the service")

// Peers sends requests to other VMs.
type Peers interface {
	// SendToPeer sends a request to the VM with a peer address. An error has the outcome not-run
	// if no byte was sent or the VM stated that it can't serve the request and has not run it; it
	// is then of kind Overloaded if the VM can take no more requests at the moment, and marked with
	// ErrPeerLacksEndpoint if that VM can't serve the service.
	SendToPeer(ctx context.Context, address string, a ForwardAttempt) (*Reply, error)
}

// Forwarding passes requests to other VMs while this one is cut off from all servers.
type Forwarding struct {
	Reach
	Peers
}

// maxHelpers is the number of VMs to which a request may be forwarded: one, and two others if it
// certainly has not run or may be repeated.
const maxHelpers = 3

// HeaderNotRun is set in the refusal of a forwarded request that certainly has not run. Its value
// is the kind of the error.
const HeaderNotRun = "Eelgrass-Forward-Not-Run"

// errNoHelper is the error of a request that no other VM can take.
var errNoHelper = errkind.New(errkind.NoEndpoint, "this VM reaches no server and no other VM can take the request").WithRetryAfter(retryAfterShort)

// isolated reports whether the request must be forwarded instead of sent to a server.
func (g *Gateway) isolated(x *exchange) bool {
	return g.Forwarding != nil && !x.Forwarded && !g.Forwarding.Direct(hashFraction(x.ID))
}

// mayForward reports whether a request that failed at a server, or for which no server is
// available, may go to another VM.
func (g *Gateway) mayForward(x *exchange, err error) bool {
	if g.Forwarding == nil || x.Forwarded || !g.Forwarding.Doubtful() || x.ctx.Err() != nil {
		return false
	}
	switch errkind.Of(err).Kind {
	case errkind.EndpointFailed, errkind.NoEndpoint, errkind.Overloaded, errkind.Timeout, errkind.StreamBroken:
	default:
		return false
	}
	return x.mayRepeat(err) && (!x.mayHaveRun || x.possibleRuns() < x.route.MaxAttempts)
}

// forward passes the request to another VM and relays its response. sent is false if there was
// no other VM to send it to.
func (g *Gateway) forward(x *exchange) (sent bool, err error) {
	var tried []string
	err = errNoHelper
	for range maxHelpers {
		address, ok := g.Forwarding.Helper(x.ctx, tried)
		if !ok {
			break
		}
		tried = append(tried, address)
		x.helper = address
		if err = g.forwardTo(x, address); err == nil {
			return true, nil
		}
		e := errkind.Of(err)
		g.Log.Info("forwarding failed", zap.String("request", x.ID), zap.String("helper", address), zap.Bool("may_have_run", x.mayHaveRun),
			zap.Duration("left", time.Until(x.deadline)), zap.Error(err))
		if x.ctx.Err() != nil || !x.mayRepeat(err) || x.mayHaveRun && x.possibleRuns() >= x.route.MaxAttempts {
			break
		}
		if !errors.Is(err, ErrPeerLacksEndpoint) {
			g.Forwarding.Unusable(address, e.Kind == errkind.Overloaded)
		}
		if x.headWritten {
			x.resumes++
		}
	}
	return len(tried) > 0, x.finalError(err)
}

// forwardTo sends the request to one other VM and relays the response.
func (g *Gateway) forwardTo(x *exchange, address string) error {
	attempt := ForwardAttempt{
		Request: x.Request, TimeLeft: time.Until(x.deadline), LastEventID: x.LastEventID,
		OnSend: func() { x.sends.Add(1) },
	}
	if x.mayHaveRun {
		attempt.PriorRuns = x.possibleRuns()
	}
	if c := g.Directory.View().Config; c != nil {
		attempt.ConfigVersion = c.Version
	}
	before := x.sendCount()
	x.sentAfter = time.Since(x.Arrived)
	reply, err := g.Forwarding.SendToPeer(x.ctx, address, attempt)
	if err == nil {
		defer func() { _ = reply.Body.Close() }() // the unread rest is not used
		err = g.relayForwarded(x, reply)
	}
	switch {
	case err == nil:
	case notRun(err):
		x.sends.Store(int32(before)) // no server has received it through that VM
	default:
		x.mayHaveRun = true
	}
	return err
}

// relayForwarded writes the response of another VM to the client. The other VM has checked the
// signature of its server and spent the retries.
func (g *Gateway) relayForwarded(x *exchange, reply *Reply) error {
	started := func() { x.firstEventAfter = time.Since(x.Arrived) }
	switch {
	case reply.NotRun && (x.mayHaveRun || x.headWritten):
		return errkind.New(errkind.Overloaded, "another VM refused the request with status %d", reply.Status).WithOutcome(errkind.NotRun)
	case reply.Status == http.StatusOK && reply.Stream:
		return g.stream(x.ctx, x, reply, func() {}, started)
	case promisesNotRun(reply.Status) && !reply.NotRun:
		return errkind.New(errkind.EndpointFailed, "another VM responded with status %d without stating that the request has not run", reply.Status)
	case x.headWritten:
		return errkind.New(errkind.StreamBroken, "another VM responded to the resumption of a stream with status %d", reply.Status)
	}
	body, err := g.buffers.read(reply.Body)
	defer body.release()
	if err != nil {
		return brokenResponse(x.ctx, err)
	}
	started()
	x.mayHaveRun = !reply.NotRun
	return x.writeBody(reply, body)
}

// forwardInstead forwards a request that failed at a server or for which none is available.
func (g *Gateway) forwardInstead(x *exchange) (sent bool, err error) {
	x.ranHere = x.mayHaveRun
	if x.headWritten {
		x.resumes++
	}
	if sent, err = g.forward(x); !sent && x.headWritten {
		x.resumes--
	}
	return sent, err
}

// resumeForwarded applies to a forwarded request what other VMs have done with it. Another
// attempt after one that may have run it spends a retry here.
func (g *Gateway) resumeForwarded(x *exchange) error {
	if !x.Forwarded || x.PriorRuns == 0 {
		return nil
	}
	x.sends.Store(int32(x.PriorRuns))
	if !x.route.Retryable() || x.PriorRuns >= x.route.MaxAttempts || !g.mayRetry(x) {
		return errkind.New(errkind.Overloaded, "the request may not be sent again").WithOutcome(errkind.NotRun)
	}
	return nil
}

// observeAnswer tells Reach that a server answered on a connection opened at the given time.
func (g *Gateway) observeAnswer(x *exchange, openedAt time.Time) {
	if g.Forwarding != nil {
		g.Forwarding.Answered(x.service, time.Since(openedAt))
	}
}

// silentAfter is how long an attempt may have no answer before Reach is told. Most first tokens
// arrive earlier.
const silentAfter = 700 * time.Millisecond

// observeSilence tells Reach if an attempt has no answer in time, unless the result is called before.
func (g *Gateway) observeSilence(x *exchange, address string) (answered func() bool) {
	if g.Forwarding == nil {
		return func() bool { return true }
	}
	return time.AfterFunc(silentAfter, func() { g.Forwarding.Silent(address, x.service) }).Stop
}

// observeFailure tells Reach of an attempt that failed to connect or was reset.
func (g *Gateway) observeFailure(x *exchange, address string, err error) {
	if g.Forwarding == nil || x.ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrUnreachable) || errors.Is(err, errkind.ErrBroken) || notRun(err) && errkind.Is(err, errkind.EndpointFailed) {
		g.Forwarding.Failed(address, x.service)
	}
}
