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

// Attempt is what came of sending a request once.
type Attempt struct {
	CallID         string
	Kind           CallKind
	Account        string
	Entry          string
	Start          time.Duration // since the start of the run
	FirstByte      time.Duration // first byte of the answer's content, or of a refusal
	End            time.Duration
	Status         int
	Code           string // errkind word of a refusal, or what broke
	Outcome        errkind.Outcome
	Refused        bool // not run, as the answer says
	OK             bool // the whole answer, and the right one
	Streamed       bool // token by token, so that First is the first token's time
	Violation      string
	Usage          engineapi.Usage
	ReservedTokens int64           // prompt and greatest output, in tokens
	TokenGaps      []time.Duration // between tokens
	retry          time.Duration
	text           string // of a stream, so far
	lastID         int
}

// Codes of what breaks without an answer of the system.
const (
	codeTransport = "transport"
	codeNoEntry   = "no-entry"
	codeBadAnswer = "bad-answer"
)

// sender sends single attempts.
type sender struct {
	settings Settings
	client   *http.Client
	begin    time.Time
}

func (s *sender) since() time.Duration { return time.Since(s.begin) }

// send sends a call once to an entry and judges the answer.
func (s *sender) send(ctx context.Context, c call, a Account, entry string, attempt int) Attempt {
	out := Attempt{CallID: c.id, Kind: c.kind, Account: a.Name, Entry: entry, Start: s.since(), ReservedTokens: c.asked(s.settings)}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Run.Timeout)
	defer cancel()
	r, err := s.request(ctx, c, a, entry, attempt)
	if err != nil {
		out.fail(codeTransport, s.since())
		return out
	}
	response, err := s.client.Do(r)
	if err != nil {
		out.fail(codeTransport, s.since())
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
		s.readWhole(response, c, &out)
	}
	out.End = s.since()
	if out.FirstByte == 0 {
		out.FirstByte = out.End
	}
	return out
}

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
	return []chatMessage{{"system", c.system}, {"user", c.user}}
}

// asked is what a completion reserves of its account's grant.
func (c *call) asked(s Settings) int64 {
	if c.kind != Chat {
		return 0
	}
	return int64(prefix.Tokens(len(c.system)+len(c.user)) + s.Prompts.MaxTokens)
}

// expected is the whole text of the right answer.
func (c *call) expected(s Settings) string {
	var messages []engineapi.Message
	for _, m := range c.messages() {
		content, _ := json.Marshal(m.Content) // a string always has a form
		messages = append(messages, engineapi.Message{Role: m.Role, Content: content})
	}
	return oracle.Answer(s.Mix.Model, engineapi.ChatPrompt(messages), s.Prompts.MaxTokens)
}

func (s *sender) request(ctx context.Context, c call, a Account, entry string, attempt int) (*http.Request, error) {
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
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+a.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(engineapi.HeaderRequestID, c.id+"-"+strconv.Itoa(attempt))
	if c.last > 0 {
		r.Header.Set(engineapi.HeaderLastEventID, strconv.Itoa(c.last))
	}
	if c.kind == Order {
		r.Header.Set(engineapi.HeaderIdempotencyKey, c.id)
	}
	return r, nil
}

// errorBody is the part of an error answer that the tool looks at.
type errorBody struct {
	Error *struct {
		Type    string          `json:"type"`
		Code    string          `json:"code"`
		Outcome errkind.Outcome `json:"outcome"`
	} `json:"error"`
}

func (s *sender) readRefusal(response *http.Response, out *Attempt) {
	out.FirstByte = s.since()
	data, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16)) // the status says enough without a body
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
	out.retry = retryAfter(response.Header)
	if out.Outcome == errkind.NoOutcome {
		out.Violation = "a refusal without an outcome: " + out.Code
	}
}

func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get("Retry-After-Ms")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// readPlain checks that a plain service's answer belongs to the request.
func (s *sender) readPlain(response *http.Response, c call, out *Attempt) {
	data, err := io.ReadAll(response.Body)
	out.FirstByte = s.since()
	if err != nil {
		out.fail(codeTransport, s.since())
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

func (s *sender) readWhole(response *http.Response, c call, out *Attempt) {
	data, err := io.ReadAll(response.Body)
	out.FirstByte = s.since()
	if err != nil {
		out.fail(codeTransport, s.since())
		return
	}
	var answer streamPart
	if err := json.Unmarshal(data, &answer); err != nil || len(answer.Choices) == 0 {
		out.Violation = "a completion that is cut or empty"
		return
	}
	if answer.Usage != nil {
		out.Usage = *answer.Usage
	}
	out.judge(answer.Choices[0].Message.Content, c.expected(s.settings))
}

func (a *Attempt) judge(got, want string) {
	switch {
	case got == want:
		a.OK = true
	case strings.HasPrefix(want, got):
		a.Violation = "an answer without its end, given as whole"
	default:
		a.Violation = "an answer that is not this request's, or out of order"
	}
}
