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
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/state"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// job is a completion on its way through one or more engines.
type job struct {
	*exchange
	*completion
	path    string
	weights *pb.Model // as configured when the request came
	seed    prefix.Seed
	tries
	delivered int // last position that the caller has; 0 before the first
	finished  bool
	numbered  bool // the engine numbers its events, so the stream can be resumed
	firstAt   time.Duration
	usage     engineapi.Usage
	frame     []byte // the last event as it went to the caller
	events    int    // events with content in this run, delivered by this VM
}

// completions serves chat or text completions.
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
		// Without a valid key or any open route there is no reason to read a body.
		if err := f.mayAsk(view, x.token); err != nil {
			return err
		}
		if err := wantJSON(x.r); err != nil {
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

// mayAsk refuses a caller that no model route can admit.
func (f *Front) mayAsk(view *state.View, token string) error {
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

func wantJSON(r *http.Request) error {
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
	reservation, err := f.reserve(x, reserved)
	if err != nil {
		return err
	}
	gauge := f.metrics.inFlight.WithLabelValues(x.account, x.route)
	gauge.Inc()
	defer gauge.Dec()
	f.budget.Earn()
	err = f.run(j)
	used := j.used()
	reservation.Settle(used)
	if used > reserved {
		go f.charge(context.WithoutCancel(x.ctx), x.account, used-reserved)
	}
	f.tokens.observe(c.model, size, j.usage.PromptTokens)
	f.measure(j, err)
	return err
}

// newJob finds the route and the cache namespace of a completion.
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
	priority := int(route.GetPriority())
	if account, ok := view.Account(x.account); ok {
		priority += int(account.GetPriority())
	}
	version, err := f.versionOf(x, c.model, f.serving(x, c, model))
	if err != nil {
		return nil, err
	}
	j := &job{exchange: x, completion: c, path: path, weights: model, delivered: from}
	j.request = routing.Request{
		ID: x.id, Account: x.account, Model: c.model, Adapter: c.adapter, PromptTokens: f.tokens.estimate(c.model, len(c.prompt)),
		MaxTokens: c.output, Priority: priority, Idempotent: true,
	}
	j.setVersion(version)
	return j, nil
}

// setVersion names the weights to run on, and with them the cache namespace.
func (j *job) setVersion(version string) {
	j.seed = prefix.Namespace{Account: j.account, Model: j.completion.model, Adapter: j.adapter, Version: version}.Seed()
	j.request.Version, j.request.Seed = version, j.seed
	j.request.Chain = prefix.Chain(j.seed, j.prompt)
}

// rolling waits for the next look at the weights that engines run, while an engine had
// others than routing knew of. It reports whether the request may go on; nothing of it
// has run.
func (f *Front) rolling(j *job, err error) bool {
	if !errors.Is(err, errOtherWeights) || j.delivered > 0 || time.Since(j.start) > f.settings.QueueTimeout {
		return false
	}
	pause(j.ctx, f.settings.RetryPause)
	if version := f.serving(j.exchange, j.completion, j.weights); version != j.request.Version {
		j.setVersion(version)
		j.request.Exclude = nil
	}
	return j.ctx.Err() == nil
}

// siblingBytes is the length of prompt by which requests that share a prefix stay on
// one weights version while new weights are rolled out.
const siblingBytes = 4000

// serving returns the weights version to run on.
func (f *Front) serving(x *exchange, c *completion, model *pb.Model) string {
	versioner, ok := f.router.(routing.VersionSelector)
	if !ok {
		return model.GetWeightsVersion()
	}
	key := xxhash.New()
	_, _ = key.WriteString(x.account)
	_, _ = key.Write(c.prompt[:min(len(c.prompt), siblingBytes)])
	return versioner.SelectVersion(c.model, model.GetWeightsVersion(), key.Sum64())
}

func (f *Front) modelRoute(x *exchange, view *state.View, c *completion) (*pb.Route, *pb.Model, error) {
	route, ok := view.ModelRoute(c.model)
	model, known := view.Model(c.model)
	if !ok || !known {
		return nil, nil, errkind.New(errkind.NotFound, "no such model")
	}
	account, err := f.admit(view, x.token, route)
	if err != nil {
		return nil, nil, err
	}
	x.account, x.route = account, route.GetName()
	if c.adapter != "" && !slices.Contains(model.GetAdapters(), c.adapter) {
		return nil, nil, errkind.New(errkind.NotFound, "no such adapter")
	}
	return route, model, nil
}

// resumePosition returns the last position that the caller has.
func resumePosition(r *http.Request) (int, error) {
	text := r.Header.Get(engineapi.HeaderLastEventID)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, errkind.New(errkind.InvalidRequest, "Last-Event-ID must be a position")
	}
	return n, nil
}

// reserve takes tokens of the account's grant; an open route has none.
func (f *Front) reserve(x *exchange, tokens int64) (grants.Reservation, error) {
	if x.account == "" || tokens <= 0 {
		return noReservation{}, nil
	}
	return f.limiter.Reserve(x.ctx, x.account, tokens)
}

type noReservation struct{}

// Settle does nothing.
func (noReservation) Settle(int64) {}

// used is what the request has cost, in tokens.
func (j *job) used() int64 {
	if j.usage.TotalTokens > 0 {
		return int64(j.usage.TotalTokens)
	}
	if j.firstAt == 0 && j.delivered == 0 {
		return 0
	}
	return int64(j.request.PromptTokens + j.events)
}

// run tries engines until the answer is whole or cannot become so.
func (f *Front) run(j *job) error {
	for attempt := 1; ; attempt++ {
		ticket, err := f.pickAgain(j.ctx, &j.tries)
		if err != nil {
			return j.ended(err, j.begun)
		}
		err = f.attempt(j, ticket)
		if err == nil {
			return nil
		}
		j.failed(ticket, err)
		if f.rolling(j, err) {
			attempt--
			continue
		}
		if !f.mayRetry(j, err, attempt) {
			return j.ended(err, j.begun)
		}
		f.metrics.retries.WithLabelValues(j.account, j.route).Inc()
	}
}

// mayRetry allows another endpoint when what the caller has can be continued.
func (f *Front) mayRetry(j *job, err error, attempt int) bool {
	if j.ctx.Err() != nil || attempt >= f.settings.MaxAttempts || (j.delivered > 0 && !j.numbered) {
		return false
	}
	switch errkind.Of(err).Kind {
	case errkind.EndpointFailed, errkind.StreamBroken, errkind.Overloaded:
		return f.budget.Spend()
	}
	return false
}

func (f *Front) measure(j *job, err error) {
	labels := []string{j.account, j.route}
	if j.firstAt > 0 {
		f.metrics.firstToken.WithLabelValues(labels...).Observe(j.firstAt.Seconds())
	}
	if err != nil {
		return
	}
	f.metrics.requests.WithLabelValues(labels...).Inc()
	f.metrics.promptTokens.WithLabelValues(labels...).Add(float64(j.usage.PromptTokens))
	f.metrics.cachedTokens.WithLabelValues(labels...).Add(float64(j.usage.Details.CachedTokens))
	f.metrics.outputTokens.WithLabelValues(labels...).Add(float64(j.usage.CompletionTokens))
}
