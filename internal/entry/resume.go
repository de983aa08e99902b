package entry

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/routing"
)

// streamRef holds what an entry VM needs to resume a stream that another one began. It is
// encoded as "base64(JSON).base64(HMAC)", so that a client can neither change nor forge it.
type streamRef struct {
	ID          string `json:"i"`
	Endpoint    string `json:"e"`
	Incarnation string `json:"n"`
	Account     string `json:"a,omitempty"`
	Model       string `json:"m"`
	Version     string `json:"v"` // weights version
	Output      int    `json:"o"` // maximum output, in tokens
	Prompt      int    `json:"p"` // length of the prompt, in tokens
}

var streamEncoding = base64.RawURLEncoding

// streamMACDomain separates these MACs from the hashes of API keys, which use the same hash key.
const streamMACDomain = "stream:"

// streamName returns the name by which the client can request the rest of the stream from any
// entry VM.
func (f *Front) streamName(j *job, d routing.Decision, incarnation string) string {
	data, err := json.Marshal(streamRef{j.id, d.Endpoint, incarnation, j.account, j.completion.model, j.request.Version, j.output, j.request.PromptTokens})
	if err != nil {
		return ""
	}
	text := streamEncoding.EncodeToString(data)
	return text + "." + streamEncoding.EncodeToString(f.hasher.Hash(streamMACDomain+text))
}

func (f *Front) parseStreamName(name string) (streamRef, bool) {
	var ref streamRef
	text, mac, _ := strings.Cut(name, ".")
	sum, err := streamEncoding.DecodeString(mac)
	if err != nil || !f.hasher.Matches(streamMACDomain+text, sum) {
		return ref, false
	}
	data, err := streamEncoding.DecodeString(text)
	return ref, err == nil && json.Unmarshal(data, &ref) == nil
}

// weightsVersion returns the weights version on which the stream named in the request began, so
// that the rest comes from the same weights. If the request names no stream, it returns
// target.
func (f *Front) weightsVersion(x *exchange, model, target string) (string, error) {
	name := x.r.Header.Get(HeaderStream)
	if name == "" {
		return target, nil
	}
	ref, ok := f.parseStreamName(name)
	if !ok || ref.Account != x.account || ref.Model != model {
		return "", errkind.New(errkind.NotFound, "no such stream")
	}
	return ref.Version, nil
}

// resumeStream resumes a stream that another entry VM began, on the engine that runs it. If
// that engine incarnation no longer has the stream, the error asks the client to send the
// original request again with Last-Event-ID.
func (f *Front) resumeStream(x *exchange) error {
	x.route = "streams"
	view, err := f.currentView()
	if err != nil {
		return err
	}
	ref, ok := f.parseStreamName(x.r.PathValue("stream"))
	route, routed := view.ModelRoute(ref.Model)
	if !ok || !routed {
		return errkind.New(errkind.NotFound, "no such stream")
	}
	x.account, err = f.authorize(view, x, route)
	if err != nil {
		return err
	}
	x.route = route.GetName()
	if x.account != ref.Account {
		return errkind.New(errkind.NotFound, "no such stream")
	}
	from, err := resumePosition(x.r)
	if err != nil {
		return err
	}
	endpoint, ok := view.Endpoint(ref.Endpoint)
	if !ok {
		return streamLostError()
	}
	reservation, err := f.reserve(x, int64(ref.Prompt+ref.Output), requestPriority(view, route, x.account))
	if err != nil {
		return err
	}
	x.id = ref.ID
	j := &job{exchange: x, completion: &completion{model: ref.Model, stream: true, output: ref.Output}, delivered: from, numbered: true}
	j.request.PromptTokens, j.request.Version = ref.Prompt, ref.Version
	err = f.relayRest(j, ref, endpoint.GetAddress())
	reservation.Settle(j.usedTokens())
	return err
}

func (f *Front) relayRest(j *job, ref streamRef, address string) error {
	call := engine.Call{Address: address, ID: ref.ID, Method: http.MethodGet, Path: engine.StreamPath(ref.ID), Header: http.Header{}, AllowUnidentifiedErrors: true, Repeated: true, Lease: j.response}
	if j.delivered > 0 {
		call.Header[engineapi.HeaderLastEventID] = j.r.Header[engineapi.HeaderLastEventID]
	}
	stream, err := f.engine.Stream(j.ctx, call, f.engine.FirstByteTimeout(ref.Prompt))
	if err != nil {
		return err
	}
	defer stream.Close()
	if stream.Response != nil || (ref.Incarnation != "" && stream.Incarnation != ref.Incarnation) {
		return streamLostError()
	}
	d := routing.Decision{Endpoint: ref.Endpoint, Address: address, Incarnation: stream.Incarnation}
	a := &attempt{front: f, job: j, ticket: nopTicket{}, start: time.Now(), incarnation: stream.Incarnation}
	return a.relayEvents(stream, d)
}

func streamLostError() error {
	return errkind.New(errkind.StreamBroken, "the engine no longer has this stream; send the request again with Last-Event-ID")
}

// nopTicket is a ticket for an attempt that routing does not track.
type nopTicket struct{}

// Decision returns an empty decision.
func (nopTicket) Decision() routing.Decision { return routing.Decision{} }

// Started does nothing.
func (nopTicket) Started() {}

// Notify does nothing.
func (nopTicket) Notify(routing.Notice) {}
func (nopTicket) Resend() bool          { return true }

// Done does nothing.
func (nopTicket) Done(routing.Result) {}
