package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/membudget"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const firstTimeout = 2 * time.Second

func testSettings() Settings {
	return Settings{
		ConnectTimeout: time.Second, SilenceTimeout: 200 * time.Millisecond, AckTimeout: time.Second,
		IdleTimeout: time.Second, PlainTimeout: 300 * time.Millisecond, MaxEvent: 1 << 10, MaxAnswer: 1 << 10, MaxHeader: 4 << 10,
		IdleConnections: 4, RequireEcho: true,
	}
}

// startEndpoint starts an HTTP server that echoes the request ID and calls handle. It returns a
// client and a call to the server.
func startEndpoint(t *testing.T, handle http.HandlerFunc) (*Client, Call) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
		_, _ = io.Copy(io.Discard, r.Body)
		handle(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return New(testSettings(), nil, nil, zap.NewNop()), Call{Address: s.Listener.Addr().String(), ID: "id-1", Method: "POST", Path: "/x", Body: []byte("{}")}
}

// testLease returns a lease that is never refused.
func testLease() *membudget.Lease { return membudget.New(1<<30, "test").Lease(0) }

func allowBegin() error { return nil }

func TestDoOnceCallsBeginBeforeFirstByte(t *testing.T) {
	var calls atomic.Int32
	c, call := startEndpoint(t, func(http.ResponseWriter, *http.Request) { calls.Add(1) })
	refusal := errkind.New(errkind.Stale, "claim has expired")
	_, err := c.DoOnce(t.Context(), call, func() error { return refusal })
	assert.Equal(t, errkind.Of(err), refusal)
	assert.Equal(t, calls.Load(), int32(0))
	_, err = c.DoOnce(t.Context(), call, allowBegin)
	assert.NilError(t, err)
	assert.Equal(t, calls.Load(), int32(1))
}

// The end of its connection doesn't say whether a response without a length is whole, if the endpoint
// has ended with it.
func TestUnframedResponseOfCrashedEndpointIsNotComplete(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		var s *httptest.Server
		s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.NilError(t, err)
			if crashes {
				_ = s.Listener.Close()
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nsome bytes", engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
			_ = conn.Close()
		}))
		c, call := New(testSettings(), nil, nil, zap.NewNop()), Call{Address: s.Listener.Addr().String(), ID: "id-1", Method: "POST", Path: "/x"}
		response, err := c.DoOnce(t.Context(), call, allowBegin)
		if crashes {
			assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown)
			assert.Assert(t, errors.Is(err, errkind.ErrBroken))
		} else {
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "some bytes")
			response, err = c.Do(t.Context(), call, time.Second)
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "some bytes")
		}
		s.Close()
	}
}

func TestDoOnceDoesNotResend(t *testing.T) {
	var calls atomic.Int32
	c, call := startEndpoint(t, func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	})
	call.Header = http.Header{engineapi.HeaderIdempotencyKey: {"k"}}
	call.Body = nil
	_, err := c.DoOnce(t.Context(), call, allowBegin)
	assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown)
	assert.Equal(t, calls.Load(), int32(1))
}

func TestUnreachableEndpointHasOutcomeNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	c := New(testSettings(), nil, nil, zap.NewNop())
	call := Call{Address: address, ID: "i", Method: "GET", Path: "/"}
	_, err = c.Do(t.Context(), call, time.Second)
	assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
	_, err = c.DoOnce(t.Context(), call, allowBegin)
	assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
}

func TestUnresponsiveEndpointTimesOutEveryCall(t *testing.T) {
	release := make(chan struct{})
	c, call := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/begun" {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte("data: 1\n\n"))
			_ = http.NewResponseController(w).Flush()
		}
		<-release
	})
	t.Cleanup(func() { close(release) })
	assertUnresponsive := func(err error) {
		t.Helper()
		assert.Assert(t, errors.Is(err, errUnresponsive), "%v", err)
		assert.Equal(t, errkind.Of(err).Kind, errkind.EndpointFailed)
	}
	_, err := c.Do(t.Context(), call, 100*time.Millisecond)
	assertUnresponsive(err)
	_, err = c.DoOnce(t.Context(), call, allowBegin)
	assertUnresponsive(err)
	_, err = c.Stream(t.Context(), call, firstTimeout)
	assertUnresponsive(err)
	call.Path = "/begun"
	s, err := c.Stream(t.Context(), call, firstTimeout)
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.NilError(t, err)
	s.ResetTimeout()
	_, err = s.Next()
	assertUnresponsive(err)
}

func TestResponseOfAnotherRequestIsRejected(t *testing.T) {
	c, call := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engineapi.HeaderRequestID, "another")
		w.Header().Set("Content-Type", "text/event-stream")
	})
	_, err := c.Do(t.Context(), call, time.Second)
	assert.Assert(t, errkind.Is(err, errkind.EndpointFailed))
	_, err = c.DoOnce(t.Context(), call, allowBegin)
	assert.Assert(t, errkind.Is(err, errkind.EndpointFailed))
	_, err = c.Stream(t.Context(), call, firstTimeout)
	assert.Assert(t, errkind.Is(err, errkind.EndpointFailed))
}

func TestCanceledStreamClosesConnection(t *testing.T) {
	requestEnded := make(chan struct{})
	c, call := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("data: 1\n\n"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(requestEnded)
	})
	ctx, cancel := context.WithCancel(t.Context())
	s, err := c.Stream(ctx, call, firstTimeout)
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.NilError(t, err)
	cancel()
	<-requestEnded
	_, err = s.Next()
	assert.Assert(t, errkind.Is(err, errkind.Canceled), "%v", err)
}

func TestEventReaderLimitsAndTruncation(t *testing.T) {
	r := NewEventReader(strings.NewReader(": note\r\n\r\nid: 3\r\nevent: e\r\ndata: a\r\ndata:b\r\n\r\ndata: "+strings.Repeat("x", 2000)+"\n\n"), 1000, testLease())
	e, err := r.Next()
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(e.ID, e.Type, string(e.Data)), "3ea\nb")
	_, err = r.Next()
	assert.Assert(t, errkind.Is(err, errkind.StreamBroken))
	_, err = NewEventReader(strings.NewReader("data: cut"), 1000, testLease()).Next()
	assert.Equal(t, err, io.ErrUnexpectedEOF)
}

func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: {}\n\n", "data: a\ndata: b\n\n", ":\n\n", "data: [DONE]\n\n", "id: 99999999999999999999\r\ndata\r\n\r\n", "\xff\x00\n\ndata:", strings.Repeat("data: x\n", 100)} {
		f.Add([]byte(seed))
	}
	const limit = 256
	f.Fuzz(func(t *testing.T, input []byte) {
		r := NewEventReader(strings.NewReader(string(input)), limit, testLease())
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			if len(e.Data) > limit || e.ID < 0 {
				t.Fatalf("event out of bounds: %d bytes, ID %d", len(e.Data), e.ID)
			}
		}
	})
}

// An engine sends bytes now and then, but never a whole event. That is silence: the stream
// ends after the longest time between two events.
func TestDrippingStreamEnds(t *testing.T) {
	c, call := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for text := "data: first\n\ndata: "; r.Context().Err() == nil; text = "x" {
			_, _ = io.WriteString(w, text)
			w.(http.Flusher).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	stream, err := c.Stream(t.Context(), call, firstTimeout)
	assert.NilError(t, err)
	defer stream.Close()
	_, err = stream.Next()
	assert.NilError(t, err)
	stream.ResetTimeout()
	_, err = stream.Next()
	assert.Assert(t, errors.Is(err, errUnresponsive), "%v", err)
}

func TestUnknownResponseHeaderIsCounted(t *testing.T) {
	c, call := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
		w.Header().Set(engineapi.HeaderLimit, "3")
		if r.URL.Path != "/known" {
			w.Header().Set("X-Slow-Down", "1")
		}
	})
	for _, path := range []string{"/known", "/whole", "/stream", "/once"} {
		call.Path = path
		switch path {
		case "/stream":
			stream, err := c.Stream(t.Context(), call, time.Second)
			assert.NilError(t, err)
			stream.Close()
		case "/once":
			_, err := c.DoOnce(t.Context(), call, allowBegin)
			assert.NilError(t, err)
		default:
			_, err := c.Do(t.Context(), call, time.Second)
			assert.NilError(t, err)
		}
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(c.Collectors()...)
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Equal(t, families[0].GetMetric()[0].GetCounter().GetValue(), 3.0)
}
