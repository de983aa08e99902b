package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// pausingBody sends a text, pauses, and sends the rest unless ctx ends before.
type pausingBody struct {
	ctx   context.Context
	texts []string
	pause time.Duration
	read  int
}

func (b *pausingBody) Read(p []byte) (int, error) {
	if b.read == len(b.texts) {
		return 0, io.EOF
	}
	if b.read > 0 {
		select {
		case <-time.After(b.pause):
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	b.read++
	return copy(p, b.texts[b.read-1]), nil
}

func replyWithPauses(pause time.Duration, texts ...string) func(context.Context, Attempt) (*Reply, error) {
	return func(ctx context.Context, a Attempt) (*Reply, error) {
		a.OnSend()
		return &Reply{Status: 200, Header: http.Header{"Sign": {a.Address}}, Signed: true, Stream: true, Body: io.NopCloser(&pausingBody{ctx: ctx, texts: texts, pause: pause})}, nil
	}
}

func promptRequest() *Request {
	r := newRequest()
	r.Prompt = Prompt{Known: true, Model: "m", Tokens: 100, MaxOutput: 10}
	return r
}

// A server falls silent in the middle of streams, and new connections to it are not answered
// either. What may be resumed goes on elsewhere long before its deadline.
func TestStreamLeavesUnreachableServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name                   string
			resumable, unreachable bool
			body                   string
			took                   time.Duration
		}{
			{"unreachable", true, true, streamEvents(1, 4), probeAfter},
			{"slow but sound", true, false, streamEvents(1, 2) + streamEvents(3, 4), 900 * time.Millisecond},
			{"not resumable", false, true, streamEvents(1, 2) + streamEvents(3, 4), 900 * time.Millisecond},
		} {
			g, up := newGateway(t, setup{kind: fleet.Stream, resumable: c.resumable, attempts: 2, budget: 9, servers: servers{
				"a": replyWithPauses(900*time.Millisecond, streamEvents(1, 2), streamEvents(3, 4)), "b": reply(200, streamEvents(1, 4), true),
			}}, zap.NewNop())
			up.unreachable = map[string]bool{"a": c.unreachable}
			start, w := time.Now(), httptest.NewRecorder()
			assert.Assert(t, g.Serve(t.Context(), w, promptRequest()), c.name)
			assert.Equal(t, w.Body.String(), c.body, c.name)
			assert.Equal(t, time.Since(start), c.took, c.name)
			assert.Equal(t, len(g.silence.attempts), 0)
		}
	})
}

// A connection that can't be opened for one request tells of the silent streams of others.
func TestFailedConnectionMovesSilentStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failConnecting atomic.Bool
		silent := replyWithPauses(900*time.Millisecond, streamEvents(1, 2), streamEvents(3, 4))
		g, up := newGateway(t, setup{kind: fleet.Stream, resumable: true, attempts: 2, budget: 9, servers: servers{
			"a": func(ctx context.Context, a Attempt) (*Reply, error) {
				if failConnecting.Load() {
					return nil, errkind.Wrap(ErrUnreachable, errkind.EndpointFailed, "connect").WithOutcome(errkind.NotRun)
				}
				return silent(ctx, a)
			}, "b": reply(200, streamEvents(1, 4), true),
		}}, zap.NewNop())
		start := time.Now()
		done := make(chan time.Duration)
		go func() {
			g.Serve(t.Context(), httptest.NewRecorder(), promptRequest())
			done <- time.Since(start)
		}()
		time.Sleep(minSilence)
		failConnecting.Store(true)
		g.Serve(t.Context(), httptest.NewRecorder(), promptRequest())
		assert.Equal(t, <-done, minSilence)
		assert.Equal(t, len(up.sent), 4)
	})
}
