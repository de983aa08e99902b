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
	runLength    = 120 * time.Second
	warmUp       = 10 * time.Second
	hop          = 1500 * time.Microsecond
	tickEvery    = 20 * time.Millisecond
	digestEvery  = 250 * time.Millisecond
	digestUrgent = 20 * time.Millisecond
	digestBytes  = 1024
	recallBytes  = 16 << 10
	lookupKept   = 10 * time.Second // how long callers keep the address of an entry VM
	fleetLag     = 4 * time.Second  // of the list of live endpoints
	engineDown   = 3 * time.Second
	domainDown   = 30 * time.Second
	serverCount  = 9
	retriesAtAll = 3
)

// Variant is one way to route.
type Variant struct {
	Name        string
	Policy      func(*bench) routing.Policy
	CacheEvents bool // every VM reads every cache event
	Digests     bool // VMs tell each other digests
}

// Variants lists the baselines, ours and the oracle.
func Variants() []Variant {
	return []Variant{
		{Name: "round-robin", Policy: func(*bench) routing.Policy { return routing.RoundRobin() }},
		{Name: "least-load", Policy: func(*bench) routing.Policy { return routing.LeastLoad() }, Digests: true},
		{Name: "whole-prefix", Policy: func(*bench) routing.Policy { return routing.WholePrefix() }},
		{Name: "ours", Policy: func(*bench) routing.Policy { return routing.DefaultPolicy(routing.DefaultTuning()) }, Digests: true},
		{Name: "ours+events", Policy: func(*bench) routing.Policy { return routing.DefaultPolicy(routing.DefaultTuning()) }, Digests: true, CacheEvents: true},
		{Name: "oracle", Policy: func(b *bench) routing.Policy { return routing.OraclePolicy(truth{b.fleet}, routing.DefaultTuning()) }},
	}
}

// truth sees the fake endpoints' caches.
type truth struct{ fleet *fleet }

// CachedPieces counts the leading pieces held now, or being computed for others.
func (t truth) CachedPieces(endpoint string, chain []prefix.Hash) int {
	e := t.fleet.byName[endpoint]
	depth := len(chain)
	for i, h := range chain {
		if _, ok := e.blocks[h]; !ok {
			depth = i
			break
		}
	}
	for _, list := range [][]*job{e.coming, e.running} {
		for _, j := range list {
			depth = max(depth, common(j.chain, chain))
		}
	}
	return depth
}

func common(a, b []prefix.Hash) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// PendingTokens is the real backlog.
func (t truth) PendingTokens(endpoint string) int { return t.fleet.byName[endpoint].pending() }

type bench struct {
	loop     *loop
	rng      *rand.Rand
	fleet    *fleet
	variant  Variant
	scenario Scenario
	length   time.Duration
	cores    []*routing.Core
	told     []time.Duration // when each VM sent its last digest
	listed   map[string]bool // endpoints in the configuration
	seen     *Measures
}

// Run runs one variant over one workload and scenario from a seed.
func Run(w Workload, s Scenario, v Variant, vms int, seed uint64) *Measures {
	l := &loop{}
	b := &bench{
		loop: l, rng: rand.New(rand.NewPCG(seed, 1)), variant: v, scenario: s, length: runLength,
		fleet: newFleet(l, serverCount, w.EngineModel, seed), seen: newMeasures(), listed: map[string]bool{},
	}
	for _, e := range b.fleet.engines {
		b.listed[e.name] = true
	}
	b.fleet.tally = b.tally
	if v.CacheEvents {
		b.fleet.listen = b.listen
	}
	b.cores = make([]*routing.Core, vms)
	b.told = make([]time.Duration, vms)
	for i := range b.cores {
		b.startVM(i)
	}
	l.every(tickEvery, b.tick)
	if v.Digests && vms > 1 {
		l.every(digestUrgent, b.exchange)
	}
	l.every(w.EngineModel.LoadReportInterval, b.reports)
	b.plan()
	for _, a := range w.Generate(s, b.length, rand.New(rand.NewPCG(seed, 2))) {
		l.after(a.ArrivalTime, func() { b.arrive(a) })
	}
	l.run(b.length + 30*time.Second)
	return b.seen
}

func (b *bench) startVM(i int) {
	b.cores[i] = routing.NewCore(b.variant.Policy(b), routing.DefaultLimits(), b.loop.time())
	b.cores[i].SetEndpoints(b.loop.time(), b.endpoints())
}

func (b *bench) endpoints() []routing.Endpoint {
	var all []routing.Endpoint
	for _, e := range b.fleet.engines {
		if b.listed[e.name] {
			all = append(all, routing.Endpoint{Name: e.name, Address: e.name, FailureDomain: e.domain, Models: []string{"m"}, MaxConcurrent: e.shape.MaxSequences})
		}
	}
	return all
}

// plan schedules the scenario's faults.
func (b *bench) plan() {
	half := b.length / 2
	switch {
	case b.scenario.EngineCrash:
		b.loop.after(half, func() { b.outage(b.fleet.engines[:1], engineDown) })
	case b.scenario.DomainOutage:
		var gone []*engine
		for _, e := range b.fleet.engines {
			if e.domain == domains(0) {
				gone = append(gone, e)
			}
		}
		b.loop.after(half, func() { b.outage(gone, domainDown) })
	case b.scenario.VMRestart:
		for i := range b.cores {
			b.loop.after(half+time.Duration(i)*200*time.Millisecond, func() { b.restartVM(i) })
		}
	}
}

func (b *bench) outage(gone []*engine, length time.Duration) {
	for _, e := range gone {
		e.crash()
		b.loop.after(length, e.restart)
	}
	if length > fleetLag {
		b.loop.after(fleetLag, func() { b.list(gone, false) })
		b.loop.after(length+fleetLag, func() { b.list(gone, true) })
	}
}

func (b *bench) list(engines []*engine, in bool) {
	for _, e := range engines {
		b.listed[e.name] = in
	}
	for _, c := range b.cores {
		c.SetEndpoints(b.loop.time(), b.endpoints())
	}
}

// restartVM replaces an entry VM by one that knows nothing but what its peers tell it.
// Its requests in flight are left to their engines: callers resume them elsewhere.
func (b *bench) restartVM(i int) {
	b.startVM(i)
	if !b.variant.Digests {
		return
	}
	b.loop.after(2*hop, func() {
		for j, peer := range b.cores {
			if j != i {
				b.cores[i].ApplyDigest(b.loop.time(), peer.RecallDigest(b.loop.time(), fmt.Sprint(j), recallBytes))
			}
		}
	})
}

func (b *bench) tick() {
	for _, c := range b.cores {
		c.Tick(b.loop.time())
	}
}

// exchange sends digests to the other VMs: urgent ones at once, others when due.
func (b *bench) exchange() {
	for i, c := range b.cores {
		if !c.DigestUrgent() && b.loop.now-b.told[i] < digestEvery {
			continue
		}
		b.told[i] = b.loop.now
		d := c.NextDigest(fmt.Sprint(i), digestBytes)
		b.seen.digestBytes += d.Size() * (len(b.cores) - 1)
		b.loop.after(hop, func() { b.deliver(i, d) })
	}
}

func (b *bench) deliver(from int, d *digest.Digest) {
	for i, c := range b.cores {
		if i != from {
			c.ApplyDigest(b.loop.time(), d)
		}
	}
}

// reports delivers every engine's load to the VM that reads it, with a lag.
func (b *bench) reports() {
	for i, e := range b.fleet.engines {
		if e.down {
			continue
		}
		load := engineapi.Load{Incarnation: e.incarnation(), Running: len(e.running), Waiting: len(e.waiting), Versions: map[string]string{"m": "v1"}}
		b.loop.after(e.shape.LoadReportInterval, func() {
			b.cores[i%len(b.cores)].ApplyLoadReport(b.loop.time(), e.name, load)
		})
	}
}

func (b *bench) listen(e cacheEvent) {
	for _, c := range b.cores {
		c.ApplyCacheEvent(b.loop.time(), e.engine, routing.CacheEvent{Incarnation: e.incarnation, Seq: e.seq, Kind: e.kind, Hashes: e.hashes})
	}
}

// try is one request on its way, over all its tries.
type try struct {
	arrival Arrival
	tried   []string
	first   bool
}

func (b *bench) arrive(a Arrival) { b.submit(&try{arrival: a}) }

func (b *bench) submit(t *try) {
	a := t.arrival
	// Callers keep an address for a while, then ask again.
	slot := rand.New(rand.NewPCG(uint64(a.ClientID), uint64(a.ArrivalTime/lookupKept))).IntN(len(b.cores))
	core := b.cores[slot]
	r := routing.Request{
		Account: a.Account, Model: "m", Version: "v1", Chain: a.Chain, PromptTokens: a.PromptTokens, MaxTokens: a.OutputTokens,
		Idempotent: true, Exclude: t.tried,
	}
	var p *routing.Pending
	p = core.Submit(b.loop.time(), r, func() { b.loop.after(0, func() { b.settled(core, t, p) }) })
}

func (b *bench) settled(core *routing.Core, t *try, p *routing.Pending) {
	if p.Refusal != nil {
		b.seen.refuse(t.arrival, b.loop.now)
		return
	}
	sent := b.loop.now
	e := b.fleet.byName[p.Decision.Endpoint]
	incarnation := e.incarnation()
	var firstToken time.Duration
	j := &job{chain: t.arrival.Chain, prompt: t.arrival.PromptTokens, output: t.arrival.OutputTokens}
	j.onFirst = func(int) {
		b.loop.after(hop, func() {
			firstToken = b.loop.now - sent
			core.RecordFirstToken(p)
			if !t.first {
				t.first = true
				b.seen.first(t.arrival, b.loop.now)
			}
		})
	}
	j.onDone = func(failed bool, cached int) {
		b.loop.after(hop, func() {
			res := routing.Result{Incarnation: incarnation, PromptTokens: j.prompt, CachedTokens: cached, OutputTokens: j.output, FirstToken: firstToken}
			if failed {
				res = routing.Result{Err: errkind.New(errkind.EndpointFailed, "connection lost")}
			}
			core.Finish(b.loop.time(), p, res)
			b.ended(t, p, failed)
		})
	}
	j.expected = max(j.prompt-truth{b.fleet}.CachedPieces(e.name, j.chain)*prefix.PieceTokens, 1)
	e.coming = append(e.coming, j)
	b.loop.after(hop, func() {
		incarnation = e.incarnation()
		e.submit(j)
	})
}

func (b *bench) ended(t *try, p *routing.Pending, failed bool) {
	if !failed {
		b.seen.done(t.arrival, b.loop.now)
		return
	}
	t.tried = append(t.tried, p.Decision.Endpoint)
	if len(t.tried) > retriesAtAll {
		b.seen.refuse(t.arrival, b.loop.now)
		return
	}
	b.submit(t)
}

func (b *bench) tally(_ *engine, j *job, wasted int) {
	if b.loop.now < warmUp {
		return
	}
	b.seen.prompt += j.prompt
	b.seen.cached += j.cached
	b.seen.wasted += wasted
}
