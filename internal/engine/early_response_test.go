package engine

import (
	"io"
	"net"
	"testing"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Guards against a part of a response that counts as the whole because its connection ended while the request was being
// written, without having been read by the endpoint.
func TestResponseThatEndsDuringUploadIsNotWhole(t *testing.T) {
	const uploadBytes = 16 << 20 // more than the buffers of a connection hold
	const head = "HTTP/1.1 200 OK\r\n" + engineapi.HeaderRequestID + ": id-1\r\n"
	for name, end := range map[string]func(conn *net.TCPConn){
		"end":   func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(time.Second) },
		"reset": func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
	} {
		for _, contentType := range []string{"", "Content-Type: text/event-stream\r\n"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = conn.Close() }()
						if _, err := conn.Read(make([]byte, 1)); err == nil {
							_, _ = io.WriteString(conn, head+contentType+"\r\ndata: some bytes\n\n")
							end(conn.(*net.TCPConn))
						}
					}()
				}
			}()
			c := New(testSettings(), nil, nil, zap.NewNop())
			t.Cleanup(c.Close)
			call := Call{Address: l.Addr().String(), ID: "id-1", Method: "POST", Path: "/x", Body: make([]byte, uploadBytes)}
			response, err := c.Do(t.Context(), call, 2*time.Second)
			assert.Assert(t, err != nil && errkind.Of(err).Outcome == errkind.Unknown, "%s: %+v, %v", name, response, err)
			response, err = c.DoOnce(t.Context(), call, allowBegin)
			assert.Assert(t, err != nil && errkind.Of(err).Outcome == errkind.Unknown, "%s: %+v, %v", name, response, err)
			s, err := c.Stream(t.Context(), call, firstTimeout)
			for err == nil && s.Response == nil {
				_, err = s.Next()
			}
			assert.Assert(t, err != nil && err != io.EOF, "%s: the stream ended with %v", name, err)
		}
	}
}
