package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/gateway"

	"gotest.tools/v3/assert"
)

// cutHelper is a VM that answers each forwarded request with the same bytes and closes the connection. It returns its peer address.
func cutHelper(t *testing.T, response string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	}))
	t.Cleanup(s.Close)
	return peerOf(t, s.Listener.Addr().String())
}

// Another VM ends at any byte of its response. What it has written must not look like a whole response, and must not be taken for
// a statement that the request has not run.
func TestHeadOfOtherVMCutOffIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nEelgrass-Forwarded: 1\r\nX-Response-Stamp: s.1\r\n"
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nEelgrass-Forwarded: 1\r\n" + gateway.HeaderNotRun + ": full\r\nRetry-After: 0.2\r\nContent-Length: 4\r\n\r\n"
	for name, response := range map[string]string{
		"length":  head + "Content-Length: 10\r\n\r\n0123456789",
		"chunks":  head + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
		"stream":  head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: abc\n\n\r\n0\r\n\r\n",
		"refusal": refusal,
	} {
		for n := range response {
			if name == "refusal" && n == strings.Index(response, "\r\n\r\n")+4 {
				break // the statement is whole, its text is not used
			}
			reply, err := NewClient().SendToPeer(t.Context(), cutHelper(t, response[:n]), forwardAttempt())
			if err != nil {
				assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown, "%s: cut after %q", name, response[:n])
				continue
			}
			assert.Assert(t, n >= strings.Index(response, "\r\n\r\n")+4, "%s: a response of %q", name, response[:n])
			body, err := io.ReadAll(reply.Body)
			assert.Assert(t, err != nil, "%s: %q is whole after %q", name, body, response[:n])
		}
	}
}
