package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"
	"eelgrasshollow/internal/routing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// copyingRouter names a source and a store in each decision, and expects the whole prompt to be cached.
type copyingRouter struct{ *fakeRouter }

type copyingTicket struct{ routing.Ticket }

func (r copyingRouter) Pick(ctx context.Context, q routing.Request) (routing.Ticket, error) {
	ticket, err := r.fakeRouter.Pick(ctx, q)
	return copyingTicket{ticket}, err
}

func (t copyingTicket) Decision() routing.Decision {
	d := t.Ticket.Decision()
	d.ImportFrom, d.SaveTo, d.CachedTokens = "b:1", "store:1", 2000
	return d
}

// Guards against a request's line that names a source, a store or cached tokens which its attempt didn't have: who
// follows a report of shared KV cache would look for them there.
func TestLineOfUnsharedAttemptNamesNoCopies(t *testing.T) {
	for version, copies := range map[int64]string{0: "", 1: "b:1 store:1"} {
		synctest.Test(t, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			g, up := newGateway(t, setup{servers: servers{"a": reply(http.StatusOK, "id: 1\ndata: x\n\n", true)}}, zap.New(core))
			g.Router = copyingRouter{g.Router.(*fakeRouter)}
			g.Directory = fakeDirectory{view: fleetview.NewView(sharingConfig(t, 1, true), modelServer(fleet.Weights{Model: "m", Version: version}))}
			r := newRequest()
			r.APIKey = "key-beta"
			r.Prompt = Prompt{Known: true, Model: "m", Tokens: 2100, MaxOutput: 10, Parts: []Part{{"p", 2000}, {"own", 100}}}
			assert.Assert(t, g.Serve(t.Context(), httptest.NewRecorder(), r))
			served := logs.FilterMessage("request served").All()
			assert.Equal(t, len(served), 1)
			line := served[0].ContextMap()
			assert.Equal(t, line["cache_namespace"] != "", true)
			if copies == "" {
				assert.Equal(t, up.sent[0].ImportFrom+up.sent[0].SaveTo, "")
				assert.Equal(t, line["import_from"].(string)+line["save_to"].(string), "")
				assert.Equal(t, line["cached_tokens"], int64(0))
				return
			}
			assert.Equal(t, line["import_from"].(string)+" "+line["save_to"].(string), copies)
			assert.Equal(t, line["cached_tokens"], int64(2000))
		})
	}
}
