package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrasshollow/internal/admission"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/routing"
)

// Kind is a kind of request of an overload run, as operators and clients state it.
type Kind struct {
	Name      string
	Rate      float64 // requests per second at load 1
	Priority  int     // 0 is the most urgent
	Target    time.Duration
	Deadline  time.Duration // time after which the client gives up
	Worth     float64       // of a response within Target
	WorthLate float64       // of a response after Target and before Deadline
}

// OverloadKinds returns the kinds of the reference deployment: long urgent prompts that share parts, and
// short prompts that share nothing.
func OverloadKinds() []Kind {
	return []Kind{
		{Name: "long", Rate: 45, Priority: 0, Target: 500 * time.Millisecond, Deadline: 6 * time.Second, Worth: 18, WorthLate: 2.2},
		{Name: "short", Rate: 686, Priority: 2, Target: 1500 * time.Millisecond, Deadline: 4 * time.Second, Worth: 0.77, WorthLate: 0.34},
	}
}

const (
	longKind  = 0
	shortKind = 1
)

// The reference deployment of overload runs.
const (
	overloadVMs      = 57
	overloadEngines  = 56
	overloadSlots    = 12
	overloadWaiting  = 36 // requests that an engine lets wait; it rejects further ones
	overloadParts    = 264
	overloadAccounts = 16
	weightsInterval  = 3 * time.Second // new weights empty the caches
	overloadService  = "reference"

	minPartPieces, maxPartPieces = 6, 20 // shared pieces of a long prompt
	longOwnTokens                = 3500
	longOutputTokens             = 60
	shortPromptTokens            = 349
	shortOutputTokens            = 40

	queueTargetShare   = 0.9 // share of the target that the gateway lets a request wait for a slot
	maxClientRetries   = 2
	immediateRetryTime = 20 * time.Millisecond
	maxRejections      = 3 // rejections by engines that the gateway retries
)

// overloadEngineModel has the costs measured in the reference deployment: 22 us for each prompt token of an
// engine that does nothing else.
var overloadEngineModel = EngineModel{
	PrefillTimePerToken: 22 * time.Microsecond, StepBaseTime: 8 * time.Millisecond, StepTimePerSequence: 200 * time.Microsecond,
	PrefillChunkTokens: 2000, MaxSequences: overloadSlots, CachePieces: 400,
	MinEventDelay: 200 * time.Millisecond, LoadReportInterval: 500 * time.Millisecond,
}

// OverloadConfig selects an overload run.
type OverloadConfig struct {
	Load     float64       // multiple of the kinds' rates
	Duration time.Duration // of the arrivals
	WarmUp   time.Duration // arrivals before this are not counted
	Seed     uint64
	Policy   OverloadPolicy
	// DigestInterval is the time between two digests of a VM.
	DigestInterval time.Duration
	// Burst, if not 0, multiplies the rates in every other second instead of all the time.
	Burst float64
	// Uneven, if set, replaces the kinds, the engines and the arrivals by those of uneven endpoints.
	Uneven *Uneven
}

// DefaultOverloadConfig returns the configuration of the overload table.
func DefaultOverloadConfig() OverloadConfig {
	return OverloadConfig{Duration: 12 * time.Second, WarmUp: 3 * time.Second, DigestInterval: digestInterval}
}

// OverloadPolicy is a policy to compare under overload.
type OverloadPolicy struct {
	Name string
	// Exact replaces the entry VMs by one that sees the actual state of all engines.
	Exact bool
	// Speeds gives the VMs the actual speeds of the engines; it may be nil.
	Speeds func(*overloadRun) func(endpoint string) (usual, slow float64)
	// Configure adapts the settings of each VM's core; it may be nil.
	Configure func(*routing.Core)
}

// OverloadPolicies returns the policies that are compared.
func OverloadPolicies() []OverloadPolicy {
	with := func(p admission.Policy) func(*routing.Core) {
		return func(c *routing.Core) { c.SetAdmission(p) }
	}
	inTime := admission.DefaultPolicy()
	arrival, deadline, value, fair, refuseLate, windowOnly, urgentOnly := inTime, inTime, inTime, inTime, inTime, inTime, inTime
	arrival.Order, deadline.Order, value.Order, fair.Order = admission.OrderArrival, admission.OrderDeadline, admission.OrderValue, admission.OrderFair
	refuseLate.RefuseLate, windowOnly.UrgentFirst, urgentOnly.Window = true, false, 0
	return []OverloadPolicy{
		{Name: "present"},
		{Name: "present, exact state", Exact: true},
		{Name: "window, in time first, exact state", Exact: true, Configure: with(inTime)},
		{Name: "urgent first, no window", Configure: with(urgentOnly)},
		{Name: "window, slots of all count", Configure: with(windowOnly)},
		{Name: "window, priority and arrival", Configure: with(arrival)},
		{Name: "window, earliest target first", Configure: with(deadline)},
		{Name: "window, value per token", Configure: with(value)},
		{Name: "window, fair by priority", Configure: with(fair)},
		{Name: "window, in time first", Configure: with(inTime)},
		{Name: "window, in time first, late refused", Configure: with(refuseLate)},
	}
}

// KindResult counts the requests of a kind by their end. A request that its client retries counts once.
type KindResult struct {
	InTime, Late, Refused, Failed int
	// ByPatience counts the requests that clients retry after the stated time (0) or at once (1), and
	// those of them that were served.
	Asked, Served [2]int
	FirstTokens   []time.Duration
	// Reasons counts the refusals by their text, each attempt of a client apart.
	Reasons map[string]int
}

// Total returns the number of requests.
func (k *KindResult) Total() int { return k.InTime + k.Late + k.Refused + k.Failed }

// OverloadResult is the outcome of an overload run.
type OverloadResult struct {
	Kinds []KindResult
	// Bound is the highest share of the worth that is possible with perfect knowledge, see worthBound.
	Bound float64
	// RefusedWithRoom counts the refusals while under half of the slots were taken and no engine had
	// requests waiting.
	RefusedWithRoom int
	Rejections      int     // attempts that engines rejected
	EngineBusy      float64 // share of the engines' time spent in steps
	UncachedLong    int     // mean uncached tokens of a long prompt
	// Repeated is the share of the prompt tokens that were computed while another engine had them cached.
	Repeated float64
	Spec     []Kind // of Kinds
}

// ServedShare returns the share of a kind's requests that were served before their deadline.
func (r *OverloadResult) ServedShare(kind int) float64 {
	k := &r.Kinds[kind]
	return float64(k.InTime+k.Late) / float64(max(k.Total(), 1))
}

// WorthShare returns the share of its worth that a kind was served for.
func (r *OverloadResult) WorthShare(kind int) float64 {
	k, c := &r.Kinds[kind], r.Spec[kind]
	return (float64(k.InTime)*c.Worth + float64(k.Late)*c.WorthLate) / (float64(max(k.Total(), 1)) * c.Worth)
}

// Worth returns the share of the worth of all requests that was served.
func (r *OverloadResult) Worth() float64 {
	got, all := 0.0, 0.0
	for i, c := range r.Spec {
		worth := float64(r.Kinds[i].Total()) * c.Worth
		got += r.WorthShare(i) * worth
		all += worth
	}
	return got / max(all, 1e-9)
}

// overloadRun is the state of one overload run.
type overloadRun struct {
	config   OverloadConfig
	kinds    []Kind
	loop     *loop
	rng      *rand.Rand
	fleet    *fleet
	cores    []*routing.Core
	parts    []int                 // shared pieces of each part
	chains   map[int][]prefix.Hash // of the parts, under the current weights
	weights  int
	result   *OverloadResult
	arrivals []*clientRequest
	lastID   int
	slowness map[string]float64 // of the engines of an uneven run, by name: 1 outside of slow periods
	uncached []int
}

// clientRequest is a request over all attempts of its client and of the gateway.
type clientRequest struct {
	kind      int
	domain    int // failure domain of the VMs that the client uses, in uneven runs
	id        string
	account   string
	chain     []prefix.Hash
	prompt    int
	output    int
	part      int // shared part of a long prompt
	arrivedAt time.Duration
	impatient bool // the client retries at once instead of after the stated time
	retries   int
	excluded  []string
	first     time.Duration // of the first token; 0 without one
	over      bool
}

// RunOverload simulates one overload run. All random choices derive from the seed.
func RunOverload(c OverloadConfig) *OverloadResult {
	l, kinds, vms := &loop{}, OverloadKinds(), overloadVMs
	if c.Uneven != nil {
		kinds, vms = UnevenKinds(), unevenVMs
	}
	r := &overloadRun{
		config: c, kinds: kinds, loop: l, chains: map[int][]prefix.Hash{}, rng: rand.New(rand.NewPCG(c.Seed, 11)),
		fleet: newFleet(l, overloadEngines, overloadEngineModel, c.Seed), result: &OverloadResult{Kinds: make([]KindResult, len(kinds)), Spec: kinds},
	}
	prompts, repeated := 0, 0
	r.fleet.onScheduled = func(_ *engine, j *job, wasted int) {
		prompts, repeated = prompts+j.promptTokens, repeated+wasted
		if j.promptTokens > shortPromptTokens {
			r.uncached = append(r.uncached, j.remainingTokens)
		}
	}
	if c.Policy.Exact {
		vms = 1
	}
	for range vms {
		r.cores = append(r.cores, r.newCore(vms))
	}
	r.setEndpoints()
	l.every(tickInterval, func() {
		for _, core := range r.cores {
			core.Tick(l.time())
		}
	})
	for i := range r.cores {
		l.after(time.Duration(i)*c.DigestInterval/time.Duration(vms), func() { l.every(c.DigestInterval, func() { r.sendDigest(i) }) })
	}
	if c.Uneven == nil || c.Uneven.NewWeights {
		l.every(weightsInterval, r.changeWeights)
	}
	r.setSpeeds()
	l.every(overloadEngineModel.LoadReportInterval, r.sendLoads)
	r.generate()
	busy := r.sampleBusy()
	l.run(c.Duration + 7*time.Second)
	if c.Uneven == nil {
		r.result.Bound = r.worthBound()
	}
	r.result.Repeated = float64(repeated) / float64(max(prompts, 1))
	r.result.EngineBusy = busy()
	for _, n := range r.uncached {
		r.result.UncachedLong += n
	}
	r.result.UncachedLong /= max(len(r.uncached), 1)
	return r.result
}

func (r *overloadRun) newCore(vms int) *routing.Core {
	policy := routing.DefaultPolicy(routing.DefaultTuning())
	if r.config.Policy.Exact {
		policy = routing.OraclePolicy(engineState{r.fleet}, routing.DefaultTuning())
	}
	if r.config.Policy.Speeds != nil {
		policy.Speeds = r.config.Policy.Speeds(r)
	}
	limits := routing.DefaultLimits()
	limits.DigestsPerSecond = float64(vms-1) / r.config.DigestInterval.Seconds()
	core := routing.NewCore(policy, limits, r.loop.time())
	if r.config.Policy.Configure != nil {
		r.config.Policy.Configure(core)
	}
	return core
}

func (r *overloadRun) setEndpoints() {
	var all []routing.Endpoint
	for _, e := range r.fleet.engines {
		all = append(all, routing.Endpoint{
			Name: e.name, Address: e.name, FailureDomain: e.domain, Service: overloadService, MaxConcurrent: overloadSlots,
			Weights: fmt.Sprintf("w%d", r.weights),
		})
	}
	for _, core := range r.cores {
		core.SetEndpoints(r.loop.time(), all)
	}
}

// chainOf returns the chain of a shared part under the current weights.
func (r *overloadRun) chainOf(part int) []prefix.Hash {
	if r.chains[part] == nil {
		r.chains[part] = appendPieces("", nil, fmt.Sprintf("part-%d under w%d", part, r.weights), r.parts[part])
	}
	return r.chains[part]
}

// changeWeights gives all engines new weights, under which no cached piece is of use.
func (r *overloadRun) changeWeights() {
	r.weights++
	clear(r.chains)
	for _, e := range r.fleet.engines {
		for element := e.lru.Front(); element != nil; {
			next := element.Next()
			if b := element.Value.(*block); b.references == 0 {
				e.lru.Remove(element)
				delete(e.blocks, b.hash)
				e.fleet.removeHolder(b.hash)
			}
			element = next
		}
	}
	r.setEndpoints()
}

func (r *overloadRun) sendDigest(from int) {
	if len(r.cores) == 1 {
		return
	}
	d := r.cores[from].NextDigest(fmt.Sprint(from), maxDigestBytes)
	r.loop.after(networkLatency, func() {
		for i, core := range r.cores {
			if i != from {
				core.ApplyDigest(r.loop.time(), d)
			}
		}
	})
}

// sendLoads sends each engine's load report to one VM.
func (r *overloadRun) sendLoads() {
	for i, e := range r.fleet.engines {
		load := engineapi.Load{Incarnation: e.incarnation(), Running: len(e.running), Waiting: len(e.waiting)}
		r.loop.after(networkLatency, func() { r.cores[i%len(r.cores)].ApplyLoadReport(r.loop.time(), e.name, load) })
	}
}

// generate schedules the arrivals.
func (r *overloadRun) generate() {
	parts := make([]int, overloadParts)
	r.parts = parts
	for i := range parts {
		parts[i] = minPartPieces + r.rng.IntN(maxPartPieces-minPartPieces+1)
	}
	for kind, k := range r.kinds {
		for at := 0.0; ; {
			load := r.config.Load
			if r.config.Uneven != nil {
				load = r.config.Load * highestDemand
			}
			if r.config.Burst > 0 && int(at)%2 == 1 {
				load = r.config.Burst
			}
			at += r.rng.ExpFloat64() / (k.Rate * load)
			if at > r.config.Duration.Seconds() {
				break
			}
			domain, accepted := r.domainOf(at)
			if !accepted {
				continue
			}
			r.lastID++
			q := &clientRequest{
				kind: kind, domain: domain, id: fmt.Sprintf("r%d", r.lastID), account: fmt.Sprintf("account-%d", r.rng.IntN(overloadAccounts)),
				arrivedAt: seconds(at), impatient: r.rng.IntN(2) == 0, prompt: shortPromptTokens, output: shortOutputTokens,
			}
			if kind == longKind {
				part := zipf(r.rng, overloadParts, 0.8)
				q.part = part
				q.prompt, q.output = parts[part]*prefix.PieceTokens+longOwnTokens/2+r.rng.IntN(longOwnTokens), longOutputTokens
			}
			r.arrivals = append(r.arrivals, q)
			r.loop.after(q.arrivedAt, func() { r.arrive(q) })
		}
	}
}

// arrive sends an attempt of a client to a random VM. A chain is keyed by the weights, as caches are not
// valid for others.
func (r *overloadRun) arrive(q *clientRequest) {
	if q.kind == longKind {
		q.chain = r.chainOf(q.part)
	}
	q.excluded = nil
	r.submit(q, r.cores[r.vmFor(q)], r.loop.now)
}

func (q *clientRequest) deadline(k Kind) time.Duration { return q.arrivedAt + k.Deadline }

// submit asks a VM for an endpoint; receivedAt is when the VM received the attempt.
func (r *overloadRun) submit(q *clientRequest, core *routing.Core, receivedAt time.Duration) {
	k := r.kinds[q.kind]
	left := q.deadline(k) - r.loop.now
	if left <= 0 {
		r.end(q, false)
		return
	}
	wait := receivedAt + time.Duration(queueTargetShare*float64(k.Target)) - r.loop.now
	if wait <= 0 || wait >= left {
		wait = max(left/2, time.Millisecond)
	}
	request := routing.Request{
		ID: q.id, Account: q.account, Service: overloadService, Chain: q.chain, SharedPieces: len(q.chain), PromptTokens: q.prompt, MaxTokens: q.output,
		Priority: -k.Priority, Idempotent: true, LongestWait: wait, TimeLeft: left, Exclude: q.excluded, Target: k.Target,
	}
	var pending *routing.Pending
	settled := false
	pending = core.Submit(r.loop.time(), request, func() {
		settled = true
		r.loop.after(0, func() { r.dispatch(q, core, pending, receivedAt) })
	})
	if !settled {
		r.loop.after(left, func() {
			if core.Cancel(pending) {
				r.end(q, false)
			}
		})
	}
}

// dispatch sends a routed attempt to its engine, or returns its refusal to the client.
func (r *overloadRun) dispatch(q *clientRequest, core *routing.Core, pending *routing.Pending, receivedAt time.Duration) {
	if pending.Refusal != nil {
		r.refused(q, pending.Refusal.Text, pending.Refusal.RetryAfter)
		return
	}
	k := r.kinds[q.kind]
	sent := r.loop.now
	e := r.fleet.byName[pending.Decision.Endpoint]
	finished := false
	finish := func(result routing.Result) bool {
		if finished {
			return false
		}
		finished = true
		core.Finish(r.loop.time(), pending, result)
		return true
	}
	j := &job{chain: q.chain, promptTokens: q.prompt, outputTokens: q.output, priority: -k.Priority}
	var first time.Duration
	j.onFirstToken = func(int) {
		r.loop.after(networkLatency, func() {
			if !finished {
				first = r.loop.now - sent
				q.first = r.loop.now
				core.RecordFirstToken(r.loop.time(), pending)
			}
		})
	}
	j.onDone = func(_ bool, cached int) {
		r.loop.after(networkLatency, func() {
			if finish(routing.Result{Incarnation: e.incarnation(), PromptTokens: q.prompt, CachedTokens: cached, OutputTokens: q.output, FirstToken: first, Steps: q.output - 1, Decoding: r.loop.now - sent - first}) {
				r.end(q, true)
			}
		})
	}
	j.expectedTokens = max(q.prompt-engineState{r.fleet}.CachedPieces(e.name, q.chain)*prefix.PieceTokens, 1)
	e.unscheduled = append(e.unscheduled, j)
	r.loop.after(networkLatency, func() {
		if len(e.waiting) < overloadWaiting {
			e.submit(j)
			return
		}
		e.abort(j)
		r.result.Rejections++
		r.loop.after(networkLatency, func() {
			if !finish(routing.Result{Incarnation: e.incarnation(), Err: errkind.New(errkind.Overloaded, "engine is full")}) {
				return
			}
			if q.excluded = append(q.excluded, e.name); len(q.excluded) > maxRejections {
				r.refused(q, "rejected by engines", 0)
				return
			}
			r.submit(q, core, receivedAt)
		})
	})
	r.loop.after(q.deadline(k)-sent, func() {
		if finish(routing.Result{Err: errkind.New(errkind.Canceled, "client disconnected")}) {
			q.first = 0
			r.fail(q)
			r.loop.after(networkLatency, func() { e.abort(j) })
		}
	})
}

// abort removes a job whose client has disconnected. A job that runs ends with the current step.
func (e *engine) abort(j *job) {
	e.unscheduled = slices.DeleteFunc(e.unscheduled, func(o *job) bool { return o == j })
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
	if !j.scheduled {
		e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
		return
	}
	j.remainingTokens, j.outputTokens = 0, 0
}

// refused retries a refused request as its client does, or ends it.
func (r *overloadRun) refused(q *clientRequest, reason string, retryAfter time.Duration) {
	if k := &r.result.Kinds[q.kind]; q.arrivedAt >= r.config.WarmUp {
		if k.Reasons == nil {
			k.Reasons = map[string]int{}
		}
		k.Reasons[reason]++
	}
	if r.hasRoom() && q.arrivedAt >= r.config.WarmUp {
		r.result.RefusedWithRoom++
	}
	wait := max(retryAfter, immediateRetryTime)
	if q.impatient {
		wait = immediateRetryTime
	}
	if q.retries++; q.retries > maxClientRetries || r.loop.now+wait >= q.deadline(r.kinds[q.kind]) {
		r.end(q, false)
		return
	}
	r.loop.after(wait, func() { r.arrive(q) })
}

// hasRoom reports whether under half of the slots are taken and nothing waits at an engine.
func (r *overloadRun) hasRoom() bool {
	taken := 0
	for _, e := range r.fleet.engines {
		if len(e.waiting) > 0 {
			return false
		}
		taken += len(e.running)
	}
	return taken < overloadEngines*overloadSlots/2
}

func (r *overloadRun) fail(q *clientRequest) { r.count(q, func(k *KindResult) { k.Failed++ }) }

func (r *overloadRun) end(q *clientRequest, served bool) {
	k := r.kinds[q.kind]
	r.count(q, func(result *KindResult) {
		switch {
		case !served:
			result.Refused++
			return
		case q.first-q.arrivedAt <= k.Target:
			result.InTime++
		default:
			result.Late++
		}
		result.Served[patience(q)]++
		result.FirstTokens = append(result.FirstTokens, q.first-q.arrivedAt)
	})
}

func (r *overloadRun) count(q *clientRequest, add func(*KindResult)) {
	if q.over {
		return
	}
	q.over = true
	if q.arrivedAt < r.config.WarmUp {
		return
	}
	r.result.Kinds[q.kind].Asked[patience(q)]++
	add(&r.result.Kinds[q.kind])
}

func patience(q *clientRequest) int {
	if q.impatient {
		return 1
	}
	return 0
}

// sampleBusy returns a function that returns the share of the engines' time in steps.
func (r *overloadRun) sampleBusy() func() float64 {
	busy, samples := 0, 0
	r.loop.every(10*time.Millisecond, func() {
		if r.loop.now < r.config.WarmUp || r.loop.now > r.config.Duration {
			return
		}
		for _, e := range r.fleet.engines {
			samples++
			if e.stepping {
				busy++
			}
		}
	})
	return func() float64 { return float64(busy) / float64(max(samples, 1)) }
}
