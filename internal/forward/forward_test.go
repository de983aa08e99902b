package forward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/gateway"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

type serveFunc = func(context.Context, http.ResponseWriter, *gateway.Request) bool

// peerOf returns the peer address that belongs to an address for forwarded requests.
func peerOf(t *testing.T, address string) string {
	host, text, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	port, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return net.JoinHostPort(host, strconv.Itoa(port-portOffset))
}

// helper starts a VM that serves forwarded requests, and returns its peer address.
func helper(t *testing.T, serve serveFunc, isolated bool, slots int) (*Handler, string) {
	h := NewHandler(serve, func() bool { return isolated }, slots, zap.NewNop())
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return h, peerOf(t, server.Listener.Addr().String())
}

func forwardAttempt() gateway.ForwardAttempt {
	return gateway.ForwardAttempt{
		Request: &gateway.Request{ID: "9c41", Method: "POST", Host: "h", RequestURI: "/x?y", Path: "/x", Header: http.Header{"X-Own": {"kept"}}, Body: []byte("body"), APIKey: "key",
			Prompt: gateway.Prompt{Known: true, Model: "m", Tokens: 7, Parts: []gateway.Part{{Name: "p", Tokens: 7}}}},
		TimeLeft: 3 * time.Second, LastEventID: "4", PriorRuns: 1, OnSend: func() {},
	}
}

// Guards against fields that are lost on the way, and against a second hop.
func TestRequestAndResponseArriveWhole(t *testing.T) {
	var got *gateway.Request
	_, peer := helper(t, func(_ context.Context, w http.ResponseWriter, r *gateway.Request) bool {
		got = r
		w.Header().Set("X-Response-Stamp", "s.1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "answer")
		return true
	}, false, 1)
	sends := 0
	a := forwardAttempt()
	a.OnSend = func() { sends++ }
	reply, err := NewClient().SendToPeer(t.Context(), peer, a)
	assert.NilError(t, err)
	body, err := io.ReadAll(reply.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "answer")
	assert.Equal(t, reply.Status, http.StatusCreated)
	assert.DeepEqual(t, reply.Header, http.Header{"X-Response-Stamp": {"s.1"}, "Content-Type": {"text/plain; charset=utf-8"}})
	assert.Equal(t, sends, 1)
	assert.Assert(t, got.Forwarded && got.PriorRuns == 1 && got.LastEventID == "4" && got.ClientTimeout == 3*time.Second && time.Since(got.Arrived) < time.Second)
	got.Arrived, got.ClientTimeout, got.Forwarded, got.PriorRuns, got.LastEventID = time.Time{}, 0, false, 0, ""
	assert.DeepEqual(t, got, a.Request)
	assert.Assert(t, !a.Request.Forwarded, "the request of the client is unchanged")
}

// Guards against events that are held back until the stream ends.
func TestEventsArriveOneByOne(t *testing.T) {
	received := make(chan struct{})
	_, peer := helper(t, func(_ context.Context, w http.ResponseWriter, _ *gateway.Request) bool {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\n\n")
		assert.NilError(t, http.NewResponseController(w).Flush())
		<-received
		_, _ = io.WriteString(w, "id: 2\n\n")
		return true
	}, false, 1)
	reply, err := NewClient().SendToPeer(t.Context(), peer, forwardAttempt())
	assert.NilError(t, err)
	assert.Assert(t, reply.Stream)
	r := bufio.NewReader(reply.Body)
	line, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "id: 1\n")
	close(received)
	rest, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "\nid: 2\n\n")
}

// Guards against requests that run twice because a helper's statement is misread, or that are lost
// because they are taken for run.
func TestOutcomes(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, dead.Close())
	abort := func(context.Context, http.ResponseWriter, *gateway.Request) bool { return false }
	refuse := func(kind string) serveFunc {
		return func(_ context.Context, w http.ResponseWriter, _ *gateway.Request) bool {
			w.Header().Set(gateway.HeaderNotRun, kind)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	_, isolated := helper(t, abort, true, 1)
	_, full := helper(t, abort, false, 0)
	_, aborting := helper(t, abort, false, 1)
	_, draining := helper(t, refuse("draining"), false, 1)
	_, limited := helper(t, refuse("rate-limited"), false, 1)
	_, lacking := helper(t, refuse("no-endpoint"), false, 1)
	older := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(older.Close)
	for name, c := range map[string]struct {
		peer    string
		kind    errkind.Kind
		outcome errkind.Outcome
		sent    bool
	}{
		"helper is gone before the first byte": {peerOf(t, dead.Addr().String()), errkind.EndpointFailed, errkind.NotRun, false},
		"helper dies after the first byte":     {aborting, errkind.EndpointFailed, errkind.Unknown, true},
		"helper is cut off too":                {isolated, errkind.NoEndpoint, errkind.NotRun, true},
		"helper is full":                       {full, errkind.Overloaded, errkind.NotRun, true},
		"helper is stopping":                   {draining, errkind.NoEndpoint, errkind.NotRun, true},
		"helper has no endpoint":               {lacking, errkind.NoEndpoint, errkind.NotRun, true},
		"helper is of an earlier build":        {peerOf(t, older.Listener.Addr().String()), errkind.NoEndpoint, errkind.NotRun, true},
	} {
		sent := false
		a := forwardAttempt()
		a.OnSend = func() { sent = true }
		_, err := NewClient().SendToPeer(t.Context(), c.peer, a)
		e := errkind.Of(err)
		assert.Assert(t, err != nil && e.Kind == c.kind && e.Outcome == c.outcome && sent == c.sent, "%s: %v, sent %v", name, err, sent)
		assert.Equal(t, errors.Is(err, gateway.ErrPeerLacksEndpoint), c.peer == lacking, name)
	}
	reply, err := NewClient().SendToPeer(t.Context(), limited, forwardAttempt())
	assert.NilError(t, err, "a refusal that every helper would give is for the client")
	assert.Assert(t, reply.NotRun)
}

// Guards against a truncated stream that looks complete.
func TestHelperDiesInsideStream(t *testing.T) {
	_, peer := helper(t, func(_ context.Context, w http.ResponseWriter, _ *gateway.Request) bool {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		return false
	}, false, 1)
	reply, err := NewClient().SendToPeer(t.Context(), peer, forwardAttempt())
	assert.NilError(t, err)
	text, err := io.ReadAll(reply.Body)
	assert.Equal(t, string(text), "id: 1\n\n")
	assert.Assert(t, err != nil)
}

// Guards against more concurrent requests of other VMs than a small VM can serve.
func TestBoundOfForwardedRequests(t *testing.T) {
	running, end := make(chan struct{}), make(chan struct{})
	h, peer := helper(t, func(_ context.Context, w http.ResponseWriter, _ *gateway.Request) bool {
		running <- struct{}{}
		<-end
		return true
	}, false, 2)
	results := make(chan error, 2)
	for range 2 {
		go func() {
			reply, err := NewClient().SendToPeer(t.Context(), peer, forwardAttempt())
			if err == nil {
				_ = reply.Body.Close()
			}
			results <- err
		}()
		<-running
	}
	assert.Equal(t, h.FreeSlots(), 0)
	a := forwardAttempt()
	a.Request.Body = bytes.Repeat([]byte("x"), 2<<20) // more than net/http reads after a response
	start := time.Now()
	_, err := NewClient().SendToPeer(t.Context(), peer, a)
	assert.Assert(t, errkind.Is(err, errkind.Overloaded), "%v", err)
	assert.Equal(t, errkind.Of(err).RetryAfter, retryAfterFull)
	assert.Assert(t, time.Since(start) < time.Second)
	close(end)
	assert.NilError(t, <-results)
	assert.NilError(t, <-results)
	for h.FreeSlots() != 2 {
		time.Sleep(time.Millisecond) // the handlers return after the responses
	}
	assert.Equal(t, Slots(0.1), 32)
	assert.Equal(t, Slots(0.48), 153)
}

// Guards against work for clients that have disconnected.
func TestCancellationReachesHelper(t *testing.T) {
	running, ended := make(chan struct{}), make(chan struct{})
	_, peer := helper(t, func(ctx context.Context, _ http.ResponseWriter, _ *gateway.Request) bool {
		close(running)
		<-ctx.Done()
		close(ended)
		return false
	}, false, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-running
		cancel()
	}()
	_, err := NewClient().SendToPeer(ctx, peer, forwardAttempt())
	assert.Assert(t, err != nil && errkind.Of(err).Outcome == errkind.Unknown)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the helper's work goes on")
	}
}

// Guards against builds that misread each other's requests during a rolling upgrade.
func TestOtherBuilds(t *testing.T) {
	_, peer := helper(t, func(context.Context, http.ResponseWriter, *gateway.Request) bool { return true }, false, 1)
	newer := NewClient()
	newer.version = Version + 1
	_, err := newer.SendToPeer(t.Context(), peer, forwardAttempt())
	assert.Assert(t, errkind.Is(err, errkind.NoEndpoint) && errkind.Of(err).Outcome == errkind.NotRun && strings.Contains(err.Error(), reasonVersion), "%v", err)

	// A build with an additional field and the same version is understood.
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	assert.NilError(t, encoder.Encode(preamble{Version}))
	assert.NilError(t, encoder.Encode(struct {
		Request  struct{ ID, Added string }
		TimeLeft time.Duration
		Extra    []int
	}{struct{ ID, Added string }{"9c41", "a"}, time.Second, []int{1}}))
	m, err := decode(&b)
	assert.NilError(t, err)
	assert.Equal(t, m.Request.ID, "9c41")
	assert.Equal(t, m.TimeLeft, time.Second)
	_, err = decode(strings.NewReader("no gob"))
	assert.Assert(t, err != nil)
}

// Guards against a helper VM that doesn't learn which configuration the forwarding VM has, and against a version that a
// request of a client already carries.
func TestConfigVersionArrives(t *testing.T) {
	var got int64
	_, peer := helper(t, func(_ context.Context, _ http.ResponseWriter, r *gateway.Request) bool {
		got = r.ConfigVersion
		return true
	}, false, 1)
	a := forwardAttempt()
	a.ConfigVersion, a.Request.ConfigVersion = 7, 1
	reply, err := NewClient().SendToPeer(t.Context(), peer, a)
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	assert.Equal(t, got, int64(7))
}
