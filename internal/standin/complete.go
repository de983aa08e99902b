package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/oracle"
	"eelgrasshollow/internal/prefix"
)

// crossedAnswer is an earlier answer that the crossed fault sends again.
type crossedAnswer struct {
	id   string
	call *call
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCall(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if reason := e.refuse(r, c); reason != "" {
		writeError(w, http.StatusConflict, "wrong_weights", reason)
		return
	}
	from := max(c.ResumeFrom, 1)
	e.run(w, r, c, from)
}

// refuse records what a test wants to know and checks that the model is loaded.
func (e *Engine) refuse(r *http.Request, c *call) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	e.stats.SawSecret = e.stats.SawSecret || carriesSecret(r)
	e.salts[c.CacheSalt] = true
	if c.ResumeFrom > 1 {
		e.stats.Resumed++
	}
	if len(e.models) == 0 {
		return ""
	}
	version, ok := e.models[c.Model]
	if !ok {
		return "model is not loaded"
	}
	if c.WeightsVersion != "" && c.WeightsVersion != version {
		return "loaded weights are " + version
	}
	return ""
}

// resume goes on with a stream after the position that the client saw last.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	if s != nil {
		e.stats.Resumed++
	}
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream in this incarnation")
		return
	}
	last, err := strconv.Atoi(r.Header.Get(engineapi.HeaderLastEventID))
	if err != nil || last < 0 {
		last = 0
	}
	c := *s.call
	c.Stream = true
	e.run(w, r, &c, last+1)
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	var cancel context.CancelFunc
	if s != nil {
		cancel = s.cancel
	}
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream in this incarnation")
		return
	}
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// run waits for a place in the batch, computes the prompt and writes the answer from
// a position on.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, c *call, from int) {
	ctx, stop := e.untilCrash(r.Context())
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.remember(c, cancel)
	defer e.forgetCancel(c.id)

	a := answerWriter{w: w, call: c, from: from, total: c.tokens()}
	a.usage.PromptTokens = prefix.Tokens(len(c.prompt))
	if !e.generate(ctx, c, &a) {
		e.count(func(s *EngineStats) { s.Canceled++ })
		if e.hasCrashed(ctx, r.Context()) || a.started {
			panic(http.ErrAbortHandler)
		}
		return
	}
	e.count(func(s *EngineStats) { s.Completed++ })
}

func (e *Engine) generate(ctx context.Context, c *call, a *answerWriter) bool {
	tokens := prefix.Tokens(len(c.prompt))
	if e.batch.acquire(ctx, c.Priority, tokens) != nil {
		return false
	}
	e.addRunning(1)
	defer func() { e.addRunning(-1); e.batch.release() }()
	cached, ok := e.computePrompt(ctx, c, tokens)
	if !ok || !e.faults.hold(ctx) {
		return false
	}
	if late, hit := e.faults.strike(FaultLate); hit && !sleep(ctx, time.Duration(late.DelayMS)*time.Millisecond) {
		return false
	}
	a.usage.Details.CachedTokens = cached
	return e.answer(ctx, c, a)
}

// computePrompt imports what a kept-cache store has and computes the rest; it returns
// the tokens that did not have to be computed.
func (e *Engine) computePrompt(ctx context.Context, c *call, tokens int) (cached int, ok bool) {
	chain := chainOf(c.CacheSalt, c.prompt)
	held := e.lookup(chain)
	if c.ImportFrom != "" && held < len(chain) {
		held += e.importChain(ctx, c.ImportFrom, c.CacheSalt, chain[held:])
	}
	cached = min(held*prefix.PieceTokens, tokens)
	if e.prefill.acquire(ctx, c.Priority, 0) != nil {
		return 0, false
	}
	done := sleep(ctx, time.Duration(float64(tokens-cached)/e.config.PrefillRate*float64(time.Second)))
	e.prefill.release()
	if !done {
		return 0, false
	}
	e.store(c.CacheSalt, chain)
	e.count(func(s *EngineStats) { s.PromptTokens += tokens; s.CachedTokens += cached })
	return cached, true
}

// answer writes the tokens one by one; a false return means that the stream was cut.
func (e *Engine) answer(ctx context.Context, c *call, a *answerWriter) bool {
	if _, hit := e.faults.strike(FaultEmpty); hit {
		a.empty()
		return true
	}
	if _, hit := e.faults.strike(FaultCrossed); hit {
		a.crossWith(e.previous())
	}
	cut, cutHere := e.faults.strike(FaultCutStream)
	a.begin()
	for position := 1; position <= a.total; position++ {
		if cutHere && position-a.from >= cut.AfterTokens {
			a.started = true
			return false
		}
		if position >= a.from {
			if !sleep(ctx, e.tokenTime()) || !e.faults.hold(ctx) {
				return false
			}
		}
		if !a.token(position, oracle.Token(oracle.RequestHash(a.call.Model, a.call.prompt), position)) {
			return false
		}
	}
	a.finish()
	e.setPrevious(c)
	return true
}

// tokenTime grows with the batch, as a shared step does.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := 1 + float64(e.running-1)/float64(e.config.BatchSlots)
	return time.Duration(float64(e.config.TokenTime) * share)
}

func (e *Engine) addRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
}

func (e *Engine) count(f func(*EngineStats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.stats)
}

func (e *Engine) previous() crossedAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastAnswer
}

func (e *Engine) setPrevious(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastAnswer = crossedAnswer{c.id, c}
}

// remember keeps the call for a resume, dropping the oldest beyond the bound.
func (e *Engine) remember(c *call, cancel context.CancelFunc) {
	if c.id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[c.id] == nil {
		e.streamOrder = append(e.streamOrder, c.id)
	}
	e.streams[c.id] = &stream{call: c, cancel: cancel}
	for len(e.streamOrder) > streamsKept {
		delete(e.streams, e.streamOrder[0])
		e.streamOrder = e.streamOrder[1:]
	}
}

func (e *Engine) forgetCancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		s.cancel = nil
	}
}

// untilCrash returns a context that ends with ctx or with this incarnation.
func (e *Engine) untilCrash(ctx context.Context) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(crashed, cancel)
	return ctx, func() { detach(); cancel() }
}

// hasCrashed reports whether ctx ended for another reason than its caller's.
func (e *Engine) hasCrashed(ctx, caller context.Context) bool {
	return ctx.Err() != nil && caller.Err() == nil
}

func looksLikeKey(text string) bool { return strings.Contains(text, "eg_") }

func writeError(w http.ResponseWriter, status int, kind, text string) {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}
	writeJSON(w, status, struct {
		Error detail `json:"error"`
	}{detail{text, kind}})
}
