package gateway

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"

	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"

	"gotest.tools/v3/assert"
)

// Guards against a dry run that explains a request under another cache namespace, or with other weights, than those of a
// send.
func TestDryRunHasNamespaceOfSend(t *testing.T) {
	known := fleet.Weights{Model: "m", Version: 3}
	for _, c := range []struct {
		name, account, key string
		public             bool
		weights            []fleet.Weights
	}{
		{"isolated account", "alpha", "key-alpha", false, []fleet.Weights{known}},
		{"account in the pool", "beta", "key-beta", false, []fleet.Weights{known}},
		{"key of an isolated account on a public route", "alpha", "key-alpha", true, []fleet.Weights{known}},
		{"no key on a public route", "", "", true, []fleet.Weights{known}},
		{"unknown weights", "alpha", "key-alpha", false, nil},
		{"weights of another model", "alpha", "key-alpha", false, []fleet.Weights{{Model: "n", Version: 3}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, router, _, up := newDryGateway(t)
				config := sharingConfig(t, 1, true)
				config.Routes[0].Public = c.public
				server := modelServer(c.weights...)
				view := fleetview.NewView(config, server)
				g.Directory = fakeDirectory{view: view}
				router.placement.Endpoint = server.Key()
				r := newRequest()
				r.APIKey = c.key
				r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
				g.Serve(t.Context(), httptest.NewRecorder(), r)
				assert.Equal(t, len(up.sent), 1)
				version := ""
				if w := up.sent[0].Weights; w > 0 {
					version = strconv.FormatInt(w, 10)
				}
				query := dryrun.Query{Route: "r", Model: "m", PromptTokens: 2100, MaxOutput: 10, Parts: []dryrun.Part{{Name: "p", Tokens: 2000}, {Name: "own", Tokens: 100}}}
				queries := []dryrun.Query{query, query}
				queries[0].Key, queries[1].Account = c.key, c.account
				for _, q := range queries {
					e, err := g.DryRun(q)
					assert.NilError(t, err)
					assert.Equal(t, router.explained.Seed, router.picked.Seed)
					assert.DeepEqual(t, router.explained.Chain, router.picked.Chain)
					assert.Equal(t, e.Version, version)
				}
			})
		})
	}
}
