package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/cachespace"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/quarantine"
	"eelgrasshollow/internal/releasetraffic"
	"eelgrasshollow/internal/routing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Directory provides the configuration that is in force on this VM.
type Directory interface {
	View() *fleetview.View
	// Age returns the time since the view was last confirmed to be current.
	Age() time.Duration
	// ViewWithAge returns the current view and its own age: between calls of View and Age, the view may
	// be replaced.
	ViewWithAge() (*fleetview.View, time.Duration)
	// Changed returns a channel that is closed when the view changes after the call.
	Changed() <-chan struct{}
}

// Deps holds the dependencies of a Gateway.
type Deps struct {
	Directory Directory
	Limiter   grants.Limiter
	Router    routing.Router
	Upstream  Upstream
	Retries   *RetryBudgets
	// Releases counts results during rollouts of releases; nil counts nothing.
	Releases *releasetraffic.Traffic
	// Closing reports whether this VM is stopping and refuses new requests.
	Closing func() bool
	// Ending ends when a stopping VM must have responded to all requests, a little before its process ends; nil never does.
	Ending context.Context
	// MaxViewAge is the age at which a view is too old to serve requests; 0 disables the check.
	MaxViewAge time.Duration
	// MaxSharingAge is the age from which on a view may lack the isolation of an account, so that accounts share no
	// cached prompts; 0 disables the check.
	MaxSharingAge time.Duration
	// Forwarding serves requests through other VMs while this one reaches no server; nil if there
	// is none.
	Forwarding *Forwarding
	// Memory bounds what is held of responses; nil sets a fixed bound.
	Memory  *membudget.Budget
	Metrics *Metrics
	Log     *zap.Logger
}

// Gateway routes client requests to servers and relays the responses.
type Gateway struct {
	Deps
	viewWaiters atomic.Int32 // requests that wait for the first view
	silence     *silenceWatch
	outages     *outageWatch
	buffers     *bodyBuffers
}

// New returns a Gateway with the given dependencies.
func New(d Deps) *Gateway {
	if d.Memory == nil {
		d.Memory = membudget.New(maxBufferedBytes, "responses")
	}
	listed := func(address string) bool {
		return slices.ContainsFunc(d.Directory.View().Servers, func(s fleet.Server) bool { return s.Address == address })
	}
	return &Gateway{
		Deps: d, silence: newSilenceWatch(d.Upstream.Probe, d.Log), outages: newOutageWatch(d.Upstream.Probe, listed, d.Log), buffers: &bodyBuffers{d.Memory},
	}
}

const (
	// responseMargin is the part of the client's timeout that is reserved for the response
	// to reach the client.
	responseMargin = 20 * time.Millisecond
	// retryAfterShort is sent when the request can be served as soon as a slot is free or
	// another server is available, which is expected shortly.
	retryAfterShort = 200 * time.Millisecond
	// retryAfterDraining is sent when this VM is stopping: another VM can serve the request
	// immediately.
	retryAfterDraining = 10 * time.Millisecond
	// typicalElectionTime is the usual time from a VM's start until it receives a
	// configuration, if the control VMs restarted at the same time: one leader election and
	// one poll.
	typicalElectionTime = 600 * time.Millisecond
	// viewWaitElections is how many times typicalElectionTime after this VM's start requests
	// wait for its first view. After that nobody knows when control will be back.
	viewWaitElections = 3
	// viewWaitShare is the share of the client's timeout that a request may wait for the first
	// view, and maxViewWaiters the number of requests that may.
	viewWaitShare  = 1.0 / 2
	maxViewWaiters = 256
	// queueTargetShare is the share of the route's target time that a request may wait for
	// a slot, so that it can still be served within the target.
	queueTargetShare = 0.9
)

// exchange is the state of one request and its response.
type exchange struct {
	*Request
	w           http.ResponseWriter
	ctx         context.Context
	route       *fleet.Route
	service     string
	account     *fleet.Account
	keyHolder   *fleet.Account // client account of the key, also on public routes, where account is nil; nil if none
	traits      []quarantine.Trait
	deadline    time.Time        // when the response must be complete
	sends       atomic.Int32     // servers that received at least one byte
	refusals    int              // of these, those that were skipped because they have not run it
	mayHaveRun  bool             // a server may have run the request
	headWritten bool             // the response header has been written
	unnumbered  bool             // the client has something of a stream after the last event with an ID, so the stream can't be resumed
	status      int              // HTTP status relayed from a server, or 0
	server      string           // ID of the server of the last attempt
	decision    routing.Decision // of the last attempt
	cacheSalt   string           // of the last attempt
	resumes     int
	helper      string // peer address of the VM that the request was forwarded to, or ""
	ranHere     bool   // a server may have run an attempt of this VM
	release     releaseState
	actAs       string // client account of a dry run without a key
	// sentAfter and firstEventAfter are the times from the request's arrival to its last
	// attempt and to the first event or whole body of a response; 0 if there was none.
	sentAfter, firstEventAfter time.Duration
	// steps is the number of events of the last attempt's stream after the first, and decoding the time from
	// the first to the last.
	steps    int
	decoding time.Duration
}

// Serve serves one request and writes the response to w. ctx ends when the client
// disconnects. Serve reports whether the response is complete; if it is not, the caller must
// abort the connection, so that the client does not take the response for a complete one.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, r *Request) (complete bool) {
	x := &exchange{Request: r, w: w, ctx: ctx}
	limitWrites(w, time.Time{}) // the connection may have had a request before
	if g.Ending != nil {
		var cancel context.CancelCauseFunc
		x.ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		defer context.AfterFunc(g.Ending, func() { cancel(errEnding) })()
	}
	err := g.serve(x)
	g.finish(x, err)
	if err == nil {
		return true
	}
	if x.headWritten || errkind.Is(err, errkind.Canceled) {
		return false // the client has disconnected, or must see that the response is incomplete
	}
	g.refuse(x, err)
	return true
}

func (g *Gateway) serve(x *exchange) error {
	if g.Closing() {
		return errkind.New(errkind.Draining, "this VM is stopping").WithRetryAfter(retryAfterDraining)
	}
	view := g.awaitView(x)
	if view.Config == nil {
		return errkind.New(errkind.Stale, "no configuration has been received yet").WithRetryAfter(max(typicalElectionTime-g.Directory.Age(), retryAfterShort))
	}
	if err := g.checkFresh(); err != nil {
		return err
	}
	if err := x.identify(view.Config); err != nil {
		return err
	}
	limitWrites(x.w, x.deadline)
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadlineCause(x.ctx, x.deadline, errDeadline)
	defer cancel()
	if g.isolated(x) {
		// The other VM checks the quarantine and takes the tokens.
		_, err := g.forward(x)
		return err
	}
	if err := g.Router.CheckQuarantine(routing.Request{Service: x.service, Traits: x.traits}); err != nil {
		return x.finalError(err) // it must neither wait for tokens nor take any
	}
	reservation, err := g.reserve(x)
	if err != nil {
		return x.finalError(err)
	}
	g.Retries.Earn(x.service)
	err = g.resumeForwarded(x)
	if err == nil {
		err = g.attempts(x)
	}
	if reservation != nil {
		used := x.tokenCost()
		if err != nil && !x.mayHaveRun || x.helper != "" && !x.ranHere {
			used = 0
		}
		reservation.Settle(used)
	}
	return err
}

// identify determines the route, the client account, the service and the deadline of the request.
func (x *exchange) identify(c *fleet.Config) error {
	if limit := c.Limits.MaxBodyBytes; limit > 0 && int64(len(x.Body)) > limit {
		return errkind.New(errkind.TooLarge, "request body exceeds %d bytes", limit)
	}
	if x.route = c.Match(x.Host, x.Path); x.route == nil {
		return errkind.New(errkind.NotFound, "no route matches this host and path")
	}
	if err := x.authenticate(c); err != nil {
		return err
	}
	x.service = x.route.Choose(hashFraction(x.ID))
	x.deadline = x.Arrived.Add(x.route.Timeout)
	if x.ClientTimeout > 0 && x.ClientTimeout-responseMargin < x.route.Timeout {
		x.deadline = x.Arrived.Add(x.ClientTimeout - responseMargin)
	}
	x.traits = x.traitsFor(x.accountName())
	return nil
}

// checkFresh returns an error if the view is too old to serve requests by.
func (g *Gateway) checkFresh() error {
	if age := g.Directory.Age(); g.MaxViewAge > 0 && age >= g.MaxViewAge {
		return errkind.New(errkind.Stale, "configuration was last confirmed to be current %v ago", age).WithRetryAfter(retryAfterShort)
	}
	return nil
}

// awaitView returns the current view. While the VM has no configuration or no list of servers
// since its start, it waits for them for a part of the client's timeout: a list that has not
// been received is not an empty list.
func (g *Gateway) awaitView(x *exchange) *fleetview.View {
	changed := g.Directory.Changed()
	view := g.Directory.View()
	if view.Complete() {
		return view
	}
	wait := min(time.Duration(viewWaitShare*float64(x.ClientTimeout)), viewWaitElections*typicalElectionTime-g.Directory.Age())
	if wait <= 0 {
		return view
	}
	defer g.viewWaiters.Add(-1)
	if g.viewWaiters.Add(1) > maxViewWaiters {
		return view
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !view.Complete() {
		select {
		case <-changed:
		case <-timer.C:
			return view
		case <-x.ctx.Done():
			return view
		}
		changed = g.Directory.Changed()
		view = g.Directory.View()
	}
	return view
}

// errDeadline is the cancelation cause of a request whose deadline has passed, and errEnding that of a request whose VM has no
// time left for it.
var (
	errDeadline = errors.New("request deadline exceeded")
	errEnding   = errors.New("this VM stops before the response is complete")
)

func (x *exchange) authenticate(c *fleet.Config) error {
	x.keyHolder = c.AccountByKey(x.APIKey)
	if x.actAs != "" {
		x.keyHolder = c.AccountByName(x.actAs)
	}
	if x.route.Public || !c.RequiresKey() {
		return nil
	}
	if x.account = x.keyHolder; x.account != nil {
		return nil
	}
	if x.actAs != "" {
		return errkind.New(errkind.NotFound, "client account %q is not in the configuration", x.actAs)
	}
	return errkind.New(errkind.Unauthenticated, "unknown API key")
}

// tokenCost returns the tokens that the request takes from its account's grant.
func (x *exchange) tokenCost() int64 {
	if x.Prompt.Known {
		return int64(x.Prompt.Tokens + x.Prompt.MaxOutput)
	}
	return x.account.PlainTokens
}

func (g *Gateway) reserve(x *exchange) (grants.Reservation, error) {
	if x.account == nil || x.account.Rate == 0 {
		return nil, nil
	}
	defer g.Metrics.observeWait(x.route.Name, waitForTokens, time.Now())
	reservation, err := g.Limiter.Reserve(x.ctx, x.account.Name, x.tokenCost(), x.priority())
	return reservation, x.overGrant(err)
}

// maxGrantRetryAfter limits the time to retry after of a request that its account's grant does not admit.
const maxGrantRetryAfter = time.Minute

// overGrant returns the limiter's error for the client. A request that is larger than the grant's burst is over the rate,
// too: clients take other errors for final, but the grant may be raised at any time. It can be retried once the rate has
// supplied the tokens.
func (x *exchange) overGrant(err error) error {
	if !errkind.Is(err, errkind.TooLarge) && !errkind.Is(err, errkind.PermissionDenied) {
		return err
	}
	after := time.Duration(float64(x.tokenCost()) / float64(x.account.Rate) * float64(time.Second))
	return errkind.Wrap(err, errkind.RateLimited, "over the grant").WithRetryAfter(min(after, maxGrantRetryAfter))
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// priority returns the request's priority; 0 is the most urgent.
func (x *exchange) priority() int {
	if x.account != nil && x.account.Priority != nil {
		return *x.account.Priority
	}
	return x.route.Priority
}

// hashFraction maps a request ID to a number in [0, 1), uniformly distributed over IDs.
func hashFraction(id string) float64 {
	const bits = 53 // size of a float64's mantissa
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// routingRequest returns the request in the form that the router takes. owner is that of its cached prompts. The
// router must not pick any of the endpoints in exclude.
func (x *exchange) routingRequest(owner cachespace.Owner, exclude []string) routing.Request {
	r := routing.Request{
		ID: x.ID, Account: x.accountName(), Service: x.service, Priority: -x.priority(),
		Idempotent: x.route.Retryable(), Exclude: exclude, PromptTokens: x.Prompt.Tokens, MaxTokens: x.Prompt.MaxOutput,
		LongestWait: x.maxSlotWait(), TimeLeft: time.Until(x.deadline), Traits: x.traits, Target: x.route.TargetLatency,
	}
	if !x.Prompt.Known || len(x.Prompt.Parts) == 0 {
		return r
	}
	r.Seed = owner.Seed(x.Prompt.Model)
	names := make([]string, len(x.Prompt.Parts))
	end := 0
	for i, p := range x.Prompt.Parts {
		names[i] = p.Name
		end += p.Tokens
		r.PieceEnds = append(r.PieceEnds, end)
	}
	r.Chain = prefix.ChainOfParts(r.Seed, names)
	r.SharedPieces = len(r.Chain) - 1 // the last part belongs to the request itself or to its session
	return r
}

// maxSlotWait returns how long the request may wait for a slot at a server. The rest of the
// time is left for running the request.
func (x *exchange) maxSlotWait() time.Duration {
	left := time.Until(x.deadline)
	if target := time.Until(x.Arrived.Add(time.Duration(queueTargetShare * float64(x.route.TargetLatency)))); target > 0 && target < left {
		return target
	}
	return max(left/2, time.Millisecond)
}

// finish writes the request's log line and updates its metrics.
func (g *Gateway) finish(x *exchange, err error) {
	route, kind, outcome := "", "", errkind.Completed
	if x.route != nil {
		route = x.route.Name
	}
	if e := errkind.Of(err); e != nil {
		kind, outcome = e.Kind.String(), e.Outcome
	}
	sharedPart, sharedTokens := x.Prompt.shared()
	took := time.Since(x.Arrived)
	g.Metrics.observeRequest(route, x.accountName(), kind, took)
	fields := []zap.Field{
		zap.String("request", x.ID), zap.String("route", route), zap.Bool("forwarded", x.Forwarded), zap.String("client_account", x.accountName()),
		zap.String("server", x.server), zap.Int("status", x.status), zap.Int32("sends", x.sends.Load()), zap.Int("resumed", x.resumes), zap.String("prefix", x.Prompt.firstPart()),
		zap.String("shared_part", sharedPart), zap.Int("shared_tokens", sharedTokens), zap.Int("prompt_tokens", x.Prompt.Tokens), zap.Int("cached_tokens", x.decision.CachedTokens),
		zap.String("import_from", x.decision.ImportFrom), zap.String("save_to", x.decision.SaveTo), zap.String("weights", x.decision.Weights),
		zap.String("cache_namespace", x.cacheSalt),
		zap.Duration("sent_after", x.sentAfter), zap.Duration("first_event_after", x.firstEventAfter), zap.Duration("took", took), zap.Duration("config_age", g.Directory.Age()), zap.String("outcome", string(outcome)),
	}
	if x.helper != "" {
		fields = append(fields, zap.String("forwarded_to", x.helper))
	}
	if r := x.release.rollout; r != nil {
		fields = append(fields, zap.Uint64("rollout", r.Number), zap.Bool("new_release", x.release.arm.New))
	}
	if x.decision.Held > 0 {
		fields = append(fields, zap.Duration("held", x.decision.Held))
	}
	if x.decision.Limit.Stated() {
		fields = append(fields, zap.Float64("endpoint_limit", x.decision.Limit.PerSecond()))
	}
	if err != nil {
		g.Log.Warn("request failed", append(fields, zap.String("kind", kind), zap.Error(err))...)
		return
	}
	g.Log.Info("request served", fields...)
}

// refuse writes an error response. Its outcome is not-run only if the request was never sent,
// or if every server that received it reported that it has not run.
func (g *Gateway) refuse(x *exchange, err error) {
	e := errkind.Of(err)
	status := e.Kind.Properties().HTTP
	h := x.w.Header()
	if e.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if x.Forwarded && e.Outcome == errkind.NotRun {
		h.Set(HeaderNotRun, e.Kind.String())
	}
	body := []byte(e.Kind.String() + "\n")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		g.Log.Debug("client disconnected before the refusal was written", zap.String("request", x.ID), zap.Error(err))
	}
}
