package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/routing"

	"github.com/google/uuid"
)

// DryRun explains where a request would go now, and why. It sends nothing, takes no tokens and changes no state. An
// error says that the query is invalid.
func (g *Gateway) DryRun(q dryrun.Query) (*dryrun.Explanation, error) {
	if err := checkQuery(q); err != nil {
		return nil, err
	}
	e := &dryrun.Explanation{}
	view, age := g.Directory.ViewWithAge()
	e.Revision, e.ConfigAge = view.Revision, age
	if err := g.mayServe(view.Config); err != nil {
		e.Refused(err)
		return e, nil
	}
	r, err := requestOf(view.Config, q)
	if err != nil {
		return nil, err
	}
	x := &exchange{Request: r, ctx: context.Background(), actAs: q.Account}
	err = x.identify(view.Config)
	e.Service, e.Model, e.Account, e.PromptTokens, e.MaxOutput = x.service, r.Prompt.Model, x.accountName(), r.Prompt.Tokens, r.Prompt.MaxOutput
	if x.route != nil {
		e.Route = x.route.Name
	}
	if err != nil {
		e.Refused(err)
		return e, nil
	}
	g.explain(e, x)
	return e, nil
}

// checkQuery returns an error for a query that entry VMs of this kind can't answer.
func checkQuery(q dryrun.Query) error {
	invalid := func(text string) error { return errkind.New(errkind.InvalidRequest, "%s", text) }
	switch {
	case q.Account != "" && q.Key != "":
		return invalid("name a client account or a key, not both")
	case q.Prompt != "":
		return invalid("prompts are announced in parts in this deployment; give parts with their tokens")
	case q.Route == "" && (q.Host == "" || q.Path == ""):
		return invalid("requests of this deployment are routed by host and path; name both, or a route")
	}
	return nil
}

// mayServe returns the error with which any request would be refused now.
func (g *Gateway) mayServe(c *fleet.Config) error {
	switch {
	case g.Closing():
		return errkind.New(errkind.Draining, "this VM is stopping").WithRetryAfter(retryAfterDraining)
	case c == nil:
		return errkind.New(errkind.Stale, "no configuration has been received yet").WithRetryAfter(retryAfterShort)
	}
	return g.checkFresh()
}

// requestOf returns the request that a query describes.
func requestOf(c *fleet.Config, q dryrun.Query) (*Request, error) {
	r := &Request{
		ID: uuid.NewString(), Method: cmp.Or(q.Method, http.MethodPost), Host: q.Host, Path: q.Path, Body: q.Body, APIKey: q.Key, Arrived: time.Now(),
		Prompt: Prompt{Model: q.Model, Tokens: q.PromptTokens, MaxOutput: q.MaxOutput, Known: len(q.Parts) > 0 || q.PromptTokens > 0 || q.MaxOutput > 0},
	}
	if q.Route != "" {
		i := slices.IndexFunc(c.Routes, func(route *fleet.Route) bool { return route.Name == q.Route })
		if i < 0 {
			return nil, errkind.New(errkind.InvalidRequest, "route %q is not in the configuration", q.Route)
		}
		r.Host, r.Path = c.Routes[i].Host, cmp.Or(q.Path, c.Routes[i].PathPrefix)
		if match := c.Match(r.Host, r.Path); match != c.Routes[i] {
			return nil, errkind.New(errkind.InvalidRequest, "path %q is not of route %q", r.Path, q.Route)
		}
	}
	r.RequestURI = r.Path
	sum := 0
	for _, part := range q.Parts {
		r.Prompt.Parts = append(r.Prompt.Parts, Part(part))
		sum += part.Tokens
	}
	if r.Prompt.Tokens == 0 {
		r.Prompt.Tokens = sum
	}
	if r.Prompt.Tokens < sum {
		return nil, errkind.New(errkind.InvalidRequest, "the parts have %d tokens, more than the whole prompt (%d)", sum, r.Prompt.Tokens)
	}
	return r, nil
}

// explain adds what the quarantine, the grant, the rollout and the routing say about an identified request, in the order
// in which serve asks them.
func (g *Gateway) explain(e *dryrun.Explanation, x *exchange) {
	if len(x.route.Split) > 1 {
		e.Notes = append(e.Notes, "the route splits requests among services by their ID; another request may go to another one")
	}
	if g.isolated(x) {
		e.Verdict, e.Reason = dryrun.Forward, "this VM is cut off from the servers and passes requests to another VM, which decides"
		return
	}
	if err := g.Router.CheckQuarantine(routing.Request{Service: x.service, Traits: x.traits}); err != nil {
		e.Refused(x.finalError(err))
	}
	if limiter, ok := g.Limiter.(grants.DryRunner); ok && x.account != nil && x.account.Rate != 0 {
		grant, err := limiter.DryRun(x.account.Name, x.tokenCost(), x.priority(), time.Until(x.deadline))
		if e.Grant = &grant; err != nil && e.Verdict == "" {
			e.Refused(x.finalError(x.overGrant(err)))
		}
	}
	owner, view := g.cacheOwner(x)
	request := x.routingRequest(owner, nil)
	request.Tier = g.chooseArm(x) // counts nothing: x has no releasetraffic.Request
	if rollout := view.Releases.Rollout(x.service); rollout != nil && rollout.Running() {
		e.Release = "before " + rollout.Release
		if x.release.arm.New {
			e.Release = rollout.Release
		}
		e.Notes = append(e.Notes, "a rollout assigns requests to releases by their ID; another request may go to another one")
	}
	if router, ok := g.Router.(routing.DryRunner); ok {
		p := router.DryRun(request)
		if p.Verdict == dryrun.Refuse && p.RetryAfter == 0 {
			p.RetryAfter = retryAfterShort // as finalError
		}
		e.Placement = &p
		if p.Endpoint != "" {
			if _, version := view.CacheSpace(p.Endpoint, x.Prompt.Model, owner); version > 0 && x.Prompt.Known {
				e.Version = strconv.FormatInt(version, 10)
			}
		}
	}
	if g.Forwarding != nil && g.Forwarding.Doubtful() {
		e.Notes = append(e.Notes, "this VM may be cut off from some servers; a request that fails is passed to another VM")
	}
	e.Decide()
}
