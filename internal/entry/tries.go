package entry

import (
	"context"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/routing"
)

// tries is an idempotent request on its way through endpoints.
type tries struct {
	request routing.Request
	sent    bool // an endpoint may have run it
}

// failed notes an endpoint that failed the request.
func (t *tries) failed(ticket routing.Ticket, err error) {
	t.sent = t.sent || errkind.Of(err).Outcome != errkind.NotRun
	t.request.Exclude = append(t.request.Exclude, ticket.Decision().Endpoint)
}

// ended tells the truth about a request that no endpoint has answered.
func (t *tries) ended(err error, begun bool) error {
	switch e := errkind.Of(err); {
	case !t.sent:
		return err
	case e.Kind != errkind.EndpointFailed && e.Kind != errkind.NoEndpoint && e.Kind != errkind.Overloaded:
		return e.WithOutcome(errkind.Unknown)
	case begun:
		return errkind.Wrap(err, errkind.StreamBroken, "engine was lost and none could go on")
	default:
		return errkind.Wrap(err, errkind.EndpointFailed, "every endpoint that was tried failed")
	}
}

// pickAgain prefers endpoints that have not failed this request; when none is left, one
// that has may have lost no more than a connection.
func (f *Front) pickAgain(ctx context.Context, t *tries) (routing.Ticket, error) {
	ticket, err := f.pick(ctx, t.request)
	if err == nil || len(t.request.Exclude) == 0 || !errkind.Is(err, errkind.NoEndpoint) {
		return ticket, err
	}
	pause(ctx, f.settings.RetryPause)
	t.request.Exclude = nil
	return f.pick(ctx, t.request)
}

// pick waits for an endpoint within the queue's bound.
func (f *Front) pick(ctx context.Context, r routing.Request) (routing.Ticket, error) {
	return f.pickWithin(ctx, f.settings.QueueTimeout, r)
}

func (f *Front) pickWithin(ctx context.Context, bound time.Duration, r routing.Request) (routing.Ticket, error) {
	bounded, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticket, err := f.router.Pick(bounded, r)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return nil, errkind.Wrap(err, errkind.Overloaded, "no endpoint became free in time")
	}
	return ticket, err
}
