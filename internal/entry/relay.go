package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/routing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// doneMarker is the data of the last event of a complete stream.
var doneMarker = []byte("[DONE]")

// attempt runs the job at the ticket's endpoint and reports the result to routing.
func (f *Front) attempt(j *job, ticket routing.Ticket) error {
	if err := f.checkAccount(j.exchange); err != nil {
		ticket.Done(routing.Result{NothingShared: true, Err: errkind.New(errkind.Canceled, "not sent")})
		return err
	}
	d := ticket.Decision()
	start := time.Now()
	a := &attempt{front: f, job: j, ticket: ticket, start: start}
	err := a.run(d)
	result := routing.Result{
		Incarnation: a.incarnation, PromptTokens: j.usage.PromptTokens, CachedTokens: j.usage.Details.CachedTokens,
		OutputTokens: j.usage.CompletionTokens, FirstToken: a.firstToken, Steps: a.steps, Decoding: a.decoding, Err: errkind.Of(err),
		Broken: errors.Is(err, errkind.ErrBroken),
	}
	if err == nil {
		f.metrics.recomputed.WithLabelValues(j.account, j.route).Add(float64(max(0, d.CachedTokens-result.CachedTokens)))
	}
	ticket.Done(result)
	f.logDecision(j.exchange, d, result)
	return err
}

// logDecision logs a routing decision together with the result of its attempt.
func (f *Front) logDecision(x *exchange, d routing.Decision, r routing.Result) {
	outcome := "ok"
	if r.Err != nil {
		outcome = r.Err.Kind.String()
	}
	f.log.Info("routed",
		zap.String("request_id", x.id), zap.String("route", x.route), zap.String("account", x.account),
		zap.String("endpoint", d.Endpoint), zap.String("cache_namespace", x.cacheSalt), zap.Any("score_ms", d.Parts),
		zap.Int("predicted_cached_tokens", d.CachedTokens), zap.Int("cached_tokens", r.CachedTokens),
		zap.Int("prompt_tokens", r.PromptTokens), zap.Duration("first_token", r.FirstToken), zap.String("result", outcome))
}

// attempt is one attempt to run a job at one engine.
type attempt struct {
	front       *Front
	job         *job
	ticket      routing.Ticket
	start       time.Time
	firstToken  time.Duration
	steps       int           // events of a stream after the first
	decoding    time.Duration // time from the first event to the last
	incarnation string
}

func (a *attempt) run(d routing.Decision) error {
	j := a.job
	extra := engineapi.Extra{Priority: j.request.Priority}
	if j.space.shared() {
		extra.ImportFrom = d.ImportFrom
	}
	if j.delivered > 0 {
		extra.ResumeFrom = j.delivered + 1
	}
	space := j.space.forAttempt()
	j.cacheSalt = space.salt()
	body, tail, err := j.bodyFor(space, extra)
	if err != nil {
		return err
	}
	call := engine.Call{
		Address: d.Address, ID: j.id, Method: http.MethodPost, Path: j.path, Body: body, Tail: tail,
		Header: http.Header{"Content-Type": {"application/json"}}, AllowUnidentifiedErrors: true, Repeated: j.failed,
		Lease: j.response,
	}
	if err := j.awaitCancel(d.Address); err != nil {
		return err
	}
	if !j.stream {
		return a.relayWhole(call)
	}
	return a.relayStream(call, d)
}

// cancel cancels the request at the engine, in the background.
func (a *attempt) cancel(call engine.Call) {
	done := make(chan struct{})
	if a.job.canceling == nil {
		a.job.canceling = map[string]<-chan struct{}{}
	}
	a.job.canceling[call.Address] = done
	go func() {
		defer close(done)
		a.front.engine.Cancel(call.Address, call.ID)
	}()
}

// awaitCancel waits until an earlier attempt's cancellation at the address is over. It names
// the request only, so if it came late it would end the next attempt.
func (j *job) awaitCancel(address string) error {
	canceled := j.canceling[address]
	if canceled == nil {
		return nil
	}
	select {
	case <-canceled:
		return nil
	case <-j.ctx.Done():
		return errkind.Wrap(context.Cause(j.ctx), errkind.Canceled, "request ended before its next attempt")
	}
}

// noticeFrom returns an endpoint's notice in the form that routing takes.
func noticeFrom(incarnation string, n engine.Notice) routing.Notice {
	return routing.Notice{Incarnation: incarnation, Leaving: n.Leaving, PauseFor: n.PauseFor, Limit: n.Limit, Unlimited: n.Unlimited}
}

// relayWhole relays a response that is not a stream.
func (a *attempt) relayWhole(call engine.Call) error {
	f, j := a.front, a.job
	response, err := f.engine.Do(j.ctx, call, f.engine.ResponseTimeout(j.request.PromptTokens, j.output))
	if err != nil {
		if j.ctx.Err() != nil || errkind.Of(err).Outcome != errkind.NotRun {
			a.cancel(call)
		}
		return err
	}
	a.incarnation = response.Incarnation
	a.ticket.Notify(noticeFrom(response.Incarnation, response.Notice))
	if response.Status != http.StatusOK {
		return a.refused(call, response)
	}
	if err := j.readWhole(response.Body); err != nil {
		return err
	}
	a.recordFirstToken()
	f.writeResponse(j.exchange, http.StatusOK, response.ContentType, response.Body)
	return nil
}

// relayStream relays a stream event by event. If the stream breaks, relayStream cancels the
// request at the engine.
func (a *attempt) relayStream(call engine.Call, d routing.Decision) error {
	f, j := a.front, a.job
	stream, err := f.engine.Stream(j.ctx, call, f.engine.FirstByteTimeout(j.request.PromptTokens))
	if err != nil {
		if errkind.Of(err).Outcome != errkind.NotRun {
			a.cancel(call)
		}
		return err
	}
	defer stream.Close()
	a.incarnation = stream.Incarnation
	a.ticket.Notify(noticeFrom(stream.Incarnation, stream.Notice))
	if stream.Response != nil {
		if stream.Status == http.StatusOK {
			return errkind.New(errkind.EndpointFailed, "engine response with status 200 is not an event stream")
		}
		return a.refused(call, stream.Response)
	}
	err = a.relayEvents(stream, d)
	if err != nil {
		a.cancel(call)
	}
	return err
}

func (a *attempt) relayEvents(stream *engine.Stream, d routing.Decision) error {
	for {
		stream.ResetTimeout()
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return errkind.New(errkind.EndpointFailed, "stream ended without a [DONE] event")
		}
		if err != nil {
			return err
		}
		done, err := a.handleEvent(event, d)
		if done || err != nil {
			return err
		}
	}
}

// handleEvent checks the position and content of an event, and writes the event to the
// client unless it has been delivered already. It reports done after the last event.
func (a *attempt) handleEvent(event engine.Event, d routing.Decision) (done bool, err error) {
	j := a.job
	if event.ID > 0 {
		j.numbered = true
		if event.ID <= j.delivered {
			return false, nil // already delivered
		}
		if event.ID != j.delivered+1 {
			return false, errkind.New(errkind.EndpointFailed, "stream has a gap after event %d", j.delivered)
		}
	} else if j.numbered {
		return false, errkind.New(errkind.EndpointFailed, "stream has an event without an ID after event %d", j.delivered)
	}
	if bytes.Equal(event.Data, doneMarker) {
		if !j.finished {
			return false, errkind.New(errkind.EndpointFailed, "engine ended the stream without a finish reason")
		}
		return true, a.writeEvent(event.Data, d)
	}
	if err := j.readChunk(event); err != nil {
		return false, err
	}
	if a.firstToken > 0 {
		a.steps++
		a.decoding = time.Since(a.start) - a.firstToken
	}
	a.recordFirstToken()
	return false, a.writeEvent(event.Data, d)
}

// recordFirstToken records the time to the first token of this attempt and of the job.
func (a *attempt) recordFirstToken() {
	if a.firstToken == 0 {
		a.firstToken = time.Since(a.start)
		a.ticket.Started()
	}
	if a.job.firstTokenAfter == 0 {
		a.job.firstTokenAfter = time.Since(a.job.start)
		a.job.prompt = nil // not needed once the weights version is fixed; saves memory per open stream
	}
}

// writeEvent writes one event to the client and flushes it. The next event is read from the
// engine only after that, so a slow client slows the engine's stream.
func (a *attempt) writeEvent(data []byte, d routing.Decision) error {
	f, j := a.front, a.job
	if !j.headWritten {
		h := j.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set(HeaderStream, f.streamName(j, d, a.incarnation))
		j.headWritten = true
	}
	f.setWriteDeadline(j.exchange)
	j.frame = appendEvent(j.frame[:0], j.delivered+1, data)
	if _, err := j.w.Write(j.frame); err != nil {
		return errkind.Wrap(err, errkind.Canceled, "writing the stream to the client failed")
	}
	if err := j.control.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Canceled, "writing the stream to the client failed")
	}
	f.clearWriteDeadline(j.exchange)
	j.delivered++
	return nil
}

// appendEvent appends an event in the text/event-stream format to dst.
func appendEvent(dst []byte, position int, data []byte) []byte {
	dst = strconv.AppendInt(append(dst, "id: "...), int64(position), 10)
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		dst = append(append(dst, "\ndata: "...), line...)
	}
	return append(dst, "\n\n"...)
}

// chunk holds the fields of a stream event or response that the router reads.
type chunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *engineapi.Usage `json:"usage"`
	Error json.RawMessage  `json:"error"`
}

// metadataFields are the fields besides a token's text that the router reads.
var metadataFields = [][]byte{[]byte(`"finish_reason"`), []byte(`"usage"`), []byte(`"error"`)}

// nullFinishReason is the finish_reason field of a chunk that is not the last one.
var nullFinishReason = []byte(`"finish_reason":null`)

// readChunk validates an event and records its finish reason and usage, if there are any.
func (j *job) readChunk(event engine.Event) error {
	if event.Type == "error" {
		return errkind.New(errkind.EndpointFailed, "engine reported an error")
	}
	j.contentEvents++
	if !hasMetadata(event.Data) {
		if !json.Valid(event.Data) {
			return errkind.New(errkind.EndpointFailed, "engine sent an event that is not valid JSON")
		}
		return nil
	}
	return j.parse(event.Data)
}

// hasMetadata reports whether an event may contain usage, an error or a finish reason besides
// a token's text. It only searches the bytes, which is cheaper than decoding each event.
func hasMetadata(data []byte) bool {
	if bytes.Contains(data, metadataFields[1]) || bytes.Contains(data, metadataFields[2]) {
		return true
	}
	return bytes.Count(data, metadataFields[0]) != bytes.Count(data, nullFinishReason)
}

func (j *job) parse(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errkind.New(errkind.EndpointFailed, "engine sent a response that is not valid JSON")
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return errkind.New(errkind.EndpointFailed, "engine reported an error")
	}
	if c.Usage != nil {
		j.usage = *c.Usage
	}
	for _, choice := range c.Choices {
		j.finished = j.finished || (choice.FinishReason != nil && *choice.FinishReason != "")
	}
	return nil
}

// readWhole validates a response that is not a stream.
func (j *job) readWhole(body []byte) error {
	if err := j.parse(body); err != nil {
		return err
	}
	if !j.finished {
		return errkind.New(errkind.EndpointFailed, "engine response has no finish reason")
	}
	return nil
}

// errWrongWeights reports that an engine runs a weights version other than the requested one.
var errWrongWeights = errors.New("weights version mismatch")

// refused returns the error for an engine's refusal. One without an ID need not belong to the
// request, which may be running: its status is passed on, but it promises nothing.
func (a *attempt) refused(call engine.Call, response *engine.Response) error {
	err := refusalError(response)
	if !response.Unidentified {
		return err
	}
	a.cancel(call)
	return errkind.Of(err).WithOutcome(errkind.Unknown)
}

// refusalError converts an engine's refusal into an error. The engine's own text is left out,
// because it may contain content of another client.
func refusalError(a *engine.Response) error {
	switch a.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return errkind.New(errkind.InvalidRequest, "engine rejected the request as invalid")
	case http.StatusRequestEntityTooLarge:
		return errkind.New(errkind.TooLarge, "engine rejected the request as too large")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errkind.New(errkind.Overloaded, "engine is overloaded")
	case http.StatusConflict:
		return errkind.Wrap(errWrongWeights, errkind.Overloaded, "engine has a different weights version loaded")
	}
	return errkind.New(errkind.EndpointFailed, "engine responded with status %d", a.Status)
}
