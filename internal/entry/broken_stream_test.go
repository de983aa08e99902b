package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/engine"

	"gotest.tools/v3/assert"
)

const (
	chunkA    = `{"choices":[{"delta":{"content":"a"},"finish_reason":null}]}`
	chunkB    = `{"choices":[{"delta":{"content":"b"},"finish_reason":null}]}`
	chunkLast = `{"choices":[{"delta":{},"finish_reason":"stop"}]}`
	chunked   = "Transfer-Encoding: chunked\r\n\r\n"
)

func event(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// eventChunks returns events as they are sent: each in a chunk of its own.
func eventChunks(events ...string) string {
	var text strings.Builder
	for _, e := range events {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(e), e)
	}
	return text.String()
}

func chunks(parts ...string) string { return eventChunks(parts...) + "0\r\n\r\n" }

func lengthOf(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// rawBody returns the bytes of a streaming response after its head, until the end of its last chunk or of the connection.
func (b *testFront) rawBody() string {
	b.t.Helper()
	conn := b.dialRaw(b.rawChat(10))
	assert.NilError(b.t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	var text strings.Builder
	buffer := make([]byte, 4096)
	for !strings.HasSuffix(text.String(), "\r\n0\r\n\r\n") {
		n, err := conn.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			assert.Assert(b.t, err == io.EOF || strings.Contains(err.Error(), "reset"), "%v after %q", err, text.String())
			break
		}
	}
	head, body, _ := strings.Cut(text.String(), "\r\n\r\n")
	assert.Check(b.t, strings.HasPrefix(head, "HTTP/1.1 200 OK\r\n") && strings.Contains(head, "Transfer-Encoding: chunked"), text.String())
	return body
}

// nextAnswers returns answers of an engine that is to go on with a stream after its second event. None is its rest.
func nextAnswers(id string) map[string]string {
	stream := "HTTP/1.1 200 OK\r\n" + echoOf(id) + "Content-Type: text/event-stream\r\n"
	return map[string]string{
		"500":                         "HTTP/1.1 500 Failed\r\n" + echoOf(id) + lengthOf("error text"),
		"500 without an ID":           "HTTP/1.1 500 Failed\r\n" + lengthOf("error text"),
		"503":                         "HTTP/1.1 503 Full\r\n" + echoOf(id) + lengthOf("error text"),
		"400":                         "HTTP/1.1 400 Bad\r\n" + echoOf(id) + lengthOf("error text"),
		"409":                         "HTTP/1.1 409 Weights\r\n" + echoOf(id) + lengthOf("error text"),
		"500 with an event stream":    "HTTP/1.1 500 Failed\r\n" + echoOf(id) + "Content-Type: text/event-stream\r\n" + lengthOf(event(3, chunkLast)+event(4, "[DONE]")),
		"200 without an ID":           "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + lengthOf(event(3, chunkLast)+event(4, "[DONE]")),
		"200 that is no stream":       "HTTP/1.1 200 OK\r\n" + echoOf(id) + "Content-Type: application/json\r\n" + lengthOf(wholeAnswer),
		"stream of text":              stream + chunked + chunks("error text\n\n"),
		"stream of JSON":              stream + chunked + chunks("{\"error\":\"error text\"}\n\n"),
		"stream of a head":            stream + "\r\nHTTP/1.1 500 Failed\r\n\r\nerror text\n\n" + hangUp,
		"stream of an error":          stream + chunked + chunks(event(3, `{"error":{"message":"error text"}}`), event(4, "[DONE]")),
		"stream of an error event":    stream + chunked + chunks("event: error\nid: 3\ndata: {\"m\":\"error text\"}\n\n", event(4, "[DONE]")),
		"stream of data without ID":   stream + chunked + chunks("data: {\"m\":\"error text\"}\n\n", "data: [DONE]\n\n"),
		"stream that is not JSON":     stream + chunked + chunks("id: 3\ndata: error text\n\n"),
		"stream of a comment":         stream + chunked + chunks(": error text\n\n"),
		"stream with a gap":           stream + chunked + chunks(event(4, "[DONE]")),
		"end mark without an ID":      stream + chunked + chunks("data: [DONE]\n\n"),
		"end mark before the last":    stream + chunked + chunks(event(3, "[DONE]")),
		"earlier events only":         stream + chunked + chunks(event(1, chunkA), event(2, chunkB)),
		"empty stream":                stream + chunked + chunks(),
		"empty stream with a length":  stream + lengthOf(""),
		"empty stream, unframed":      stream + "\r\n" + hangUp,
		"no bytes":                    hangUp,
		"garbage":                     "\x01error text\r\n\r\n" + hangUp,
		"half a head":                 "HTTP/1.1 200 OK\r\n" + echoOf(id) + "Content-T" + hangUp,
		"half an event":               stream + chunked + "f\r\nid: 3\ndata: err" + hangUp,
		"half an event, whole body":   stream + lengthOf("id: 3\ndata: {}\n"),
		"garbage in place of a chunk": stream + chunked + "HTTP/1.1 500 Failed\r\n\r\nerror text" + hangUp,
	}
}

// A stream has begun and breaks off, and the next engine answers with something that is not its rest. After its events the
// client gets one event with this system's error and a connection that ends without the last chunk: no text of the engine,
// and no end (reported by operators of a similar system).
func TestNothingOfNextEngineFollowsBrokenStream(t *testing.T) {
	for name := range nextAnswers("") {
		for _, cut := range []string{"", "f\r\nid: 3\ndata: c"} {
			b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts, s.QueueTimeout = 2, 50*time.Millisecond })
			b.startRawEngine(func(_ int, id, _ string) string {
				return "HTTP/1.1 200 OK\r\n" + echoOf(id) + "Content-Type: text/event-stream\r\n" + chunked + eventChunks(event(1, chunkA), event(2, chunkB)) + cut + hangUp
			})
			b.startRawEngine(func(_ int, id, _ string) string { return nextAnswers(id)[name] })
			rest, ok := strings.CutPrefix(b.rawBody(), eventChunks(event(1, chunkA), event(2, chunkB)))
			assert.Check(t, ok, name)
			assertErrorEvent(t, name, rest)
		}
	}
}

// assertErrorEvent checks that text is a chunk with an error event, and no more.
func assertErrorEvent(t *testing.T, name, text string) {
	t.Helper()
	_, data, _ := strings.Cut(text, "\r\n")
	data = strings.TrimSuffix(data, "\r\n")
	ok := strings.HasPrefix(data, `data: {"error":{"code":"`) && strings.Contains(data, `"outcome":"outcome-unknown"`) && strings.Count(data, "\n") == 2
	assert.Check(t, ok && text == eventChunks(data), "%s: %q", name, text)
	assert.Check(t, !strings.Contains(text, "error text"), "%s: %q", name, text)
}

// The rest of a stream may come from an engine, and then the stream is complete.
func TestRestOfBrokenStreamEndsIt(t *testing.T) {
	b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts = 2 })
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\n" + echoOf(id) + "Content-Type: text/event-stream\r\n" + chunked
	}
	b.startRawEngine(func(_ int, id, _ string) string {
		return head(id) + eventChunks(event(1, chunkA), event(2, chunkB)) + hangUp
	})
	b.startRawEngine(func(_ int, id, _ string) string {
		return head(id) + chunks(event(2, chunkB), ": note\n\n", event(3, chunkLast), event(4, "[DONE]"))
	})
	assert.Equal(t, b.rawBody(), chunks(event(1, chunkA), event(2, chunkB), event(3, chunkLast), event(4, "[DONE]")))
}

// The error event arrives before the connection breaks off, over both protocols.
func TestErrorEventArrivesBeforeStreamBreaksOff(t *testing.T) {
	for proto := 1; proto <= 2; proto++ {
		b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts = 1 })
		b.startRawEngine(func(_ int, id, _ string) string {
			return "HTTP/1.1 200 OK\r\n" + echoOf(id) + "Content-Type: text/event-stream\r\n" + chunked + eventChunks(event(1, chunkA)) + hangUp
		})
		var protocols http.Protocols
		protocols.SetHTTP1(proto == 1)
		protocols.SetUnencryptedHTTP2(proto == 2)
		client := http.Client{Transport: &http.Transport{Protocols: &protocols}}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.server.URL+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(chatBody, true, 4)))
		assert.NilError(t, err)
		request.Header = http.Header{"Authorization": {"Bearer " + b.token}, "Content-Type": {"application/json"}}
		response, err := client.Do(request)
		assert.NilError(t, err)
		assert.Equal(t, response.ProtoMajor, proto)
		text, err := io.ReadAll(response.Body)
		assert.Assert(t, err != nil, "HTTP/%d: %q looks complete", proto, text)
		assert.NilError(t, response.Body.Close())
		rest, ok := strings.CutPrefix(string(text), event(1, chunkA))
		assert.Assert(t, ok && strings.HasPrefix(rest, `data: {"error":{"code":"stream-broken"`) && strings.HasSuffix(rest, "\n\n"), "HTTP/%d: %q", proto, text)
		client.CloseIdleConnections()
	}
}
