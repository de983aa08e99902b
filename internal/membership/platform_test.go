package membership

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a list of VMs that is taken from a malformed response.
func TestMalformedHeadOfPlatformIsNoList(t *testing.T) {
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                           true,
		"HTTP/1.1 200 OK\r\nX Broken: a\r\n":            false,
		"HTTP/1.1 200 OK\r\nX-A: a\r\n X-Broken: a\r\n": false,
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n":     false,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, head+"\r\n{\"vms\":[]}")
				_ = conn.Close()
			}
		}))
		_, err := NewPlatformClient(strings.TrimPrefix(s.URL, "http://")).List(t.Context())
		s.Close()
		assert.Equal(t, err == nil, sound, "%q: %v", head, err)
	}
}
