package membudget

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// BufferCost is the memory of a byte that is read into a buffer that grows: it is copied meanwhile.
	BufferCost = 2
	// firstReadBytes is the size of the buffer with which ReadAll begins.
	firstReadBytes = 4 << 10
)

// Errors of Lease.ReadAll.
var (
	ErrTooLarge  = errors.New("more bytes than the limit")
	ErrExhausted = errors.New("no memory for the rest")
)

// ReadAll reads at most limit bytes up to the end of r, in memory of the lease. The buffer grows as bytes arrive, whatever
// was announced. The error is ErrTooLarge, ErrExhausted or that of r.
func (l *Lease) ReadAll(r io.Reader, limit int) ([]byte, error) {
	buffer := make([]byte, 0, min(firstReadBytes, limit+1))
	for {
		if len(buffer) == cap(buffer) {
			size := min(2*cap(buffer), limit+1)
			if !l.Resize(BufferCost * int64(size)) {
				return nil, ErrExhausted
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
