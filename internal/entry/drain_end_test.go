package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/errkind"

	"gotest.tools/v3/assert"
)

// At the end of a planned stop, requests that engines and services have not answered yet must get a response that does not promise
// anything, instead of a connection that ends (reported by operators of a similar system).
func TestEndOfDrainAnswersOpenRequests(t *testing.T) {
	for name, call := range map[string]func(b *testFront) (*http.Response, string){
		"whole response": func(b *testFront) (*http.Response, string) {
			return b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, false, 4))
		},
		"call that runs once": func(b *testFront) (*http.Response, string) {
			return b.do("POST", "/orders", `{}`, "Idempotency-Key", "order-1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestFront(t, func(s *Settings, e *engine.Settings) {
				s.LookupTTL, s.StreamGrace, s.MaxAttempts = 10*time.Millisecond, 100*time.Millisecond, 1
				e.PlainTimeout = time.Minute
			})
			release := make(chan struct{})
			hold := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
			b.addHandler("engine", hold)
			b.addHandler("plain", hold)
			t.Cleanup(func() { close(release) })
			type answer struct {
				response *http.Response
				text     string
			}
			answered := make(chan answer, 1)
			go func() {
				response, text := call(b)
				answered <- answer{response, text}
			}()
			for len(b.front.open.list()) == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond) // the request is at its engine or service
			assert.NilError(t, b.front.Drain(context.Background()))
			a := <-answered
			assert.Equal(t, a.response.Header.Get(errkind.OutcomeHeader), string(errkind.Unknown), a.text)
			assert.Equal(t, a.response.StatusCode, http.StatusBadGateway, a.text)
		})
	}
}
