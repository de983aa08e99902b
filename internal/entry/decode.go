package entry

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
)

// completion is a decoded request for a chat or text completion.
type completion struct {
	model   string
	adapter string
	stream  bool
	output  int // greatest output over all choices, in tokens
	perPick int // greatest output of one choice
	choices int
	prompt  []byte
	body    []byte // as it came
}

// completionFields are the fields that the router reads. Those of engineapi.Extra are
// its own to set.
type completionFields struct {
	Model               string              `json:"model"`
	Adapter             string              `json:"adapter"`
	Messages            []engineapi.Message `json:"messages"`
	Prompt              json.RawMessage     `json:"prompt"`
	Stream              bool                `json:"stream"`
	MaxTokens           *int                `json:"max_tokens"`
	MaxCompletionTokens *int                `json:"max_completion_tokens"`
	N                   *int                `json:"n"`
	BestOf              *int                `json:"best_of"`

	CacheSalt      json.RawMessage `json:"cache_salt"`
	Priority       json.RawMessage `json:"priority"`
	WeightsVersion json.RawMessage `json:"weights_version"`
	ImportFrom     json.RawMessage `json:"import_from"`
	ResumeFrom     json.RawMessage `json:"resume_from"`
}

// maxChoices bounds n and best_of.
const maxChoices = 16

// decodeCompletion checks a body. Every fault is errkind InvalidRequest, not run.
func decodeCompletion(body []byte, chat bool, s Settings) (*completion, error) {
	if !utf8.Valid(body) {
		return nil, errkind.New(errkind.InvalidRequest, "body is not valid UTF-8")
	}
	var f completionFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "body is not a valid JSON request")
	}
	if name := f.reserved(); name != "" {
		return nil, errkind.New(errkind.InvalidRequest, "field %s is set by the router", name)
	}
	c := &completion{model: f.Model, adapter: f.Adapter, stream: f.Stream, body: bytes.TrimSpace(body)}
	if err := c.setPrompt(f, chat); err != nil {
		return nil, err
	}
	return c, c.setOutput(f, s)
}

func (f *completionFields) reserved() string {
	for _, field := range []struct {
		name  string
		value json.RawMessage
	}{{"cache_salt", f.CacheSalt}, {"priority", f.Priority}, {"weights_version", f.WeightsVersion}, {"import_from", f.ImportFrom}, {"resume_from", f.ResumeFrom}} {
		if field.value != nil {
			return field.name
		}
	}
	return ""
}

func (c *completion) setPrompt(f completionFields, chat bool) error {
	switch {
	case f.Model == "":
		return errkind.New(errkind.InvalidRequest, "field model is required")
	case chat && len(f.Messages) == 0:
		return errkind.New(errkind.InvalidRequest, "field messages is required")
	case chat:
		c.prompt = engineapi.ChatPrompt(f.Messages)
		return nil
	case len(f.Prompt) == 0 || string(f.Prompt) == "null":
		return errkind.New(errkind.InvalidRequest, "field prompt is required")
	}
	var text string
	var texts []string
	switch {
	case json.Unmarshal(f.Prompt, &text) == nil:
		c.prompt = []byte(text)
	case json.Unmarshal(f.Prompt, &texts) == nil:
		c.prompt = []byte(strings.Join(texts, ""))
	default:
		return errkind.New(errkind.InvalidRequest, "field prompt must be a text or a list of texts")
	}
	return nil
}

func (c *completion) setOutput(f completionFields, s Settings) error {
	c.perPick, c.choices = s.DefaultOutput, 1
	if f.MaxTokens != nil {
		c.perPick = *f.MaxTokens
	}
	if f.MaxCompletionTokens != nil {
		c.perPick = *f.MaxCompletionTokens
	}
	if f.N != nil {
		c.choices = *f.N
	}
	if f.BestOf != nil {
		c.choices = max(c.choices, *f.BestOf)
	}
	if c.perPick < 1 || c.perPick > s.MaxOutput {
		return errkind.New(errkind.InvalidRequest, "output must be from 1 to %d tokens", s.MaxOutput)
	}
	if c.choices < 1 || c.choices > maxChoices {
		return errkind.New(errkind.InvalidRequest, "choices must be from 1 to %d", maxChoices)
	}
	c.output = c.perPick * c.choices
	return nil
}

// checkedFields are written after the caller's own fields, so that what was checked is
// what an engine reads, whatever spelling or repetition the body holds.
type checkedFields struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	N                   int    `json:"n,omitempty"`
	engineapi.Extra
}

// bodyFor returns the body as an engine gets it.
func (c *completion) bodyFor(extra engineapi.Extra) ([]byte, error) {
	fields := checkedFields{Model: c.model, Stream: c.stream, MaxTokens: c.perPick, MaxCompletionTokens: c.perPick, Extra: extra}
	if c.choices > 1 {
		fields.N = c.choices
	}
	tail, err := json.Marshal(fields)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "request cannot be encoded")
	}
	// A valid object with a model ends with a brace and is not empty.
	out := make([]byte, 0, len(c.body)+len(tail))
	out = append(out, c.body[:len(c.body)-1]...)
	out = append(out, ',')
	return append(out, tail[1:]...), nil
}
