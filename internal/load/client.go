package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/oracle"
	"eelgrasshollow/internal/prefix"
)

// Attempt is the result of sending a request once. Times count from the start of the run.
type Attempt struct {
	CallID         string
	Kind           CallKind
	Account        string
	Entry          string // address of the entry VM
	Start          time.Duration
	FirstByte      time.Duration // first byte of the response's content, or of a refusal
	End            time.Duration
	Status         int
	Code           string // error code of a refusal, or one of the codes below
	Outcome        errkind.Outcome
	Refused        bool   // the response states that the request was not run
	OK             bool   // the response is complete and correct
	Streamed       bool   // sent token by token: FirstByte is the time of the first token
	Violation      string // what is wrong with the response; empty if nothing is
	Usage          engineapi.Usage
	ReservedTokens int64           // prompt plus maximum output
	TokenGaps      []time.Duration // time between successive tokens
	retryAfter     time.Duration
	partialText    string // of a stream, received so far
	lastEventID    int    // position of the last event received of a stream
}

// Codes of failures that are not reported by the system under test.
const (
	codeTransport = "transport"
	codeNoEntry   = "no-entry"
	codeBadAnswer = "bad-answer"
)

// sender sends attempts and checks their responses.
type sender struct {
	settings Settings
	client   *http.Client
	start    time.Time
}

// elapsed returns the time since the start of the run.
func (s *sender) elapsed() time.Duration { return time.Since(s.start) }

// send sends a call once to an entry VM and checks the response.
func (s *sender) send(ctx context.Context, c call, account Account, entry string, attempt int) Attempt {
	out := Attempt{CallID: c.id, Kind: c.kind, Account: account.Name, Entry: entry, Start: s.elapsed(), ReservedTokens: c.reservedTokens(s.settings)}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Run.Timeout)
	defer cancel()
	request, err := s.newRequest(ctx, c, account, entry, attempt)
	if err != nil {
		out.fail(codeTransport, s.elapsed())
		return out
	}
	response, err := s.client.Do(request)
	if err != nil {
		out.fail(codeTransport, s.elapsed())
		return out
	}
	defer response.Body.Close()
	out.Status = response.StatusCode
	out.Outcome = errkind.Outcome(response.Header.Get(errkind.OutcomeHeader))
	switch {
	case response.StatusCode != http.StatusOK:
		s.readRefusal(response, &out)
	case c.kind != Chat:
		s.readPlain(response, c, &out)
	case c.stream:
		s.readStream(response, c, &out)
	default:
		s.readCompletion(response, c, &out)
	}
	out.End = s.elapsed()
	if out.FirstByte == 0 {
		out.FirstByte = out.End
	}
	return out
}

// fail records a failure with a code at a time since the start of the run.
func (a *Attempt) fail(code string, at time.Duration) {
	a.Code, a.End = code, at
	if a.FirstByte == 0 {
		a.FirstByte = at
	}
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *call) messages() []chatMessage {
	return []chatMessage{{"system", c.sharedPrompt}, {"user", c.ownPrompt}}
}

// reservedTokens returns the tokens that a completion reserves from its account's grant.
func (c *call) reservedTokens(s Settings) int64 {
	if c.kind != Chat {
		return 0
	}
	return int64(prefix.Tokens(len(c.sharedPrompt)+len(c.ownPrompt)) + s.Prompts.MaxTokens)
}

// expectedText returns the complete text of the correct answer.
func (c *call) expectedText(s Settings) string {
	var messages []engineapi.Message
	for _, m := range c.messages() {
		content, _ := json.Marshal(m.Content) // encoding a string cannot fail
		messages = append(messages, engineapi.Message{Role: m.Role, Content: content})
	}
	return oracle.Answer(s.Mix.Model, engineapi.ChatPrompt(messages), s.Prompts.MaxTokens)
}

func (s *sender) newRequest(ctx context.Context, c call, account Account, entry string, attempt int) (*http.Request, error) {
	path, method, body := "/v1/chat/completions", http.MethodPost, []byte("item of "+c.id)
	switch c.kind {
	case Lookup:
		path = s.settings.Mix.LookupPath + "/" + c.id
	case Order:
		path = s.settings.Mix.OrderPath
	case Chat:
		data, err := json.Marshal(chatBody{s.settings.Mix.Model, c.messages(), s.settings.Prompts.MaxTokens, c.stream})
		if err != nil {
			return nil, err
		}
		body = data
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+account.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(engineapi.HeaderRequestID, c.id+"-"+strconv.Itoa(attempt))
	if c.lastEventID > 0 {
		request.Header.Set(engineapi.HeaderLastEventID, strconv.Itoa(c.lastEventID))
	}
	if c.kind == Order {
		request.Header.Set(engineapi.HeaderIdempotencyKey, c.id)
	}
	return request, nil
}

// errorBody holds the fields of an error response that the load generator reads.
type errorBody struct {
	Error *struct {
		Type    string          `json:"type"`
		Code    string          `json:"code"`
		Outcome errkind.Outcome `json:"outcome"`
	} `json:"error"`
}

func (s *sender) readRefusal(response *http.Response, out *Attempt) {
	out.FirstByte = s.elapsed()
	data, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16)) // without a body the status is used
	var body errorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		out.Code = body.Error.Code
		if out.Code == "" {
			out.Code = body.Error.Type
		}
	}
	if out.Code == "" {
		out.Code = strconv.Itoa(response.StatusCode)
	}
	out.Refused = out.Outcome == errkind.NotRun
	out.retryAfter = retryAfter(response.Header)
	if out.Outcome == errkind.NoOutcome {
		out.Violation = "a refusal without an outcome: " + out.Code
	}
}

// retryAfter returns the delay that a refusal asks for, 0 for none.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get("Retry-After-Ms")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// readPlain checks that a plain service's response belongs to the request.
func (s *sender) readPlain(response *http.Response, c call, out *Attempt) {
	data, err := io.ReadAll(response.Body)
	out.FirstByte = s.elapsed()
	if err != nil {
		out.fail(codeTransport, s.elapsed())
		return
	}
	var answer struct {
		Key  string `json:"idempotency_key"`
		Body string `json:"body"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		out.Violation = "a plain answer that is cut or empty"
		return
	}
	if answer.Body != "item of "+c.id || (c.kind == Order && answer.Key != c.id) {
		out.Violation = "the answer to another request"
		return
	}
	out.OK = true
}

func (s *sender) readCompletion(response *http.Response, c call, out *Attempt) {
	data, err := io.ReadAll(response.Body)
	out.FirstByte = s.elapsed()
	if err != nil {
		out.fail(codeTransport, s.elapsed())
		return
	}
	var answer completionResponse
	if err := json.Unmarshal(data, &answer); err != nil || len(answer.Choices) == 0 {
		out.Violation = "a completion that is cut or empty"
		return
	}
	if answer.Usage != nil {
		out.Usage = *answer.Usage
	}
	out.checkText(answer.Choices[0].Message.Content, c.expectedText(s.settings))
}

// checkText compares the text of a response that arrived as complete with the correct one.
func (a *Attempt) checkText(got, want string) {
	switch {
	case got == want:
		a.OK = true
	case strings.HasPrefix(want, got):
		a.Violation = "an answer without its end, given as whole"
	default:
		a.Violation = "an answer that is not this request's, or out of order"
	}
}
