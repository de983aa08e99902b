package engineapi

import (
	"encoding/json"
	"strings"
)

// Message is one chat message; its content is a string or a list of text parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Text returns the text of the message, with its text parts joined. It is empty if the
// content is neither a string nor a list of parts.
func (m Message) Text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return ""
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

// ChatPrompt returns the prompt for the messages of a chat. Router and engines both use it,
// so that they split a chat into the same pieces.
func ChatPrompt(messages []Message) []byte {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Text())
		b.WriteByte('\n')
	}
	return []byte(b.String())
}
