package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/routing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// unreachedTries is how many servers may turn out to be unreachable for one request;
	// nothing was sent to them.
	unreachedTries = 3
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 16 << 20
	// firstTryTargets is after how many target times a repeatable request is given to
	// another server; its answer would be late by then.
	firstTryTargets = 2
)

// attempts sends the request to servers until one has answered it.
func (g *Gateway) attempts(x *exchange) error {
	var exclude []string
	unreached := 0
	var last error
	for {
		asked := time.Now()
		ticket, err := g.Router.Pick(x.ctx, x.routed(exclude))
		g.Metrics.waited(x.route.Name, forPlace, asked)
		if err != nil {
			return x.ended(prefer(last, err))
		}
		err = g.attempt(x, ticket)
		if err == nil {
			return nil
		}
		last = err
		exclude = append(exclude, ticket.Decision().Endpoint)
		g.Log.Info("try failed", zap.String("request", x.ID), zap.String("server", x.server), zap.Int("sends", x.sent()),
			zap.Bool("may_have_run", x.mayRun), zap.Duration("left", time.Until(x.until)), zap.Error(err))
		switch {
		case x.ctx.Err() != nil:
			return x.ended(err)
		case errkind.Of(err).Kind == errkind.EndpointFailed && notRun(err):
			// No byte has left, so this was no try.
			if unreached++; unreached > unreachedTries {
				return x.ended(err)
			}
			continue
		case !x.repeats(err) || x.sent() >= x.route.MaxAttempts:
			return x.ended(err)
		}
		if !errors.Is(err, errServerFailed) && !g.mayRetry(x) {
			return x.ended(err)
		}
		if x.begun {
			x.resumed++
		}
	}
}

// sent is how many servers got at least a byte of the request.
func (x *exchange) sent() int { return int(x.sends.Load()) }

// mayRetry takes a second try out of the service's budget.
func (g *Gateway) mayRetry(x *exchange) bool {
	allowed := g.Retries.Spend(x.service)
	g.Metrics.retries.WithLabelValues(x.service, strconv.FormatBool(allowed)).Inc()
	return allowed
}

// prefer keeps the reason why earlier servers failed over there being no other server.
func prefer(last, err error) error {
	if last != nil && errkind.Is(err, errkind.NoEndpoint) {
		return last
	}
	return err
}

// repeats reports whether the request may go to another server after the failure.
func (x *exchange) repeats(err error) bool {
	if errkind.Is(err, errkind.Canceled) {
		return false
	}
	return notRun(err) && !x.mayRun || x.route.Retryable()
}

// ended states the request's final outcome.
func (x *exchange) ended(err error) error {
	e := errkind.Of(err)
	if x.ctx.Err() != nil && errors.Is(context.Cause(x.ctx), errTimeUp) {
		e = errkind.New(errkind.Timeout, "no whole answer in time")
		if !x.mayRun && !x.begun {
			// Nothing has run, and nothing will: the last server's connection is closed.
			e = errkind.New(errkind.Overloaded, "no server took the request in time")
		}
		return e
	}
	if !x.mayRun {
		if e.RetryAfter == 0 {
			e = e.WithRetryAfter(comeBackSoon)
		}
		if e.Kind == errkind.EndpointFailed {
			e = errkind.New(errkind.NoEndpoint, "%s", e.Text).WithRetryAfter(e.RetryAfter)
		}
		return e.WithOutcome(errkind.NotRun)
	}
	if e.Outcome == errkind.NotRun {
		// An earlier try may have run, so no status that promises the opposite will do.
		e = errkind.New(errkind.EndpointFailed, "an earlier try may have run: %s", e.Text)
	}
	return e
}

// attempt sends the request to one server and relays the answer.
func (g *Gateway) attempt(x *exchange, ticket routing.Ticket) error {
	d := ticket.Decision()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	if bound := x.tryBound(); bound > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, bound)
		defer stop()
	}
	sent := time.Now()
	a := Attempt{
		Request: x.Request, Address: d.Address, Server: serverID(d.Endpoint, d.Address), Account: x.accountName(),
		Priority: x.priority(), TimeLeft: time.Until(x.until), LastEventID: x.LastEventID, OnSend: func() { x.sends.Add(1) },
	}
	if version, known := g.Directory.View().WeightsVersion(d.Endpoint, x.Prompt.Model); known && x.Prompt.Known {
		a.Weights, a.CacheSalt = version, x.salt(version)
		a.ImportFrom, a.SaveTo = d.ImportFrom, d.SaveTo
	}
	x.server, x.place = a.Server, d
	reply, err := g.Upstream.Send(ctx, a)
	if err == nil && reply.WrongWeights && a.Weights > 0 && g.mayRetry(x) {
		// Its weights have changed unnoticed, and it has not run the request. Nothing is
		// known of its cache, so this request gets a namespace of its own.
		_ = reply.Body.Close() // a refusal's text concerns nobody
		a.Weights, a.ImportFrom, a.SaveTo, a.CacheSalt, a.TimeLeft = 0, "", "", x.ID, time.Until(x.until)
		x.sends.Add(-1)
		reply, err = g.Upstream.Send(ctx, a)
	}
	result := routing.Result{Incarnation: a.Server, CacheUnknown: true, PromptTokens: x.Prompt.Tokens}
	defer func() { ticket.Done(result) }()
	if err == nil {
		defer func() { _ = reply.Body.Close() }() // what is left of it concerns nobody
		err = g.relay(ctx, x, reply, func() {
			result.FirstToken = time.Since(sent)
			ticket.Started()
		})
	}
	if err != nil {
		if !notRun(err) {
			x.mayRun = true
		}
		result.Err = errkind.Of(err)
		if x.ctx.Err() != nil {
			// The client's time or patience ended; that says nothing of the server.
			result.Err = errkind.New(errkind.Canceled, "request was given up")
		}
	}
	return err
}

// serverID is the server's part of an endpoint's name, see fleet.Server.Key.
func serverID(name, address string) string {
	if n := len(name) - len(address) - 1; n > 0 {
		return name[:n]
	}
	return name
}

// tryBound is how long one server may take where another one may be asked afterwards;
// 0 sets no bound.
func (x *exchange) tryBound() time.Duration {
	if !x.route.Retryable() || x.Prompt.Known || x.sent()+1 >= x.route.MaxAttempts || x.route.TargetLatency == 0 {
		return 0
	}
	return min(firstTryTargets*x.route.TargetLatency, time.Until(x.until)/2)
}

// relay hands a server's answer to the client, or says why it can't.
func (g *Gateway) relay(ctx context.Context, x *exchange, reply *Reply, started func()) error {
	switch {
	case reply.WrongServer:
		return errkind.New(errkind.NoEndpoint, "another server has the address").WithOutcome(errkind.NotRun)
	case reply.NotRun:
		return errkind.New(errkind.Overloaded, "server refused the request with status %d", reply.Status).WithOutcome(errkind.NotRun)
	case !reply.Signed:
		return errkind.New(errkind.EndpointFailed, "server's answer with status %d has no signature", reply.Status)
	case reply.Status == http.StatusOK && reply.Stream:
		return g.stream(ctx, x, reply, started)
	case x.begun:
		return errkind.New(errkind.StreamBroken, "server answered the rest of a stream with status %d", reply.Status)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if err != nil {
		return broken(ctx, err)
	}
	if len(body) > maxAnswerBytes {
		return errkind.New(errkind.EndpointFailed, "answer of more than %d bytes", maxAnswerBytes)
	}
	started()
	if reply.Status >= http.StatusInternalServerError && x.route.Retryable() && x.sent() < x.route.MaxAttempts && g.mayRetry(x) {
		// The server is no less able to serve the next request. The try is paid for.
		x.mayRun = true
		return errServerFailed
	}
	x.mayRun = true
	x.begun = true
	x.status = reply.Status
	h := x.w.Header()
	copyHeader(h, reply.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(reply.Status)
	if _, err := x.w.Write(body); err != nil {
		return errkind.Wrap(err, errkind.Canceled, "client left")
	}
	return nil
}

// errServerFailed is a server's own failure of a request that may be repeated.
var errServerFailed = errkind.New(errkind.Internal, "server failed the request")

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// broken says why an answer ended early.
func broken(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "answer was given up")
	}
	return errkind.Wrap(err, errkind.EndpointFailed, "answer broke off")
}
