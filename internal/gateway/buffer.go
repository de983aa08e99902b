package gateway

import (
	"io"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/membudget"
)

const (
	// maxBufferedBytes limits the bodies of all responses that are buffered before they are
	// relayed, beyond the first unsharedBytes of each, unless Deps.Memory sets another limit.
	maxBufferedBytes = 16 << 20
	// unsharedBytes of each body are not counted, so that large bodies never keep small ones from
	// being relayed. It is also the size of the chunks in which the rest is read.
	unsharedBytes = 64 << 10
)

// bodyBuffers limits the memory of buffered bodies. It is safe for concurrent use.
type bodyBuffers struct{ space *membudget.Budget }

// bufferedBody is a body, or what was read of it.
type bufferedBody struct {
	chunks [][]byte
	lease  *membudget.Lease // includes unsharedBytes
}

// read reads a whole body. The result must be released, also after an error.
func (b *bodyBuffers) read(r io.Reader) (*bufferedBody, error) {
	body := &bufferedBody{lease: b.space.Lease(unsharedBytes)}
	chunk, err := io.ReadAll(io.LimitReader(r, unsharedBytes))
	for {
		body.chunks = append(body.chunks, chunk)
		if err != nil || len(chunk) < unsharedBytes {
			return body, err
		}
		if size := body.size(); !body.lease.Resize(int64(size + unsharedBytes)) {
			return body, errkind.New(errkind.EndpointFailed, "no space to buffer more than %d bytes of the response", size)
		}
		chunk, err = io.ReadAll(io.LimitReader(r, unsharedBytes))
	}
}

// size returns the length of the body in bytes.
func (b *bufferedBody) size() int {
	n := 0
	for _, chunk := range b.chunks {
		n += len(chunk)
	}
	return n
}

// release gives the body's space back.
func (b *bufferedBody) release() {
	b.chunks = nil
	b.lease.Release()
}
