package firstwrite

import (
	"errors"
	"io"
	"net"
	"testing"

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
