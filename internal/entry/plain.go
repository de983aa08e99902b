package entry

import (
	"context"
	"crypto/sha256"
	"net/http"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/journal"
	"eelgrasshollow/internal/routing"

	"go.uber.org/zap"
)

// passedHeaders are the request headers that plain services get.
var passedHeaders = []string{"Accept", "Accept-Language", "Content-Language", "Content-Type", engineapi.HeaderIdempotencyKey}

// plainCall is a call to a plain service.
type plainCall struct {
	*exchange
	call engine.Call
	tries
}

// plain serves the routes of plain services.
func (f *Front) plain(x *exchange) error {
	view, err := f.currentView()
	if err != nil {
		return err
	}
	if !cleanPath(x.r.URL.Path) {
		return errkind.New(errkind.InvalidRequest, "path is not in its shortest form")
	}
	route, ok := view.PlainRoute(x.r.URL.Path)
	if !ok {
		return errkind.New(errkind.NotFound, "no such path")
	}
	x.account, err = f.admit(view, x.token, route)
	if err != nil {
		return err
	}
	x.route = route.GetName()
	body, err := f.readBody(x)
	if err != nil {
		return err
	}
	p := &plainCall{exchange: x, call: f.callOf(x, body)}
	p.request = routing.Request{
		ID: x.id, Account: x.account, Service: route.GetService(),
		MaxTokens: int(route.GetCallTokens()), Priority: int(route.GetPriority()), Idempotent: route.GetIdempotent(),
	}
	reservation, err := f.reserve(x, route.GetCallTokens())
	if err != nil {
		return err
	}
	gauge := f.metrics.inFlight.WithLabelValues(x.account, x.route)
	gauge.Inc()
	defer gauge.Dec()
	if route.GetIdempotent() {
		err = f.repeatable(p)
	} else {
		err = f.once(p, body)
	}
	reservation.Settle(costOf(err, route.GetCallTokens()))
	if err == nil {
		f.metrics.requests.WithLabelValues(x.account, x.route).Inc()
	}
	return err
}

// costOf charges a call unless it was certainly not run.
func costOf(err error, tokens int64) int64 {
	if err != nil && errkind.Of(err).Outcome == errkind.NotRun {
		return 0
	}
	return tokens
}

func (f *Front) callOf(x *exchange, body []byte) engine.Call {
	header := http.Header{}
	for _, name := range passedHeaders {
		if values := x.r.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	if x.account != "" {
		header.Set(HeaderAccount, x.account)
	}
	return engine.Call{ID: x.id, Method: x.r.Method, Path: x.r.URL.Path, Query: x.r.URL.RawQuery, Header: header, Body: body}
}

// repeatable runs an idempotent call, at another endpoint after a failure.
func (f *Front) repeatable(p *plainCall) error {
	f.budget.Earn()
	for attempt := 1; ; attempt++ {
		ticket, err := f.pickAgain(p.ctx, &p.tries)
		if err != nil {
			return p.ended(err, false)
		}
		answer, err := f.tryPlain(p, ticket, func(call engine.Call) (*engine.Answer, error) {
			return f.engine.Do(p.ctx, call, f.engine.PlainBound())
		})
		if err == nil {
			f.answer(p.exchange, answer.Status, answer.ContentType, answer.Body)
			return nil
		}
		p.failed(ticket, err)
		if p.ctx.Err() != nil || attempt >= f.settings.MaxAttempts || !f.budget.Spend() {
			return p.ended(err, false)
		}
		f.metrics.retries.WithLabelValues(p.account, p.route).Inc()
	}
}

// tryPlain makes a call at the ticket's endpoint and reports what came of it.
func (f *Front) tryPlain(p *plainCall, ticket routing.Ticket, do func(engine.Call) (*engine.Answer, error)) (*engine.Answer, error) {
	d := ticket.Decision()
	call := p.call
	call.Address = d.Address
	answer, err := do(call)
	if err == nil && answer.Status == http.StatusOK && len(answer.Body) == 0 && !f.settings.PlainEmptyOK {
		err = errkind.New(errkind.EndpointFailed, "service gave an empty answer")
	}
	result := routing.Result{Err: errkind.Of(err)}
	if err == nil {
		ticket.Started()
		result.Incarnation = answer.Incarnation
	}
	ticket.Done(result)
	f.logDecision(p.exchange, d, result)
	return answer, err
}

// once runs a non-idempotent call at most once, under a claim of the journal.
func (f *Front) once(p *plainCall, body []byte) error {
	id := p.r.Header.Get(engineapi.HeaderIdempotencyKey)
	if id == "" {
		return errkind.New(errkind.MissingRequestID, "this route needs an %s header", engineapi.HeaderIdempotencyKey)
	}
	if len(id) > f.settings.MaxIDBytes {
		return errkind.New(errkind.InvalidRequest, "%s of more than %d bytes", engineapi.HeaderIdempotencyKey, f.settings.MaxIDBytes)
	}
	ctx, cancel := context.WithTimeout(p.ctx, f.settings.JournalTimeout)
	claim, stored, err := f.journal.Claim(ctx, journal.Request{Account: p.account, Route: p.route, ID: id, Body: bodyHash(p, body)})
	cancel()
	if err != nil {
		return err
	}
	if stored != nil {
		f.answer(p.exchange, stored.Status, stored.ContentType, stored.Body)
		return nil
	}
	return f.claimed(p, claim)
}

// claimed looks for an endpoint that takes the call. Only attempts that sent nothing
// are followed by another.
func (f *Front) claimed(p *plainCall, claim journal.Claim) error {
	for attempt := 1; ; attempt++ {
		ticket, err := f.pickWithin(p.ctx, f.settings.ClaimQueueTimeout, p.request)
		if err != nil {
			f.release(p, claim)
			return errkind.Of(err).WithOutcome(errkind.NotRun)
		}
		sent, lapsed := false, false
		answer, err := f.tryPlain(p, ticket, func(call engine.Call) (*engine.Answer, error) {
			// A call that has left is seen to its end, whether or not its caller stays.
			return f.engine.DoOnce(context.WithoutCancel(p.ctx), call, func() error {
				if err := f.stillWanted(p); err != nil {
					return err
				}
				err := claim.Begin()
				sent, lapsed = err == nil, err != nil
				return err
			})
		})
		switch {
		case sent:
			return f.settle(p, claim, answer, err)
		case lapsed:
			return err // only the claim knows whether another VM may run the call
		}
		if p.ctx.Err() != nil || attempt >= f.settings.MaxAttempts || errkind.Of(err).Kind != errkind.EndpointFailed {
			f.release(p, claim)
			return errkind.Of(err).WithOutcome(errkind.NotRun)
		}
		p.request.Exclude = append(p.request.Exclude, ticket.Decision().Endpoint)
	}
}

// stillWanted is the last look before the first byte: the caller is there and its key
// still counts.
func (f *Front) stillWanted(p *plainCall) error {
	if p.ctx.Err() != nil {
		return reason(p.ctx, errkind.New(errkind.Canceled, "caller left before the call began"))
	}
	return f.stillAllowed(&openRequest{token: p.token})
}

// journalError logs a record that could not be written; it stays as it was and says
// that the outcome is unknown.
func (f *Front) journalError(p *plainCall, err error) {
	if err != nil {
		f.log.Warn("journal record not written", zap.String("request_id", p.id), zap.String("kind", errkind.Of(err).Kind.String()))
	}
}

// settle records what came of a call that was sent.
func (f *Front) settle(p *plainCall, claim journal.Claim, answer *engine.Answer, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), f.settings.JournalTimeout)
	defer cancel()
	if err != nil {
		f.journalError(p, claim.MarkLost(ctx))
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the call was sent and its answer was lost")
	}
	stored := journal.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	f.journalError(p, claim.Complete(ctx, stored))
	f.answer(p.exchange, answer.Status, answer.ContentType, answer.Body)
	return nil
}

func (f *Front) release(p *plainCall, claim journal.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), f.settings.JournalTimeout)
	defer cancel()
	f.journalError(p, claim.Release(ctx))
}

// bodyHash covers what a repeat of the call must have in common with the first.
func bodyHash(p *plainCall, body []byte) [sha256.Size]byte {
	h := sha256.New()
	// Neither a method nor an escaped address holds a space.
	h.Write([]byte(p.call.Method + " " + p.r.URL.EscapedPath() + "?" + p.call.Query + " "))
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}
