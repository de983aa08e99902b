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

// An engine stops at any byte of its response's head and closes the connection. Clients must not get a 200 with an empty or short
// body that looks whole (reported by operators of a similar system).
func TestHeadOfEngineCutOffIsNoResponse(t *testing.T) {
	for _, stream := range []bool{false, true} {
		head := func(id string) string {
			if stream {
				return "HTTP/1.1 200 OK\r\n" + echoOf(id) + "Content-Type: text/event-stream\r\n" + chunked
			}
			return strings.TrimSuffix(engineAnswer(id), wholeAnswer)
		}
		b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts, s.QueueTimeout = 1, 50*time.Millisecond })
		n := 0
		b.startRawEngine(func(_ int, id, _ string) string { return head(id)[:n] + hangUp })
		for length := len(head("12345678")); n < length; n += 3 {
			response, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, stream, 4))
			if !stream {
				assert.Assert(t, response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusServiceUnavailable, "%d %q after %d bytes", response.StatusCode, text, n)
			}
			assert.Assert(t, strings.Contains(text, `"outcome":"outcome-unknown"`), "%d %q after %d bytes", response.StatusCode, text, n)
		}
	}
}
