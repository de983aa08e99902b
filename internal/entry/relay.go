package entry

import (
	"bytes"
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

// endMark is the data of a stream's last event.
var endMark = []byte("[DONE]")

// attempt runs the job at the ticket's endpoint and reports what came of it.
func (f *Front) attempt(j *job, ticket routing.Ticket) error {
	d := ticket.Decision()
	sent := time.Now()
	a := &attempt{front: f, job: j, ticket: ticket, sent: sent}
	err := a.run(d)
	result := routing.Result{
		Incarnation: a.incarnation, PromptTokens: j.usage.PromptTokens, CachedTokens: j.usage.Details.CachedTokens,
		OutputTokens: j.usage.CompletionTokens, FirstToken: a.firstToken, Err: errkind.Of(err),
	}
	if err == nil {
		f.metrics.recomputed.WithLabelValues(j.account, j.route).Add(float64(max(0, d.CachedTokens-result.CachedTokens)))
	}
	ticket.Done(result)
	f.logDecision(j.exchange, d, result)
	return err
}

// logDecision writes the one line of a routing decision.
func (f *Front) logDecision(x *exchange, d routing.Decision, r routing.Result) {
	outcome := "ok"
	if r.Err != nil {
		outcome = r.Err.Kind.String()
	}
	f.log.Info("routed",
		zap.String("request_id", x.id), zap.String("route", x.route), zap.String("account", x.account),
		zap.String("endpoint", d.Endpoint), zap.Any("score_ms", d.Parts),
		zap.Int("predicted_cached_tokens", d.CachedTokens), zap.Int("cached_tokens", r.CachedTokens),
		zap.Int("prompt_tokens", r.PromptTokens), zap.Duration("first_token", r.FirstToken), zap.String("result", outcome))
}

// attempt is one run of a job at one engine.
type attempt struct {
	front       *Front
	job         *job
	ticket      routing.Ticket
	sent        time.Time
	firstToken  time.Duration
	incarnation string
}

func (a *attempt) run(d routing.Decision) error {
	j := a.job
	extra := engineapi.Extra{
		CacheSalt: j.seed.Salt(), Priority: j.request.Priority, WeightsVersion: j.request.Version, ImportFrom: d.ImportFrom,
	}
	if j.delivered > 0 {
		extra.ResumeFrom = j.delivered + 1
	}
	body, tail, err := j.bodyFor(extra)
	if err != nil {
		return err
	}
	call := engine.Call{
		Address: d.Address, ID: j.id, Method: http.MethodPost, Path: j.path, Body: body, Tail: tail,
		Header: http.Header{"Content-Type": {"application/json"}}, BareRefusals: true,
	}
	if !j.stream {
		return a.whole(call)
	}
	return a.streamed(call, d)
}

// whole passes an answer on in one piece.
func (a *attempt) whole(call engine.Call) error {
	f, j := a.front, a.job
	answer, err := f.engine.Do(j.ctx, call, f.engine.AnswerBound(j.request.PromptTokens, j.output))
	if err != nil {
		if j.ctx.Err() != nil || errkind.Of(err).Outcome != errkind.NotRun {
			go f.engine.Cancel(call.Address, call.ID)
		}
		return err
	}
	a.incarnation = answer.Incarnation
	if answer.Status != http.StatusOK {
		return refusalOf(answer)
	}
	if err := j.readWhole(answer.Body); err != nil {
		return err
	}
	a.started()
	f.answer(j.exchange, http.StatusOK, answer.ContentType, answer.Body)
	return nil
}

// streamed passes a stream on, event by event.
func (a *attempt) streamed(call engine.Call, d routing.Decision) error {
	f, j := a.front, a.job
	stream, err := f.engine.Stream(j.ctx, call, f.engine.FirstBound(j.request.PromptTokens))
	if err != nil {
		if errkind.Of(err).Outcome != errkind.NotRun {
			go f.engine.Cancel(call.Address, call.ID)
		}
		return err
	}
	defer stream.Close()
	a.incarnation = stream.Incarnation
	if stream.Refusal != nil {
		if stream.Status == http.StatusOK {
			return errkind.New(errkind.EndpointFailed, "engine did not answer with a stream")
		}
		return refusalOf(stream.Refusal)
	}
	err = a.relay(stream, d)
	if err != nil {
		go f.engine.Cancel(call.Address, call.ID)
	}
	return err
}

func (a *attempt) relay(stream *engine.Stream, d routing.Decision) error {
	for {
		stream.Await()
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return errkind.New(errkind.EndpointFailed, "stream ended without its end mark")
		}
		if err != nil {
			return err
		}
		done, err := a.event(event, d)
		if done || err != nil {
			return err
		}
	}
}

// event checks the position of one event and passes it on once.
func (a *attempt) event(event engine.Event, d routing.Decision) (done bool, err error) {
	j := a.job
	if event.ID > 0 {
		j.numbered = true
		if event.ID <= j.delivered {
			return false, nil // the caller has it
		}
		if event.ID != j.delivered+1 {
			return false, errkind.New(errkind.EndpointFailed, "stream has a gap after position %d", j.delivered)
		}
	} else if j.numbered {
		return false, errkind.New(errkind.EndpointFailed, "stream lost its positions after %d", j.delivered)
	}
	if bytes.Equal(event.Data, endMark) {
		if !j.finished {
			return false, errkind.New(errkind.EndpointFailed, "engine ended an empty answer")
		}
		return true, a.pass(event.Data, d)
	}
	if err := j.readChunk(event); err != nil {
		return false, err
	}
	a.started()
	return false, a.pass(event.Data, d)
}

// started notes the first token, of this attempt and of the job.
func (a *attempt) started() {
	if a.firstToken == 0 {
		a.firstToken = time.Since(a.sent)
		a.ticket.Started()
	}
	if a.job.firstAt == 0 {
		a.job.firstAt = time.Since(a.job.start)
		a.job.prompt = nil // its weights are settled, and streams are many
	}
}

// pass writes one event to the caller. Nothing else is read from the engine until the
// caller has taken it.
func (a *attempt) pass(data []byte, d routing.Decision) error {
	f, j := a.front, a.job
	if !j.begun {
		h := j.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set(HeaderStream, f.streamName(j, d, a.incarnation))
		j.begun = true
	}
	f.bound(j.exchange)
	j.frame = appendEvent(j.frame[:0], j.delivered+1, data)
	if _, err := j.w.Write(j.frame); err != nil {
		return errkind.Wrap(err, errkind.Canceled, "caller does not take the stream")
	}
	if err := j.control.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Canceled, "caller does not take the stream")
	}
	f.unbound(j.exchange)
	j.delivered++
	return nil
}

// appendEvent appends an event as it goes to callers.
func appendEvent(to []byte, position int, data []byte) []byte {
	to = strconv.AppendInt(append(to, "id: "...), int64(position), 10)
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		to = append(append(to, "\ndata: "...), line...)
	}
	return append(to, "\n\n"...)
}

// chunk is what the router reads of an event or answer.
type chunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *engineapi.Usage `json:"usage"`
	Error json.RawMessage  `json:"error"`
}

var notable = [][]byte{[]byte(`"finish_reason"`), []byte(`"usage"`), []byte(`"error"`)}
var unfinished = []byte(`"finish_reason":null`)

// readChunk checks an event and takes its end and usage.
func (j *job) readChunk(event engine.Event) error {
	if event.Type == "error" {
		return errkind.New(errkind.EndpointFailed, "engine reported an error")
	}
	j.events++
	if !isNotable(event.Data) {
		if !json.Valid(event.Data) {
			return errkind.New(errkind.EndpointFailed, "engine sent a broken event")
		}
		return nil
	}
	return j.read(event.Data)
}

// isNotable reports whether an event may hold more than one token's text.
func isNotable(data []byte) bool {
	if bytes.Contains(data, notable[1]) || bytes.Contains(data, notable[2]) {
		return true
	}
	return bytes.Count(data, notable[0]) != bytes.Count(data, unfinished)
}

func (j *job) read(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errkind.New(errkind.EndpointFailed, "engine sent a broken answer")
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

// readWhole checks an answer in one piece.
func (j *job) readWhole(body []byte) error {
	if err := j.read(body); err != nil {
		return err
	}
	if !j.finished {
		return errkind.New(errkind.EndpointFailed, "engine gave an empty answer")
	}
	return nil
}

// errOtherWeights says that an engine runs another version than the one asked for.
var errOtherWeights = errors.New("other weights")

// refusalOf turns an engine's refusal into an error kind. The engine's own text is not
// passed on, as it may hold what another party wrote.
func refusalOf(a *engine.Answer) error {
	switch a.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return errkind.New(errkind.InvalidRequest, "engine does not accept the request")
	case http.StatusRequestEntityTooLarge:
		return errkind.New(errkind.TooLarge, "engine does not accept a request of this size")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errkind.New(errkind.Overloaded, "engine has no room")
	case http.StatusConflict:
		return errkind.Wrap(errOtherWeights, errkind.Overloaded, "engine has other weights loaded")
	}
	return errkind.New(errkind.EndpointFailed, "engine answered with status %d", a.Status)
}
