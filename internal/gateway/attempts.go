package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/cachespace"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleetview"
	"eelgrasshollow/internal/routing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// maxUnreachable is the number of unreachable servers that one request may skip.
	// They don't count as attempts, because no byte was sent to them.
	maxUnreachable = 3
	// maxRefusals is the number of servers that one request may skip because they stated that
	// they have not run it. They don't count as attempts either, but draw on the retry budget.
	maxRefusals = 3
	// attemptTimeoutTargets is the timeout of an attempt that may be repeated, in
	// multiples of the route's target time. A response after that would be late anyway.
	attemptTimeoutTargets = 2
)

// attempts sends the request to one server after another until a response has been
// relayed or the request may not be sent again.
func (g *Gateway) attempts(x *exchange) error {
	var exclude []string
	unreachable := 0
	var lastErr error
	x.release.request = g.Releases.Begin(x.service)
	defer func() { x.release.request.End() }()
	for {
		pickStart := time.Now()
		owner, _ := g.cacheOwner(x)
		request := x.routingRequest(owner, exclude)
		request.Tier = g.chooseArm(x)
		ticket, err := g.Router.Pick(x.ctx, request)
		g.Metrics.observeWait(x.route.Name, waitForSlot, pickStart)
		if err != nil {
			if g.mayForward(x, err) {
				if sent, err := g.forwardInstead(x); sent {
					return err
				}
			}
			return x.finalError(preferEarlier(lastErr, err))
		}
		if err := g.checkFresh(); err != nil { // the request may have waited, or the VM was paused
			ticket.Done(routing.Result{Err: errkind.New(errkind.Canceled, "not sent")})
			return x.finalError(err)
		}
		if !g.maySend(x, ticket.Decision()) {
			if !g.withdraw(x, ticket) {
				return x.finalError(preferEarlier(lastErr, errkind.New(errkind.NoEndpoint, "the servers in use keep changing")))
			}
			continue
		}
		err = g.attempt(x, ticket)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrNotPermitted) {
			if x.release.withdrawn++; x.release.withdrawn > maxWithdrawn {
				return x.finalError(err)
			}
			continue
		}
		x.release.attempts++
		lastErr = err
		exclude = append(exclude, ticket.Decision().Endpoint)
		g.Log.Info("try failed", zap.String("request", x.ID), zap.String("server", x.server), zap.Int("sends", x.sendCount()),
			zap.Bool("may_have_run", x.mayHaveRun), zap.Duration("left", time.Until(x.deadline)),
			zap.Bool("answer_begun", x.firstEventAfter > 0), zap.Strings("shared_parts", x.Prompt.sharedParts()),
			zap.String("fingerprint", x.traits[0].Name), zap.Error(err))
		if g.mayForward(x, err) {
			if sent, err := g.forwardInstead(x); sent {
				return err
			}
		}
		switch {
		case x.ctx.Err() != nil:
			return x.finalError(err)
		case errkind.Of(err).Kind == errkind.EndpointFailed && notRun(err):
			// No byte was sent, so this does not count as an attempt.
			if unreachable++; unreachable > maxUnreachable {
				return x.finalError(err)
			}
			continue
		case !x.mayRepeat(err):
			return x.finalError(err)
		case notRun(err) && x.refusals < maxRefusals:
			x.refusals++
		case x.possibleRuns() >= x.route.MaxAttempts:
			return x.finalError(err)
		}
		if !errors.Is(err, errServerFailed) && !g.mayRetry(x) {
			return x.finalError(err)
		}
		if x.headWritten {
			x.resumes++
		}
	}
}

// sendCount returns the number of servers that received at least one byte of the request.
func (x *exchange) sendCount() int { return int(x.sends.Load()) }

// possibleRuns returns the number of servers that may have run the request.
func (x *exchange) possibleRuns() int { return x.sendCount() - x.refusals }

// mayFollow reports whether the route allows another attempt after the next one, if the server
// of that one runs the request.
func (x *exchange) mayFollow() bool {
	return x.route.Retryable() && x.possibleRuns()+1 < x.route.MaxAttempts
}

// mayRetry reports whether the service's retry budget allows a retry, and spends one.
func (g *Gateway) mayRetry(x *exchange) bool {
	allowed := g.Retries.Spend(x.service)
	g.Metrics.retries.WithLabelValues(x.service, strconv.FormatBool(allowed)).Inc()
	return allowed
}

// preferEarlier returns the error of an earlier attempt, if there is one, in place of an
// error that says that no further endpoint is available.
func preferEarlier(earlier, err error) error {
	if earlier != nil && errkind.Is(err, errkind.NoEndpoint) {
		return earlier
	}
	return err
}

// mayRepeat reports whether the request may be sent to another server after err.
func (x *exchange) mayRepeat(err error) bool {
	if errkind.Is(err, errkind.Canceled) || x.headWritten && x.unnumbered {
		return false
	}
	return notRun(err) && !x.mayHaveRun || x.route.Retryable()
}

// finalError converts the last error of a request into the one that the client receives.
// The outcome is not-run only if no server can have run the request.
func (x *exchange) finalError(err error) error {
	e := errkind.Of(err)
	if x.ctx.Err() != nil && errors.Is(context.Cause(x.ctx), errDeadline) {
		e = errkind.New(errkind.Timeout, "no complete response before the deadline")
		if !x.mayHaveRun && !x.headWritten {
			// No server has run the request, and none will: the connection to the last
			// one is closed.
			e = errkind.New(errkind.Overloaded, "no server accepted the request before the deadline")
		}
		return e
	}
	if x.ctx.Err() != nil && errors.Is(context.Cause(x.ctx), errEnding) {
		if !x.mayHaveRun && !x.headWritten {
			return errkind.New(errkind.Draining, "this VM is stopping").WithRetryAfter(retryAfterDraining)
		}
		return errkind.New(errkind.OutcomeUnknown, "%v", errEnding)
	}
	if !x.mayHaveRun {
		if e.RetryAfter == 0 {
			e = e.WithRetryAfter(retryAfterShort)
		}
		if e.Kind == errkind.EndpointFailed {
			e = errkind.New(errkind.NoEndpoint, "%s", e.Text).WithRetryAfter(e.RetryAfter)
		}
		return e.WithOutcome(errkind.NotRun)
	}
	if e.Outcome == errkind.NotRun {
		// The last attempt has not run the request, but an earlier one may have, so the
		// status must not imply not-run.
		e = errkind.New(errkind.EndpointFailed, "an earlier attempt may have run the request: %s", e.Text)
	}
	return e
}

// attempt sends the request to the ticket's server, relays the response and reports the
// result to routing.
func (g *Gateway) attempt(x *exchange, ticket routing.Ticket) error {
	decision := ticket.Decision()
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	begun := func() {} // ends the attempt's timeout
	if timeout := x.attemptTimeout(); timeout > 0 {
		late := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
		begun = func() { late.Stop() }
		defer begun()
	}
	counted := x.beginReleaseAttempt(decision)
	start := time.Now()
	x.sentAfter = start.Sub(x.Arrived)
	var openedAt atomic.Pointer[time.Time]
	attempt := Attempt{
		Request: x.Request, Address: decision.Address, Server: serverID(decision.Endpoint, decision.Address), Account: x.accountName(),
		Priority: x.priority(), TimeLeft: time.Until(x.deadline), LastEventID: x.LastEventID, Permitted: g.permitted(x, decision), Cache: cachespace.Unique(),
		OnSend: func() {
			now := time.Now()
			openedAt.Store(&now)
			x.sends.Add(1)
			counted.Sent()
		},
	}
	if x.Prompt.Known {
		owner, view := g.cacheOwner(x)
		attempt.Cache, attempt.Weights = view.CacheSpace(decision.Endpoint, x.Prompt.Model, owner)
		if attempt.Cache.Shared() {
			attempt.ImportFrom, attempt.SaveTo = decision.ImportFrom, decision.SaveTo
			attempt.Permitted = g.permittedFor(x, owner, attempt.Permitted)
		}
	}
	x.server, x.decision = attempt.Server, decision
	g.observeNamespace(x, attempt)
	var watched *watchedAttempt
	if x.mayFollow() {
		watched = g.silence.add(decision.Address, cancel, func() {
			ticket.Notify(routing.Notice{PauseFor: avoidTime})
			if g.Forwarding != nil {
				g.Forwarding.Failed(decision.Address, x.service)
			}
		})
		defer watched.remove()
	}
	answered := g.observeSilence(x, decision.Address)
	reply, err := g.send(ctx, ticket, attempt)
	answered()
	if err == nil {
		watched.received()
		g.silence.reached(decision.Address)
	}
	if opened := openedAt.Load(); err == nil && opened != nil {
		g.observeAnswer(x, *opened)
	}
	if err == nil && reply.WrongWeights && !reply.Leaving && attempt.Weights > 0 && ticket.Resend() && g.mayRetry(x) {
		// The server's weights have changed since the last status check, and it has not
		// run the request. Its cache contents are unknown, so the request is sent again
		// in a namespace that no other request has.
		_ = reply.Body.Close() // the text of the refusal is not used
		attempt.Weights, attempt.ImportFrom, attempt.SaveTo, attempt.Cache, attempt.TimeLeft = 0, "", "", cachespace.Unique(), time.Until(x.deadline)
		x.sends.Add(-1)
		g.observeNamespace(x, attempt)
		if reply, err = g.send(ctx, ticket, attempt); err == nil && reply.WrongWeights {
			// This send names no weights: the refusal is that of the first one, which has the same ID.
			reply.NotRun = false
		}
	}
	result := routing.Result{Incarnation: decision.Incarnation, CacheUnknown: true, NothingShared: !attempt.Cache.Shared(), PromptTokens: x.Prompt.Tokens}
	defer func() { ticket.Done(result) }()
	if err == nil {
		defer func() { _ = reply.Body.Close() }() // the unread rest is not used
		err = g.relay(ctx, x, reply, watched.received, func() {
			begun() // a stream that has begun goes on: another server would repeat its work
			result.FirstToken = time.Since(start)
			x.firstEventAfter = time.Since(x.Arrived)
			ticket.Started()
			counted.Started()
		})
	}
	if err == nil {
		result.Steps, result.Decoding = x.steps, x.decoding
		counted.End(x.releaseResult(reply, nil))
		return nil
	}
	silent := false // the server may go on after a short silence, which is no failure
	switch {
	case errors.Is(context.Cause(ctx), ErrUnreachable):
		err = errkind.Wrap(ErrUnreachable, errkind.EndpointFailed, "attempt given up").WithOutcome(errkind.Unknown)
	case errors.Is(err, ErrUnreachable):
		silent = !g.silence.unreachable(decision.Address)
		g.outages.begin(decision.Address, func(d time.Duration) { ticket.Notify(routing.Notice{UnreachableFor: d}) })
	case errkind.Is(err, errkind.Timeout):
		silent = g.silence.silent(decision.Address)
	}
	if !notRun(err) {
		x.mayHaveRun = true
	}
	g.observeFailure(x, decision.Address, err)
	counted.End(x.releaseResult(reply, err))
	switch {
	case errors.Is(err, ErrNotPermitted):
		result.Err = errkind.New(errkind.Canceled, "not sent")
	case x.ctx.Err() != nil:
		// The request timed out or the client disconnected, which is not the server's failure.
		result.Err = errkind.New(errkind.Canceled, "request was canceled")
	case reply != nil && reply.PauseFor > 0:
		// The server works and asks for less, whether or not it ran this request.
		result.Err = errkind.New(errkind.Overloaded, "server asked for a pause")
	case silent:
		// Routing avoids the server for a moment and keeps what it knows of its cache.
		result.Err = errkind.New(errkind.Overloaded, "server is silent")
	default:
		result.Err, result.Broken = errkind.Of(err), errors.Is(err, errkind.ErrBroken)
	}
	return err
}

// cacheOwner returns who shares the cached prompts of a request now, and the view that says so: the configuration may have
// changed since the request arrived. Nobody does if the configuration is older than that of the VM that forwarded the request,
// and only the request's own account if it has not been confirmed for MaxSharingAge: accounts may be isolated that it doesn't
// isolate yet.
func (g *Gateway) cacheOwner(x *exchange) (cachespace.Owner, *fleetview.View) {
	view, age := g.Directory.ViewWithAge()
	switch {
	case view.Config == nil || view.Config.Version < x.ConfigVersion:
		return cachespace.Owner{}, view
	case g.MaxSharingAge > 0 && age >= g.MaxSharingAge:
		return view.Config.CacheOwnerApart(x.keyHolder, x.APIKey), view
	}
	return view.Config.CacheOwner(x.keyHolder, x.APIKey), view
}

// permittedFor returns a function for Attempt.Permitted that returns false if the request's cached prompts no longer have the
// owner for whom the attempt's namespace was made: connecting may take long enough for the configuration to change. also is
// the function so far, or nil.
func (g *Gateway) permittedFor(x *exchange, owner cachespace.Owner, also func() bool) func() bool {
	return func() bool {
		if now, _ := g.cacheOwner(x); now != owner {
			return false
		}
		return also == nil || also()
	}
}

// observeNamespace records the cache namespace of an attempt that is about to be sent. Of the decision for the attempt it
// keeps the copies that are made, and the expected cached tokens if there may be any.
func (g *Gateway) observeNamespace(x *exchange, a Attempt) {
	x.cacheSalt = a.Cache.Salt()
	x.decision.ImportFrom, x.decision.SaveTo = a.ImportFrom, a.SaveTo
	if !a.Cache.Shared() {
		x.decision.CachedTokens = 0
	}
	if x.Prompt.Known {
		g.Metrics.promptSends.WithLabelValues(strconv.FormatBool(a.Cache.Shared())).Inc()
	}
}

// send sends an attempt once and passes on what the server states about itself. A response of
// another server at the address says nothing about this one.
func (g *Gateway) send(ctx context.Context, ticket routing.Ticket, a Attempt) (*Reply, error) {
	reply, err := g.Upstream.Send(ctx, a)
	if err == nil && !reply.WrongServer {
		ticket.Notify(routing.Notice{
			Incarnation: ticket.Decision().Incarnation, Leaving: reply.Leaving, PauseFor: reply.PauseFor,
			Limit: reply.Limit, Unlimited: reply.Unlimited, ToleratedRejections: reply.ToleratedRejections,
		})
	}
	return reply, err
}

// serverID returns the server's ID from an endpoint's name, which has the form ID@address
// (see fleet.Server.Key).
func serverID(name, address string) string {
	if n := len(name) - len(address) - 1; n > 0 {
		return name[:n]
	}
	return name
}

// attemptTimeout returns the timeout of the next attempt if another one may follow it, or 0
// for no timeout other than the request's deadline.
func (x *exchange) attemptTimeout() time.Duration {
	if !x.mayFollow() || x.Prompt.Known || x.route.TargetLatency == 0 {
		return 0
	}
	return min(attemptTimeoutTargets*x.route.TargetLatency, time.Until(x.deadline)/2)
}

// relay writes a server's response to the client, or returns an error if the response can't
// be used. It calls received for each event, and started when the first event, or the whole
// body, has been received.
func (g *Gateway) relay(ctx context.Context, x *exchange, reply *Reply, received, started func()) error {
	switch {
	case reply.WrongServer:
		return errkind.New(errkind.NoEndpoint, "address belongs to another server").WithOutcome(errkind.NotRun)
	case reply.NotRun:
		return errkind.New(errkind.Overloaded, "server refused the request with status %d", reply.Status).WithOutcome(errkind.NotRun)
	case reply.Unidentified:
		return errkind.New(errkind.EndpointFailed, "response with status %d does not carry the request's ID", reply.Status)
	case !reply.Signed:
		return errkind.New(errkind.EndpointFailed, "response with status %d has no signature", reply.Status)
	case promisesNotRun(reply.Status):
		return errkind.New(errkind.EndpointFailed, "response with status %d does not state that the request has not run", reply.Status)
	case reply.Status == http.StatusOK && reply.Stream:
		return g.stream(ctx, x, reply, received, started)
	case x.headWritten:
		return errkind.New(errkind.StreamBroken, "server responded to the resumption of a stream with status %d", reply.Status)
	}
	body, err := g.buffers.read(reply.Body)
	defer body.release()
	if err != nil {
		return brokenResponse(ctx, err)
	}
	started()
	if reply.Status >= http.StatusInternalServerError && x.route.Retryable() && x.possibleRuns() < x.route.MaxAttempts && g.mayRetry(x) {
		// The failure concerns this request only; the server can serve other requests.
		// mayRetry has already spent the retry.
		x.mayHaveRun = true
		return errServerFailed
	}
	x.mayHaveRun = true
	return x.writeBody(reply, body)
}

// writeBody writes a response with its whole body.
func (x *exchange) writeBody(reply *Reply, body *bufferedBody) error {
	x.headWritten = true
	x.status = reply.Status
	h := x.w.Header()
	copyHeader(h, reply.Header)
	h.Set("Content-Length", strconv.Itoa(body.size()))
	x.w.WriteHeader(reply.Status)
	for _, chunk := range body.chunks {
		if _, err := x.w.Write(chunk); err != nil {
			return errkind.Wrap(err, errkind.Canceled, "client disconnected")
		}
	}
	return nil
}

// errServerFailed is the error of an attempt that a server answered with a 5xx status,
// when the request may be repeated and the retry has already been spent.
var errServerFailed = errkind.New(errkind.Internal, "server failed to serve the request")

// copyHeader copies a server's header. HeaderNotRun is only for VMs to set.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if name != HeaderNotRun {
			dst[name] = values
		}
	}
}

// brokenResponse returns the error for a response body that ended early: Timeout if ctx has
// ended, else EndpointFailed.
func brokenResponse(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "timed out reading the response")
	}
	if e := (*errkind.Error)(nil); errors.As(err, &e) {
		return errkind.Wrap(err, errkind.EndpointFailed, "response can't be used") // the connection is sound
	}
	return errkind.Wrap(errors.Mark(err, errkind.ErrBroken), errkind.EndpointFailed, "response ended early")
}
