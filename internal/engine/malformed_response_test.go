package engine

import (
	"net/http"
	"testing"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// malformedHeads are heads that are not valid HTTP/1, without their end.
var malformedHeads = map[string]string{
	"status 000":                      "HTTP/1.1 000 Broken\r\n",
	"status 999":                      "HTTP/1.1 999 Broken\r\n",
	"status of two digits":            "HTTP/1.1 20 Broken\r\n",
	"control byte in a name":          "HTTP/1.1 200 OK\r\nX-Bro\x01ken: a\r\n",
	"blank in a name":                 "HTTP/1.1 200 OK\r\nX Broken: a\r\n",
	"blank before a later name":       "HTTP/1.1 200 OK\r\nX-A: a\r\n X-Broken: a\r\n",
	"blank before the length's colon": "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
	"coding of HTTP/1.0":              "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"blank in an informational head":  "HTTP/1.1 103 Early Hints\r\nX Broken: a\r\n\r\nHTTP/1.1 200 OK\r\n",
	"other protocol":                  "HTTP/1.1 101 Switching Protocols\r\n",
}

// Guards against a malformed response that a call returns, on a connection of its own or as a later response on a kept one.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	kept, single := testSettings(), testSettings()
	kept.IdleTimeout, single.IdleTimeout = time.Second, 0
	for name, head := range malformedHeads {
		for mode, settings := range map[string]Settings{"kept": kept, "single": single} {
			t.Run(name+", "+mode, func(t *testing.T) {
				before := 0
				address := keptEndpoint(t, func(r *http.Request, _ string) string {
					id := r.Header.Get(engineapi.HeaderRequestID)
					if before--; before >= 0 {
						return headWithID(http.StatusOK, id)
					}
					return head + engineapi.HeaderRequestID + ": " + id + "\r\nContent-Length: 2\r\n\r\n{}"
				})
				c := New(settings, nil, nil, zap.NewNop())
				t.Cleanup(c.Close)
				call := Call{Address: address, ID: "id-1", Method: "POST", Path: "/x", Body: []byte("{}")}
				for earlier := range 2 {
					before = earlier
					for range earlier {
						_, err := c.Do(t.Context(), call, time.Second)
						assert.NilError(t, err)
					}
					response, err := c.Do(t.Context(), call, time.Second)
					assert.Assert(t, err != nil, "%+v", response)
					assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown)

					before = earlier
					for range earlier {
						_, err := c.Load(t.Context(), address)
						assert.NilError(t, err)
					}
					_, err = c.Load(t.Context(), address)
					assert.Assert(t, err != nil, "a load report")
				}
				_, err := c.DoOnce(t.Context(), call, allowBegin)
				assert.Assert(t, err != nil)
				assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown)
				_, err = c.Stream(t.Context(), call, firstTimeout)
				assert.Assert(t, err != nil, "a stream")
				assert.Assert(t, c.Events(t.Context(), address, 0, func(engineapi.Event) error { return nil }) != nil, "cache events")
			})
		}
	}
}

// Guards against a body that looks whole although its trailer is malformed.
func TestMalformedTrailerIsNoEnd(t *testing.T) {
	address := keptEndpoint(t, func(r *http.Request, _ string) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + engineapi.HeaderRequestID + ": id-1\r\n\r\n2\r\n{}\r\n0\r\nX Broken: a\r\n\r\n"
	})
	c := New(testSettings(), nil, nil, zap.NewNop())
	t.Cleanup(c.Close)
	call := Call{Address: address, ID: "id-1", Method: "POST", Path: "/x", Body: []byte("{}")}
	_, err := c.Do(t.Context(), call, time.Second)
	assert.Assert(t, err != nil)
	_, err = c.DoOnce(t.Context(), call, allowBegin)
	assert.Assert(t, err != nil)
}
