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

// previousAnswer identifies the last completed request, whose answer FaultCrossed sends.
type previousAnswer struct {
	id   string
	call *call
}

// complete serves a chat or text completion.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	echoRequestID(w, r)
	c, err := decodeCall(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if reason := e.recordAndCheck(r, c); reason != "" {
		writeError(w, http.StatusConflict, "wrong_weights", reason)
		return
	}
	if e.faults.pause(w) {
		return
	}
	from := max(c.ResumeFrom, 1)
	e.serveCall(w, r, c, from)
}

// recordAndCheck updates the counts for a request and checks that its model and weights
// version are loaded. It returns the reason for a refusal, or "".
func (e *Engine) recordAndCheck(r *http.Request, c *call) string {
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

// resume continues a stream after the position in the Last-Event-ID header.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	echoRequestID(w, r)
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
	e.serveCall(w, r, &c, last+1)
}

// cancelStream ends the generation of a stream.
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

// serveCall waits for a slot in the batch, computes the prompt and writes the response
// starting at position from. If that fails after the response has started or because the
// engine crashed, it aborts the connection.
func (e *Engine) serveCall(w http.ResponseWriter, r *http.Request, c *call, from int) {
	ctx, stop := e.untilCrash(r.Context())
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.registerStream(c, cancel)
	defer e.clearCancel(c.id)

	a := answerWriter{w: w, call: c, firstPosition: from, tokenCount: c.outputTokens()}
	a.usage.PromptTokens = prefix.Tokens(len(c.prompt))
	if !e.generate(ctx, c, &a) {
		e.updateStats(func(s *EngineStats) { s.Canceled++ })
		if e.endedByEngine(ctx, r.Context()) || a.started {
			panic(http.ErrAbortHandler)
		}
		return
	}
	e.updateStats(func(s *EngineStats) { s.Completed++ })
}

// generate computes a call and writes its response. It returns false if ctx ended or the
// response was cut.
func (e *Engine) generate(ctx context.Context, c *call, a *answerWriter) bool {
	tokens := prefix.Tokens(len(c.prompt))
	if e.batch.acquire(ctx, c.Priority, tokens) != nil {
		return false
	}
	e.addRunning(1)
	defer func() { e.addRunning(-1); e.batch.release() }()
	cached, ok := e.computePrompt(ctx, c, tokens)
	if !ok || !e.faults.waitWhileSilent(ctx) {
		return false
	}
	if late, hit := e.faults.trigger(FaultLate); hit && !sleep(ctx, time.Duration(late.DelayMS)*time.Millisecond) {
		return false
	}
	a.usage.Details.CachedTokens = cached
	return e.writeAnswer(ctx, c, a)
}

// computePrompt imports uncached blocks from the kept-cache store that the call names, if any,
// and computes the rest of the prompt. It returns the number of tokens that were cached or
// imported, and false if ctx ended.
func (e *Engine) computePrompt(ctx context.Context, c *call, tokens int) (cached int, ok bool) {
	chain := chainOf(c.CacheSalt, c.prompt)
	cachedCount := e.cachedBlocks(c.CacheSalt, chain)
	if c.ImportFrom != "" && cachedCount < len(chain) {
		cachedCount += e.importChain(ctx, c.ImportFrom, c.CacheSalt, chain[cachedCount:])
	}
	cached = min(cachedCount*prefix.PieceTokens, tokens)
	if e.prefill.acquire(ctx, c.Priority, 0) != nil {
		return 0, false
	}
	computed := sleep(ctx, time.Duration(float64(tokens-cached)/e.config.PrefillRate*float64(time.Second)))
	e.prefill.release()
	if !computed {
		return 0, false
	}
	e.storeBlocks(c.CacheSalt, chain)
	e.updateStats(func(s *EngineStats) { s.PromptTokens += tokens; s.CachedTokens += cached })
	return cached, true
}

// writeAnswer writes the tokens one by one. It returns false if the response was cut.
func (e *Engine) writeAnswer(ctx context.Context, c *call, a *answerWriter) bool {
	if _, hit := e.faults.trigger(FaultEmpty); hit {
		a.writeEmpty()
		return true
	}
	if _, hit := e.faults.trigger(FaultCrossed); hit {
		a.replaceCall(e.readLastAnswer())
	}
	cut, shouldCut := e.faults.trigger(FaultCutStream)
	a.writeHeader()
	for position := 1; position <= a.tokenCount; position++ {
		if shouldCut && position-a.firstPosition >= cut.AfterTokens {
			a.started = true
			return false
		}
		if position >= a.firstPosition {
			if !sleep(ctx, e.tokenTime()) || !e.faults.waitWhileSilent(ctx) {
				return false
			}
		}
		if !a.writeToken(position, oracle.Token(oracle.RequestHash(a.call.Model, a.call.prompt), position)) {
			return false
		}
	}
	a.finish()
	e.setLastAnswer(c)
	return true
}

// tokenTime returns the time between tokens. It grows with the number of running requests,
// because they share each step of the batch.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowdown := 1 + float64(e.running-1)/float64(e.config.BatchSlots)
	return time.Duration(float64(e.config.TokenTime) * slowdown)
}

func (e *Engine) addRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
}

func (e *Engine) updateStats(f func(*EngineStats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.stats)
}

func (e *Engine) readLastAnswer() previousAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastAnswer
}

func (e *Engine) setLastAnswer(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastAnswer = previousAnswer{c.id, c}
}

// registerStream stores the call for resume and cancel and removes the oldest beyond maxStreams.
func (e *Engine) registerStream(c *call, cancel context.CancelFunc) {
	if c.id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[c.id] == nil {
		e.streamOrder = append(e.streamOrder, c.id)
	}
	e.streams[c.id] = &stream{call: c, cancel: cancel}
	for len(e.streamOrder) > maxStreams {
		delete(e.streams, e.streamOrder[0])
		e.streamOrder = e.streamOrder[1:]
	}
}

// clearCancel marks a stream as ended.
func (e *Engine) clearCancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		s.cancel = nil
	}
}

// untilCrash returns a context that ends with ctx or with the current incarnation.
func (e *Engine) untilCrash(ctx context.Context) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(crashed, cancel)
	return ctx, func() { detach(); cancel() }
}

// endedByEngine reports whether ctx, derived from parent by untilCrash, ended while parent has
// not: the engine crashed, or the stream was canceled.
func (e *Engine) endedByEngine(ctx, parent context.Context) bool {
	return ctx.Err() != nil && parent.Err() == nil
}

// looksLikeKey reports whether a text contains the prefix of client keys.
func looksLikeKey(text string) bool { return strings.Contains(text, "eg_") }

// echoRequestID sets the ID of a request in its response, whatever that will be.
func echoRequestID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(engineapi.HeaderRequestID); id != "" {
		w.Header().Set(engineapi.HeaderRequestID, id)
	}
}

// writeError sends an error response in OpenAI's format.
func writeError(w http.ResponseWriter, status int, kind, text string) {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}
	writeJSON(w, status, struct {
		Error detail `json:"error"`
	}{detail{text, kind}})
}
