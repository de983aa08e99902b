package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/oracle"
)

// callSpec describes a request of a scenario.
type callSpec struct {
	entry        string
	kind         string // chat, order, stock, open or entries
	account      string // client account whose key is sent; none is sent for unknown accounts, such as "none"
	id           string
	body         string
	prompt       string
	prefixTokens int // number of tokens of shared text before the prompt
	maxTokens    int
	unstreamed   bool
	model        string
	timeout      time.Duration
}

// result is the outcome of a call as seen by the client.
type result struct {
	status     int
	code       string
	outcome    errkind.Outcome
	answer     string // whole, partial, cut, wrong or none; see compareAnswer
	broken     string // error with which the connection or stream ended, if any
	cached     int
	run        int
	retryAfter string
	text       string
	entries    int
	duration   time.Duration
}

func (r result) String() string {
	return fmt.Sprintf("status=%d code=%s outcome=%s answer=%s cached=%d run=%d entries=%d broken=%q retry-after=%s took=%v\n%s\n",
		r.status, r.code, r.outcome, r.answer, r.cached, r.run, r.entries, r.broken, r.retryAfter, r.duration.Round(time.Millisecond), r.text)
}

// pendingCall is a call that runs in the background. done is closed when result is set. changed
// is closed and replaced when an event of the stream arrives.
type pendingCall struct {
	done   chan struct{}
	result result

	mu      sync.Mutex
	events  int
	changed chan struct{}
}

func newPendingCall() *pendingCall {
	return &pendingCall{done: make(chan struct{}), changed: make(chan struct{})}
}

// recordEvent counts an event of the stream.
func (p *pendingCall) recordEvent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events++
	close(p.changed)
	p.changed = make(chan struct{})
}

// eventCount returns the number of events so far and a channel that is closed at the next one.
func (p *pendingCall) eventCount() (int, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.events, p.changed
}

func (f *fleet) call(c callSpec) result { return f.callTracked(c, newPendingCall()) }

// callTracked makes a call and counts the events of its stream in p.
func (f *fleet) callTracked(c callSpec, p *pendingCall) (r result) {
	start := time.Now()
	defer func() { r.duration = time.Since(start) }()
	r.answer = "none"
	timeout := c.timeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := f.request(ctx, c)
	if err != nil {
		r.broken = err.Error()
		return r
	}
	// Each call uses a new connection, so that faults on earlier ones do not affect it.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		r.broken = err.Error()
		return r
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	r.outcome = errkind.Outcome(response.Header.Get(errkind.OutcomeHeader))
	r.retryAfter = response.Header.Get("Retry-After")
	r.readResponse(response, c, p)
	return r
}

const defaultCallTimeout = 15 * time.Second

func (f *fleet) request(ctx context.Context, c callSpec) (*http.Request, error) {
	address, err := f.linkAddress("caller", c.entry)
	if err != nil {
		return nil, err
	}
	method, path, body := http.MethodPost, "", c.body
	switch c.kind {
	case "chat":
		path, body = "/v1/chat/completions", c.chatBody()
	case "order":
		path = "/orders"
	case "stock":
		path = "/stock/tagliatelle"
	case "open":
		method, path = http.MethodGet, "/hours"
	case "entries":
		method, path = http.MethodGet, "/v1/entries"
	default:
		return nil, fmt.Errorf("unknown kind of call %q", c.kind)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	if key, ok := f.keys[c.account]; ok {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if c.id != "" {
		r.Header.Set(engineapi.HeaderIdempotencyKey, c.id)
	}
	return r, nil
}

func (c callSpec) messages() []engineapi.Message {
	text := c.prompt
	if c.prefixTokens > 0 {
		text = strings.Repeat("word", c.prefixTokens) + text
	}
	content, _ := json.Marshal(text) // marshaling a string can't fail
	return []engineapi.Message{{Role: "user", Content: content}}
}

func (c callSpec) chatBody() string {
	messages, _ := json.Marshal(c.messages()) // marshaling strings can't fail
	return fmt.Sprintf(`{"model":%q,"messages":%s,"max_tokens":%d,"stream":%t}`, c.model, messages, c.maxTokens, !c.unstreamed)
}

func (r *result) readResponse(response *http.Response, c callSpec, p *pendingCall) {
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	if response.StatusCode == http.StatusOK && stream {
		r.readStream(response.Body, c, p)
		return
	}
	data, err := io.ReadAll(response.Body)
	r.text = string(data)
	if err != nil {
		r.broken = err.Error()
		return
	}
	switch {
	case response.StatusCode != http.StatusOK:
		r.readError(data)
	case c.kind == "chat":
		r.readChat(data, c)
	case c.kind == "entries":
		r.readEntries(data)
	default:
		r.readPlain(data, c)
	}
}

type errorBody struct {
	Error *struct {
		Code    string          `json:"code"`
		Outcome errkind.Outcome `json:"outcome"`
	} `json:"error"`
}

func (r *result) readError(data []byte) {
	var body errorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		r.code = body.Error.Code
	}
}

func (r *result) readEntries(data []byte) {
	var body struct {
		Entries []struct{} `json:"entries"`
	}
	if json.Unmarshal(data, &body) == nil {
		r.entries = len(body.Entries)
	}
}

func (r *result) readPlain(data []byte, c callSpec) {
	var body struct {
		Key  string `json:"idempotency_key"`
		Run  int    `json:"run"`
		Body string `json:"body"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		r.answer = "partial"
		return
	}
	r.run = body.Run
	r.answer = "wrong"
	if body.Key == c.id && body.Body == c.body {
		r.answer = "whole"
	}
}

// streamPart is a chat completion or an event of its stream.
type streamPart struct {
	errorBody
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Usage *engineapi.Usage `json:"usage"`
}

func (r *result) readChat(data []byte, c callSpec) {
	var part streamPart
	if json.Unmarshal(data, &part) != nil || len(part.Choices) == 0 {
		r.answer = "partial"
		return
	}
	if part.Usage != nil {
		r.cached = part.Usage.Details.CachedTokens
	}
	r.compareAnswer(part.Choices[0].Message.Content, c, true)
}

// compareAnswer compares the text of an answer with the expected one and sets r.answer: "whole" if
// the text is complete, "partial" if a part is missing and the client can tell, "cut" if a part is
// missing and the client can't tell, and "wrong" otherwise. ended says whether the client has to
// take the answer as complete.
func (r *result) compareAnswer(text string, c callSpec, ended bool) {
	want := oracle.Answer(c.model, engineapi.ChatPrompt(c.messages()), c.maxTokens)
	r.text = text
	switch {
	case text == want && ended:
		r.answer = "whole"
	case strings.HasPrefix(want, text) && !ended:
		r.answer = "partial" // the client can tell that the answer is incomplete
	case strings.HasPrefix(want, text):
		r.answer = "cut"
	default:
		r.answer = "wrong"
	}
}

// readStream reads a stream to its end and checks that the event IDs are consecutive.
func (r *result) readStream(body io.Reader, c callSpec, p *pendingCall) {
	lines := bufio.NewReader(body)
	var text strings.Builder
	lastID, ended := 0, false
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			break
		}
		if err != nil {
			r.broken = err.Error()
			break
		}
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(id))
			if err != nil || n != lastID+1 {
				r.broken = "position " + id + " after " + strconv.Itoa(lastID)
			}
			lastID = n
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		ended = ended || strings.TrimSpace(data) == "[DONE]"
		r.readEvent(data, &text)
		p.recordEvent()
	}
	r.compareAnswer(text.String(), c, ended || (r.broken == "" && r.code == ""))
}

// readEvent records an error event or the usage, or appends a part of the answer to text.
func (r *result) readEvent(data string, text *strings.Builder) {
	var part streamPart
	if json.Unmarshal([]byte(data), &part) != nil {
		return
	}
	if part.Error != nil {
		r.code, r.outcome = part.Error.Code, part.Error.Outcome
		return
	}
	if part.Usage != nil {
		r.cached = part.Usage.Details.CachedTokens
	}
	if len(part.Choices) > 0 {
		text.WriteString(part.Choices[0].Delta.Content)
	}
}
