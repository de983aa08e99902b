package policybench

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/prefix"
)

// EngineModel is the cost model of the simulated engine.
type EngineModel struct {
	PrefillTimePerToken time.Duration
	StepBaseTime        time.Duration
	StepTimePerSequence time.Duration
	PrefillChunkTokens  int           // maximum number of prefill tokens per step
	MaxSequences        int           // maximum number of sequences that run concurrently
	CachePieces         int           // capacity of the prefix cache
	MinEventDelay       time.Duration // the actual delay is between this and four times this
	EventLossRate       float64
	LoadReportInterval  time.Duration
}

var defaultEngineModel = EngineModel{
	PrefillTimePerToken: 80 * time.Microsecond, StepBaseTime: 8 * time.Millisecond, StepTimePerSequence: 200 * time.Microsecond,
	PrefillChunkTokens: 2000, MaxSequences: 16, CachePieces: 150,
	MinEventDelay: 200 * time.Millisecond, EventLossRate: 0.05, LoadReportInterval: 500 * time.Millisecond,
}

// job is a request at an engine.
type job struct {
	chain           []prefix.Hash
	promptTokens    int
	expectedTokens  int // prompt tokens to compute, as estimated when the request was sent
	outputTokens    int
	priority        int
	scheduled       bool
	cachedTokens    int // prompt tokens found in the cache when the job was scheduled
	remainingTokens int // prompt tokens still to compute
	cachedPieces    int // leading pieces of chain that are in the cache and referenced by this job
	producedTokens  int
	onFirstToken    func(cachedTokens int)
	onDone          func(failed bool, cachedTokens int)
}

// block is a piece in an engine's prefix cache. A block with references is not evicted.
type block struct {
	hash       prefix.Hash
	references int
}

// engine simulates an inference engine with continuous batching and a prefix cache.
type engine struct {
	name        string
	domain      string
	loop        *loop
	model       EngineModel
	rng         *rand.Rand
	fleet       *fleet
	down        bool
	generation  int    // number of crashes so far; part of the incarnation
	unscheduled []*job // sent, but not yet looked up in the cache
	waiting     []*job
	running     []*job
	blocks      map[prefix.Hash]*list.Element
	lru         *list.List // of *block, most recently used first
	stepping    bool
	timeFactor  func() float64 // of steps; nil for 1
	eventSeq    uint64
}

func (e *engine) incarnation() string { return fmt.Sprintf("%s-%d", e.name, e.generation) }

// submit queues a job. If the engine is down, the job fails immediately.
func (e *engine) submit(j *job) {
	if e.down {
		j.onDone(true, 0)
		return
	}
	e.waiting = append(e.waiting, j)
	e.stepIfIdle()
}

// stepIfIdle starts a step unless one is running or there are no jobs.
func (e *engine) stepIfIdle() {
	if e.stepping || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.step()
}

// step starts one iteration, which computes up to PrefillChunkTokens prompt tokens and one
// output token of every decoding sequence.
func (e *engine) step() {
	for len(e.running) < e.model.MaxSequences && len(e.waiting) > 0 {
		e.running = append(e.running, e.nextWaiting())
	}
	budget, decoding := e.model.PrefillChunkTokens, 0
	var prefilled []*job
	for _, j := range e.running {
		if j.scheduled && j.remainingTokens == 0 {
			decoding++
			continue
		}
		if budget == 0 {
			continue
		}
		if !j.scheduled {
			e.schedule(j)
		}
		n := min(budget, j.remainingTokens)
		j.remainingTokens -= n
		budget -= n
		prefilled = append(prefilled, j)
	}
	cost := e.model.StepBaseTime + time.Duration(e.model.PrefillChunkTokens-budget)*e.model.PrefillTimePerToken + time.Duration(decoding)*e.model.StepTimePerSequence
	if e.timeFactor != nil {
		cost = time.Duration(float64(cost) * e.timeFactor())
	}
	generation := e.generation
	e.loop.after(cost, func() {
		if e.generation == generation {
			e.finishStep(prefilled)
		}
	})
}

// nextWaiting removes and returns the waiting job with the highest priority, the earliest among equals.
func (e *engine) nextWaiting() *job {
	best := 0
	for i, j := range e.waiting {
		if j.priority > e.waiting[best].priority {
			best = i
		}
	}
	j := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	return j
}

// schedule looks up the prompt in the cache and references the cached pieces.
func (e *engine) schedule(j *job) {
	j.scheduled = true
	e.unscheduled = slices.DeleteFunc(e.unscheduled, func(o *job) bool { return o == j })
	for j.cachedPieces < len(j.chain) {
		element, ok := e.blocks[j.chain[j.cachedPieces]]
		if !ok {
			break
		}
		element.Value.(*block).references++
		e.lru.MoveToFront(element)
		j.cachedPieces++
	}
	j.cachedTokens = min(j.cachedPieces*prefix.PieceTokens, j.promptTokens-1)
	j.remainingTokens = j.promptTokens - j.cachedTokens
	e.fleet.countWasted(e, j)
}

// finishStep stores the computed pieces, completes finished jobs and starts the next step.
func (e *engine) finishStep(prefilled []*job) {
	for _, j := range prefilled {
		e.store(j)
		if j.remainingTokens == 0 {
			j.onFirstToken(j.cachedTokens)
		}
	}
	var unfinished []*job
	for _, j := range e.running {
		if j.scheduled && j.remainingTokens == 0 {
			j.producedTokens++
		}
		if j.producedTokens >= j.outputTokens && j.producedTokens > 0 {
			e.release(j)
			j.onDone(false, j.cachedTokens)
			continue
		}
		unfinished = append(unfinished, j)
	}
	e.running = unfinished
	e.stepping = false
	e.stepIfIdle()
}

// store adds the completely computed pieces of a job to the cache, evicts others if necessary
// and publishes both changes.
func (e *engine) store(j *job) {
	computed := (j.promptTokens - j.remainingTokens) / prefix.PieceTokens
	var stored []prefix.Hash
	for j.cachedPieces < len(j.chain) && j.cachedPieces < computed {
		h := j.chain[j.cachedPieces]
		element, ok := e.blocks[h]
		if !ok {
			element = e.lru.PushFront(&block{hash: h})
			e.blocks[h] = element
			e.fleet.holders[h]++
			stored = append(stored, h)
		}
		element.Value.(*block).references++
		j.cachedPieces++
	}
	e.publish(engineapi.EventStored, stored)
	e.publish(engineapi.EventRemoved, e.evict())
}

// evict removes the least recently used blocks without references until the cache is within its
// capacity. It returns their hashes.
func (e *engine) evict() []prefix.Hash {
	var evicted []prefix.Hash
	for element := e.lru.Back(); element != nil && e.lru.Len() > e.model.CachePieces; {
		previous := element.Prev()
		if b := element.Value.(*block); b.references == 0 {
			e.lru.Remove(element)
			delete(e.blocks, b.hash)
			e.fleet.removeHolder(b.hash)
			evicted = append(evicted, b.hash)
		}
		element = previous
	}
	return evicted
}

// release drops the references of a finished job, deepest piece first, so that parents are
// evicted last.
func (e *engine) release(j *job) {
	for i := j.cachedPieces - 1; i >= 0; i-- {
		if element, ok := e.blocks[j.chain[i]]; ok {
			element.Value.(*block).references--
			e.lru.MoveToFront(element)
		}
	}
}

// crash fails the running and waiting jobs and clears the cache. The engine is down until restart.
func (e *engine) crash() {
	failedJobs := append(e.running, e.waiting...)
	for h := range e.blocks {
		e.fleet.removeHolder(h)
	}
	e.down, e.stepping, e.running, e.waiting, e.unscheduled = true, false, nil, nil, nil
	e.generation++
	e.eventSeq = 0
	e.blocks, e.lru = map[prefix.Hash]*list.Element{}, list.New()
	for _, j := range failedJobs {
		j.onDone(true, 0)
	}
}

func (e *engine) restart() { e.down = false }

// publish sends a cache event to fleet.onCacheEvent after a random delay, or drops it with
// probability EventLossRate.
func (e *engine) publish(kind string, hashes []prefix.Hash) {
	if len(hashes) == 0 || e.fleet.onCacheEvent == nil {
		return
	}
	e.eventSeq++
	ev := cacheEvent{engine: e.name, incarnation: e.incarnation(), seq: e.eventSeq, kind: kind, hashes: hashes}
	if e.rng.Float64() < e.model.EventLossRate {
		return
	}
	delay := e.model.MinEventDelay + time.Duration(e.rng.Float64()*3*float64(e.model.MinEventDelay))
	e.loop.after(delay, func() { e.fleet.onCacheEvent(ev) })
}

// cacheEvent reports blocks that an engine stored in or removed from its cache.
type cacheEvent struct {
	engine      string
	incarnation string
	seq         uint64
	kind        string
	hashes      []prefix.Hash
}

// pendingTokens returns the number of prompt tokens to compute for the jobs that the engine
// already has or that are on their way to it.
func (e *engine) pendingTokens() int {
	n := 0
	for _, j := range e.unscheduled {
		n += j.expectedTokens
	}
	for _, j := range e.running {
		n += j.remainingTokens
	}
	return n
}

// fleet holds the engines and the state that they share.
type fleet struct {
	engines      []*engine
	byName       map[string]*engine
	holders      map[prefix.Hash]int                       // number of engines that have the piece in their cache
	onCacheEvent func(cacheEvent)                          // optional
	onScheduled  func(e *engine, j *job, wastedTokens int) // called after the cache lookup of a job
}

func (f *fleet) removeHolder(h prefix.Hash) {
	if f.holders[h]--; f.holders[h] == 0 {
		delete(f.holders, h)
	}
}

// countWasted reports to onScheduled how many of the job's uncached tokens are in the cache of
// some live engine.
func (f *fleet) countWasted(e *engine, j *job) {
	wastedTokens := 0
	for _, h := range j.chain[j.cachedPieces:] {
		if f.holders[h] > 0 {
			wastedTokens += prefix.PieceTokens
		}
	}
	f.onScheduled(e, j, wastedTokens)
}

// failureDomain returns the failure domain of engine i. There are four.
func failureDomain(i int) string { return fmt.Sprintf("fd-%d", i%4+1) }

func newFleet(l *loop, engineCount int, model EngineModel, seed uint64) *fleet {
	f := &fleet{byName: map[string]*engine{}, holders: map[prefix.Hash]int{}}
	for i := range engineCount {
		e := &engine{
			name: fmt.Sprintf("engine-%d", i+1), domain: failureDomain(i), loop: l, model: model, fleet: f,
			rng:    rand.New(rand.NewPCG(seed, uint64(i))),
			blocks: map[prefix.Hash]*list.Element{}, lru: list.New(),
		}
		f.engines = append(f.engines, e)
		f.byName[e.name] = e
	}
	return f
}
