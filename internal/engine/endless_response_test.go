package engine

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"eelgrasshollow/internal/crowd"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Guards against a form of bytes without end that a call takes for a response, or that it reads until its time is up.
func TestEndlessResponsesEnd(t *testing.T) {
	settings := testSettings()
	settings.PlainTimeout, settings.SilenceTimeout = time.Minute, time.Minute
	settings.MaxAnswer, settings.MaxEvent, settings.MaxHeader = 256<<10, 256<<10, 64<<10
	for _, response := range crowd.EndlessResponses(engineapi.HeaderRequestID + ": %s\r\n") {
		t.Run(response.Name, func(t *testing.T) {
			t.Parallel()
			faulty := &crowd.FaultyServer{IDHeader: engineapi.HeaderRequestID}
			server := httptest.NewServer(faulty)
			t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
			c := New(settings, nil, nil, zap.NewNop())
			t.Cleanup(c.Close)
			call := Call{Address: server.Listener.Addr().String(), ID: "id-1", Method: "POST", Path: "/x", Body: []byte("{}")}
			if response.Stream {
				faulty.Expect(response, 1)
				s, err := c.Stream(t.Context(), call, firstTimeout) // comments are no event
				if err != nil {
					return
				}
				defer s.Close()
				for err == nil {
					_, err = s.Next()
				}
				assert.Assert(t, err != io.EOF)
				return
			}
			for name, do := range map[string]func() (*Response, error){
				"do":   func() (*Response, error) { return c.Do(t.Context(), call, time.Minute) },
				"once": func() (*Response, error) { return c.DoOnce(t.Context(), call, allowBegin) },
			} {
				faulty.Expect(response, 1)
				answer, err := do()
				assert.Assert(t, err != nil, "%s: %+v", name, answer)
				assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown, name)
			}
		})
	}
}
