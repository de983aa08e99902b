package entry

import (
	"context"
	"crypto/sha256"
	"net/http"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/journal"
	"eelgrasshollow/internal/quarantine"
	"eelgrasshollow/internal/routing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// forwardedHeaders are the request headers that are forwarded to plain services.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Language", "Content-Type", engineapi.HeaderIdempotencyKey}

// plainCall is a call to a plain service, that is, one that does not run a model.
type plainCall struct {
	*exchange
	call engine.Call
	retryState
}

// servePlain serves requests on the routes of plain services.
func (f *Front) servePlain(x *exchange) error {
	view, err := f.currentView()
	if err != nil {
		return err
	}
	if !cleanPath(x.r.URL.Path) {
		return errkind.New(errkind.InvalidRequest, "path is not in canonical form")
	}
	route, ok := view.PlainRoute(x.r.URL.Path)
	if !ok {
		return errkind.New(errkind.NotFound, "no such path")
	}
	x.account, err = f.authorize(view, x, route)
	if err != nil {
		return err
	}
	x.route = route.GetName()
	body, err := f.readBody(x)
	if err != nil {
		return err
	}
	p := &plainCall{exchange: x, call: f.newCall(x, body)}
	p.request = plainRequest(x, route, body)
	if route.GetIdempotent() { // of other calls the journal may hold the response
		if err := f.router.CheckQuarantine(p.request); err != nil {
			return err
		}
	}
	reservation, err := f.reserve(x, route.GetCallTokens(), p.request.Priority)
	if err != nil {
		return err
	}
	gauge := f.metrics.inFlight.WithLabelValues(x.account, x.route)
	gauge.Inc()
	defer gauge.Dec()
	if route.GetIdempotent() {
		err = f.runIdempotent(p)
	} else {
		err = f.runOnce(p, body)
	}
	reservation.Settle(chargedTokens(err, route.GetCallTokens()))
	if err == nil {
		f.metrics.requests.WithLabelValues(x.account, x.route).Inc()
	}
	return err
}

// plainRequest returns the request of an authorized call in the form that the router takes.
func plainRequest(x *exchange, route *pb.Route, body []byte) routing.Request {
	return routing.Request{
		ID: x.id, Account: x.account, Service: route.GetService(),
		MaxTokens: int(route.GetCallTokens()), Priority: int(route.GetPriority()), Idempotent: route.GetIdempotent(),
		Traits: []quarantine.Trait{quarantine.RequestTrait(x.account, x.r.Method, x.r.URL.RequestURI(), body)},
	}
}

// chargedTokens returns the tokens to charge for a call: 0 if it certainly has not run.
func chargedTokens(err error, tokens int64) int64 {
	if err != nil && errkind.Of(err).Outcome == errkind.NotRun {
		return 0
	}
	return tokens
}

func (f *Front) newCall(x *exchange, body []byte) engine.Call {
	header := http.Header{}
	for _, name := range forwardedHeaders {
		if values := x.r.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	if x.account != "" {
		header.Set(HeaderAccount, x.account)
	}
	return engine.Call{ID: x.id, Method: x.r.Method, Path: x.r.URL.Path, Query: x.r.URL.RawQuery, Header: header, Body: body, Lease: x.response}
}

// runIdempotent runs an idempotent call and retries it at another endpoint after a failure.
func (f *Front) runIdempotent(p *plainCall) error {
	f.budget.Deposit()
	for attempt := 1; ; attempt++ {
		ticket, err := f.pickNext(p.ctx, &p.retryState)
		if err != nil {
			return p.finalError(err, false)
		}
		response, err := f.attemptPlain(p, ticket, func(call engine.Call) (*engine.Response, error) {
			return f.engine.Do(p.ctx, call, f.engine.PlainTimeout())
		})
		if err == nil {
			f.writeResponse(p.exchange, response.Status, response.ContentType, response.Body)
			return nil
		}
		p.recordFailure(ticket, err)
		if p.ctx.Err() != nil || attempt >= f.settings.MaxAttempts || !f.budget.TryWithdraw() {
			return p.finalError(err, false)
		}
		f.metrics.retries.WithLabelValues(p.account, p.route).Inc()
	}
}

// attemptPlain makes a call at the ticket's endpoint with do and reports the result to routing.
func (f *Front) attemptPlain(p *plainCall, ticket routing.Ticket, do func(engine.Call) (*engine.Response, error)) (*engine.Response, error) {
	d := ticket.Decision()
	call := p.call
	call.Address, call.Repeated = d.Address, p.failed
	response, err := do(call)
	if response != nil {
		ticket.Notify(noticeFrom(response.Incarnation, response.Notice))
	}
	if err == nil && response.Status == http.StatusOK && len(response.Body) == 0 && !f.settings.PlainEmptyOK {
		err = errkind.New(errkind.EndpointFailed, "service responded with status 200 and an empty body")
	}
	result := routing.Result{Err: errkind.Of(err), Broken: errors.Is(err, errkind.ErrBroken)}
	if err == nil {
		ticket.Started()
		result.Incarnation = response.Incarnation
	}
	ticket.Done(result)
	f.logDecision(p.exchange, d, result)
	return response, err
}

// runOnce runs a non-idempotent call at most once, protected by a claim in the request
// journal. A repeated call receives the stored response of the first.
func (f *Front) runOnce(p *plainCall, body []byte) error {
	id := p.r.Header.Get(engineapi.HeaderIdempotencyKey)
	if id == "" {
		return errkind.New(errkind.MissingRequestID, "this route requires an %s header", engineapi.HeaderIdempotencyKey)
	}
	if len(id) > f.settings.MaxIDBytes {
		return errkind.New(errkind.InvalidRequest, "%s exceeds %d bytes", engineapi.HeaderIdempotencyKey, f.settings.MaxIDBytes)
	}
	ctx, cancel := context.WithTimeout(p.ctx, f.settings.JournalTimeout)
	claim, stored, err := f.journal.Claim(ctx, journal.Request{Account: p.account, Route: p.route, ID: id, Body: requestHash(p, body)})
	cancel()
	if err != nil {
		return err
	}
	if stored != nil {
		f.writeResponse(p.exchange, stored.Status, stored.ContentType, stored.Body)
		return nil
	}
	return f.runClaimed(p, claim)
}

// runClaimed sends a claimed call to an endpoint. It makes another attempt only if the
// previous one has sent no byte.
func (f *Front) runClaimed(p *plainCall, claim journal.Claim) error {
	for attempt := 1; ; attempt++ {
		ticket, err := f.pickWithin(p.ctx, f.settings.ClaimQueueTimeout, p.request)
		if err != nil {
			f.releaseClaim(p, claim)
			return errkind.Of(err).WithOutcome(errkind.NotRun)
		}
		sent, beginFailed := false, false
		response, err := f.attemptPlain(p, ticket, func(call engine.Call) (*engine.Response, error) {
			// A call that has been sent is completed even if its client disconnects, as long as this VM runs.
			ctx, cancel := context.WithCancel(context.WithoutCancel(p.ctx))
			defer cancel()
			defer context.AfterFunc(f.ending, cancel)()
			return f.engine.DoOnce(ctx, call, func() error {
				if err := f.checkBeforeSend(p); err != nil {
					return err
				}
				err := claim.Begin()
				sent, beginFailed = err == nil, err != nil
				return err
			})
		})
		switch {
		case sent:
			return f.recordOutcome(p, claim, response, err)
		case beginFailed:
			return err // its outcome is not-run only if the claim guarantees that the call never runs
		}
		if p.ctx.Err() != nil || attempt >= f.settings.MaxAttempts || errkind.Of(err).Kind != errkind.EndpointFailed {
			f.releaseClaim(p, claim)
			return errkind.Of(err).WithOutcome(errkind.NotRun)
		}
		p.request.Exclude = append(p.request.Exclude, ticket.Decision().Endpoint)
	}
}

// checkBeforeSend is the last check before the first byte is sent: the client must still be
// connected and its key must still be valid.
func (f *Front) checkBeforeSend(p *plainCall) error {
	if p.ctx.Err() != nil {
		return withCause(p.ctx, errkind.New(errkind.Canceled, "client disconnected before the call was sent"))
	}
	return f.stillAllowed(p.open)
}

// logJournalError logs that a journal record could not be written. The record then keeps its
// former state, which means that the outcome is unknown.
func (f *Front) logJournalError(p *plainCall, err error) {
	if err != nil {
		f.log.Warn("journal record not written", zap.String("request_id", p.id), zap.String("kind", errkind.Of(err).Kind.String()))
	}
}

// recordOutcome records the outcome of a call that was sent in the journal and writes the
// response to the client.
func (f *Front) recordOutcome(p *plainCall, claim journal.Claim, response *engine.Response, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), f.settings.JournalTimeout)
	defer cancel()
	if err != nil {
		f.logJournalError(p, claim.MarkLost(ctx))
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the call was sent but its response was lost")
	}
	stored := journal.Answer{Status: response.Status, ContentType: response.ContentType, Body: response.Body}
	f.logJournalError(p, claim.Complete(ctx, stored))
	f.writeResponse(p.exchange, response.Status, response.ContentType, response.Body)
	return nil
}

func (f *Front) releaseClaim(p *plainCall, claim journal.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), f.settings.JournalTimeout)
	defer cancel()
	f.logJournalError(p, claim.Release(ctx))
}

// requestHash returns a hash of method, path, query and body. A repeat of the call must have
// the same hash as the first.
func requestHash(p *plainCall, body []byte) [sha256.Size]byte {
	h := sha256.New()
	// Neither a method nor an escaped URL contains a space, so the fields can't be confused.
	h.Write([]byte(p.call.Method + " " + p.r.URL.EscapedPath() + "?" + p.call.Query + " "))
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}
