package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/admission"
	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/pace"
	"eelgrasshollow/internal/permits"
	"eelgrasshollow/internal/quarantine"
	"eelgrasshollow/internal/rendezvous"
)

// Limits bounds the memory of a Core, the wait of requests and the rates of retries and
// digests.
type Limits struct {
	QueuePerEndpoint int
	LongestWait      time.Duration
	TrackedPrefixes  int
	RetryShare       float64 // retries per first attempt
	RetryBurst       float64
	DigestsPerSecond float64 // upper bound on digests sent by one VM; 0 means unlimited
}

// DefaultLimits are the limits of an entry VM.
func DefaultLimits() Limits {
	return Limits{QueuePerEndpoint: 64, LongestWait: 5 * time.Second, TrackedPrefixes: 100_000, RetryShare: 0.1, RetryBurst: 32}
}

// reconsiderAfter is how long a request waits in an endpoint's queue before the core
// evaluates other endpoints for it.
const reconsiderAfter = 200 * time.Millisecond

// Core selects endpoints and admits requests. It is a deterministic state machine: callers
// pass in events and the current time, and read decisions from Pending. It does no I/O and
// is not safe for concurrent use.
type Core struct {
	policy           Policy
	startedAt        time.Time
	limits           Limits
	vmCount          int           // entry VMs that send digests, including this one
	relayedVMs       int           // see setRelayed
	relayInterval    time.Duration // see setRelayed
	sampleCounter    uint64        // varies the random samples between requests
	loadsEqualized   bool          // see equalizePeerLoads
	index            *cacheindex.Index
	byName           map[string]*State
	endpoints        []*State // in configuration order
	byID             map[digest.EndpointID]*State
	byRun            map[digest.EndpointRun]*State // by current run
	byModel          map[string][]*State
	byService        map[string][]*State
	freeIndexes      []cacheindex.Endpoint // index numbers of removed endpoints and stores
	stores           []*storeState
	retries          retryBudget
	peers            map[string]peerView
	newPlacements    []digest.Placement         // for the next digest
	evictions        []digest.Placement         // for the next digest
	lateEvictions    []lateEviction             // see QueueDueEvictions
	digestUrgent     bool                       // see DigestUrgent
	relayUrgent      bool                       // an endpoint has crashed, or a rate limit has changed, since the last digest
	newLimits        []digest.RateLimit         // for the next digest
	permitOwner      *permits.Owner             // gives the permits of the endpoints that this VM owns
	brittle          map[string]*brittleService // by service
	brittleChanges   []BrittleChange            // not yet taken, see TakeBrittleChanges
	starts           starts                     // of endpoints that have just started or recovered
	paceChanges      []PaceChange               // not yet taken, see TakePaceChanges
	paceResults      pace.Feedback              // not yet taken, see TakePaceResults
	workloads        map[string]*workload       // by service or model
	admissionPolicy  admission.Policy           // see SetAdmission
	competitions     map[string]*competition    // by service
	admissionCounts  admissionCounts
	knownVMs         int                     // entry VMs in the directory; 0 if unknown
	parked           []*Pending              // wait for an endpoint to recover
	formerNotices    map[string]formerNotice // by name of an endpoint that is no longer listed
	matches          []cacheindex.Match      // scratch: matches of the request's chain
	storeMatches     []cacheindex.Match      // scratch: matches of a chain keyed by weights
	candidates       []Candidate             // scratch
	scoreBuffer      []float64               // scratch
	branchPoints     []int                   // scratch
	targetVersions   map[string]string       // weights version by model
	previousVersions map[string]string       // weights version by model
	tokenCosts       map[string]tokenCost    // by service
	speeds           speeds
	quarantine       *quarantine.Table
	answeredAt       map[string]time.Time // last response that has settled, by service or model
	released         []Release            // not yet taken, see TakeReleases
	unsettled        []*Pending           // requests with a first token, the oldest first; see settle
}

// NewCore returns a core without endpoints.
func NewCore(policy Policy, limits Limits, now time.Time) *Core {
	return &Core{
		policy: policy, startedAt: now, limits: limits, vmCount: 1,
		index:  cacheindex.New(limits.TrackedPrefixes, now),
		byName: map[string]*State{},
		peers:  map[string]peerView{}, previousVersions: map[string]string{}, tokenCosts: map[string]tokenCost{},
		formerNotices: map[string]formerNotice{}, quarantine: quarantine.NewTable(nil), answeredAt: map[string]time.Time{},
		permitOwner: permits.NewOwner(), brittle: map[string]*brittleService{}, starts: newStarts(), workloads: map[string]*workload{}, competitions: map[string]*competition{},
		retries: retryBudget{share: limits.RetryShare, burst: limits.RetryBurst, tokens: limits.RetryBurst},
	}
}

// SetEndpoints replaces the endpoints. Requests queued at an endpoint that was removed or
// is leaving are placed again.
func (c *Core) SetEndpoints(now time.Time, endpoints []Endpoint) {
	previous := c.byName
	c.byName, c.endpoints = map[string]*State{}, nil
	c.byID, c.byRun = map[digest.EndpointID]*State{}, map[digest.EndpointRun]*State{}
	c.byModel = map[string][]*State{}
	c.byService = map[string][]*State{}
	var displaced []*Pending
	first := len(previous) == 0 // the endpoints may have run for long
	for _, e := range endpoints {
		s := previous[e.Name]
		starts := s == nil || s.Address != e.Address
		if starts {
			s = c.newState(e.Service)
		} else {
			delete(previous, e.Name)
		}
		if s.Weights != e.Weights {
			c.index.ClearEndpoint(s.index)
		}
		s.Endpoint, s.id, s.nameHash = e, digest.EndpointIDOf(e.Name), rendezvous.Name(e.Name)
		c.byName[e.Name] = s
		c.endpoints = append(c.endpoints, s)
		c.byID[s.id], c.byRun[digest.EndpointRunOf(s.id, s.run)] = s, s
		if e.KnownIncarnation != "" {
			c.RecordIncarnation(s, e.KnownIncarnation)
		}
		c.restoreNotice(now, s)
		if starts && !first {
			c.beginStart(now, s, startedNew)
		}
		for _, m := range e.Models {
			c.byModel[m] = append(c.byModel[m], s)
		}
		if e.Service != "" {
			c.byService[e.Service] = append(c.byService[e.Service], s)
			if s.brittle = 0; c.brittle[e.Service] != nil {
				s.brittle = c.brittle[e.Service].tolerated
			}
		}
		if s.Leaving {
			displaced = append(displaced, s.queue.RemoveSubmittedBefore(now.Add(time.Nanosecond))...)
		}
	}
	for _, s := range previous {
		c.endStart(now, s)
		s.removed = true
		c.keepNotice(now, s)
		c.index.ClearEndpoint(s.index)
		c.freeIndexes = append(c.freeIndexes, s.index)
		displaced = append(displaced, s.queue.RemoveSubmittedBefore(now.Add(time.Nanosecond))...)
	}
	slices.SortStableFunc(displaced, func(a, b *Pending) int { return a.submittedAt.Compare(b.submittedAt) })
	for _, p := range displaced {
		p.state = nil
		c.place(now, p)
	}
	c.unpark(now)
}

// newState returns the state of a new endpoint of the service; service may be empty. Its
// token cost starts at the average of the service, if one is known.
func (c *Core) newState(service string) *State {
	s := &State{PrefillPerToken: initialPrefillPerToken, ServiceTime: initialServiceTime, index: c.allocateIndex()}
	if t := c.tokenCosts[service]; t.samples > 0 {
		s.PrefillPerToken = t.perToken
	}
	return s
}

// allocateIndex returns an index number for an endpoint or store; it reuses freed numbers
// first.
func (c *Core) allocateIndex() cacheindex.Endpoint {
	last := len(c.freeIndexes) - 1
	if last < 0 {
		return c.index.AddEndpoint()
	}
	index := c.freeIndexes[last]
	c.freeIndexes = c.freeIndexes[:last]
	c.index.SetLifetime(index, cacheindex.InitialLifetime)
	return index
}

// Submit selects an endpoint for a request. It calls onSettled exactly once, when the
// request is sent or refused, possibly before Submit returns. onSettled is not called for
// a request that was canceled.
func (c *Core) Submit(now time.Time, r Request, onSettled func()) *Pending {
	p := &Pending{Request: r, submittedAt: now, onSettled: onSettled}
	if len(r.Exclude) == 0 {
		c.retries.earn()
	} else if !c.retries.spend() {
		c.refuse(p, errkind.New(errkind.Overloaded, "retry budget is exhausted").WithRetryAfter(c.limits.LongestWait))
		return p
	}
	c.place(now, p)
	return p
}

// place selects an endpoint and queues the request there. If no endpoint qualifies, it
// parks the request.
func (c *Core) place(now time.Time, p *Pending) {
	if best := c.choose(now, p); best != nil {
		c.assign(now, p, best)
	}
}

// choose selects an endpoint for the request. It returns nil if the request has been refused, or
// waits without an endpoint.
func (c *Core) choose(now time.Time, p *Pending) *Candidate {
	if refusal := c.quarantined(now, &p.Request); refusal != nil {
		c.refuse(p, refusal)
		return nil
	}
	if !c.admitted(now, p) {
		return nil
	}
	best := c.decide(now, p)
	if best == nil {
		c.park(now, p)
		return nil
	}
	if !c.admit(now, p, best.State) {
		return nil
	}
	return best
}

// assign records the decision and queues the request at its endpoint.
func (c *Core) assign(now time.Time, p *Pending, best *Candidate) {
	s := best.State
	c.recordDecision(now, p, best)
	p.queuedAt = now
	s.queue.Push(p)
	c.dispatch(now, s)
}

// recordDecision records in the request which endpoint was selected.
func (c *Core) recordDecision(now time.Time, p *Pending, best *Candidate) {
	s := best.State
	p.state, p.match, p.uncachedTokens = s, best.Match, best.UncachedTokens-best.ImportTokens
	p.Decision = Decision{
		Endpoint: s.Name, Address: s.Address, FailureDomain: s.FailureDomain, Release: s.Release, Incarnation: s.Incarnation,
		CachedTokens: max(p.Request.PromptTokens-best.UncachedTokens, 0), UncachedTokens: max(p.uncachedTokens, 0),
		Weights: s.Weights, Parts: c.scoreParts(best),
	}
	p.Decision.ImportFrom, p.importKnown = c.importFrom(now, p, best)
}

// reconsider moves the first request of a queue to another endpoint if it has waited for
// reconsiderAfter and the best endpoint is now another one with a free slot and an empty
// queue.
func (c *Core) reconsider(now time.Time, s *State) {
	p := s.queue.Peek()
	if p == nil || now.Sub(p.queuedAt) < reconsiderAfter {
		return
	}
	best := c.decide(now, p)
	if best == nil || best.State == s || !c.hasSlot(now, best.State, &p.Request) || best.State.queue.Len() > 0 {
		p.queuedAt = now
		return
	}
	s.queue.Remove(p)
	c.assign(now, p, best)
}

// missesDeadline reports whether the prefill work ahead of the request at its best
// endpoint takes longer than the request has left. The duration is the time until that
// work has shrunk to half of the time left; a refusal returns it as the retry delay. While no
// response has shown what a token costs, as after a restart, no request is refused for it.
func (c *Core) missesDeadline(r *Request, s *State) (time.Duration, bool) {
	if !c.costKnown(s) {
		return 0, false
	}
	backlog := time.Duration(s.PendingTokens+s.PeerPendingTokens) * s.usualPerToken()
	return backlog - r.TimeLeft/2, r.TimeLeft > 0 && backlog > r.TimeLeft
}

// admit sheds load early. It refuses a request by the prefill work ahead and by the
// predicted wait in fair order. If the queue is full, it evicts a request of the account
// with the most waiting tokens instead, or refuses the new one if that is the same
// account.
func (c *Core) admit(now time.Time, p *Pending, s *State) bool {
	if wait, late := c.missesDeadline(&p.Request, s); late {
		c.refuse(p, overloaded(wait))
		return false
	}
	if c.hasCapacity(now, p, s) {
		return true
	}
	wait := c.predictedWait(now, p, s)
	if wait > c.maxWait(&p.Request) {
		c.refuse(p, c.noCapacity(now, p, s, wait))
		return false
	}
	evicted := s.queue.EvictionCandidate(p.Request.Priority)
	if evicted == nil || evicted.Request.Account == p.Request.Account && evicted.Request.Priority == p.Request.Priority {
		c.refuse(p, overloaded(wait))
		return false
	}
	s.queue.Remove(evicted)
	c.refuse(evicted, overloaded(wait))
	return true
}

// hasCapacity reports whether the endpoint has a free slot now, or a queue in which the
// predicted wait is within the request's maximum.
func (c *Core) hasCapacity(now time.Time, p *Pending, s *State) bool {
	if c.hasSlot(now, s, &p.Request) && s.queue.Len() == 0 {
		return true
	}
	return s.queue.Len() < c.limits.QueuePerEndpoint && c.predictedWait(now, p, s) <= c.maxWait(&p.Request)
}

// maxWait returns how long a request may wait for a slot.
func (c *Core) maxWait(r *Request) time.Duration {
	if r.LongestWait > 0 {
		return min(r.LongestWait, c.limits.LongestWait)
	}
	return c.limits.LongestWait
}

// predictedWait estimates how long a request waits for a slot in fair order. At an endpoint that
// needs permits, the time that the request has waited counts: it has been refused permits.
func (c *Core) predictedWait(now time.Time, p *Pending, s *State) time.Duration {
	ahead := s.queue.CountAhead(p.Request.Account, p.Request.Priority)
	_, limit := c.visibleLoad(now, s, &p.Request)
	wait := time.Duration(ahead+1) * s.usualServiceTime() / time.Duration(limit)
	if !s.needsPermit() {
		return wait
	}
	return max(wait, now.Sub(p.submittedAt)+s.permitWait(now, ahead))
}

// noCapacity returns the error for a request that would wait too long at its best endpoint.
func (c *Core) noCapacity(now time.Time, p *Pending, s *State, wait time.Duration) *errkind.Error {
	if !s.needsPermit() {
		return overloaded(wait)
	}
	text := "the endpoint's rate limit is used up"
	if !s.limited() {
		text = "the endpoint gives no more permits"
	}
	return errkind.New(errkind.Overloaded, "%s", text).
		WithRetryAfter(spreadRetryAfter(&p.Request, max(s.permitWait(now, s.queue.Len()), s.permits.Interval(), minRetryAfter)))
}

// minRetryAfter is the shortest time to retry after.
const minRetryAfter = 100 * time.Millisecond

func overloaded(wait time.Duration) *errkind.Error {
	return errkind.New(errkind.Overloaded, "no free slot at the endpoint").WithRetryAfter(max(wait, minRetryAfter))
}

func (c *Core) refuse(p *Pending, e *errkind.Error) {
	p.phase, p.Refusal = phaseOver, e
	p.onSettled()
}

// dispatch sends queued requests while the endpoint has free slots.
func (c *Core) dispatch(now time.Time, s *State) {
	for {
		p := s.queue.Peek()
		if p == nil || !c.hasSlot(now, s, &p.Request) {
			return
		}
		s.queue.Pop()
		if refusal := c.quarantined(now, &p.Request); refusal != nil {
			c.refuse(p, refusal)
			continue
		}
		c.send(now, p)
	}
}

func (c *Core) send(now time.Time, p *Pending) {
	s := p.state
	p.phase, p.sentAt, p.run = phaseSent, now, s.run
	p.tokensAhead = s.PendingTokens + s.PeerPendingTokens + p.uncachedTokens
	p.requestsThere = s.InFlight + s.PeerInFlight + s.currentForeign(now) + 1
	p.Decision.SaveTo, p.Decision.Limit, p.Decision.Held = c.saveTo(now, p), s.selfReport.limit.value, p.held
	s.usePermit()
	if s.start != nil {
		s.start.limit.Send()
	}
	p.quarantineState = c.quarantine.Snapshot(p.Request.Traits)
	c.quarantine.RecordSend(now, p.Request.Traits)
	s.cacheInflow.add(p.Request.PromptTokens-p.Decision.CachedTokens+p.Request.MaxTokens, now)
	c.updateLifetime(s.index, &s.cacheInflow, s.CacheCapacityTokens, now)
	for _, store := range c.stores {
		if store.Address == p.Decision.ImportFrom {
			store.linkTraffic.add(p.Request.PromptTokens, now)
		}
	}
	c.workloadOf(&p.Request).add(p.uncachedTokens)
	s.InFlight++
	c.recordSent(p)
	s.updatePeak()
	s.PendingTokens += p.uncachedTokens
	c.index.Touch(s.index, p.Request.Chain, now)
	c.recordPlacements(s, p.Request.Chain, p.match.CachedPieces)
	p.onSettled()
}

// RecordFirstToken records that the first token of a sent request has arrived.
func (c *Core) RecordFirstToken(now time.Time, p *Pending) {
	if p.phase == phaseSent {
		p.startedAt = now
		c.settleStarted(now)
		c.unsettled = append(c.unsettled, p)
		c.endPrefill(p)
	}
}

// endPrefill no longer counts the prompt of a sent request as pending.
func (c *Core) endPrefill(p *Pending) {
	if p.phase == phaseSent {
		p.phase = phaseStarted
		p.state.PendingTokens -= p.uncachedTokens
	}
}

// Finish ends a sent request with its result and dispatches queued requests.
func (c *Core) Finish(now time.Time, p *Pending, r Result) {
	if p.phase != phaseSent && p.phase != phaseStarted {
		return
	}
	c.endPrefill(p)
	p.phase = phaseOver
	if r.Err == nil || hasSettled(now, p) {
		c.settle(now, p, r.Err == nil)
	}
	s := p.state
	s.InFlight--
	c.observePace(now, p, r)
	c.observeSpeed(now, p, r)
	c.observeStart(now, p, r)
	if r.NothingShared {
		c.forgetPlacement(now, p)
	}
	c.recordResult(now, p, r)
	if !s.removed {
		c.dispatch(now, s)
	}
	c.recordEnded(now, p, r)
}

// Cancel withdraws a request that still waits and reports whether it did so.
func (c *Core) Cancel(p *Pending) bool {
	if p.phase != phaseWaiting {
		return false
	}
	p.phase = phaseOver
	if p.state == nil {
		if !c.withdrawHeld(p) {
			c.dropParked(p)
		}
	} else {
		p.state.queue.Remove(p)
	}
	return true
}

// Tick refuses requests that have waited longer than the limit, expires peers, and retries
// parked and queued requests. The module calls it periodically.
func (c *Core) Tick(now time.Time) {
	c.expirePeers(now)
	c.settleStarted(now)
	c.quarantine.Repeat(now)
	c.permitOwner.Expire(now)
	c.expireBrittle(now)
	c.expireStarts(now)
	c.updateSpeeds(now)
	c.unpark(now)
	c.updateCompetitions(now)
	for _, s := range c.endpoints {
		if s.queue.Len() == 0 {
			continue
		}
		for _, p := range s.queue.RemoveSubmittedBefore(now.Add(-c.limits.LongestWait)) {
			c.refuse(p, overloaded(s.ServiceTime))
		}
		c.dispatch(now, s)
		c.reconsider(now, s)
	}
}

// workloadOf returns the workload of the service or model of a request that has an endpoint.
func (c *Core) workloadOf(r *Request) *workload {
	w := c.workloads[r.group()]
	if w == nil {
		w = &workload{}
		c.workloads[r.group()] = w
	}
	return w
}

// State returns the state of the named endpoint.
func (c *Core) State(name string) (*State, bool) {
	s, ok := c.byName[name]
	return s, ok
}
