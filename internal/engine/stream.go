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

// cancelTimeout bounds the cancel that is sent to an endpoint.
const cancelTimeout = 2 * time.Second

// Stream is a streamed answer. It is used by one goroutine.
type Stream struct {
	Status      int
	Incarnation string
	// Response is the whole answer when Status is not 200.
	Response *Response

	ctx     context.Context
	cancel  context.CancelCauseFunc
	body    io.ReadCloser
	events  *EventReader
	timer   *time.Timer
	silence time.Duration
	begun   bool // an event has arrived
}

// Stream sends a call whose answer is a stream of events, the first within bound.
func (c *Client) Stream(ctx context.Context, call Call, bound time.Duration) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(bound, func() { cancel(errSilent) })
	response, err := c.send(ctx, call)
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, err
	}
	s := &Stream{
		Status: response.StatusCode, Incarnation: response.Header.Get(engineapi.HeaderIncarnation),
		ctx: ctx, cancel: cancel, body: response.Body, timer: timer, silence: c.settings.Silence,
	}
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		s.events = NewEventReader(response.Body, int(c.settings.MaxEvent))
		return s, nil
	}
	defer s.Close()
	s.Response, err = c.whole(ctx, response)
	return s, err
}

// Next returns the next event; its wait is bounded. io.EOF is the end of the body,
// which is an end of the answer only after its end mark.
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
	var kind *errkind.Error
	if errors.As(err, &kind) {
		return Event{}, err
	}
	return Event{}, failure(s.ctx, err)
}

// ResetTimeout restarts the silence bound; call it before Next, so that time spent on a slow
// caller is not held against the endpoint. Up to the first event the bound for the
// first byte holds.
func (s *Stream) ResetTimeout() {
	if s.begun {
		s.timer.Reset(s.silence)
	}
}

// Close ends the stream; an endpoint still at work sees its connection closed.
func (s *Stream) Close() {
	s.timer.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}

// Cancel asks the endpoint, on another connection, to end the work of a request.
func (c *Client) Cancel(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	call := Call{Address: address, ID: id, Method: http.MethodDelete, Path: StreamPath(id)}
	request, err := call.request(ctx)
	if err != nil {
		return
	}
	// The closed connection has told the endpoint already; this is for one that did not see it.
	if response, err := c.reports.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// StreamPath is the path of a stream at an endpoint.
func StreamPath(id string) string { return "/v1/streams/" + id }
