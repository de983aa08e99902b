package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/oracle"
)

const maxBody = 64 << 20 // bytes

// call is a decoded completion request.
type call struct {
	id     string
	chat   bool
	prompt []byte
	body
}

type body struct {
	Model     string              `json:"model"`
	Messages  []engineapi.Message `json:"messages"`
	Prompt    string              `json:"prompt"`
	MaxTokens int                 `json:"max_tokens"`
	MaxNew    int                 `json:"max_completion_tokens"`
	Stream    bool                `json:"stream"`
	engineapi.Extra
}

func decodeCall(r *http.Request) (*call, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return nil, err
	}
	c := &call{id: r.Header.Get(engineapi.HeaderRequestID), chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	if err := json.Unmarshal(data, &c.body); err != nil {
		return nil, err
	}
	c.prompt = []byte(c.Prompt)
	if c.chat {
		c.prompt = engineapi.ChatPrompt(c.Messages)
	}
	return c, nil
}

// tokens returns the length of the answer.
func (c *call) tokens() int {
	if c.MaxNew > 0 {
		return c.MaxNew
	}
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	return oracle.DefaultAnswerTokens
}
