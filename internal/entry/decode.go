package entry

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
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

// completionFields are the fields that the router reads.
type completionFields struct {
	model, adapter   string
	messages, prompt gjson.Result
	stream           bool
	maxTokens        *int
	maxNewTokens     *int
	n, bestOf        *int
}

// reservedFields are those of engineapi.Extra, which are the router's to set.
var reservedFields = []string{"cache_salt", "priority", "weights_version", "import_from", "resume_from"}

// knownFields are the names of reservedFields and of what completionFields holds.
var knownFields = append([]string{"model", "adapter", "messages", "prompt", "stream", "max_tokens", "max_completion_tokens", "n", "best_of"}, reservedFields...)

var (
	messageFields = []string{"role", "content"}
	partFields    = []string{"text"}
)

// maxChoices bounds n and best_of.
const maxChoices = 16

// decodeCompletion checks a body, reading it once. Every fault is errkind
// InvalidRequest, not run.
func decodeCompletion(body []byte, chat bool, s Settings) (*completion, error) {
	body = bytes.TrimSpace(body)
	if !utf8.Valid(body) {
		return nil, errkind.New(errkind.InvalidRequest, "body is not valid UTF-8")
	}
	if !gjson.ValidBytes(body) || len(body) == 0 || body[0] != '{' {
		return nil, errkind.New(errkind.InvalidRequest, "body is not a valid JSON request")
	}
	f, err := readCompletion(body)
	if err != nil {
		return nil, err
	}
	// The fields are parts of a copy of the whole body, which must not be kept for them.
	c := &completion{model: strings.Clone(f.model), adapter: strings.Clone(f.adapter), stream: f.stream, body: body}
	if err := c.setPrompt(f, chat); err != nil {
		return nil, err
	}
	return c, c.setOutput(f, s)
}

func readCompletion(body []byte) (*completionFields, error) {
	f := &completionFields{}
	var fault error
	err := eachField(gjson.ParseBytes(body), knownFields, func(name string, value gjson.Result) bool {
		switch {
		case slices.Contains(reservedFields, name):
			fault = errkind.New(errkind.InvalidRequest, "field %s is set by the router", name)
		case !f.take(name, value):
			fault = errkind.New(errkind.InvalidRequest, "field %s is not of its type", name)
		}
		return fault == nil
	})
	return f, errors.CombineErrors(fault, err)
}

// eachField hands the known fields of an object to take until it returns false. A
// known field that comes twice, or in other letters, would be read by some engines
// and not by others, and is refused.
func eachField(object gjson.Result, known []string, take func(name string, value gjson.Result) bool) error {
	var seen uint64 // bit i for known[i]
	var err error
	object.ForEach(func(key, value gjson.Result) bool {
		at := slices.IndexFunc(known, func(name string) bool { return strings.EqualFold(name, key.Str) })
		if at < 0 {
			return true
		}
		if key.Str != known[at] || seen&(1<<at) != 0 {
			err = errkind.New(errkind.InvalidRequest, "field %s must come once, in small letters", known[at])
			return false
		}
		seen |= 1 << at
		return take(known[at], value)
	})
	return err
}

// take keeps one field and reports whether its type fits; null stands for absent.
func (f *completionFields) take(name string, value gjson.Result) bool {
	if value.Type == gjson.Null {
		return true
	}
	switch name {
	case "model":
		f.model = value.Str
		return value.Type == gjson.String
	case "adapter":
		f.adapter = value.Str
		return value.Type == gjson.String
	case "messages":
		f.messages = value
		return value.IsArray()
	case "prompt":
		f.prompt = value
		return value.IsArray() || value.Type == gjson.String
	case "stream":
		f.stream = value.Bool()
		return value.IsBool()
	}
	n, err := strconv.Atoi(value.Raw)
	switch name {
	case "max_tokens":
		f.maxTokens = &n
	case "max_completion_tokens":
		f.maxNewTokens = &n
	case "n":
		f.n = &n
	case "best_of":
		f.bestOf = &n
	}
	return err == nil
}

func (c *completion) setPrompt(f *completionFields, chat bool) error {
	switch {
	case f.model == "":
		return errkind.New(errkind.InvalidRequest, "field model is required")
	case chat && len(f.messages.Raw) == 0:
		return errkind.New(errkind.InvalidRequest, "field messages is required")
	case !chat && len(f.prompt.Raw) == 0:
		return errkind.New(errkind.InvalidRequest, "field prompt is required")
	}
	var err error
	if chat {
		c.prompt, err = chatPrompt(f.messages)
	} else {
		c.prompt, err = appendTexts(nil, f.prompt)
	}
	if err == nil && len(c.prompt) == 0 {
		err = errkind.New(errkind.InvalidRequest, "the prompt is empty")
	}
	return err
}

// chatPrompt is engineapi.ChatPrompt over undecoded messages.
func chatPrompt(messages gjson.Result) ([]byte, error) {
	prompt := make([]byte, 0, len(messages.Raw))
	var err error
	messages.ForEach(func(_, message gjson.Result) bool {
		var role string
		var content gjson.Result
		err = eachField(message, messageFields, func(name string, value gjson.Result) bool {
			if name == "role" {
				role = value.Str
			} else {
				content = value
			}
			return true
		})
		prompt = append(append(prompt, role...), '\n')
		if err == nil {
			prompt, err = appendTexts(prompt, content)
		}
		prompt = append(prompt, '\n')
		return err == nil
	})
	return prompt, err
}

// appendTexts appends a text, or the texts of a list and of its parts.
func appendTexts(to []byte, value gjson.Result) ([]byte, error) {
	if value.Type == gjson.String {
		return append(to, value.Str...), nil
	}
	var err error
	value.ForEach(func(_, part gjson.Result) bool {
		if part.Type == gjson.String {
			to = append(to, part.Str...)
			return true
		}
		err = eachField(part, partFields, func(_ string, text gjson.Result) bool {
			to = append(to, text.Str...)
			return true
		})
		return err == nil
	})
	return to, err
}

func (c *completion) setOutput(f *completionFields, s Settings) error {
	c.perPick, c.choices = s.DefaultOutput, 1
	if f.maxTokens != nil {
		c.perPick = *f.maxTokens
	}
	if f.maxNewTokens != nil {
		c.perPick = *f.maxNewTokens
	}
	if f.n != nil {
		c.choices = *f.n
	}
	if f.bestOf != nil {
		c.choices = max(c.choices, *f.bestOf)
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

// bodyFor returns the body as an engine gets it, in two parts; the first is the
// caller's own, not copied.
func (c *completion) bodyFor(extra engineapi.Extra) (body, tail []byte, err error) {
	fields := checkedFields{Model: c.model, Stream: c.stream, MaxTokens: c.perPick, MaxCompletionTokens: c.perPick, Extra: extra}
	if c.choices > 1 {
		fields.N = c.choices
	}
	tail, err = json.Marshal(fields)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.Internal, "request cannot be encoded")
	}
	// A valid object with a model ends with a brace and is not empty.
	tail[0] = ','
	return c.body[:len(c.body)-1], tail, nil
}
