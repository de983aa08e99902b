package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/routing"
)

const (
	runLength            = 120 * time.Second
	warmUp               = 10 * time.Second
	networkLatency       = 1500 * time.Microsecond
	tickInterval         = 20 * time.Millisecond
	digestInterval       = 250 * time.Millisecond
	urgentDigestInterval = 20 * time.Millisecond
	maxDigestBytes       = 1024
	maxRecallBytes       = 16 << 10
	lookupCacheTime      = 10 * time.Second // how long clients keep the address of an entry VM
	endpointListLag      = 4 * time.Second  // delay until the list of endpoints follows an outage
	engineDowntime       = 3 * time.Second
	domainDowntime       = 30 * time.Second
	engineCount          = 9
	maxRetries           = 3
)

// Variant is a routing policy to compare.
type Variant struct {
	Name        string
	Policy      func(*bench) routing.Policy
	CacheEvents bool // every VM receives the cache events of every engine
	Digests     bool // VMs exchange digests
}

// Variants returns the baselines, the routing policy with and without cache events, and the oracle.
func Variants() []Variant {
	return []Variant{
		{Name: "round-robin", Policy: func(*bench) routing.Policy { return routing.RoundRobin() }},
		{Name: "least-load", Policy: func(*bench) routing.Policy { return routing.LeastLoad() }, Digests: true},
		{Name: "whole-prefix", Policy: func(*bench) routing.Policy { return routing.WholePrefix() }},
		{Name: "ours", Policy: func(*bench) routing.Policy { return routing.DefaultPolicy(routing.DefaultTuning()) }, Digests: true},
		{Name: "ours+events", Policy: func(*bench) routing.Policy { return routing.DefaultPolicy(routing.DefaultTuning()) }, Digests: true, CacheEvents: true},
		{Name: "oracle", Policy: func(b *bench) routing.Policy {
			return routing.OraclePolicy(engineState{b.fleet}, routing.DefaultTuning())
		}},
	}
}

// engineState gives the oracle policy the actual state of the engines.
type engineState struct{ fleet *fleet }

// CachedPieces returns the number of leading pieces of the chain that the endpoint has cached or
// computes for other requests.
func (s engineState) CachedPieces(endpoint string, chain []prefix.Hash) int {
	e := s.fleet.byName[endpoint]
	depth := len(chain)
	for i, h := range chain {
		if _, ok := e.blocks[h]; !ok {
			depth = i
			break
		}
	}
	for _, jobs := range [][]*job{e.unscheduled, e.running} {
		for _, j := range jobs {
			depth = max(depth, commonPrefixLength(j.chain, chain))
		}
	}
	return depth
}

// commonPrefixLength returns the number of leading hashes that two chains share.
func commonPrefixLength(a, b []prefix.Hash) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// PendingTokens returns the number of prompt tokens that the endpoint still has to compute.
func (s engineState) PendingTokens(endpoint string) int {
	return s.fleet.byName[endpoint].pendingTokens()
}

// bench is the state of one run.
type bench struct {
	loop       *loop
	rng        *rand.Rand
	fleet      *fleet
	variant    Variant
	scenario   Scenario
	duration   time.Duration
	cores      []*routing.Core
	lastDigest []time.Duration // virtual time at which each VM last sent a digest
	listed     map[string]bool // names of the endpoints in the configuration
	measures   *Measures
}

// Run simulates one workload and scenario under a variant, with the given number of entry VMs. All
// random choices derive from the seed.
func Run(w Workload, s Scenario, v Variant, vms int, seed uint64) *Measures {
	l := &loop{}
	b := &bench{
		loop: l, rng: rand.New(rand.NewPCG(seed, 1)), variant: v, scenario: s, duration: runLength,
		fleet: newFleet(l, engineCount, w.EngineModel, seed), measures: newMeasures(), listed: map[string]bool{},
	}
	for _, e := range b.fleet.engines {
		b.listed[e.name] = true
	}
	b.fleet.onScheduled = b.recordScheduled
	if v.CacheEvents {
		b.fleet.onCacheEvent = b.deliverCacheEvent
	}
	b.cores = make([]*routing.Core, vms)
	b.lastDigest = make([]time.Duration, vms)
	for i := range b.cores {
		b.startVM(i)
	}
	l.every(tickInterval, b.tick)
	if v.Digests && vms > 1 {
		l.every(urgentDigestInterval, b.exchangeDigests)
	}
	l.every(w.EngineModel.LoadReportInterval, b.sendLoadReports)
	b.scheduleFaults()
	for _, a := range w.Generate(s, b.duration, rand.New(rand.NewPCG(seed, 2))) {
		l.after(a.ArrivalTime, func() { b.arrive(a) })
	}
	l.run(b.duration + 30*time.Second)
	return b.measures
}

func (b *bench) startVM(i int) {
	b.cores[i] = routing.NewCore(b.variant.Policy(b), routing.DefaultLimits(), b.loop.time())
	b.cores[i].SetEndpoints(b.loop.time(), b.endpoints())
}

func (b *bench) endpoints() []routing.Endpoint {
	var all []routing.Endpoint
	for _, e := range b.fleet.engines {
		if b.listed[e.name] {
			all = append(all, routing.Endpoint{Name: e.name, Address: e.name, FailureDomain: e.domain, Models: []string{"m"}, MaxConcurrent: e.model.MaxSequences})
		}
	}
	return all
}

// scheduleFaults schedules the faults of the scenario.
func (b *bench) scheduleFaults() {
	half := b.duration / 2
	switch {
	case b.scenario.EngineCrash:
		b.loop.after(half, func() { b.outage(b.fleet.engines[:1], engineDowntime) })
	case b.scenario.DomainOutage:
		var engines []*engine
		for _, e := range b.fleet.engines {
			if e.domain == failureDomain(0) {
				engines = append(engines, e)
			}
		}
		b.loop.after(half, func() { b.outage(engines, domainDowntime) })
	case b.scenario.VMRestart:
		for i := range b.cores {
			b.loop.after(half+time.Duration(i)*200*time.Millisecond, func() { b.restartVM(i) })
		}
	}
}

// outage crashes engines and restarts them after the downtime. If the downtime exceeds endpointListLag,
// the engines are also removed from the configuration; both changes of it lag by endpointListLag.
func (b *bench) outage(engines []*engine, downtime time.Duration) {
	for _, e := range engines {
		e.crash()
		b.loop.after(downtime, e.restart)
	}
	if downtime > endpointListLag {
		b.loop.after(endpointListLag, func() { b.setListed(engines, false) })
		b.loop.after(downtime+endpointListLag, func() { b.setListed(engines, true) })
	}
}

// setListed adds engines to the configuration or removes them from it.
func (b *bench) setListed(engines []*engine, listed bool) {
	for _, e := range engines {
		b.listed[e.name] = listed
	}
	for _, c := range b.cores {
		c.SetEndpoints(b.loop.time(), b.endpoints())
	}
}

// restartVM replaces an entry VM by one with an empty index. If the variant has digests, the VM
// recalls those of its peers. The engines continue the VM's requests in flight, which clients
// resume through other VMs.
func (b *bench) restartVM(i int) {
	b.startVM(i)
	if !b.variant.Digests {
		return
	}
	b.loop.after(2*networkLatency, func() {
		for j, peer := range b.cores {
			if j != i {
				b.cores[i].ApplyDigest(b.loop.time(), peer.RecallDigest(b.loop.time(), fmt.Sprint(j), maxRecallBytes))
			}
		}
	})
}

func (b *bench) tick() {
	for _, c := range b.cores {
		c.Tick(b.loop.time())
	}
}

// exchangeDigests sends the digest of each VM to its peers if the digest is urgent or digestInterval has
// passed since the VM's last one.
func (b *bench) exchangeDigests() {
	for i, c := range b.cores {
		if !c.DigestUrgent() && b.loop.now-b.lastDigest[i] < digestInterval {
			continue
		}
		b.lastDigest[i] = b.loop.now
		d := c.NextDigest(fmt.Sprint(i), maxDigestBytes)
		b.measures.digestBytes += d.Size() * (len(b.cores) - 1)
		b.loop.after(networkLatency, func() { b.deliverDigest(i, d) })
	}
}

func (b *bench) deliverDigest(from int, d *digest.Digest) {
	for i, c := range b.cores {
		if i != from {
			c.ApplyDigest(b.loop.time(), d)
		}
	}
}

// sendLoadReports sends the load of each engine to one VM, with a delay of LoadReportInterval.
func (b *bench) sendLoadReports() {
	for i, e := range b.fleet.engines {
		if e.down {
			continue
		}
		load := engineapi.Load{Incarnation: e.incarnation(), Running: len(e.running), Waiting: len(e.waiting), Versions: map[string]string{"m": "v1"}}
		b.loop.after(e.model.LoadReportInterval, func() {
			b.cores[i%len(b.cores)].ApplyLoadReport(b.loop.time(), e.name, load)
		})
	}
}

func (b *bench) deliverCacheEvent(e cacheEvent) {
	for _, c := range b.cores {
		c.ApplyCacheEvent(b.loop.time(), e.engine, routing.CacheEvent{Incarnation: e.incarnation, Seq: e.seq, Kind: e.kind, Hashes: e.hashes})
	}
}

// requestState is the state of a request over all its attempts.
type requestState struct {
	arrival        Arrival
	triedEndpoints []string
	hasFirstToken  bool
}

func (b *bench) arrive(a Arrival) { b.submit(&requestState{arrival: a}) }

func (b *bench) submit(state *requestState) {
	a := state.arrival
	// A client keeps an address for lookupCacheTime, then looks one up again.
	vm := rand.New(rand.NewPCG(uint64(a.ClientID), uint64(a.ArrivalTime/lookupCacheTime))).IntN(len(b.cores))
	core := b.cores[vm]
	r := routing.Request{
		Account: a.Account, Model: "m", Version: "v1", Chain: a.Chain, PromptTokens: a.PromptTokens, MaxTokens: a.OutputTokens,
		Idempotent: true, Exclude: state.triedEndpoints,
	}
	var pending *routing.Pending
	pending = core.Submit(b.loop.time(), r, func() { b.loop.after(0, func() { b.dispatch(core, state, pending) }) })
}

// dispatch sends a routed request to its endpoint, or records its refusal.
func (b *bench) dispatch(core *routing.Core, state *requestState, pending *routing.Pending) {
	if pending.Refusal != nil {
		b.measures.recordRefusal(state.arrival, b.loop.now)
		return
	}
	sent := b.loop.now
	e := b.fleet.byName[pending.Decision.Endpoint]
	incarnation := e.incarnation()
	var firstToken time.Duration
	j := &job{chain: state.arrival.Chain, promptTokens: state.arrival.PromptTokens, outputTokens: state.arrival.OutputTokens}
	j.onFirstToken = func(int) {
		b.loop.after(networkLatency, func() {
			firstToken = b.loop.now - sent
			core.RecordFirstToken(b.loop.time(), pending)
			if !state.hasFirstToken {
				state.hasFirstToken = true
				b.measures.recordFirstToken(state.arrival, b.loop.now)
			}
		})
	}
	j.onDone = func(failed bool, cachedTokens int) {
		b.loop.after(networkLatency, func() {
			result := routing.Result{Incarnation: incarnation, PromptTokens: j.promptTokens, CachedTokens: cachedTokens, OutputTokens: j.outputTokens, FirstToken: firstToken}
			if failed {
				result = routing.Result{Err: errkind.New(errkind.EndpointFailed, "connection lost")}
			}
			core.Finish(b.loop.time(), pending, result)
			b.finishAttempt(state, pending, failed)
		})
	}
	j.expectedTokens = max(j.promptTokens-engineState{b.fleet}.CachedPieces(e.name, j.chain)*prefix.PieceTokens, 1)
	e.unscheduled = append(e.unscheduled, j)
	b.loop.after(networkLatency, func() {
		incarnation = e.incarnation()
		e.submit(j)
	})
}

// finishAttempt records the completion of a request. After a failure it retries the request at
// other endpoints, at most maxRetries times.
func (b *bench) finishAttempt(state *requestState, pending *routing.Pending, failed bool) {
	if !failed {
		b.measures.recordCompletion(state.arrival, b.loop.now)
		return
	}
	state.triedEndpoints = append(state.triedEndpoints, pending.Decision.Endpoint)
	if len(state.triedEndpoints) > maxRetries {
		b.measures.recordRefusal(state.arrival, b.loop.now)
		return
	}
	b.submit(state)
}

// recordScheduled counts the prompt tokens of a job that an engine has looked up in its cache.
func (b *bench) recordScheduled(_ *engine, j *job, wastedTokens int) {
	if b.loop.now < warmUp {
		return
	}
	b.measures.promptTokens += j.promptTokens
	b.measures.cachedTokens += j.cachedTokens
	b.measures.wastedTokens += wastedTokens
}
