package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"eelgrasshollow/internal/engineapi"
)

// answerWriter writes one response in OpenAI's formats, as a stream or as a whole.
type answerWriter struct {
	w             http.ResponseWriter
	call          *call
	firstPosition int // position of the first event to send
	tokenCount    int
	usage         engineapi.Usage
	text          strings.Builder
	started       bool
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

// writeHeader sets the request ID header and, for a stream, sends the headers.
func (a *answerWriter) writeHeader() {
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

// writeEmpty responds with status 200 and no body.
func (a *answerWriter) writeEmpty() {
	a.w.Header().Set(engineapi.HeaderRequestID, a.call.id)
	if a.call.Stream {
		a.w.Header().Set("Content-Type", "text/event-stream")
	}
	a.w.WriteHeader(http.StatusOK)
}

// replaceCall replaces the call, so that the response belongs to another request: that of
// previous or, if there is none, a made-up one.
func (a *answerWriter) replaceCall(previous previousAnswer) {
	otherCall := &call{id: "another-request", prompt: []byte("another prompt"), chat: a.call.chat}
	otherCall.Model = a.call.Model
	if previous.call != nil && previous.id != a.call.id {
		otherCall.id, otherCall.prompt = previous.id, previous.call.prompt
	}
	otherCall.Stream = a.call.Stream
	a.call = otherCall
}

// writeToken sends the token at a position, or skips it if the position is before
// firstPosition. It returns false if the client cannot be reached.
func (a *answerWriter) writeToken(position int, text string) bool {
	if position < a.firstPosition {
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
	return a.sendEvent(position, a.chunk(true, c)) == nil
}

// finish sends the last event with the usage and the end mark, or the whole response.
func (a *answerWriter) finish() {
	a.usage.CompletionTokens = a.tokenCount
	a.usage.TotalTokens = a.usage.PromptTokens + a.tokenCount
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
	lastChunk := a.chunk(true, c)
	lastChunk.Usage = &a.usage
	if a.firstPosition <= a.tokenCount+1 && a.sendEvent(a.tokenCount+1, lastChunk) != nil {
		return
	}
	if _, err := fmt.Fprintf(a.w, "id: %d\ndata: [DONE]\n\n", a.tokenCount+2); err == nil {
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

// sendEvent sends one event of a stream.
func (a *answerWriter) sendEvent(position int, c chunk) error {
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
