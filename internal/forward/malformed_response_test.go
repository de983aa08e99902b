package forward

import (
	"io"
	"testing"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/gateway"

	"gotest.tools/v3/assert"
)

// Guards against a malformed response of a process at another VM's address that is taken for the answer of that VM, or for
// its statement that the request has not run.
func TestMalformedHeadOfOtherVMIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 Broken\r\n",
		"status 999":             "HTTP/1.1 999 Broken\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX-Bro\x01ken: a\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Broken: a\r\n",
		"blank before a name":    "HTTP/1.1 200 OK\r\nX-A: a\r\n X-Broken: a\r\n",
		"blank before a colon":   "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
	} {
		for _, statement := range []string{"", gateway.HeaderNotRun + ": full\r\n"} {
			reply, err := NewClient().SendToPeer(t.Context(), cutHelper(t, head+headerForwarded+": 1\r\n"+statement+"Content-Length: 2\r\n\r\nOK"), forwardAttempt())
			assert.Assert(t, err != nil, "%s: %+v", name, reply)
			assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown, name)
		}
	}
	trailer := "HTTP/1.1 200 OK\r\n" + headerForwarded + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nOK\r\n0\r\nX Broken: a\r\n\r\n"
	reply, err := NewClient().SendToPeer(t.Context(), cutHelper(t, trailer), forwardAttempt())
	assert.NilError(t, err)
	_, err = io.ReadAll(reply.Body)
	assert.Assert(t, err != nil, "a malformed trailer")
}
