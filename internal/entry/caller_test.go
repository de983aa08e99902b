package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/errkind"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// raw opens a connection to the front and sends text.
func (b *bench) raw(text string) net.Conn {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(text))
	assert.NilError(b.t, err)
	return conn
}

// rawChat is a streamed request of so many tokens as bytes on the wire.
func (b *bench) rawChat(tokens int) string {
	body := fmt.Sprintf(chatBody, true, tokens)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nContent-Type: application/json\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", b.token, len(body), body)
}

func (b *bench) waitForCancel(s *httptest.Server) {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		stats := get(b.t, s.URL+"/admin/stats")
		if strings.Contains(stats, `"canceled":0`) {
			return poll.Continue("%s", stats)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestCallerThatDoesNotReadIsGivenUp(t *testing.T) {
	b := newBench(t, func(s *Settings, _ *engine.Settings) { s.Write = 200 * time.Millisecond })
	// Slow enough that the engine has most of its two megabytes still to send when the
	// caller's connection is full, whatever the buffers before the front hold.
	e := b.addEngine(time.Millisecond)
	b.raw(b.rawChat(10_000))
	b.waitForCancel(e)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(b.front.open.list()) > 0 {
			return poll.Continue("request is still open")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

func TestCallerThatLeavesEndsTheEnginesWork(t *testing.T) {
	b := newBench(t, nil)
	e := b.addEngine(5 * time.Millisecond)
	conn := b.raw(b.rawChat(100_000))
	_, err := conn.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	b.waitForCancel(e)
}

func TestSlowHeaderAndBodyAreGivenUp(t *testing.T) {
	b := newBench(t, func(s *Settings, _ *engine.Settings) {
		s.ReadHeader, s.ReadBody = 200*time.Millisecond, 200*time.Millisecond
	})
	conn := b.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n")
	_, err := io.ReadAll(conn) // ends when the front closes the connection
	assert.NilError(t, err)
	conn = b.raw(strings.TrimSuffix(b.rawChat(4), "}"))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	refused(t, answer, string(body), errkind.InvalidRequest, errkind.NotRun)
}

func TestHeaderBeyondTheLimitIsRefused(t *testing.T) {
	b := newBench(t, func(s *Settings, _ *engine.Settings) { s.MaxHeader = 4 << 10 })
	conn := b.raw("GET /v1/models HTTP/1.1\r\nHost: e\r\nX-Long: " + strings.Repeat("x", 16<<10) + "\r\n\r\n")
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	assert.Equal(t, answer.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
