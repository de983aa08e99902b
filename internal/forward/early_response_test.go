package forward

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a part of a response that counts as the whole because its connection ended while the request was being
// written.
func TestResponseThatEndsDuringUploadIsNotWhole(t *testing.T) {
	const uploadBytes = 16 << 20 // more than the buffers of a connection hold
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done, release := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headerForwarded+": 1\r\n\r\nhalf")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-release
	}()
	defer func() { close(release); _ = l.Close(); <-done }()
	a := forwardAttempt()
	a.Request.Body = make([]byte, uploadBytes)
	reply, err := NewClient().SendToPeer(t.Context(), peerOf(t, l.Addr().String()), a)
	assert.NilError(t, err)
	body, err := io.ReadAll(reply.Body)
	assert.Assert(t, err != nil, "%q looks whole", body)
}
