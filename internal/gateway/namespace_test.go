package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// sharingConfig returns a configuration with the client accounts alpha and beta, of which alpha may be isolated.
func sharingConfig(t testing.TB, version int64, alphaIsolated bool) *fleet.Config {
	c := &fleet.Config{
		Version: version, Services: []*fleet.Service{{Name: "s", Engine: &fleet.Engine{CacheTokens: 1 << 20}}},
		Accounts: []*fleet.Account{{Name: "alpha", Keys: []string{"key-alpha"}, Isolated: alphaIsolated}, {Name: "beta", Keys: []string{"key-beta"}}},
		Routes: []*fleet.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: fleet.Stream, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 1,
			Split: []fleet.Share{{Service: "s", Weight: 1}},
		}},
	}
	assert.NilError(t, c.Check())
	return c
}

// modelServer returns the server a with version 1 of the model m, or without weights.
func modelServer(weights ...fleet.Weights) fleet.Server {
	return fleet.Server{ID: "a", Service: "s", Address: "a", Weights: weights}
}

// sendPrompt serves a request of the key's client account with the parts p and own, and returns its attempts.
func sendPrompt(t testing.TB, view *fleetview.View, key string, change func(*Request)) []Attempt {
	g, up := newGateway(t, setup{servers: servers{"a": reply(http.StatusOK, "id: 1\ndata: x\n\n", true)}}, zap.NewNop())
	g.Directory = fakeDirectory{view: view}
	r := newRequest()
	r.APIKey = key
	r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
	if change != nil {
		change(r)
	}
	w := httptest.NewRecorder()
	assert.Assert(t, g.Serve(context.Background(), w, r), "%d %s", w.Code, w.Body)
	return up.sent
}

// saltOf returns the cache namespace that the server of an attempt gets.
func saltOf(a Attempt) string { return a.Cache.Salt() }

// An attempt whose server's weights are not known must not use the namespace that all requests without one share.
func TestAttemptWithoutKnownWeightsSharesNoNamespace(t *testing.T) {
	for name, view := range map[string]func() *fleetview.View{
		"entry without weights": func() *fleetview.View {
			return fleetview.NewView(sharingConfig(t, 1, true), modelServer())
		},
		"server not listed": func() *fleetview.View {
			return fleetview.NewView(sharingConfig(t, 1, true), fleet.Server{ID: "b", Service: "s", Address: "b"})
		},
		"other model": func() *fleetview.View {
			return fleetview.NewView(sharingConfig(t, 1, true), modelServer(fleet.Weights{Model: "n", Version: 1}))
		},
		"version zero": func() *fleetview.View {
			return fleetview.NewView(sharingConfig(t, 1, true), modelServer(fleet.Weights{Model: "m", Version: 0}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				seen := map[string]bool{}
				for _, key := range []string{"key-alpha", "key-beta", "key-beta"} {
					for _, a := range sendPrompt(t, view(), key, nil) {
						assert.Assert(t, saltOf(a) != "", "an attempt has no namespace")
						assert.Assert(t, !seen[saltOf(a)], "two requests share the namespace %q of a server with unknown weights", saltOf(a))
						seen[saltOf(a)] = true
						assert.Equal(t, a.ImportFrom+a.SaveTo, "")
					}
				}
			})
		})
	}
}

// A request that names a model or prompt parts, but no token counts, may be cached by servers like any other.
func TestPromptWithoutTokenCountsSharesNoNamespace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := map[string]bool{}
		for _, key := range []string{"key-alpha", "key-beta"} {
			view := fleetview.NewView(sharingConfig(t, 1, true), modelServer(fleet.Weights{Model: "m", Version: 1}))
			for _, a := range sendPrompt(t, view, key, func(r *Request) { r.Prompt.Known = false }) {
				assert.Assert(t, saltOf(a) != "" && !seen[saltOf(a)], "namespace %q", saltOf(a))
				seen[saltOf(a)] = true
			}
		}
	})
}

// Clients choose request IDs, so an ID must not become a namespace: it could be that of another account.
func TestNamespaceOfResendIsNotChosenByClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := fleetview.NewView(sharingConfig(t, 1, true), modelServer(fleet.Weights{Model: "m", Version: 1}))
		ofAlpha := saltOf(sendPrompt(t, view, "key-alpha", nil)[0])
		otherWeights := func(ctx context.Context, a Attempt) (*Reply, error) {
			if a.Weights > 0 {
				a.OnSend()
				return &Reply{Status: http.StatusMisdirectedRequest, NotRun: true, WrongWeights: true, Body: http.NoBody}, nil
			}
			return reply(http.StatusOK, "id: 1\ndata: x\n\n", true)(ctx, a)
		}
		g, up := newGateway(t, setup{budget: 9, servers: servers{"a": otherWeights}}, zap.NewNop())
		g.Directory = fakeDirectory{view: view}
		r := newRequest()
		r.ID, r.APIKey = ofAlpha, "key-beta"
		r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
		g.Serve(t.Context(), httptest.NewRecorder(), r)
		assert.Equal(t, len(up.sent), 2)
		for _, a := range up.sent {
			assert.Assert(t, saltOf(a) != ofAlpha && saltOf(a) != "", "beta's request uses the namespace %q", saltOf(a))
		}
	})
}

// What an account made before it became isolated must not be used for others, nor what others made for it.
func TestAccountThatBecomesIsolatedLeavesNothingShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := fleet.Weights{Model: "m", Version: 1}
		salt := func(version int64, isolated bool, key string) string {
			return saltOf(sendPrompt(t, fleetview.NewView(sharingConfig(t, version, isolated), modelServer(weights)), key, nil)[0])
		}
		before := salt(1, false, "key-alpha")
		assert.Equal(t, salt(1, false, "key-beta"), before, "accounts that are not isolated share a namespace")
		after := salt(2, true, "key-beta")
		assert.Assert(t, after != before, "beta still uses what alpha made before it became isolated")
		assert.Assert(t, salt(2, true, "key-alpha") != before && salt(2, true, "key-alpha") != after)
		assert.Equal(t, salt(3, true, "key-beta"), after, "a change that isolates nobody keeps the namespace")
	})
}

// A request that waited while its account became isolated must not be sent with the namespace of before.
func TestRequestThatWaitedUsesNamespaceOfPresentConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := fleet.Weights{Model: "m", Version: 1}
		before := fleetview.NewView(sharingConfig(t, 1, false), modelServer(weights))
		after := fleetview.NewView(sharingConfig(t, 2, true), modelServer(weights))
		for _, key := range []string{"key-alpha", "key-beta"} {
			g, up := newGateway(t, setup{servers: servers{"a": reply(http.StatusOK, "id: 1\ndata: x\n\n", true)}}, zap.NewNop())
			directory := &lateDirectory{view: before, changed: make(chan struct{})}
			g.Directory = directory
			g.Router.(*fakeRouter).afterPick = func() { directory.set(after) }
			r := newRequest()
			r.APIKey = key
			r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
			g.Serve(t.Context(), httptest.NewRecorder(), r)
			assert.Equal(t, saltOf(up.sent[0]), saltOf(sendPrompt(t, after, key, nil)[0]), key)
		}
	})
}

// A public route asks for no key; a key of an isolated account that comes with a request still isolates it.
func TestKeyOfIsolatedAccountIsolatesOnPublicRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := sharingConfig(t, 1, true)
		config.Routes[0].Public = true
		view := fleetview.NewView(config, modelServer(fleet.Weights{Model: "m", Version: 1}))
		ofAlpha, ofNobody := sendPrompt(t, view, "key-alpha", nil)[0], sendPrompt(t, view, "", nil)[0]
		assert.Assert(t, saltOf(ofAlpha) != saltOf(ofNobody))
		assert.Equal(t, ofAlpha.Account, "", "the route has no account")
	})
}

// A key may become that of an isolated account while its request waits. The request must not use the namespace of the
// accounts that are not isolated.
func TestKeyThatBecomesOneOfIsolatedAccountSharesNoNamespace(t *testing.T) {
	for name, change := range map[string]func(before *fleet.Config){
		"account unknown before, public route": func(c *fleet.Config) { c.Accounts, c.Routes[0].Public = c.Accounts[1:], true },
		"no accounts before":                   func(c *fleet.Config) { c.Accounts = nil },
		"key of another account before": func(c *fleet.Config) {
			c.Accounts = []*fleet.Account{{Name: "beta", Keys: []string{"key-beta", "key-alpha"}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				weights := fleet.Weights{Model: "m", Version: 1}
				config := sharingConfig(t, 1, false)
				change(config)
				assert.NilError(t, config.Check())
				after := fleetview.NewView(sharingConfig(t, 2, true), modelServer(weights))
				g, up := newGateway(t, setup{servers: servers{"a": reply(http.StatusOK, "id: 1\ndata: x\n\n", true)}}, zap.NewNop())
				directory := &lateDirectory{view: fleetview.NewView(config, modelServer(weights)), changed: make(chan struct{})}
				g.Directory = directory
				g.Router.(*fakeRouter).afterPick = func() { directory.set(after) }
				r := newRequest()
				r.APIKey = "key-alpha"
				r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
				g.Serve(t.Context(), httptest.NewRecorder(), r)
				assert.Equal(t, len(up.sent), 1)
				assert.Assert(t, saltOf(up.sent[0]) != saltOf(sendPrompt(t, after, "key-beta", nil)[0]), "the key's request shares a namespace with beta")
			})
		})
	}
}

// An account may become isolated while the connection to the server is opened. The request must not be sent with the
// namespace of before, and must be served all the same.
func TestAccountThatBecomesIsolatedWhileConnecting(t *testing.T) {
	for _, key := range []string{"key-alpha", "key-beta"} {
		synctest.Test(t, func(t *testing.T) {
			weights := fleet.Weights{Model: "m", Version: 1}
			after := fleetview.NewView(sharingConfig(t, 2, true), modelServer(weights))
			directory := &lateDirectory{view: fleetview.NewView(sharingConfig(t, 1, false), modelServer(weights)), changed: make(chan struct{})}
			var ran []string
			g, up := newGateway(t, setup{servers: servers{"a": func(ctx context.Context, a Attempt) (*Reply, error) {
				ran = append(ran, saltOf(a))
				return reply(http.StatusOK, "id: 1\ndata: x\n\n", true)(ctx, a)
			}}}, zap.NewNop())
			g.Directory = directory
			up.beforeSend = func() {
				if directory.View() != after {
					directory.set(after)
				}
			}
			r := newRequest()
			r.APIKey = key
			r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
			w := httptest.NewRecorder()
			assert.Assert(t, g.Serve(t.Context(), w, r))
			assert.Equal(t, w.Code, http.StatusOK)
			assert.DeepEqual(t, ran, []string{saltOf(sendPrompt(t, after, key, nil)[0])})
		})
	}
}

// A VM that is cut off from control may not know that an account has become isolated. Once its configuration has not been
// confirmed for the bound, it must use nothing that the accounts share: other VMs isolate the account by then.
func TestVMThatLearnsLateOfIsolationSharesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 2 * time.Second
		view := fleetview.NewView(sharingConfig(t, 1, false), modelServer(fleet.Weights{Model: "m", Version: 1}))
		salt := func(key string, age time.Duration) string {
			g, up := newGateway(t, setup{servers: servers{"a": reply(http.StatusOK, "id: 1\ndata: x\n\n", true)}}, zap.NewNop())
			g.Directory, g.MaxSharingAge = fakeDirectory{view, age}, bound
			r := newRequest()
			r.APIKey = key
			r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
			w := httptest.NewRecorder()
			assert.Assert(t, g.Serve(t.Context(), w, r), "%d %s", w.Code, w.Body)
			return saltOf(up.sent[0])
		}
		pool := salt("key-beta", bound-time.Millisecond)
		assert.Equal(t, salt("key-alpha", 0), pool, "a recent configuration: the accounts share")
		alpha, beta := salt("key-alpha", bound), salt("key-beta", bound)
		assert.Assert(t, alpha != beta && alpha != pool && beta != pool, "pool %q, alpha %q, beta %q", pool, alpha, beta)
		assert.Equal(t, salt("key-beta", time.Minute), beta, "an account finds its own prompts")
		view = fleetview.NewView(sharingConfig(t, 2, true), modelServer(fleet.Weights{Model: "m", Version: 1}))
		assert.Equal(t, salt("key-alpha", 0), alpha, "an isolated account keeps its own namespace")
		assert.Assert(t, salt("key-beta", 0) != beta && salt("key-beta", 0) != pool)
	})
}

// Requests without an account share a pool with accounts that may be isolated meanwhile, but only where there are accounts.
func TestOldConfigurationOfRequestsWithoutAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		salt := func(config *fleet.Config) string {
			g, up := newGateway(t, setup{servers: servers{"a": reply(http.StatusOK, "id: 1\ndata: x\n\n", true)}}, zap.NewNop())
			g.Directory, g.MaxSharingAge = fakeDirectory{fleetview.NewView(config, modelServer(fleet.Weights{Model: "m", Version: 1})), time.Minute}, time.Second
			r := newRequest()
			r.APIKey = ""
			r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
			assert.Assert(t, g.Serve(t.Context(), httptest.NewRecorder(), r))
			return saltOf(up.sent[0])
		}
		config := sharingConfig(t, 1, false)
		config.Routes[0].Public = true
		first, second := salt(config), salt(config)
		assert.Assert(t, first != second)
		config = sharingConfig(t, 1, false)
		config.Accounts = nil
		assert.NilError(t, config.Check())
		assert.Equal(t, salt(config), salt(config))
	})
}

// The configuration may become too old while the connection to the server is opened.
func TestConfigurationGrowsOldWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := fleetview.NewView(sharingConfig(t, 1, false), modelServer(fleet.Weights{Model: "m", Version: 1}))
		var ran []string
		g, up := newGateway(t, setup{servers: servers{"a": func(ctx context.Context, a Attempt) (*Reply, error) {
			ran = append(ran, saltOf(a))
			return reply(http.StatusOK, "id: 1\ndata: x\n\n", true)(ctx, a)
		}}}, zap.NewNop())
		g.Directory, g.MaxSharingAge = fakeDirectory{view, 0}, time.Second
		up.beforeSend = func() { g.Directory = fakeDirectory{view, time.Second} }
		r := newRequest()
		r.APIKey = "key-beta"
		r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
		w := httptest.NewRecorder()
		assert.Assert(t, g.Serve(t.Context(), w, r))
		assert.Equal(t, w.Code, http.StatusOK)
		owner := view.Config.CacheOwnerApart(view.Config.AccountByName("beta"), "key-beta")
		space, _ := view.CacheSpace("a@a", "m", owner)
		assert.DeepEqual(t, ran, []string{space.Salt()})
	})
}
