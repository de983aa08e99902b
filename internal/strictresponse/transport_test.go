package strictresponse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// startServer accepts connections and calls serve for each.
func startServer(t *testing.T, serve func(conn *net.TCPConn)) (address string) {
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
				serve(conn.(*net.TCPConn))
			})
		}
	})
	return l.Addr().String()
}

func newTestTransport(t *testing.T) *Transport {
	transport := New(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// post sends a body and reads the whole response.
func post(t *testing.T, transport *Transport, address string, body io.Reader) (string, error) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, body)
	assert.NilError(t, err)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	again, errAgain := response.Body.Read(make([]byte, 1))
	assert.Assert(t, again == 0 && errAgain != nil && (err == nil) == (errAgain == io.EOF), "reading again after %v: %v", err, errAgain)
	return string(text), err
}

const unframed = "HTTP/1.1 200 OK\r\n\r\nsome bytes"

// uploadBytes are more than the buffers of a connection hold.
const uploadBytes = 32 << 20

// Guards against the end of a connection that is taken for that of the body while the request is being written, and against
// waiting for a server that reads no more of the request.
func TestEndBeforeRequestIsWritten(t *testing.T) {
	release := make(chan struct{})
	address := startServer(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, unframed)
		_ = conn.CloseWrite()
		<-release
	})
	defer close(release)
	text, err := post(t, newTestTransport(t), address, strings.NewReader(strings.Repeat("x", uploadBytes)))
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%q, %v", text, err)
	text, err = post(t, newTestTransport(t), address, io.MultiReader(strings.NewReader("x"))) // in chunks
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%q, %v", text, err)
}

// A server may respond before it has read the request. Its response counts once all has been written, or if its own framing
// proves its end.
func TestResponseBeforeRequestIsRead(t *testing.T) {
	for response, readsAll := range map[string]bool{
		unframed: true,
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nsome bytes":                           false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nsome bytes\r\n0\r\n\r\n": false,
	} {
		address := startServer(t, func(conn *net.TCPConn) {
			reader := bufio.NewReader(conn)
			request, err := http.ReadRequest(reader)
			if err != nil {
				return // a probe
			}
			_, _ = io.WriteString(conn, response)
			if readsAll {
				_, _ = io.Copy(io.Discard, request.Body)
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_, _ = io.Copy(io.Discard, reader) // until the client closes
		})
		text, err := post(t, newTestTransport(t), address, strings.NewReader(strings.Repeat("x", uploadBytes)))
		assert.NilError(t, err, "%q", response)
		assert.Equal(t, text, "some bytes")
	}
}

// The same server ends with its connection, or goes on.
func TestConnectionOfEndedServer(t *testing.T) {
	for _, ends := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		done := make(chan struct{})
		go func() {
			defer close(done)
			conn, err := l.Accept()
			assert.Check(t, err)
			_, err = http.ReadRequest(bufio.NewReader(conn))
			assert.Check(t, err)
			if ends {
				_ = l.Close()
			}
			_, _ = io.WriteString(conn, unframed)
			_ = conn.Close()
		}()
		text, err := post(t, newTestTransport(t), l.Addr().String(), nil)
		assert.Equal(t, err == nil, !ends, "%q: %v", text, err)
		<-done
		_ = l.Close()
	}
}

// Each response on a kept connection is checked, and its request counted, on its own.
func TestKeptConnection(t *testing.T) {
	var mu sync.Mutex
	connections := 0
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
	address := startServer(t, func(conn *net.TCPConn) {
		mu.Lock()
		connections++
		mu.Unlock()
		reader := bufio.NewReader(conn)
		for _, response := range []string{sound + "a", sound + "\n", "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + sound + "c", "HTTP/1.1 200 OK\r\n\r\nd"} {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, response)
		}
	})
	transport := newTestTransport(t)
	for i, want := range []string{"a", "\n", "c", "d"} {
		text, err := post(t, transport, address, strings.NewReader(strings.Repeat("x", 5-i)))
		assert.NilError(t, err)
		assert.Equal(t, text, want)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, connections <= 2, "one for the requests, one for the probe")
}

// The end of a request is found however its bytes are written.
func TestRequestLength(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nA: \rb\r\nContent-Length: 6\r\n\r\n\r\n\r\nab"
	for size := 1; size <= len(request); size++ {
		r := requestLength{body: 6}
		for rest := request; rest != ""; {
			assert.Assert(t, !r.complete(), "%q is left", rest)
			n := min(size, len(rest))
			r.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		assert.Assert(t, r.complete())
	}
	unknown := requestLength{body: -1}
	unknown.add([]byte(request))
	assert.Assert(t, !unknown.complete())
}

// Guards against a limit that the transport lacks.
func TestHeadIsLimited(t *testing.T) {
	address := startServer(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1))
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = fmt.Fprintf(conn, "A: %s\r\n", strings.Repeat("x", 1000))
		}
	})
	_, err := post(t, newTestTransport(t), address, nil)
	assert.ErrorContains(t, err, "headers exceeded")
}
