package entry

import (
	"context"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/routing"
)

// retryState holds an idempotent request and the endpoints at which it has failed.
type retryState struct {
	request    routing.Request
	failed     bool // at an endpoint, which may have received the request
	mayHaveRun bool // an endpoint may have run the request
}

// recordFailure excludes the ticket's endpoint from further attempts and records whether it
// may have run the request.
func (t *retryState) recordFailure(ticket routing.Ticket, err error) {
	t.failed = true
	t.mayHaveRun = t.mayHaveRun || errkind.Of(err).Outcome != errkind.NotRun
	t.request.Exclude = append(t.request.Exclude, ticket.Decision().Endpoint)
}

// finalError converts the last error of a request into the one that the client receives. The
// outcome is not-run only if no endpoint can have run the request.
func (t *retryState) finalError(err error, begun bool) error {
	switch e := errkind.Of(err); {
	case !t.mayHaveRun:
		return err
	case e.Kind != errkind.EndpointFailed && e.Kind != errkind.NoEndpoint && e.Kind != errkind.Overloaded:
		return e.WithOutcome(errkind.Unknown)
	case begun:
		return errkind.Wrap(err, errkind.StreamBroken, "connection to the engine was lost and no engine could resume the stream")
	default:
		return errkind.Wrap(err, errkind.EndpointFailed, "all attempted endpoints failed")
	}
}

// pickNext picks an endpoint for the next attempt. It prefers endpoints at which the request
// has not failed. If there are none, it waits for RetryPause and allows all of them again:
// an earlier failure may have been no more than a lost connection.
func (f *Front) pickNext(ctx context.Context, t *retryState) (routing.Ticket, error) {
	ticket, err := f.pick(ctx, t.request)
	if err == nil || len(t.request.Exclude) == 0 || !errkind.Is(err, errkind.NoEndpoint) {
		return ticket, err
	}
	sleepContext(ctx, f.settings.RetryPause)
	t.request.Exclude = nil
	return f.pick(ctx, t.request)
}

// pick waits up to QueueTimeout for an endpoint.
func (f *Front) pick(ctx context.Context, r routing.Request) (routing.Ticket, error) {
	return f.pickWithin(ctx, f.settings.QueueTimeout, r)
}

func (f *Front) pickWithin(ctx context.Context, timeout time.Duration, r routing.Request) (routing.Ticket, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticket, err := f.router.Pick(bounded, r)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return nil, errkind.Wrap(err, errkind.Overloaded, "no endpoint became available before the queue timeout")
	}
	return ticket, err
}
