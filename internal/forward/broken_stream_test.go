package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"
	"eelgrasshollow/internal/gateway"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// isolatedReach is the reach of a VM that is cut off from all servers and may use the helpers in turn.
type isolatedReach struct{ helpers []string }

func (isolatedReach) Answered(string, time.Duration) {}
func (isolatedReach) Failed(string, string)          {}
func (isolatedReach) Silent(string, string)          {}
func (isolatedReach) Direct(float64) bool            { return false }
func (isolatedReach) Doubtful() bool                 { return true }
func (isolatedReach) Unusable(string, bool)          {}

func (r isolatedReach) Helper(_ context.Context, tried []string) (string, bool) {
	if len(tried) >= len(r.helpers) {
		return "", false
	}
	return r.helpers[len(tried)], true
}

type fixedDirectory struct{ view *fleetview.View }

func (d fixedDirectory) View() *fleetview.View                         { return d.view }
func (fixedDirectory) Age() time.Duration                              { return 0 }
func (d fixedDirectory) ViewWithAge() (*fleetview.View, time.Duration) { return d.view, 0 }
func (fixedDirectory) Changed() <-chan struct{}                        { return nil }

// noServers is the upstream of a VM that reaches no server.
type noServers struct{}

func (noServers) Send(context.Context, gateway.Attempt) (*gateway.Reply, error) {
	return nil, errkind.New(errkind.EndpointFailed, "unreachable").WithOutcome(errkind.NotRun)
}
func (noServers) Probe(context.Context, string) error { return gateway.ErrUnreachable }

// startIsolated serves clients of a VM that forwards all requests to the helpers.
func startIsolated(t *testing.T, helpers ...string) (address string) {
	t.Helper()
	config := &fleet.Config{Version: 1, Services: []*fleet.Service{{Name: "s"}}, Routes: []*fleet.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Kind: fleet.Stream, Resumable: true, Timeout: 5 * time.Second, MaxAttempts: len(helpers),
		Split: []fleet.Share{{Service: "s", Weight: 1}},
	}}}
	assert.NilError(t, config.Check())
	g := gateway.New(gateway.Deps{
		Directory: fixedDirectory{&fleetview.View{Config: config, Servers: []fleet.Server{{ID: "a"}}}}, Metrics: gateway.NewMetrics(prometheus.NewRegistry()),
		Retries: gateway.NewRetryBudgets(gateway.RetryLimits{Share: 1, Burst: 10, VMs: func() (int, bool) { return 1, true }}), Closing: func() bool { return false },
		Upstream: noServers{}, Forwarding: &gateway.Forwarding{Reach: isolatedReach{helpers}, Peers: NewClient()}, Log: zap.NewNop(),
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := &gateway.Request{ID: "9c41", Method: r.Method, Host: "h", RequestURI: "/x", Path: "/x", Header: http.Header{}, Arrived: time.Now()}
		if !g.Serve(r.Context(), w, request) {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// rawResponse returns the bytes of a response until its connection ends.
func rawResponse(t *testing.T, address string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	text, err := io.ReadAll(conn)
	assert.Assert(t, err == nil || strings.Contains(err.Error(), "reset"), "%v", err)
	return string(text)
}

// streams returns a serve function that writes an event stream, and then ends it or breaks off.
func streams(complete bool, events ...string) serveFunc {
	return func(_ context.Context, w http.ResponseWriter, _ *gateway.Request) bool {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for _, e := range events {
			_, _ = io.WriteString(w, e)
			_ = http.NewResponseController(w).Flush()
		}
		return complete
	}
}

func responds(status int, header ...string) serveFunc {
	return func(_ context.Context, w http.ResponseWriter, _ *gateway.Request) bool {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "error text\n\n")
		return true
	}
}

const (
	event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	marked                 = headerForwarded + ": 1\r\n"
)

func eventChunks(events ...string) string {
	var text strings.Builder
	for _, e := range events {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(e), e)
	}
	return text.String()
}

// A stream that a helper relays breaks off, and the next helper refuses, fails or answers with something else. The client
// must see its events and a connection that ends without the last chunk.
func TestNothingFollowsBrokenForwardedStream(t *testing.T) {
	newHelper := func(serve serveFunc) func() string {
		return func() string { _, peer := helper(t, serve, false, 1); return peer }
	}
	raw := func(response string) func() string {
		return func() string { peer, _ := rawPeer(t, false, response); return peer }
	}
	event := "Content-Type"
	for name, next := range map[string]func() string{
		"cut off too":           func() string { _, peer := helper(t, responds(200), true, 1); return peer },
		"full":                  func() string { _, peer := helper(t, responds(200), false, 0); return peer },
		"stopping":              newHelper(responds(503, gateway.HeaderNotRun, "draining")),
		"over the rate":         newHelper(responds(429, gateway.HeaderNotRun, "rate-limited")),
		"no endpoint":           newHelper(responds(503, gateway.HeaderNotRun, "no-endpoint")),
		"quarantined":           newHelper(responds(503, gateway.HeaderNotRun, "quarantined")),
		"unknown key":           newHelper(responds(401, gateway.HeaderNotRun, "unauthenticated")),
		"failed":                newHelper(responds(502)),
		"late":                  newHelper(responds(504)),
		"server's failure":      newHelper(responds(500, "X-Response-Stamp", "s")),
		"no statement":          newHelper(responds(503)),
		"no stream":             newHelper(responds(200)),
		"refusal with a stream": newHelper(responds(503, event, "text/event-stream", gateway.HeaderNotRun, "overloaded")),
		"stream of text":        newHelper(responds(200, event, "text/event-stream")),
		"stream of a comment":   newHelper(streams(true, ": error text\n\n")),
		"stream without IDs":    newHelper(streams(true, "data: error text\n\n")),
		"stream with a gap":     newHelper(streams(true, "id: 4\ndata: error text\n\n")),
		"empty stream":          newHelper(streams(true)),
		"broken, nothing sent":  newHelper(streams(false)),
		"broken inside event":   newHelper(streams(false, "id: 3\ndata: err")),
		"aborted":               newHelper(func(context.Context, http.ResponseWriter, *gateway.Request) bool { return false }),
		"garbage":               raw("\x00error text\r\n\r\n"),
		"half a head":           raw("HTTP/1.1 200 OK\r\n" + marked + "Content-T"),
		"half a body":           raw("HTTP/1.1 200 OK\r\n" + marked + "Content-Type: text/event-stream\r\nContent-Length: 90\r\n\r\nid: 3\nd"),
		"another process":       raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 24\r\n\r\nid: 3\ndata: error text\n\n"),
		"older build":           raw("HTTP/1.1 404 Not Found\r\nContent-Length: 10\r\n\r\nerror text"),
	} {
		for _, cut := range []string{"", "id: 3\ndata: c"} {
			first := newHelper(streams(false, event1, event2, cut))()
			response := rawResponse(t, startIsolated(t, first, next()))
			head, body, _ := strings.Cut(response, "\r\n\r\n")
			assert.Check(t, strings.HasPrefix(head, "HTTP/1.1 200 OK\r\n") && strings.Contains(head, "Transfer-Encoding: chunked"), "%s: %q", name, response)
			assert.Check(t, body == eventChunks(event1, event2), "%s: %q", name, body)
		}
	}
	first, rest := newHelper(streams(false, event1, event2))(), newHelper(streams(true, event3))()
	_, body, _ := strings.Cut(rawResponse(t, startIsolated(t, first, rest)), "\r\n\r\n")
	assert.Equal(t, body, eventChunks(event1, event2, event3)+"0\r\n\r\n")
}
