package engine

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
)

// cancelTimeout limits the cancellation request to an endpoint.
const cancelTimeout = 2 * time.Second

// Stream is a streamed response. It is not safe for concurrent use.
type Stream struct {
	Status      int
	Incarnation string
	Notice      Notice
	// Response is the whole response if Status is not 200 or the response is not an event
	// stream; nil otherwise.
	Response *Response

	ctx     context.Context
	cancel  context.CancelCauseFunc
	body    io.ReadCloser
	events  *EventReader
	timer   *time.Timer
	silence time.Duration // longest time between two events
	begun   bool          // an event has been received
	release func()        // gives back the memory of the events, unless the caller of Client.Stream does
}

// Stream sends a call whose response is a stream of events. The first event must be received
// within firstTimeout.
func (c *Client) Stream(ctx context.Context, call Call, firstTimeout time.Duration) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(firstTimeout, func() { cancel(errUnresponsive) })
	response, err := c.send(ctx, call)
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, err
	}
	s := &Stream{
		Status: response.StatusCode, Incarnation: response.Header.Get(engineapi.HeaderIncarnation),
		Notice: noticeOf(response),
		ctx:    ctx, cancel: cancel, body: response.Body, timer: timer, silence: c.settings.SilenceTimeout, release: func() {},
	}
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		lease := call.Lease
		if lease == nil {
			lease = c.NewLease()
			s.release = lease.Release
		}
		s.events = NewEventReader(response.Body, int(c.settings.MaxEvent), lease)
		return s, nil
	}
	defer s.Close()
	s.Response, err = c.readResponse(ctx, response, call.Lease)
	return s, err
}

// Next returns the next event, or a timeout error. io.EOF is the end of the body; the
// response is complete only if its end marker was received before.
func (s *Stream) Next() (Event, error) {
	event, err := s.events.Next()
	switch {
	case err == nil:
		s.timer.Stop()
		s.begun = true
		return event, nil
	case err == io.EOF && s.ctx.Err() == nil:
		return Event{}, io.EOF
	}
	var classified *errkind.Error
	if errors.As(err, &classified) {
		return Event{}, err
	}
	return Event{}, classify(s.ctx, err)
}

// ResetTimeout restarts the timeout for the next event. Call it before Next, so that the time
// spent writing to a slow client does not count as silence of the endpoint. Before the first
// event it has no effect: the timeout passed to Client.Stream applies.
func (s *Stream) ResetTimeout() {
	if s.begun {
		s.timer.Reset(s.silence)
	}
}

// Close ends the stream and closes its connection, so that the endpoint stops generating.
func (s *Stream) Close() {
	s.timer.Stop()
	s.cancel(nil)
	_ = s.body.Close()
	s.release()
}

// Cancel sends the endpoint, on another connection than the stream, a request to stop working on
// the request with an ID.
func (c *Client) Cancel(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	call := Call{Address: address, ID: id, Method: http.MethodDelete, Path: StreamPath(id)}
	request, err := call.request(ctx)
	if err != nil {
		return
	}
	// Endpoints normally stop when the stream's connection closes; this covers an endpoint
	// that did not notice the close.
	if response, err := c.reports.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// StreamPath returns the path at which an endpoint serves the stream of a request.
func StreamPath(id string) string { return "/v1/streams/" + id }
