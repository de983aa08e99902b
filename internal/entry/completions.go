package entry

import (
	"context"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/quarantine"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/state"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// job is the state of a completion request, which one or more engines run.
type job struct {
	*exchange
	*completion
	path        string
	modelConfig *pb.Model // as configured when the request arrived
	space       cacheSpace
	retryState
	delivered       int  // ID of the last event that the client has received; 0 if none
	finished        bool // a finish reason has been received
	numbered        bool // the engine sets event IDs, so the stream can be resumed
	firstTokenAfter time.Duration
	usage           engineapi.Usage
	frame           []byte                     // buffer of the last event written to the client
	contentEvents   int                        // events with content that this VM has received for the request
	canceling       map[string]<-chan struct{} // by address: closed when a cancellation there is over
}

// completions returns a handler of chat or text completions.
func (f *Front) completions(chat bool) func(*exchange) error {
	path := "/v1/completions"
	if chat {
		path = "/v1/chat/completions"
	}
	return func(x *exchange) error {
		view, err := f.currentView()
		if err != nil {
			return err
		}
		// The body is read only if the key is valid or some model route is open.
		if err := f.preauthorize(view, x.token); err != nil {
			return err
		}
		if err := requireJSON(x.r); err != nil {
			return err
		}
		body, err := f.readBody(x)
		if err != nil {
			return err
		}
		c, err := decodeCompletion(body, chat, f.settings)
		if err != nil {
			return err
		}
		return f.complete(x, c, view, path)
	}
}

// preauthorize returns an error if no model route can admit a client with this key.
func (f *Front) preauthorize(view *state.View, token string) error {
	_, err := view.Authenticate(f.hasher, token)
	if err == nil {
		return nil
	}
	for _, m := range view.Models() {
		if route, ok := view.ModelRoute(m.GetName()); ok && route.GetOpen() {
			return nil
		}
	}
	return err
}

func requireJSON(r *http.Request) error {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" {
		return errkind.New(errkind.InvalidRequest, "content type must be application/json")
	}
	return nil
}

func (f *Front) complete(x *exchange, c *completion, view *state.View, path string) error {
	j, err := f.newJob(x, c, view, path)
	if err != nil {
		return err
	}
	size, reserved := len(c.prompt), int64(j.request.PromptTokens+c.output)
	if err := f.router.CheckQuarantine(j.request); err != nil {
		return err
	}
	reservation, err := f.reserve(x, reserved, j.request.Priority)
	if err != nil {
		return err
	}
	gauge := f.metrics.inFlight.WithLabelValues(x.account, x.route)
	gauge.Inc()
	defer gauge.Dec()
	f.budget.Deposit()
	err = f.run(j)
	used := j.usedTokens()
	reservation.Settle(used)
	if used > reserved {
		go f.charge(context.WithoutCancel(x.ctx), x.account, used-reserved, j.request.Priority)
	}
	f.tokens.observe(c.model, size, j.usage.PromptTokens)
	f.recordMetrics(j, err)
	return err
}

// newJob authorizes a completion and determines its route, weights version and cache
// namespace.
func (f *Front) newJob(x *exchange, c *completion, view *state.View, path string) (*job, error) {
	route, model, err := f.modelRoute(x, view, c)
	if err != nil {
		return nil, err
	}
	from, err := resumePosition(x.r)
	if err != nil {
		return nil, err
	}
	if from > 0 && (!c.stream || c.choices > 1) {
		return nil, errkind.New(errkind.InvalidRequest, "only a stream with one choice can be resumed")
	}
	priority := requestPriority(view, route, x.account)
	version, err := f.weightsVersion(x, c.model, f.servingVersion(x, c, model))
	if err != nil {
		return nil, err
	}
	j := &job{exchange: x, completion: c, path: path, modelConfig: model, delivered: from}
	j.request = routing.Request{
		ID: x.id, Account: x.account, Model: c.model, Adapter: c.adapter, PromptTokens: f.tokens.estimate(c.model, len(c.prompt)),
		MaxTokens: c.output, Priority: priority, Idempotent: true,
	}
	j.request.Traits = []quarantine.Trait{quarantine.RequestTrait(x.account, x.r.Method, path, c.body)}
	for _, piece := range prefix.PieceHashes(prefix.Namespace{Model: c.model}.Seed(), c.prompt) {
		j.request.Traits = append(j.request.Traits, quarantine.PartTrait(piece, piece.String()))
	}
	j.setVersion(version)
	return j, nil
}

// setVersion sets the weights version to run on, and the cache namespace, which depends on it.
func (j *job) setVersion(version string) {
	j.space = newCacheSpace(prefix.Namespace{Account: j.cacheAccount, Model: j.completion.model, Adapter: j.adapter, Version: version})
	j.request.Version, j.request.Seed, j.request.Chain = version, j.space.seed, nil
	if j.space.shared() {
		j.request.Chain = prefix.Chain(j.space.seed, j.prompt)
	}
}

// awaitRollout handles an attempt that failed because the engine runs a weights version other
// than the one in its last report to routing, which happens during a rollout. It waits for
// RetryPause, so that routing can receive newer reports, and reports whether another attempt
// may be made. That is safe, because an engine that refuses the weights has not run the request,
// and completions may run again if that refusal was not its own.
func (f *Front) awaitRollout(j *job, err error) bool {
	if !errors.Is(err, errWrongWeights) || j.delivered > 0 || time.Since(j.start) > f.settings.QueueTimeout {
		return false
	}
	sleepContext(j.ctx, f.settings.RetryPause)
	if version := f.servingVersion(j.exchange, j.completion, j.modelConfig); version != j.request.Version {
		j.setVersion(version)
		j.request.Exclude = nil
	}
	return j.ctx.Err() == nil
}

// versionKeyBytes is the length of the prompt's start that selects the weights version while
// new weights are rolled out. Requests that share this prefix run on the same version, so
// that they share cached prefixes.
const versionKeyBytes = 4000

// servingVersion returns the weights version that the request is to run on.
func (f *Front) servingVersion(x *exchange, c *completion, model *pb.Model) string {
	selector, ok := f.router.(routing.VersionSelector)
	if !ok {
		return model.GetWeightsVersion()
	}
	key := xxhash.New()
	_, _ = key.WriteString(x.account)
	_, _ = key.Write(c.prompt[:min(len(c.prompt), versionKeyBytes)])
	if dry, ok := f.router.(routing.DryRunner); ok && x.dryRun {
		return dry.DryRunVersion(c.model, model.GetWeightsVersion(), key.Sum64())
	}
	return selector.SelectVersion(c.model, model.GetWeightsVersion(), key.Sum64())
}

func (f *Front) modelRoute(x *exchange, view *state.View, c *completion) (*pb.Route, *pb.Model, error) {
	route, ok := view.ModelRoute(c.model)
	model, known := view.Model(c.model)
	if !ok || !known {
		return nil, nil, errkind.New(errkind.NotFound, "no such model")
	}
	account, err := f.authorize(view, x, route)
	if err != nil {
		return nil, nil, err
	}
	x.account, x.route, x.cacheAccount = account, route.GetName(), f.keyHolder(view, x)
	if c.adapter != "" && !slices.Contains(model.GetAdapters(), c.adapter) {
		return nil, nil, errkind.New(errkind.NotFound, "no such adapter")
	}
	return route, model, nil
}

// resumePosition returns the ID of the last event that the client has received, or 0.
func resumePosition(r *http.Request) (int, error) {
	text := r.Header.Get(engineapi.HeaderLastEventID)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, errkind.New(errkind.InvalidRequest, "Last-Event-ID must be a number that is not negative")
	}
	return n, nil
}

// requestPriority returns the priority of an account's requests on a route of a model; higher
// is more urgent.
func requestPriority(view *state.View, route *pb.Route, account string) int {
	priority := int(route.GetPriority())
	if a, ok := view.Account(account); ok {
		priority += int(a.GetPriority())
	}
	return priority
}

// reserve reserves tokens of the client account's grant. A request on an open route has no
// account and needs no reservation. The configuration's priorities are higher for more urgent
// requests, those of the limiter are lower.
func (f *Front) reserve(x *exchange, tokens int64, priority int) (grants.Reservation, error) {
	if x.account == "" || tokens <= 0 {
		return nopReservation{}, nil
	}
	return f.limiter.Reserve(x.ctx, x.account, tokens, -priority)
}

type nopReservation struct{}

// Settle does nothing.
func (nopReservation) Settle(int64) {}

// usedTokens returns the tokens that the request has used: the engine's count, or an estimate
// if there is none.
func (j *job) usedTokens() int64 {
	if j.usage.TotalTokens > 0 {
		return int64(j.usage.TotalTokens)
	}
	if j.firstTokenAfter == 0 && j.delivered == 0 {
		return 0
	}
	return int64(j.request.PromptTokens + j.contentEvents)
}

// run makes attempts at engines until the response is complete or can no longer be
// completed.
func (f *Front) run(j *job) error {
	for attempt := 1; ; attempt++ {
		ticket, err := f.pickNext(j.ctx, &j.retryState)
		if err != nil {
			return j.finalError(err, j.headWritten)
		}
		err = f.attempt(j, ticket)
		if err == nil {
			return nil
		}
		j.recordFailure(ticket, err)
		if f.awaitRollout(j, err) {
			attempt--
			continue
		}
		if !f.mayRetry(j, err, attempt) {
			return j.finalError(err, j.headWritten)
		}
		f.metrics.retries.WithLabelValues(j.account, j.route).Inc()
	}
}

// mayRetry reports whether another attempt is allowed: the part of the stream that the client
// has received can be continued, and attempts and retry budget are left.
func (f *Front) mayRetry(j *job, err error, attempt int) bool {
	if j.ctx.Err() != nil || attempt >= f.settings.MaxAttempts || (j.delivered > 0 && !j.numbered) {
		return false
	}
	switch errkind.Of(err).Kind {
	case errkind.EndpointFailed, errkind.StreamBroken, errkind.Overloaded:
		return f.budget.TryWithdraw()
	}
	return false
}

func (f *Front) recordMetrics(j *job, err error) {
	labels := []string{j.account, j.route}
	if j.firstTokenAfter > 0 {
		f.metrics.firstToken.WithLabelValues(labels...).Observe(j.firstTokenAfter.Seconds())
	}
	if err != nil {
		return
	}
	f.metrics.requests.WithLabelValues(labels...).Inc()
	f.metrics.promptTokens.WithLabelValues(labels...).Add(float64(j.usage.PromptTokens))
	f.metrics.cachedTokens.WithLabelValues(labels...).Add(float64(j.usage.Details.CachedTokens))
	f.metrics.outputTokens.WithLabelValues(labels...).Add(float64(j.usage.CompletionTokens))
}
