package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/gateway"

	"gotest.tools/v3/assert"
)

// rawPeer is a process at another VM's address that writes the same bytes for each request, and keeps its connections or not.
func rawPeer(t *testing.T, keeps bool, response string) (peerAddress string, connections *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	connections = &atomic.Int32{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for more := true; more; more = keeps {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	return peerOf(t, l.Addr().String()), connections
}

// Guards against a response of another process, such as one that has got the address of a VM since, which is taken for the
// answer or the refusal of that VM.
func TestResponseThatIsNotOfAHandler(t *testing.T) {
	for name, head := range map[string]string{
		"answer":       "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n",
		"stream":       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
		"bad request":  "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\n",
		"overloaded":   "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n",
		"rate limited": "HTTP/1.1 429 Too Many Requests\r\n",
		"refusal":      "HTTP/1.1 503 Service Unavailable\r\n" + gateway.HeaderNotRun + ": draining\r\n",
		"protocol":     "HTTP/1.1 101 Switching Protocols\r\n" + headerForwarded + ": 1\r\n" + gateway.HeaderNotRun + ": draining\r\n",
	} {
		peer, _ := rawPeer(t, true, head+"Content-Length: 0\r\n\r\n")
		reply, err := NewClient().SendToPeer(t.Context(), peer, forwardAttempt())
		assert.Assert(t, reply == nil && errkind.Is(err, errkind.EndpointFailed) && errkind.Of(err).Outcome == errkind.Unknown, "%s: %+v, %v", name, reply, err)
	}
}

// A refusal that is written once more reaches nobody: each request has a connection of its own.
func TestForwardedRequestsShareNoConnection(t *testing.T) {
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerForwarded, gateway.HeaderNotRun, reasonFull)
	peer, connections := rawPeer(t, true, refusal+refusal)
	c := NewClient()
	const requests = 4
	for range requests {
		_, err := c.SendToPeer(t.Context(), peer, forwardAttempt())
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
	}
	assert.Equal(t, connections.Load(), int32(requests))
}
