package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/engine"

	"gotest.tools/v3/assert"
)

// Guards against a malformed response of an engine that reaches the client as an answer.
func TestMalformedHeadOfEngineIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 Broken\r\n",
		"status 999":             "HTTP/1.1 999 Broken\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX-Bro\x01ken: a\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Broken: a\r\n",
		"blank before a name":    "HTTP/1.1 200 OK\r\nX-A: a\r\n X-Broken: a\r\n",
	} {
		for _, stream := range []bool{false, true} {
			b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts, s.QueueTimeout = 1, 50*time.Millisecond })
			b.startRawEngine(func(_ int, id, _ string) string {
				if stream {
					return head + echoOf(id) + "Content-Type: text/event-stream\r\n\r\n" + hangUp
				}
				return strings.Replace(engineAnswer(id), "HTTP/1.1 200 OK\r\n", head, 1)
			})
			response, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, stream, 4))
			if !stream {
				assert.Assert(t, response.StatusCode >= http.StatusInternalServerError && response.StatusCode < 600, "%s: %d %q", name, response.StatusCode, text)
			}
			assert.Assert(t, strings.Contains(text, `"outcome":"outcome-unknown"`), "%s: %d %q", name, response.StatusCode, text)
		}
	}
}
