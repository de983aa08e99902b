package placement

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"eelgrasshollow/internal/engineapi"

	"gotest.tools/v3/assert"
)

// Guards against an order that counts as accepted, or a report that is used, because of a malformed response.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	const content = "Content-Type: application/json\r\nContent-Length: 17\r\n\r\n{\"accepted\":true}"
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                               true,
		"HTTP/1.1 200 OK\r\nX Broken: a\r\n":                false,
		"HTTP/1.1 200 OK\r\nX-A: a\r\n X-Broken: a\r\n":     false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n": false,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, head+content)
				_ = conn.Close()
			}
		}))
		t.Cleanup(s.Close)
		c := newHTTPClient()
		address := s.Listener.Addr().String()
		err := c.Order(t.Context(), address, engineapi.Order{})
		assert.Equal(t, err == nil, sound, "order, %q: %v", head, err)
		_, err = c.Load(t.Context(), address)
		assert.Equal(t, err == nil, sound, "load report, %q: %v", head, err)
		_, err = c.LastOrder(t.Context(), address)
		assert.Equal(t, err == nil, sound, "last order, %q: %v", head, err)
	}
}
