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

// EngineModel is the cost model of the fake endpoint.
type EngineModel struct {
	PrefillTimePerToken time.Duration
	StepBaseTime        time.Duration
	StepTimePerSequence time.Duration
	PrefillChunkTokens  int // prefill tokens of one step
	MaxSequences        int // sequences at a time
	CachePieces         int
	MinEventDelay       time.Duration // least; up to four times as late
	EventLossRate       float64
	LoadReportInterval  time.Duration
}

var defaultShape = EngineModel{
	PrefillTimePerToken: 80 * time.Microsecond, StepBaseTime: 8 * time.Millisecond, StepTimePerSequence: 200 * time.Microsecond,
	PrefillChunkTokens: 2000, MaxSequences: 16, CachePieces: 150,
	MinEventDelay: 200 * time.Millisecond, EventLossRate: 0.05, LoadReportInterval: 500 * time.Millisecond,
}

// job is a request at an engine.
type job struct {
	chain     []prefix.Hash
	prompt    int
	expected  int // tokens to compute, as it looked when it was sent
	output    int
	priority  int
	scheduled bool
	cached    int // tokens
	left      int // prompt tokens to compute
	done      int // pieces in the cache
	produced  int
	onFirst   func(cached int)
	onDone    func(failed bool, cached int)
}

type block struct {
	hash  prefix.Hash
	users int
}

// engine is the fake endpoint.
type engine struct {
	name     string
	domain   string
	loop     *loop
	shape    EngineModel
	rng      *rand.Rand
	fleet    *fleet
	down     bool
	run      int    // incarnation
	coming   []*job // sent and not yet looked up in the cache
	waiting  []*job
	running  []*job
	blocks   map[prefix.Hash]*list.Element
	recent   *list.List // of *block, most recent first
	busy     bool
	eventSeq uint64
}

func (e *engine) incarnation() string { return fmt.Sprintf("%s-%d", e.name, e.run) }

func (e *engine) submit(j *job) {
	if e.down {
		j.onDone(true, 0)
		return
	}
	e.waiting = append(e.waiting, j)
	e.kick()
}

func (e *engine) kick() {
	if e.busy || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.busy = true
	e.step()
}

// step runs one iteration: a chunk of prefill and one token of every decoding
// sequence.
func (e *engine) step() {
	for len(e.running) < e.shape.MaxSequences && len(e.waiting) > 0 {
		e.running = append(e.running, e.nextWaiting())
	}
	budget, decoding := e.shape.PrefillChunkTokens, 0
	var prefilled []*job
	for _, j := range e.running {
		if j.scheduled && j.left == 0 {
			decoding++
			continue
		}
		if budget == 0 {
			continue
		}
		if !j.scheduled {
			e.schedule(j)
		}
		n := min(budget, j.left)
		j.left -= n
		budget -= n
		prefilled = append(prefilled, j)
	}
	cost := e.shape.StepBaseTime + time.Duration(e.shape.PrefillChunkTokens-budget)*e.shape.PrefillTimePerToken + time.Duration(decoding)*e.shape.StepTimePerSequence
	run := e.run
	e.loop.after(cost, func() {
		if e.run == run {
			e.finishStep(prefilled)
		}
	})
}

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

// schedule looks the prompt up in the cache.
func (e *engine) schedule(j *job) {
	j.scheduled = true
	e.coming = slices.DeleteFunc(e.coming, func(o *job) bool { return o == j })
	for j.done < len(j.chain) {
		el, ok := e.blocks[j.chain[j.done]]
		if !ok {
			break
		}
		el.Value.(*block).users++
		e.recent.MoveToFront(el)
		j.done++
	}
	j.cached = min(j.done*prefix.PieceTokens, j.prompt-1)
	j.left = j.prompt - j.cached
	e.fleet.count(e, j)
}

func (e *engine) finishStep(prefilled []*job) {
	for _, j := range prefilled {
		e.store(j)
		if j.left == 0 {
			j.onFirst(j.cached)
		}
	}
	var still []*job
	for _, j := range e.running {
		if j.scheduled && j.left == 0 {
			j.produced++
		}
		if j.produced >= j.output && j.produced > 0 {
			e.release(j)
			j.onDone(false, j.cached)
			continue
		}
		still = append(still, j)
	}
	e.running = still
	e.busy = false
	e.kick()
}

// store puts finished pieces into the cache.
func (e *engine) store(j *job) {
	computed := (j.prompt - j.left) / prefix.PieceTokens
	var stored []prefix.Hash
	for j.done < len(j.chain) && j.done < computed {
		h := j.chain[j.done]
		el, ok := e.blocks[h]
		if !ok {
			el = e.recent.PushFront(&block{hash: h})
			e.blocks[h] = el
			e.fleet.held[h]++
			stored = append(stored, h)
		}
		el.Value.(*block).users++
		j.done++
	}
	e.publish(engineapi.EventStored, stored)
	e.publish(engineapi.EventRemoved, e.evict())
}

func (e *engine) evict() []prefix.Hash {
	var gone []prefix.Hash
	for el := e.recent.Back(); el != nil && e.recent.Len() > e.shape.CachePieces; {
		before := el.Prev()
		if b := el.Value.(*block); b.users == 0 {
			e.recent.Remove(el)
			delete(e.blocks, b.hash)
			e.fleet.drop(b.hash)
			gone = append(gone, b.hash)
		}
		el = before
	}
	return gone
}

// release unpins the pieces of a finished request, deepest first, so that parents
// are evicted last.
func (e *engine) release(j *job) {
	for i := j.done - 1; i >= 0; i-- {
		if el, ok := e.blocks[j.chain[i]]; ok {
			el.Value.(*block).users--
			e.recent.MoveToFront(el)
		}
	}
}

func (e *engine) crash() {
	failed := append(e.running, e.waiting...)
	for h := range e.blocks {
		e.fleet.drop(h)
	}
	e.down, e.busy, e.running, e.waiting, e.coming = true, false, nil, nil, nil
	e.run++
	e.eventSeq = 0
	e.blocks, e.recent = map[prefix.Hash]*list.Element{}, list.New()
	for _, j := range failed {
		j.onDone(true, 0)
	}
}

func (e *engine) restart() { e.down = false }

// publish sends a cache event to whoever listens, late and with losses.
func (e *engine) publish(kind string, hashes []prefix.Hash) {
	if len(hashes) == 0 || e.fleet.listen == nil {
		return
	}
	e.eventSeq++
	ev := cacheEvent{engine: e.name, incarnation: e.incarnation(), seq: e.eventSeq, kind: kind, hashes: hashes}
	if e.rng.Float64() < e.shape.EventLossRate {
		return
	}
	delay := e.shape.MinEventDelay + time.Duration(e.rng.Float64()*3*float64(e.shape.MinEventDelay))
	e.loop.after(delay, func() { e.fleet.listen(ev) })
}

type cacheEvent struct {
	engine      string
	incarnation string
	seq         uint64
	kind        string
	hashes      []prefix.Hash
}

// pending is the uncached work before a newcomer's.
func (e *engine) pending() int {
	n := 0
	for _, j := range e.coming {
		n += j.expected
	}
	for _, j := range e.running {
		n += j.left
	}
	return n
}

// fleet is what the engines have in common.
type fleet struct {
	engines []*engine
	byName  map[string]*engine
	held    map[prefix.Hash]int
	listen  func(cacheEvent)
	tally   func(e *engine, j *job, wasted int)
}

func (f *fleet) drop(h prefix.Hash) {
	if f.held[h]--; f.held[h] == 0 {
		delete(f.held, h)
	}
}

// count tells the tally how many of the missing tokens some live engine held.
func (f *fleet) count(e *engine, j *job) {
	wasted := 0
	for _, h := range j.chain[j.done:] {
		if f.held[h] > 0 {
			wasted += prefix.PieceTokens
		}
	}
	f.tally(e, j, wasted)
}

// domains gives nine servers four failure domains.
func domains(i int) string { return fmt.Sprintf("fd-%d", i%4+1) }

func newFleet(l *loop, n int, shape EngineModel, seed uint64) *fleet {
	f := &fleet{byName: map[string]*engine{}, held: map[prefix.Hash]int{}}
	for i := range n {
		e := &engine{
			name: fmt.Sprintf("engine-%d", i+1), domain: domains(i), loop: l, shape: shape, fleet: f,
			rng:    rand.New(rand.NewPCG(seed, uint64(i))),
			blocks: map[prefix.Hash]*list.Element{}, recent: list.New(),
		}
		f.engines = append(f.engines, e)
		f.byName[e.name] = e
	}
	return f
}
