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

// completion is a decoded request of a chat or text completion.
type completion struct {
	model           string
	adapter         string
	stream          bool
	output          int // maximum output of all choices, in tokens
	outputPerChoice int // maximum output of one choice, in tokens
	choices         int
	prompt          []byte
	body            []byte // as received
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

// reservedFields are the fields of engineapi.Extra. Only the router may set them.
var reservedFields = []string{"cache_salt", "priority", "weights_version", "import_from", "resume_from"}

// knownFields are reservedFields and the fields that are read into completionFields.
var knownFields = append([]string{"model", "adapter", "messages", "prompt", "stream", "max_tokens", "max_completion_tokens", "n", "best_of"}, reservedFields...)

var (
	messageFields = []string{"role", "content"}
	partFields    = []string{"text"}
)

// maxChoices is the maximum of n and best_of.
const maxChoices = 16

// decodeCompletion decodes and validates a body in a single pass. Every error is of errkind
// InvalidRequest with the outcome not-run.
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
	// The fields are substrings of a copy of the whole body. Cloning them releases the copy.
	c := &completion{model: strings.Clone(f.model), adapter: strings.Clone(f.adapter), stream: f.stream, body: body}
	if err := c.setPrompt(f, chat); err != nil {
		return nil, err
	}
	return c, c.setOutput(f, s)
}

func readCompletion(body []byte) (*completionFields, error) {
	f := &completionFields{}
	var fieldErr error
	err := eachField(gjson.ParseBytes(body), knownFields, func(name string, value gjson.Result) bool {
		switch {
		case slices.Contains(reservedFields, name):
			fieldErr = errkind.New(errkind.InvalidRequest, "field %s is set by the router", name)
		case !f.set(name, value):
			fieldErr = errkind.New(errkind.InvalidRequest, "field %s has the wrong type", name)
		}
		return fieldErr == nil
	})
	return f, errors.CombineErrors(fieldErr, err)
}

// eachField calls visit for each known field of an object until visit returns false. A known
// field that is repeated or differs in case is an error, because some engines would read it
// and others would not.
func eachField(object gjson.Result, known []string, visit func(name string, value gjson.Result) bool) error {
	var seen uint64 // bit i for known[i]
	var err error
	object.ForEach(func(key, value gjson.Result) bool {
		at := slices.IndexFunc(known, func(name string) bool { return strings.EqualFold(name, key.Str) })
		if at < 0 {
			return true
		}
		if key.Str != known[at] || seen&(1<<at) != 0 {
			err = errkind.New(errkind.InvalidRequest, "field %s must appear once and in lower case", known[at])
			return false
		}
		seen |= 1 << at
		return visit(known[at], value)
	})
	return err
}

// set stores one field and reports whether its type is right. A null is treated as absent.
func (f *completionFields) set(name string, value gjson.Result) bool {
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

// chatPrompt returns the same prompt as engineapi.ChatPrompt, without decoding the messages.
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

// appendTexts appends the text of a JSON string, or the texts of a list of strings and
// content parts, to dst.
func appendTexts(dst []byte, value gjson.Result) ([]byte, error) {
	if value.Type == gjson.String {
		return append(dst, value.Str...), nil
	}
	var err error
	value.ForEach(func(_, part gjson.Result) bool {
		if part.Type == gjson.String {
			dst = append(dst, part.Str...)
			return true
		}
		err = eachField(part, partFields, func(_ string, text gjson.Result) bool {
			dst = append(dst, text.Str...)
			return true
		})
		return err == nil
	})
	return dst, err
}

func (c *completion) setOutput(f *completionFields, s Settings) error {
	c.outputPerChoice, c.choices = s.DefaultOutput, 1
	if f.maxTokens != nil {
		c.outputPerChoice = *f.maxTokens
	}
	if f.maxNewTokens != nil {
		c.outputPerChoice = *f.maxNewTokens
	}
	if f.n != nil {
		c.choices = *f.n
	}
	if f.bestOf != nil {
		c.choices = max(c.choices, *f.bestOf)
	}
	if c.outputPerChoice < 1 || c.outputPerChoice > s.MaxOutput {
		return errkind.New(errkind.InvalidRequest, "output must be from 1 to %d tokens", s.MaxOutput)
	}
	if c.choices < 1 || c.choices > maxChoices {
		return errkind.New(errkind.InvalidRequest, "choices must be from 1 to %d", maxChoices)
	}
	c.output = c.outputPerChoice * c.choices
	return nil
}

// checkedFields are appended to the client's body, so that an engine reads the validated values
// of these fields whatever spelling or repetition the body contains.
type checkedFields struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	N                   int    `json:"n,omitempty"`
	engineapi.Extra
}

// bodyFor returns the request body for an engine in two parts: the client's body without its
// closing brace, which is not copied, and a tail with the validated and extra fields. The
// cache namespace and the weights version of the extra fields are those of space.
func (c *completion) bodyFor(space cacheSpace, extra engineapi.Extra) (body, tail []byte, err error) {
	extra.CacheSalt, extra.WeightsVersion = space.salt(), space.version
	fields := checkedFields{Model: c.model, Stream: c.stream, MaxTokens: c.outputPerChoice, MaxCompletionTokens: c.outputPerChoice, Extra: extra}
	if c.choices > 1 {
		fields.N = c.choices
	}
	tail, err = json.Marshal(fields)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.Internal, "encoding the request failed")
	}
	// The body is a JSON object with at least the field model, so a comma joins the parts.
	tail[0] = ','
	return c.body[:len(c.body)-1], tail, nil
}
