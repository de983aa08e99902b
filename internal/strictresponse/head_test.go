package strictresponse

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// checkIn checks a response that arrives in parts of at most size bytes.
func checkIn(size int, response string) error {
	var h head
	for len(response) > 0 {
		n := min(size, len(response))
		if _, err := h.check([]byte(response[:n])); err != nil {
			return err
		}
		response = response[n:]
	}
	return nil
}

// Guards against a check that depends on how the bytes of a response arrive, or that rejects sound responses.
func TestHeadCheck(t *testing.T) {
	long := strings.Repeat("x", 10*checkedBytes)
	for response, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na b: c\r\n":                                         true, // the body may hold anything
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", maxFields) + "\r\n":                           true,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", maxFields+1):                                  false,
		"HTTP/1.1 103 X\r\n" + strings.Repeat("A: b\r\n", maxFields) + "\r\nHTTP/1.1 200 OK\r\nA: b\r\n": false,
		"HTTP/1.1 200\r\n\r\n":          true,
		"HTTP/1.0 200 OK\nA: b\n\nbody": true,
		"HTTP/1.1 599 \r\n!#$%&'*+-.^_`|~09azAZ:\r\nA: " + long + "\r\n\r\n":             true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n": true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                 true,
		"HTTP/0.9 200 OK\r\n":                                 false,
		"HTTP/2.0 200 OK\r\n":                                 false,
		"HTTP/1.1 000 X\r\n":                                  false,
		"HTTP/1.1 099 X\r\n":                                  false,
		"HTTP/1.1 600 X\r\n":                                  false,
		"HTTP/1.1 999 X\r\n":                                  false,
		"HTTP/1.1 +20 X\r\n":                                  false,
		"HTTP/1.1 20 X\r\n":                                   false,
		"HTTP/1.1 2000 X\r\n":                                 false,
		"HTTP/1.1  200 X\r\n":                                 false,
		"HTTP/1.1 101 X\r\n":                                  false,
		"HTTP/1.1\r\n":                                        false,
		"\r\n":                                                false,
		"HTTP/1.1 200 OK\r\nA : b\r\n":                        false,
		"HTTP/1.1 200 OK\r\nA b: c\r\n":                       false,
		"HTTP/1.1 200 OK\r\nA\tb: c\r\n":                      false,
		"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n":                false,
		"HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n":                  false,
		"HTTP/1.1 200 OK\r\nA\x00: b\r\n":                     false,
		"HTTP/1.1 200 OK\r\nA\x7f: b\r\n":                     false,
		"HTTP/1.1 200 OK\r\nA\u00e4: b\r\n":                   false,
		"HTTP/1.1 200 OK\r\nA\r: b\r\n":                       false,
		"HTTP/1.1 200 OK\r\n: b\r\n":                          false,
		"HTTP/1.1 200 OK\r\nA\r\n":                            false,
		"HTTP/1.1 200 OK\r\n" + long + ": b\r\n":              false,
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n":   false,
		"HTTP/1.1 103 X\r\nA b: c\r\n":                        false,
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nA b: c\r\n": false,
	} {
		for _, size := range []int{1, 3, len(response)} {
			err := checkIn(size, response)
			assert.Equal(t, err == nil, sound, "%q in parts of %d bytes: %v", response, size, err)
			assert.Assert(t, sound || errors.Is(err, ErrMalformed))
		}
	}
}
