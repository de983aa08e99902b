package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/oracle"
)

const maxBodyBytes = 64 << 20

// call is a decoded completion request.
type call struct {
	id     string
	chat   bool
	prompt []byte
	requestBody
}

// requestBody is the body of a completion request.
type requestBody struct {
	Model               string              `json:"model"`
	Messages            []engineapi.Message `json:"messages"`
	Prompt              string              `json:"prompt"`
	MaxTokens           int                 `json:"max_tokens"`
	MaxCompletionTokens int                 `json:"max_completion_tokens"`
	Stream              bool                `json:"stream"`
	engineapi.Extra
}

func decodeCall(r *http.Request) (*call, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	c := &call{id: r.Header.Get(engineapi.HeaderRequestID), chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	if err := json.Unmarshal(data, &c.requestBody); err != nil {
		return nil, err
	}
	c.prompt = []byte(c.Prompt)
	if c.chat {
		c.prompt = engineapi.ChatPrompt(c.Messages)
	}
	return c, nil
}

// outputTokens returns the length of the output.
func (c *call) outputTokens() int {
	if c.MaxCompletionTokens > 0 {
		return c.MaxCompletionTokens
	}
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	return oracle.DefaultAnswerTokens
}
