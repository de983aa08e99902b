package engine

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// cutEngine answers each request with the first n bytes of a response, in which ID stands for the request's ID, and closes the
// connection.
func cutEngine(t *testing.T, response string, n int) (address string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.Replace(response[:n], "ID", r.Header.Get(engineapi.HeaderRequestID), 1))
		_ = conn.Close()
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// An engine stops at any byte of its response and closes the connection. No call may take what there is for a whole response, on a
// connection of its own or on one that may be kept.
func TestResponseCutOffAnywhereIsNotWhole(t *testing.T) {
	kept := testSettings()
	single := testSettings()
	single.IdleTimeout = 0
	const head = "HTTP/1.1 200 OK\r\n" + engineapi.HeaderRequestID + ": ID\r\n"
	for name, response := range map[string]string{
		"length": head + "Content-Length: 10\r\n\r\n0123456789",
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
		"end":    head + "\r\n",
	} {
		for n := range response {
			address := cutEngine(t, response, n)
			for mode, settings := range map[string]Settings{"kept": kept, "single": single} {
				c, call := New(settings, nil, nil, zap.NewNop()), Call{Address: address, ID: "1D", Method: "POST", Path: "/x", Body: []byte("{}")}
				answer, err := c.Do(t.Context(), call, time.Second)
				assert.Assert(t, err != nil, "%s, %s: %+v after %q", name, mode, answer, response[:n])
				assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown, "%s, %s: after %q", name, mode, response[:n])
				answer, err = c.DoOnce(t.Context(), call, allowBegin)
				assert.Assert(t, err != nil, "%s, %s: %+v after %q", name, mode, answer, response[:n])
				assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown, fmt.Sprint(n))
			}
		}
	}
}
