package statemachine

import (
	"bytes"
	"io"
)

// buffer is a byte slice that implements io.Writer.
type buffer []byte

// Write appends p.
func (b *buffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

func newReader(p []byte) io.Reader { return bytes.NewReader(p) }
