package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Guards against a request in the namespace of an account that its key doesn't name any more, or of the pool although its
// key has become that of an isolated account: the configuration may change while the request waits for a server.
func TestRequestOfMovedKeySharesNothing(t *testing.T) {
	for _, c := range []struct {
		name, key string
		public    bool
		change    func(*fleet.Config)
		shared    bool
	}{
		{"key given to an isolated account", "key-beta", false, func(c *fleet.Config) { c.Accounts[0].Keys, c.Accounts[1].Keys = []string{"key-beta"}, nil }, false},
		{"key taken from an isolated account", "key-alpha", false, func(c *fleet.Config) { c.Accounts[0].Keys, c.Accounts[1].Keys = nil, []string{"key-alpha"} }, false},
		{"unknown key given to an isolated account", "new", true, func(c *fleet.Config) { c.Accounts[0].Keys = append(c.Accounts[0].Keys, "new") }, false},
		{"key withdrawn on a public route", "key-alpha", true, func(c *fleet.Config) { c.Accounts[0].Keys = nil }, false},
		{"nothing moved", "key-beta", false, func(*fleet.Config) {}, true},
		{"no key", "", true, func(*fleet.Config) {}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				view := func(version int64, change func(*fleet.Config)) *fleetview.View {
					config := sharingConfig(t, version, true)
					config.Routes[0].Public = c.public
					change(config)
					assert.NilError(t, config.Check())
					return fleetview.NewView(config, modelServer(fleet.Weights{Model: "m", Version: 1}))
				}
				g, up := newGateway(t, setup{servers: servers{"a": reply(http.StatusOK, "id: 1\ndata: x\n\n", true)}}, zap.NewNop())
				directory := &lateDirectory{view: view(1, func(*fleet.Config) {}), changed: make(chan struct{})}
				g.Directory = directory
				g.Router.(*fakeRouter).afterPick = func() { directory.set(view(2, c.change)) }
				r := newRequest()
				r.APIKey = c.key
				r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
				g.Serve(t.Context(), httptest.NewRecorder(), r)
				assert.Equal(t, len(up.sent), 1)
				assert.Equal(t, up.sent[0].Cache.Shared(), c.shared, "namespace %q", saltOf(up.sent[0]))
			})
		})
	}
}
