package entry

import (
	"bytes"
	"encoding/json"
	"testing"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

// FuzzDecodeCompletion checks that a body is either refused, or that the values an engine reads
// from the forwarded body are the validated ones.
func FuzzDecodeCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"quote","messages":[{"role":"user","content":"a"}],"stream":true,"max_tokens":4}`,
		`{"model":"quote","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`,
		`{"model":"a","MODEL":"b","model":"c","messages":[{}],"n":2,"best_of":3}`,
		`{"model":"q","messages":[{}],"cache_salt":"x"}`, `{"model":"q","prompt":["a","b"]}`, `[]`, `{}`, `null`, "{\"model\":\"\xff\"}",
		`{"model":"q","messages":[{}],"max_tokens":-1}`, ` {"model":"q","prompt":"p" } `,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	s := Settings{DefaultOutput: 16, MaxOutput: 1000}
	space := newCacheSpace(prefix.Namespace{Account: "litoral", Model: "q", Version: "v1"})
	extra := engineapi.Extra{CacheSalt: space.salt(), Priority: 7, WeightsVersion: "v1"}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := decodeCompletion(body, chat, s)
		if err != nil {
			assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
			return
		}
		assert.Equal(t, string(c.prompt), string(promptOf(t, body, chat)))
		head, tail, err := c.bodyFor(space, engineapi.Extra{Priority: 7})
		assert.NilError(t, err)
		sent := append(bytes.Clone(head), tail...)
		var read struct {
			Model     string `json:"model"`
			MaxTokens int    `json:"max_tokens"`
			Stream    bool   `json:"stream"`
			engineapi.Extra
		}
		assert.NilError(t, json.Unmarshal(sent, &read))
		assert.Equal(t, read.Model, c.model)
		assert.Equal(t, read.MaxTokens, c.outputPerChoice)
		assert.Equal(t, read.Stream, c.stream)
		assert.Equal(t, read.Extra, extra)
	})
}

// promptOf returns the prompt as engines read it from the body.
func promptOf(t *testing.T, body []byte, chat bool) []byte {
	var f struct {
		Messages []engineapi.Message
		Prompt   json.RawMessage
	}
	if err := json.Unmarshal(body, &f); err != nil {
		t.Skip("engines refuse this body")
	}
	if chat {
		return engineapi.ChatPrompt(f.Messages)
	}
	var text string
	if json.Unmarshal(f.Prompt, &text) != nil {
		t.Skip("lists of texts are joined by the router only")
	}
	return []byte(text)
}
