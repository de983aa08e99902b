package firstwrite

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestBeginIsCalledOnceBeforeFirstWrite(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	calls := 0
	c := New(near, func() error { calls++; return nil })
	assert.Assert(t, !c.Begun())
	received := make(chan string)
	go func() {
		text, _ := io.ReadAll(far)
		received <- string(text)
	}()
	for _, text := range []string{"a", "b"} {
		_, err := io.WriteString(c, text)
		assert.NilError(t, err)
	}
	assert.Assert(t, c.Begun())
	assert.Equal(t, calls, 1)
	assert.NilError(t, c.Close())
	assert.Equal(t, <-received, "ab")
}

func TestNothingIsWrittenIfBeginFails(t *testing.T) {
	near, far := net.Pipe()
	refused := errors.New("refused")
	calls := 0
	c := New(near, func() error { calls++; return refused })
	for range 2 {
		_, err := io.WriteString(c, "a")
		assert.ErrorIs(t, err, refused)
	}
	assert.Equal(t, calls, 1)
	assert.ErrorIs(t, c.Err(), refused)
	assert.Assert(t, !c.Begun())
	assert.NilError(t, c.Close())
	text, err := io.ReadAll(far)
	assert.NilError(t, err)
	assert.Equal(t, len(text), 0)
}

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (near net.Conn, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	near, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = near.Close(); _ = accepted.Close() })
	return near, accepted.(*net.TCPConn)
}

// Guards against a response that was on the connection before the request: it can't be the answer, so nothing is sent. The
// same holds for a connection that has ended by then.
func TestNothingIsWrittenAfterPeerSpokeFirst(t *testing.T) {
	for name, first := range map[string]func(far *net.TCPConn) error{
		"bytes": func(far *net.TCPConn) error { _, err := io.WriteString(far, "HTTP/1.1 503 Full\r\n\r\n"); return err },
		"end":   func(far *net.TCPConn) error { return far.CloseWrite() },
		"reset": func(far *net.TCPConn) error {
			if err := far.SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		},
	} {
		near, far := connect(t)
		c := New(near, func() error { t.Errorf("%s: begun", name); return nil })
		read := make(chan error, 1)
		go func() { // as net/http does, whose reader waits before the request is written
			_, err := c.Read(make([]byte, 1))
			read <- err
		}()
		assert.NilError(t, first(far))
		for range 2 {
			_, err := io.WriteString(c, "GET")
			assert.Assert(t, errors.Is(err, ErrPeerFirst), "%s: %v", name, err)
		}
		assert.Assert(t, !c.Begun() && c.Err() == nil, name)
		assert.NilError(t, c.Close())
		<-read
	}
}

func TestReadWaitsForFirstWriteOrClose(t *testing.T) {
	near, far := connect(t)
	c := New(near, func() error { return nil })
	read := make(chan string, 1)
	go func() {
		b := make([]byte, 1)
		_, _ = c.Read(b)
		read <- string(b)
	}()
	_, err := io.WriteString(c, "a")
	assert.NilError(t, err)
	_, err = io.WriteString(far, "b")
	assert.NilError(t, err)
	assert.Equal(t, <-read, "b")

	near, _ = connect(t)
	c = New(near, func() error { return nil })
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}()
	assert.NilError(t, c.Close())
	assert.Assert(t, <-ended != nil)
}

// A request is given up while the path to its peer is cut. When the path is back, the peer must not get the request: nobody
// waits for it, and its permission to run may have ended. Once the peer has responded, the end of the connection is in order.
func TestRequestGivenUpIsNotDeliveredLater(t *testing.T) {
	for _, responds := range []bool{false, true} {
		near, far := connect(t)
		c := New(near, func() error { return nil })
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\n")
		assert.NilError(t, err)
		if responds {
			_, err := io.WriteString(far, "HTTP/1.1 200 OK\r\n")
			assert.NilError(t, err)
			_, err = c.Read(make([]byte, 100))
			assert.NilError(t, err)
		}
		assert.NilError(t, c.Close())
		_, err = io.Copy(io.Discard, far)
		if responds {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// A connection on which nothing was sent is closed in order.
func TestUnusedConnectionIsClosedInOrder(t *testing.T) {
	near, far := connect(t)
	assert.NilError(t, New(near, func() error { return nil }).Close())
	n, err := io.Copy(io.Discard, far)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(0))
}
