package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/state"

	"github.com/google/uuid"
	"github.com/tidwall/gjson"
)

const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
)

// authorize authorizes an exchange on a route and returns its client account; see admit. A dry run may name an
// account instead of a key.
func (f *Front) authorize(view *state.View, x *exchange, route *pb.Route) (string, error) {
	if x.actAs == "" || route.GetOpen() {
		account, err := f.admit(view, x.token, route)
		if err == nil && account != "" {
			err = f.registerKey(x)
		}
		return account, err
	}
	account, ok := view.Account(x.actAs)
	switch {
	case !ok:
		return "", errkind.New(errkind.NotFound, "client account %q is not in the configuration", x.actAs)
	case account.GetDisabled():
		return "", errkind.New(errkind.Unauthenticated, "client account %q is disabled", x.actAs)
	}
	return mayUse(route, account)
}

// registerKey makes a withdrawal of the request's key end the request from here on. The key may have been withdrawn since
// view was read.
func (f *Front) registerKey(x *exchange) error {
	if x.dryRun {
		return nil
	}
	x.open.key.Store(&x.token)
	if err := f.stillAllowed(x.open); err != nil {
		return errkind.Of(err).WithOutcome(errkind.NotRun)
	}
	return nil
}

// DryRun explains where a request would go now, and why. It sends nothing, takes no tokens and changes no state. An
// error says that the query is invalid.
func (f *Front) DryRun(q dryrun.Query) (*dryrun.Explanation, error) {
	if err := checkQuery(q); err != nil {
		return nil, err
	}
	e := &dryrun.Explanation{ConfigAge: -1}
	if aged, ok := f.directory.(interface{ Age() time.Duration }); ok {
		e.ConfigAge = aged.Age()
	}
	if f.open.currentPhase() == draining {
		e.Refused(errkind.New(errkind.Draining, "this VM is stopping"))
		return e, nil
	}
	view, err := f.currentView()
	if err != nil {
		e.Refused(err)
		return e, nil
	}
	e.Revision = view.Revision()
	if q, err = f.applyRoute(view, q); err != nil {
		return nil, err
	}
	if q.Model != "" || q.Path == chatPath || q.Path == completionPath {
		err = f.dryRunCompletion(e, view, q)
	} else {
		err = f.dryRunPlain(e, view, q)
	}
	return e, err
}

// checkQuery returns an error for a query that this kind of entry VM can't answer.
func checkQuery(q dryrun.Query) error {
	invalid := func(text string) error { return errkind.New(errkind.InvalidRequest, "%s", text) }
	switch {
	case q.Account != "" && q.Key != "":
		return invalid("name a client account or a key, not both")
	case q.Host != "":
		return invalid("routes have no host in this deployment")
	case len(q.Parts) > 0 || q.PromptTokens > 0:
		return invalid("prompts are not announced in parts in this deployment; give the prompt's text or an example request")
	case q.Body != nil && q.Prompt != "":
		return invalid("give the prompt's text or an example request, not both")
	case q.Route == "" && q.Model == "" && q.Path == "":
		return invalid("name a route, a model or a path")
	}
	return nil
}

// applyRoute sets the model or path of a query that names a route.
func (f *Front) applyRoute(view *state.View, q dryrun.Query) (dryrun.Query, error) {
	if q.Route == "" {
		return q, nil
	}
	for _, route := range view.Configuration().GetRoutes() {
		if route.GetName() != q.Route {
			continue
		}
		if route.GetKind() == pb.RouteKind_ROUTE_KIND_MODEL {
			if q.Model != "" && q.Model != route.GetModel() {
				return q, errkind.New(errkind.InvalidRequest, "route %q is for model %q", q.Route, route.GetModel())
			}
			q.Model = route.GetModel()
		} else if q.Path == "" {
			q.Path = route.GetPathPrefix()
		}
		return q, nil
	}
	return q, errkind.New(errkind.InvalidRequest, "route %q is not in the configuration", q.Route)
}

// dryRunExchange returns the exchange of a request that is not sent.
func dryRunExchange(q dryrun.Query, path string) (*exchange, error) {
	method := q.Method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(context.Background(), method, path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "method or path")
	}
	return &exchange{r: r, ctx: r.Context(), id: uuid.NewString(), token: q.Key, actAs: q.Account, dryRun: true, start: time.Now()}, nil
}

// completionBody returns the path and body of a completion.
func completionBody(q dryrun.Query) (path string, body []byte, err error) {
	if q.Body == nil {
		fields := map[string]any{"model": q.Model, "prompt": q.Prompt}
		if q.MaxOutput > 0 {
			fields["max_tokens"] = q.MaxOutput
		}
		body, err = json.Marshal(fields)
		return completionPath, body, err
	}
	if model := gjson.GetBytes(q.Body, "model").Str; q.Model != "" && model != q.Model {
		return "", nil, errkind.New(errkind.InvalidRequest, "the example request is for model %q, not %q", model, q.Model)
	}
	path = q.Path
	if path == "" {
		path = completionPath
		if gjson.GetBytes(q.Body, "messages").Exists() {
			path = chatPath
		}
	}
	return path, q.Body, nil
}

func (f *Front) dryRunCompletion(e *dryrun.Explanation, view *state.View, q dryrun.Query) error {
	path, body, err := completionBody(q)
	if err != nil {
		return err
	}
	x, err := dryRunExchange(q, path)
	if err != nil {
		return err
	}
	c, err := decodeCompletion(body, path == chatPath, f.settings)
	if err != nil {
		return err
	}
	e.Model = c.model
	j, err := f.newJob(x, c, view, path)
	e.Route, e.Account = x.route, x.account
	if err != nil {
		e.Refused(err)
		return nil
	}
	f.explain(e, x, j.request, int64(j.request.PromptTokens+c.output), true)
	return nil
}

func (f *Front) dryRunPlain(e *dryrun.Explanation, view *state.View, q dryrun.Query) error {
	if q.Prompt != "" {
		return errkind.New(errkind.InvalidRequest, "a request to a plain service has no prompt")
	}
	x, err := dryRunExchange(q, q.Path)
	if err != nil {
		return err
	}
	route, ok := view.PlainRoute(x.r.URL.Path)
	if !ok || !cleanPath(x.r.URL.Path) {
		e.Refused(errkind.New(errkind.NotFound, "no such path"))
		return nil
	}
	e.Route, e.Service = route.GetName(), route.GetService()
	if x.account, err = f.authorize(view, x, route); err != nil {
		e.Refused(err)
		return nil
	}
	e.Account = x.account
	if !route.GetIdempotent() {
		e.Notes = append(e.Notes, "the route is not idempotent: the request journal, which may hold a response, was not asked")
	}
	f.explain(e, x, plainRequest(x, route, q.Body), route.GetCallTokens(), route.GetIdempotent())
	return nil
}

// explain adds what the grant, the quarantine and the routing say about a request that the front would serve, in the
// order in which they decide. checksFirst reports whether the quarantine is checked before the grant.
func (f *Front) explain(e *dryrun.Explanation, x *exchange, r routing.Request, tokens int64, checksFirst bool) {
	e.Version, e.PromptTokens, e.MaxOutput = r.Version, r.PromptTokens, r.MaxTokens
	if checksFirst {
		if err := f.router.CheckQuarantine(r); err != nil {
			e.Refused(err)
		}
	}
	if limiter, ok := f.limiter.(grants.DryRunner); ok && x.account != "" && tokens > 0 {
		g, err := limiter.DryRun(x.account, tokens, -r.Priority, 0)
		if e.Grant = &g; err != nil && e.Verdict == "" {
			e.Refused(err)
		}
	}
	if router, ok := f.router.(routing.DryRunner); ok {
		p := router.DryRun(r)
		e.Placement = &p
	}
	e.Decide()
}
