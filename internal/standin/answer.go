package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"eelgrasshollow/internal/engineapi"
)

// answerWriter writes one answer in OpenAI's shapes, streamed or whole.
type answerWriter struct {
	w       http.ResponseWriter
	call    *call
	from    int // first position to send
	total   int
	usage   engineapi.Usage
	text    strings.Builder
	started bool
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type chunk struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []choice         `json:"choices"`
	Usage   *engineapi.Usage `json:"usage,omitempty"`
}

func (a *answerWriter) begin() {
	a.w.Header().Set(engineapi.HeaderRequestID, a.call.id)
	if !a.call.Stream {
		return
	}
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
	flush(a.w)
	a.started = true
}

// empty answers 200 and nothing else.
func (a *answerWriter) empty() {
	a.w.Header().Set(engineapi.HeaderRequestID, a.call.id)
	if a.call.Stream {
		a.w.Header().Set("Content-Type", "text/event-stream")
	}
	a.w.WriteHeader(http.StatusOK)
}

// crossWith makes this the answer to another request.
func (a *answerWriter) crossWith(other crossedAnswer) {
	stranger := &call{id: "another-request", prompt: []byte("another prompt"), chat: a.call.chat}
	stranger.Model = a.call.Model
	if other.call != nil && other.id != a.call.id {
		stranger.id, stranger.prompt = other.id, other.call.prompt
	}
	stranger.Stream = a.call.Stream
	a.call = stranger
}

// token sends the token at a position, unless the client has it already.
func (a *answerWriter) token(position int, text string) bool {
	if position < a.from {
		return true
	}
	if !a.call.Stream {
		a.text.WriteString(text)
		return true
	}
	c := choice{Text: &text}
	if a.call.chat {
		c = choice{Delta: &delta{Content: text}}
		if position == 1 {
			c.Delta.Role = "assistant"
		}
	}
	return a.event(position, a.chunk(true, c)) == nil
}

func (a *answerWriter) finish() {
	a.usage.CompletionTokens = a.total
	a.usage.TotalTokens = a.usage.PromptTokens + a.total
	reason := "length"
	if !a.call.Stream {
		a.finishWhole(reason)
		return
	}
	empty := ""
	c := choice{Text: &empty, FinishReason: &reason}
	if a.call.chat {
		c = choice{Delta: &delta{}, FinishReason: &reason}
	}
	last := a.chunk(true, c)
	last.Usage = &a.usage
	if a.from <= a.total+1 && a.event(a.total+1, last) != nil {
		return
	}
	if _, err := fmt.Fprintf(a.w, "id: %d\ndata: [DONE]\n\n", a.total+2); err == nil {
		flush(a.w)
	}
}

func (a *answerWriter) finishWhole(reason string) {
	text := a.text.String()
	c := choice{Text: &text, FinishReason: &reason}
	if a.call.chat {
		c = choice{Message: &delta{Role: "assistant", Content: text}, FinishReason: &reason}
	}
	whole := a.chunk(false, c)
	whole.Usage = &a.usage
	writeJSON(a.w, http.StatusOK, whole)
}

func (a *answerWriter) chunk(streamed bool, c choice) chunk {
	object := "text_completion"
	switch {
	case a.call.chat && streamed:
		object = "chat.completion.chunk"
	case a.call.chat:
		object = "chat.completion"
	}
	return chunk{ID: "cmpl-" + a.call.id, Object: object, Model: a.call.Model, Choices: []choice{c}}
}

func (a *answerWriter) event(position int, c chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(a.w, "id: %d\ndata: %s\n\n", position, data); err != nil {
		return err
	}
	flush(a.w)
	return nil
}
