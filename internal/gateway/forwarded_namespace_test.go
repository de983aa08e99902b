package gateway

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Guards against a forwarded request of an isolated account that shares KV cache because the VM which sends it has an
// older configuration, in which the account isn't isolated yet.
func TestForwardedRequestSharesNothingUnderOlderConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := func(version int64, alphaIsolated bool) *fleetview.View {
			return fleetview.NewView(sharingConfig(t, version, alphaIsolated), modelServer(fleet.Weights{Model: "m", Version: 1}))
		}
		older, newer := view(1, false), view(2, true)
		forwarded := func(at *fleetview.View, key string, version int64) Attempt {
			sent := sendPrompt(t, at, key, func(r *Request) { r.Forwarded, r.ConfigVersion = true, version })
			assert.Equal(t, len(sent), 1)
			return sent[0]
		}
		direct := func(at *fleetview.View, key string) string { return saltOf(sendPrompt(t, at, key, nil)[0]) }

		ofAlpha := forwarded(older, "key-alpha", 2)
		assert.Assert(t, !ofAlpha.Cache.Shared(), "alpha is isolated at the VM that forwards, and uses the namespace %q of the accounts that are not", saltOf(ofAlpha))
		assert.Equal(t, ofAlpha.ImportFrom+ofAlpha.SaveTo, "")
		assert.Equal(t, ofAlpha.Weights, int64(1), "the server still checks its weights")
		assert.Assert(t, !forwarded(older, "key-beta", 2).Cache.Shared(), "beta's prompt would stay in a namespace that alpha has used")

		assert.Equal(t, saltOf(forwarded(newer, "key-alpha", 1)), direct(newer, "key-alpha"), "the newer configuration decides")
		assert.Equal(t, saltOf(forwarded(newer, "key-alpha", 2)), direct(newer, "key-alpha"))
		assert.Equal(t, saltOf(forwarded(older, "key-beta", 0)), direct(older, "key-beta"), "a VM of an earlier version names no configuration")
	})
}

// Guards against a VM that forwards without telling its configuration, so that the other VM can't compare.
func TestForwardingTellsConfigurationVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGateway(t, setup{}, zap.NewNop())
		g.Directory = fakeDirectory{view: fleetview.NewView(sharingConfig(t, 7, true), modelServer(fleet.Weights{Model: "m", Version: 1}))}
		f := &fakeForwarding{isolated: true, helpers: []string{"p"}, replies: peers{"p": helperReplies(200, "id: 1\ndata: x\n\n", true)}}
		g.Forwarding = &Forwarding{f, f}
		r := newRequest()
		r.APIKey = "key-alpha"
		assert.Assert(t, g.Serve(t.Context(), httptest.NewRecorder(), r))
		assert.Equal(t, len(f.sent), 1)
		assert.Equal(t, f.sent[0].ConfigVersion, int64(7))
	})
}
