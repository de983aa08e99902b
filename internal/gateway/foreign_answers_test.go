package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Guards against a refusal that is written once more after a resend: the resend has the same ID and the same server, but
// names no weights, so a refusal because of the weights answers the first send. The server may be running the request.
func TestRefusalOfFirstSendIsNoAnswerToResend(t *testing.T) {
	refuseWeights := func(_ context.Context, a Attempt) (*Reply, error) {
		a.OnSend()
		return &Reply{Status: http.StatusMisdirectedRequest, NotRun: true, WrongWeights: true, Body: http.NoBody}, nil
	}
	otherServer := func(ctx context.Context, a Attempt) (*Reply, error) {
		if a.Weights > 0 {
			return refuseWeights(ctx, a)
		}
		a.OnSend()
		return &Reply{Status: http.StatusMisdirectedRequest, NotRun: true, WrongServer: true, Body: http.NoBody}, nil
	}
	for name, c := range map[string]struct {
		first  func(context.Context, Attempt) (*Reply, error)
		status int
		sends  int
	}{
		"the same refusal again":          {refuseWeights, http.StatusBadGateway, 2},
		"another server took the address": {otherServer, http.StatusOK, 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			view := fleetview.NewView(sharingConfig(t, 1, false), modelServer(fleet.Weights{Model: "m", Version: 1}))
			g, up := newGateway(t, setup{budget: 9, servers: servers{"a": c.first, "b": reply(http.StatusOK, "id: 1\ndata: x\n\n", true)}}, zap.NewNop())
			g.Directory = fakeDirectory{view: view}
			r, w := newRequest(), httptest.NewRecorder()
			r.APIKey = "key-beta"
			r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
			g.Serve(t.Context(), w, r)
			assert.Equal(t, len(up.sent), c.sends, name)
			assert.Equal(t, w.Code, c.status, name)
		})
	}
}

// Guards against a server's header that a VM takes for the statement of another VM which forwarded the request.
func TestServersDoNotSpeakForHelpers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, stream := range []bool{false, true} {
			posing := func(ctx context.Context, a Attempt) (*Reply, error) {
				r, err := reply(http.StatusOK, "id: 1\ndata: x\n\n", stream)(ctx, a)
				r.Header[HeaderNotRun] = []string{"overloaded"}
				return r, err
			}
			g, _ := newGateway(t, setup{kind: fleet.Stream, servers: servers{"a": posing}}, zap.NewNop())
			r, w := newRequest(), httptest.NewRecorder()
			r.Forwarded = true
			assert.Assert(t, g.Serve(t.Context(), w, r))
			assert.Equal(t, w.Header().Get(HeaderNotRun), "")
			assert.Equal(t, w.Header().Get("Sign"), "a")
		}
	})
}

// Clients take some statuses for "not run". A helper that answers with one of them without that statement has not made it.
func TestHelperStatusThatPromisesNotRunNeedsStatement(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, states := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				g, _ := newGateway(t, setup{kind: fleet.NonIdempotent}, zap.NewNop())
				answer := func(ctx context.Context, a ForwardAttempt) (*Reply, error) {
					r, err := helperReplies(status, "x", false)(ctx, a)
					r.NotRun = states
					return r, err
				}
				f := &fakeForwarding{isolated: true, helpers: []string{"p"}, replies: peers{"p": answer}}
				g.Forwarding = &Forwarding{f, f}
				w := httptest.NewRecorder()
				assert.Assert(t, g.Serve(t.Context(), w, newRequest()))
				want := http.StatusBadGateway
				if states {
					want = status
				}
				assert.Equal(t, w.Code, want, "status %d", status)
			})
		}
	}
}
