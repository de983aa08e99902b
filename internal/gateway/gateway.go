package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/routing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Directory tells what is in force on this VM.
type Directory interface {
	View() *fleetview.View
	// Age is how long ago the view was certainly current.
	Age() time.Duration
}

// Deps is what a Gateway works with.
type Deps struct {
	Directory Directory
	Limiter   grants.Limiter
	Router    routing.Router
	Upstream  Upstream
	Retries   *RetryBudgets
	// Closing says that this VM stops and takes no further requests.
	Closing func() bool
	// MaxViewAge is the age from which on a view is not acted on; 0 sets no bound.
	MaxViewAge time.Duration
	Metrics    *Metrics
	Log        *zap.Logger
}

// Gateway serves requests.
type Gateway struct{ Deps }

// New returns a gateway.
func New(d Deps) *Gateway { return &Gateway{d} }

const (
	// answerMargin is kept of the client's time for the way back of an answer.
	answerMargin = 20 * time.Millisecond
	// comeBackSoon is told when a moment's change (a place, a server) is all it takes.
	comeBackSoon = 200 * time.Millisecond
	// comeBackNow is told where another VM can serve at once.
	comeBackNow = 10 * time.Millisecond
	// electionUsual is how long after a VM's start a configuration is usually known when
	// control restarted at the same time: an election and a poll.
	electionUsual = 1200 * time.Millisecond
	// queueShare is the part of the target time that a request may wait for a place when
	// it can still be useful afterwards.
	queueShare = 0.9
)

// exchange is one request and its answer.
type exchange struct {
	*Request
	w       http.ResponseWriter
	ctx     context.Context
	route   *fleet.Route
	service string
	account *fleet.Account
	until   time.Time        // when the answer must be complete
	sends   atomic.Int32     // to servers, with at least one byte
	mayRun  bool             // a server may have run it
	begun   bool             // the head of the answer has been written
	status  int              // of a server's answer that went to the client, or 0
	server  string           // last one asked
	place   routing.Decision // the last one
	resumed int
}

// Serve answers one request. ctx ends when the client leaves. It reports whether the
// answer is complete; if not, the connection must be broken so that it does not look so.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, r *Request) (complete bool) {
	x := &exchange{Request: r, w: w, ctx: ctx}
	err := g.serve(x)
	g.finish(x, err)
	if err == nil {
		return true
	}
	if x.begun || errkind.Is(err, errkind.Canceled) {
		return false // the client has left, or must see that the answer is cut
	}
	g.refuse(x, err)
	return true
}

func (g *Gateway) serve(x *exchange) error {
	if g.Closing() {
		return errkind.New(errkind.Draining, "this VM is stopping").WithRetryAfter(comeBackNow)
	}
	view := g.Directory.View()
	if view.Config == nil {
		return errkind.New(errkind.Stale, "no configuration is known yet").WithRetryAfter(max(electionUsual-g.Directory.Age(), comeBackSoon))
	}
	if age := g.Directory.Age(); g.MaxViewAge > 0 && age >= g.MaxViewAge {
		return errkind.New(errkind.Stale, "the configuration was last known to be current %v ago", age).WithRetryAfter(comeBackSoon)
	}
	if limit := view.Config.Limits.MaxBodyBytes; limit > 0 && int64(len(x.Body)) > limit {
		return errkind.New(errkind.TooLarge, "body of more than %d bytes", limit)
	}
	if x.route = view.Config.Match(x.Host, x.Path); x.route == nil {
		return errkind.New(errkind.NotFound, "no route for this host and path")
	}
	if err := x.authenticate(view.Config); err != nil {
		return err
	}
	x.service = x.route.Choose(point(x.ID))
	x.until = x.Arrived.Add(x.route.Timeout)
	if x.ClientTimeout > 0 && x.ClientTimeout-answerMargin < x.route.Timeout {
		x.until = x.Arrived.Add(x.ClientTimeout - answerMargin)
	}
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadlineCause(x.ctx, x.until, errTimeUp)
	defer cancel()
	reservation, err := g.reserve(x)
	if err != nil {
		return x.ended(err)
	}
	g.Retries.Earn(x.service)
	err = g.attempts(x)
	if reservation != nil {
		used := x.cost()
		if err != nil && !x.mayRun {
			used = 0
		}
		reservation.Settle(used)
	}
	return err
}

// errTimeUp is the cause of a request that ran out of its time.
var errTimeUp = errors.New("time is up")

func (x *exchange) authenticate(c *fleet.Config) error {
	if x.route.Public || !c.RequiresKey() {
		return nil
	}
	if x.account = c.AccountByKey(x.APIKey); x.account == nil {
		return errkind.New(errkind.Unauthenticated, "unknown key")
	}
	return nil
}

// cost is what the request counts against its account's grant, in tokens.
func (x *exchange) cost() int64 {
	if x.Prompt.Known {
		return int64(x.Prompt.Tokens + x.Prompt.MaxOutput)
	}
	return x.account.PlainTokens
}

func (g *Gateway) reserve(x *exchange) (grants.Reservation, error) {
	if x.account == nil || x.account.Rate == 0 {
		return nil, nil
	}
	defer g.Metrics.waited(x.route.Name, forTokens, time.Now())
	return g.Limiter.Reserve(x.ctx, x.account.Name, x.cost())
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// wall names the account whose cache is nobody else's, or "".
func (x *exchange) wall() string {
	if x.account != nil && x.account.Isolated {
		return x.account.Name
	}
	return ""
}

// salt is the cache namespace on a server with the weights. The version keeps cache from
// being copied between servers whose weights differ; servers refuse a version that is
// not theirs, so what stands under a salt was made by its weights.
func (x *exchange) salt(version int64) string {
	return prefix.Namespace{Account: x.wall(), Model: x.Prompt.Model, Version: strconv.FormatInt(version, 10)}.Seed().Salt()
}

// priority is from 0, the most urgent.
func (x *exchange) priority() int {
	if x.account != nil && x.account.Priority != nil {
		return *x.account.Priority
	}
	return x.route.Priority
}

// point spreads requests evenly from 0 up to 1 by their ID.
func point(id string) float64 {
	const bits = 53 // of a float64's mantissa
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// routed is the request as routing knows it.
func (x *exchange) routed(exclude []string) routing.Request {
	r := routing.Request{
		ID: x.ID, Account: x.accountName(), Service: x.service, Priority: -x.priority(),
		Idempotent: x.route.Retryable(), Exclude: exclude, PromptTokens: x.Prompt.Tokens, MaxTokens: x.Prompt.MaxOutput,
		LongestWait: x.longestWait(), TimeLeft: time.Until(x.until),
	}
	if !x.Prompt.Known || len(x.Prompt.Parts) == 0 {
		return r
	}
	r.Seed = prefix.Namespace{Account: x.wall(), Model: x.Prompt.Model}.Seed()
	names := make([]string, len(x.Prompt.Parts))
	end := 0
	for i, p := range x.Prompt.Parts {
		names[i] = p.Name
		end += p.Tokens
		r.PieceEnds = append(r.PieceEnds, end)
	}
	r.Chain = prefix.ChainOf(r.Seed, names)
	return r
}

// longestWait is how long the request may wait for a place: it has to leave time to run.
func (x *exchange) longestWait() time.Duration {
	left := time.Until(x.until)
	if target := time.Until(x.Arrived.Add(time.Duration(queueShare * float64(x.route.TargetLatency)))); target > 0 && target < left {
		return target
	}
	return max(left/2, time.Millisecond)
}

// finish writes the request's line and counts it.
func (g *Gateway) finish(x *exchange, err error) {
	route, kind, outcome := "", "", errkind.Completed
	if x.route != nil {
		route = x.route.Name
	}
	if e := errkind.Of(err); e != nil {
		kind, outcome = e.Kind.String(), e.Outcome
	}
	took := time.Since(x.Arrived)
	g.Metrics.finished(route, x.accountName(), kind, took)
	fields := []zap.Field{
		zap.String("request", x.ID), zap.String("route", route), zap.String("client_account", x.accountName()),
		zap.String("server", x.server), zap.Int("status", x.status), zap.Int32("sends", x.sends.Load()), zap.Int("resumed", x.resumed), zap.String("prefix", x.Prompt.first()), zap.Int("prompt_tokens", x.Prompt.Tokens), zap.Int("cached_tokens", x.place.CachedTokens),
		zap.String("import_from", x.place.ImportFrom), zap.String("save_to", x.place.SaveTo), zap.String("weights", x.place.Weights),
		zap.Duration("took", took), zap.Duration("config_age", g.Directory.Age()), zap.String("outcome", string(outcome)),
	}
	if err != nil {
		g.Log.Warn("request failed", append(fields, zap.String("kind", kind), zap.Error(err))...)
		return
	}
	g.Log.Info("request served", fields...)
}

// refuse answers with an error. One that says not-run was never sent, or every server
// that got it said so.
func (g *Gateway) refuse(x *exchange, err error) {
	e := errkind.Of(err)
	status := e.Kind.Answer().HTTP
	h := x.w.Header()
	if e.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(e.Kind.String() + "\n")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		g.Log.Debug("client left before its refusal", zap.String("request", x.ID), zap.Error(err))
	}
}
