package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/standin"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"
)

// readEvents returns the data of the events of a stream, and checks that their IDs continue
// without gaps after from.
func readEvents(t *testing.T, body string, from int) []string {
	t.Helper()
	r := engine.NewEventReader(strings.NewReader(body), 1<<20, membudget.New(1<<30, "test").Lease(0))
	var list []string
	for {
		e, err := r.Next()
		if err != nil {
			return list
		}
		if e.ID > 0 {
			from++
			assert.Equal(t, e.ID, from)
		}
		list = append(list, string(e.Data))
	}
}

// contentOf joins the contents of a stream's chunks.
func contentOf(t *testing.T, list []string) string {
	t.Helper()
	var text strings.Builder
	for _, data := range list {
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if data == "[DONE]" {
			continue
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &c), data)
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String()
}

func TestOpenAIClient(t *testing.T) {
	b := newTestFront(t, nil)
	b.addEngine(time.Millisecond)
	client := openai.NewClient(option.WithBaseURL(b.server.URL+"/v1"), option.WithAPIKey(b.token))
	params := openai.ChatCompletionNewParams{
		Model: "quote", MaxTokens: openai.Int(8),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("tagliatelle")},
	}
	whole, err := client.Chat.Completions.New(t.Context(), params)
	assert.NilError(t, err)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		assert.Assert(t, accumulated.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, accumulated.Choices[0].Message.Content, whole.Choices[0].Message.Content)
	assert.Equal(t, whole.Usage.CompletionTokens, int64(8))
	assert.Equal(t, b.limiter.used, 2*whole.Usage.TotalTokens)
	models, err := client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, "quote")
}

func TestRefusalsHaveOutcomeNotRun(t *testing.T) {
	b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxBody = 1 << 10 })
	b.addEngine(0)
	b.addPlain()
	chat := fmt.Sprintf(chatBody, false, 4)
	for _, c := range []struct {
		name, method, path, body string
		header                   []string
		kind                     errkind.Kind
	}{
		{"no key", "POST", "/v1/chat/completions", chat, []string{"Authorization", ""}, errkind.Unauthenticated},
		{"wrong key", "POST", "/v1/chat/completions", chat, []string{"Authorization", "Bearer eg_1_2"}, errkind.Unauthenticated},
		{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, nil, errkind.InvalidRequest},
		{"invalid UTF-8", "POST", "/v1/chat/completions", "{\"model\":\"\xff\"}", nil, errkind.InvalidRequest},
		{"content type", "POST", "/v1/chat/completions", chat, []string{"Content-Type", "text/plain"}, errkind.InvalidRequest},
		{"unknown model", "POST", "/v1/chat/completions", strings.Replace(chat, "quote", "none", 1), nil, errkind.NotFound},
		{"reserved field", "POST", "/v1/chat/completions", strings.Replace(chat, "{", `{"Cache_Salt":"00",`, 1), nil, errkind.InvalidRequest},
		{"oversized", "POST", "/v1/chat/completions", strings.Repeat(" ", 2<<10) + chat, nil, errkind.TooLarge},
		{"key in body", "POST", "/stock", b.token, nil, errkind.InvalidRequest},
		{"unknown path", "GET", "/nowhere", "", nil, errkind.NotFound},
		{"unclean path", "GET", "/stock/../orders", "", nil, errkind.InvalidRequest},
		{"no request ID", "POST", "/orders", "{}", nil, errkind.MissingRequestID},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, body := b.do(c.method, c.path, c.body, c.header...)
			assertRefused(t, response, body, c.kind, errkind.NotRun)
		})
	}
	b.limiter.reserveErr = errkind.New(errkind.RateLimited, "over").WithRetryAfter(1500 * time.Millisecond)
	response, body := b.do("POST", "/v1/chat/completions", chat)
	assertRefused(t, response, body, errkind.RateLimited, errkind.NotRun)
	assert.Equal(t, response.Header.Get("Retry-After"), "2")
	b.directory.set(b.directory.View(), errkind.New(errkind.Stale, "too old"))
	response, body = b.do("POST", "/v1/chat/completions", chat)
	assertRefused(t, response, body, errkind.Stale, errkind.NotRun)
	assert.Equal(t, len(b.router.requests), 0)
}

func TestStreamResumesOnAnotherEngine(t *testing.T) {
	b := newTestFront(t, nil)
	first := b.addEngine(time.Millisecond)
	b.addEngine(time.Millisecond)
	_, want := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 20))
	b.injectFault(first, standin.Fault{Kind: standin.FaultCutStream, Count: 1, AfterTokens: 7})
	_, got := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 20))
	list := readEvents(t, got, 0)
	assert.Equal(t, list[len(list)-1], "[DONE]")
	assert.Equal(t, contentOf(t, list), contentOf(t, readEvents(t, want, 0)))
	assert.Equal(t, len(b.router.results), 3)
}

func TestFaultyEngineResponsesAreNotRelayed(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for _, kind := range []string{standin.FaultEmpty, standin.FaultCrossed, standin.FaultCutStream} {
			t.Run(fmt.Sprintf("%s/%v", kind, stream), func(t *testing.T) {
				b := newTestFront(t, nil)
				first := b.addEngine(0)
				body := fmt.Sprintf(chatBody, stream, 5)
				b.injectFault(first, standin.Fault{Kind: kind})
				response, text := b.do("POST", "/v1/chat/completions", body)
				assertRefused(t, response, text, errkind.EndpointFailed, errkind.Unknown)
				b.addEngine(0)
				response, text = b.do("POST", "/v1/chat/completions", body)
				assert.Equal(t, response.StatusCode, 200, text)
				assert.Assert(t, strings.Contains(text, `"finish_reason":"length"`))
			})
		}
	}
}

func TestStreamEndsWithErrorAfterMaxAttempts(t *testing.T) {
	b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts = 3 })
	first := b.addEngine(0)
	b.injectFault(first, standin.Fault{Kind: standin.FaultCutStream, AfterTokens: 3})
	_, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 100))
	list := readEvents(t, text, 0)
	assert.Equal(t, len(list), 3*3+1)
	assert.Assert(t, strings.Contains(list[9], `"code":"stream-broken"`), list[9])
	assert.Assert(t, strings.Contains(list[9], `"outcome":"outcome-unknown"`), list[9])
}

func TestStreamResumesOnOnlyEngine(t *testing.T) {
	b := newTestFront(t, nil)
	first := b.addEngine(0)
	b.injectFault(first, standin.Fault{Kind: standin.FaultCutStream, Count: 1, AfterTokens: 3})
	_, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 10))
	list := readEvents(t, text, 0)
	assert.Equal(t, len(list), 12)
	assert.Equal(t, list[11], "[DONE]")
}

// addSlowToCancel starts a stand-in engine at which a cancellation takes effect only after the
// next attempt has started, or after 200 ms if there is none.
func (b *testFront) addSlowToCancel(tokenTime time.Duration) *httptest.Server {
	e := standin.NewEngine(engineConfig(tokenTime)).Handler()
	next := make(chan struct{}, 8)
	var started atomic.Bool
	return b.addHandler("engine", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/v1/chat/") && started.CompareAndSwap(false, true):
		case strings.HasPrefix(r.URL.Path, "/v1/chat/"):
			next <- struct{}{}
		case r.Method == http.MethodDelete:
			select {
			case <-next:
				time.Sleep(20 * time.Millisecond)
			case <-time.After(200 * time.Millisecond):
			}
		}
		e.ServeHTTP(w, r)
	}))
}

func TestCancellationDoesNotEndNextAttempt(t *testing.T) {
	b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts = 2 })
	e := b.addSlowToCancel(5 * time.Millisecond)
	b.injectFault(e, standin.Fault{Kind: standin.FaultCutStream, Count: 1, AfterTokens: 3})
	_, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 40))
	list := readEvents(t, text, 0)
	assert.Equal(t, len(list), 42)
	assert.Equal(t, list[41], "[DONE]")
}

func TestSilentEngineTimesOut(t *testing.T) {
	b := newTestFront(t, func(_ *Settings, e *engine.Settings) {
		e.FirstByteTimeout, e.SilenceTimeout = 2*time.Second, 2*time.Second
	})
	first := b.addEngine(0)
	b.addEngine(0)
	b.injectFault(first, standin.Fault{Kind: standin.FaultSilent})
	_, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 5))
	list := readEvents(t, text, 0)
	assert.Equal(t, list[len(list)-1], "[DONE]")
}

func TestWithdrawnKeyEndsOpenStream(t *testing.T) {
	b := newTestFront(t, nil)
	b.addEngine(20 * time.Millisecond)
	done := make(chan string)
	go func() {
		_, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 1000))
		done <- text
	}()
	for len(b.front.open.list()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	b.change(func(c *pb.Configuration) { c.Keys[0].Withdrawn = true })
	list := readEvents(t, <-done, 0)
	assert.Assert(t, strings.Contains(list[len(list)-1], `"code":"unauthenticated"`), list[len(list)-1])
	assert.Assert(t, strings.Contains(list[len(list)-1], `"outcome":"outcome-unknown"`))
}

func TestStaleVMEndsOpenStreamsAfterStaleGrace(t *testing.T) {
	b := newTestFront(t, func(s *Settings, _ *engine.Settings) {
		s.StaleGrace, s.KeyRecheckInterval = 400*time.Millisecond, 20*time.Millisecond
	})
	b.addEngine(20 * time.Millisecond)
	type response struct {
		text string
		took time.Duration
	}
	done := make(chan response)
	start := time.Now()
	go func() {
		_, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 1000))
		done <- response{text, time.Since(start)}
	}()
	for len(b.front.open.list()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	b.directory.set(b.directory.View(), errkind.New(errkind.Stale, "too old"))
	refusal, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 4))
	assertRefused(t, refusal, text, errkind.Stale, errkind.NotRun)
	a := <-done
	list := readEvents(t, a.text, 0)
	assert.Assert(t, strings.Contains(list[len(list)-1], `"code":"stale"`), list[len(list)-1])
	assert.Assert(t, a.took >= b.front.settings.StaleGrace)
}

func TestClientResumesStreamAtAnotherVM(t *testing.T) {
	b := newTestFront(t, nil)
	first := b.addEngine(0)
	body := fmt.Sprintf(chatBody, true, 10)
	response, whole := b.do("POST", "/v1/chat/completions", body)
	want := readEvents(t, whole, 0)
	_, rest := b.do("POST", "/v1/chat/completions", body, "Last-Event-ID", "4")
	assert.Equal(t, contentOf(t, readEvents(t, rest, 4)), contentOf(t, want[4:]))
	name := response.Header.Get(HeaderStream)
	_, rest = b.do("GET", "/v1/streams/"+name, "", "Last-Event-ID", "6")
	assert.Equal(t, contentOf(t, readEvents(t, rest, 6)), contentOf(t, want[6:]))
	forged, text := b.do("GET", "/v1/streams/x"+name, "")
	assertRefused(t, forged, text, errkind.NotFound, errkind.NotRun)
	b.injectFault(first, standin.Fault{Kind: standin.FaultCrash})
	lost, text := b.do("GET", "/v1/streams/"+name, "", "Last-Event-ID", "6")
	assertRefused(t, lost, text, errkind.StreamBroken, errkind.Unknown)
}

func TestAPIKeyNeverReachesEndpointLogOrError(t *testing.T) {
	b := newTestFront(t, nil)
	e := b.addEngine(0)
	p := b.addPlain()
	var responses bytes.Buffer
	for _, body := range []string{fmt.Sprintf(chatBody, true, 3), fmt.Sprintf(chatBody, false, 3), `{"model":`, `"` + b.token + `"`} {
		_, text := b.do("POST", "/v1/chat/completions", body)
		responses.WriteString(text)
		_, text = b.do("POST", "/stock/a", body, "Cookie", b.token, "X-Api-Key", b.token)
		responses.WriteString(text)
		_, text = b.do("POST", "/orders/a", body, "Idempotency-Key", "id-"+body[:3])
		responses.WriteString(text)
		_, text = b.do("GET", "/stock?key="+b.token, "")
		responses.WriteString(text)
	}
	secret := strings.Split(b.token, "_")[2]
	assert.Assert(t, !strings.Contains(responses.String(), secret))
	assert.Assert(t, b.logs.Len() > 0)
	for _, entry := range b.logs.All() {
		line := fmt.Sprint(entry.Message, entry.ContextMap())
		assert.Assert(t, !strings.Contains(line, secret), line)
	}
	for _, s := range []string{e.URL, p.URL} {
		stats := httpGet(t, s+"/admin/stats")
		assert.Assert(t, strings.Contains(stats, `"saw_secret":false`), stats)
	}
}

// rollingRouter returns the previous weights version for the first calls of SelectVersion, as routing
// does while endpoint reports lag behind a rollout.
type rollingRouter struct {
	*fakeRouter
	calls atomic.Int32
}

func (r *rollingRouter) SelectVersion(_, target string, _ uint64) string {
	if r.calls.Add(1) < 4 {
		return "v0"
	}
	return target
}

// Engines already run the new weights version while routing still returns the previous one. The
// request must not fail, even with more mismatches than MaxAttempts.
func TestRequestIsRetriedWhileWeightsRollOut(t *testing.T) {
	b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.MaxAttempts = 2 })
	b.addEngine(0)
	b.addEngine(0)
	b.front.router = &rollingRouter{fakeRouter: b.router}
	response, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, false, 4))
	assert.Equal(t, response.StatusCode, 200, text)
	last := b.router.requests[len(b.router.requests)-1]
	assert.Equal(t, last.Version, "v1")
	assert.Assert(t, last.Seed != b.router.requests[0].Seed)
}
