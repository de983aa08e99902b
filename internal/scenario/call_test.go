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

// callSpec is one request as a script describes it.
type callSpec struct {
	entry   string
	kind    string // chat, order, stock, open, entries
	key     string // client account whose key is sent, or "none"
	id      string
	body    string
	prompt  string
	prefix  int // tokens of shared text before the prompt
	tokens  int
	whole   bool // not streamed
	model   string
	timeout time.Duration
}

// result is what a caller saw.
type result struct {
	status  int
	code    string
	outcome errkind.Outcome
	answer  string // whole, partial, wrong, other, none
	broken  string // how the connection ended, if not well
	cached  int
	run     int
	retry   string
	text    string
	entries int
	took    time.Duration
}

func (r result) String() string {
	return fmt.Sprintf("status=%d code=%s outcome=%s answer=%s cached=%d run=%d entries=%d broken=%q retry-after=%s took=%v\n%s\n",
		r.status, r.code, r.outcome, r.answer, r.cached, r.run, r.entries, r.broken, r.retry, r.took.Round(time.Millisecond), r.text)
}

// pending is a call that goes on in the background.
type pending struct {
	done   chan struct{}
	result result

	mu     sync.Mutex
	events int
	moved  chan struct{}
}

func newPending() *pending {
	return &pending{done: make(chan struct{}), moved: make(chan struct{})}
}

func (p *pending) event() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events++
	close(p.moved)
	p.moved = make(chan struct{})
}

func (p *pending) seen() (int, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.events, p.moved
}

func (f *fleet) call(c callSpec) result { return f.callWith(c, newPending()) }

func (f *fleet) callWith(c callSpec, p *pending) (r result) {
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
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
	// A connection of its own, so that no earlier one stands in the way.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		r.broken = err.Error()
		return r
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	r.outcome = errkind.Outcome(response.Header.Get(errkind.OutcomeHeader))
	r.retry = response.Header.Get("Retry-After")
	r.read(response, c, p)
	return r
}

const defaultCallTimeout = 15 * time.Second

func (f *fleet) request(ctx context.Context, c callSpec) (*http.Request, error) {
	address, err := f.link("caller", c.entry)
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
	if key, ok := f.keys[c.key]; ok {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if c.id != "" {
		r.Header.Set(engineapi.HeaderIdempotencyKey, c.id)
	}
	return r, nil
}

func (c callSpec) messages() []engineapi.Message {
	text := c.prompt
	if c.prefix > 0 {
		text = strings.Repeat("word", c.prefix) + text
	}
	content, _ := json.Marshal(text) // a string always has a form
	return []engineapi.Message{{Role: "user", Content: content}}
}

func (c callSpec) chatBody() string {
	messages, _ := json.Marshal(c.messages()) // as above
	return fmt.Sprintf(`{"model":%q,"messages":%s,"max_tokens":%d,"stream":%t}`, c.model, messages, c.tokens, !c.whole)
}

func (r *result) read(response *http.Response, c callSpec, p *pending) {
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
	r.judge(part.Choices[0].Message.Content, c, true)
}

func (r *result) judge(text string, c callSpec, ended bool) {
	want := oracle.Answer(c.model, engineapi.ChatPrompt(c.messages()), c.tokens)
	r.text = text
	switch {
	case text == want && ended:
		r.answer = "whole"
	case strings.HasPrefix(want, text) && !ended:
		r.answer = "partial" // and the caller can tell
	case strings.HasPrefix(want, text):
		r.answer = "cut"
	default:
		r.answer = "wrong"
	}
}

func (r *result) readStream(body io.Reader, c callSpec, p *pending) {
	lines := bufio.NewReader(body)
	var text strings.Builder
	last, ended := 0, false
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
			if err != nil || n != last+1 {
				r.broken = "position " + id + " after " + strconv.Itoa(last)
			}
			last = n
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		ended = ended || strings.TrimSpace(data) == "[DONE]"
		r.event(data, &text)
		p.event()
	}
	r.judge(text.String(), c, ended || (r.broken == "" && r.code == ""))
}

func (r *result) event(data string, text *strings.Builder) {
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
