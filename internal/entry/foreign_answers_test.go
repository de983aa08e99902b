package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"gotest.tools/v3/assert"
)

// rawEngine is an engine on real connections, which it keeps. answer returns what it writes for a request: the n-th
// completion, from 1 on, with that ID. copied is what it has written last on the connection.
type rawEngine struct {
	answer func(n int, id, copied string) string

	mu      sync.Mutex
	n       int
	cancels int
}

func (e *rawEngine) start(t *testing.T) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var connections sync.WaitGroup
	t.Cleanup(connections.Wait)
	t.Cleanup(func() { _ = l.Close() })
	connections.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections.Go(func() {
				defer func() { _ = conn.Close() }()
				e.serve(conn)
			})
		}
	})
	return l.Addr().String()
}

func (e *rawEngine) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for copied := ""; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.Method == http.MethodDelete {
			e.mu.Lock()
			e.cancels++
			e.mu.Unlock()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		e.mu.Lock()
		e.n++
		n := e.n
		e.mu.Unlock()
		copied = e.answer(n, request.Header.Get(engineapi.HeaderRequestID), copied)
		text, ends := strings.CutSuffix(copied, hangUp)
		_, _ = io.WriteString(conn, text)
		if ends {
			return
		}
	}
}

// hangUp at the end of an answer stands for the end of the connection.
const hangUp = "\x00hang up"

// startRawEngine adds an engine of one function.
func (b *testFront) startRawEngine(answer func(n int, id, copied string) string) *rawEngine {
	e := &rawEngine{answer: answer}
	b.addAddress("engine", e.start(b.t))
	b.t.Cleanup(b.front.engine.Close) // its kept connections end before the engine
	return e
}

func echoOf(id string) string {
	if id == "" {
		return ""
	}
	return engineapi.HeaderRequestID + ": " + id + "\r\n"
}

func engineRefusal(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sContent-Length: 7\r\n\r\nrefused", status, echoOf(id))
}

const wholeAnswer = `{"choices":[{"message":{"content":"x"},"finish_reason":"stop"}]}`

func engineAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", echoOf(id), len(wholeAnswer), wholeAnswer)
}

// Guards against clients that are told "not run" because an engine has written its refusal of the first attempt once more
// on a kept connection, while it runs the second (reported by operators of a similar system).
func TestEarlierRefusalOfEngineWrittenOnceMore(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict, http.StatusInternalServerError} {
		b := newTestFront(t, func(s *Settings, e *engine.Settings) { s.MaxAttempts, e.IdleTimeout = 2, time.Minute })
		var runs int
		b.startRawEngine(func(n int, id, copied string) string {
			if n == 1 {
				return engineRefusal(status, id)
			}
			runs++
			return copied + engineAnswer(id)
		})
		response, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, false, 4))
		assert.Equal(t, response.StatusCode, http.StatusOK, "%d: %s", status, text)
		assert.Equal(t, runs, 1)
	}
}

// Guards against a refusal that carries no request ID and is taken for the statement that the request has not run. Its
// status is passed on: many engines leave the ID out of errors.
func TestRefusalOfEngineWithoutIDPromisesNothing(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for status, kind := range map[int]errkind.Kind{
			400: errkind.InvalidRequest, 413: errkind.TooLarge, 409: errkind.EndpointFailed, 429: errkind.EndpointFailed, 503: errkind.EndpointFailed, 500: errkind.EndpointFailed,
		} {
			b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts, s.QueueTimeout = 1, 50*time.Millisecond })
			e := b.startRawEngine(func(_ int, id, _ string) string { return engineRefusal(status, "") + engineAnswer(id) })
			response, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, stream, 4))
			assertRefused(t, response, text, kind, errkind.Unknown)
			assert.Assert(t, !strings.Contains(text, "refused"), text)
			for !e.canceled() { // it may be running the request
				time.Sleep(time.Millisecond)
			}

			b = newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts, s.QueueTimeout = 1, 50*time.Millisecond })
			b.startRawEngine(func(_ int, id, _ string) string { return engineRefusal(status, id) })
			response, text = b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, stream, 4))
			if kind = map[int]errkind.Kind{409: errkind.Overloaded, 429: errkind.Overloaded, 503: errkind.Overloaded}[status]; kind != errkind.Internal {
				assertRefused(t, response, text, kind, errkind.NotRun)
			}
		}
	}
}

func (e *rawEngine) canceled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels > 0
}

// An idempotent call that failed at the only endpoint is sent there again, with the same ID.
func TestRepeatedPlainCallUsesNoKeptConnection(t *testing.T) {
	b := newTestFront(t, func(s *Settings, e *engine.Settings) { s.MaxAttempts, e.IdleTimeout = 2, time.Minute })
	e := &rawEngine{answer: func(n int, id, copied string) string {
		if n == 1 {
			return "HTTP/1.1 200 OK\r\n" + echoOf(id) + "Content-Length: 0\r\n\r\n"
		}
		return copied + engineAnswer(id)
	}}
	b.addAddress("plain", e.start(t))
	t.Cleanup(b.front.engine.Close)
	response, text := b.do("GET", "/stock/egg", "")
	assert.Equal(t, response.StatusCode, http.StatusOK, text)
	assert.Equal(t, text, wholeAnswer)
}
