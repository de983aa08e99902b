package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/cacheindex"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
)

// Limits bound what a Core keeps and how long it lets requests wait.
type Limits struct {
	QueuePerEndpoint int
	LongestWait      time.Duration
	TrackedPrefixes  int
	RetryShare       float64 // retries per first try
	RetryBurst       float64
	DigestsPerSecond float64 // digests that a VM sends a second at most; 0 for no limit
}

// DefaultLimits are the limits of an entry VM.
func DefaultLimits() Limits {
	return Limits{QueuePerEndpoint: 64, LongestWait: 5 * time.Second, TrackedPrefixes: 100_000, RetryShare: 0.1, RetryBurst: 32}
}

// reconsiderAfter is how long a request waits in a queue before another endpoint is
// considered for it.
const reconsiderAfter = 200 * time.Millisecond

// Core decides on endpoints and admission. It is a plain state machine: inputs and
// time in, decisions out through Pending. It is not safe for concurrent use.
type Core struct {
	policy     Policy
	began      time.Time
	limits     Limits
	vms        int
	draws      uint64 // of random candidates
	leveled    bool   // see level
	index      *cacheindex.Index
	byName     map[string]*State
	fleet      []*State // in the order of the configuration
	byID       map[digest.EndpointID]*State
	byAt       map[digest.At]*State // by present run
	byModel    map[string][]*State
	byService  map[string][]*State
	unused     []cacheindex.Endpoint
	stores     []*storeState
	retries    budget
	peers      map[string]peerView
	fresh      []digest.Placement // for the next digest
	gone       []digest.Placement
	urgent     bool
	parked     []*Pending
	matches    []cacheindex.Match
	stored     []cacheindex.Match // of a chain under weights
	candidates []Candidate
	out        []float64
	forks      []int
	wanted     map[string]string // version by model
	previous   map[string]string
	tokenCosts map[string]tokenCost // by service
}

// NewCore returns a core without endpoints.
func NewCore(policy Policy, limits Limits, now time.Time) *Core {
	return &Core{
		policy: policy, began: now, limits: limits, vms: 1,
		index:  cacheindex.New(limits.TrackedPrefixes, now),
		byName: map[string]*State{},
		peers:  map[string]peerView{}, previous: map[string]string{}, tokenCosts: map[string]tokenCost{},
		retries: budget{share: limits.RetryShare, burst: limits.RetryBurst, left: limits.RetryBurst},
	}
}

// SetEndpoints replaces the endpoints. Requests that wait for one that is gone or leaving
// are placed anew.
func (c *Core) SetEndpoints(now time.Time, fleet []Endpoint) {
	old := c.byName
	c.byName, c.fleet = map[string]*State{}, nil
	c.byID, c.byAt = map[digest.EndpointID]*State{}, map[digest.At]*State{}
	c.byModel = map[string][]*State{}
	c.byService = map[string][]*State{}
	var moved []*Pending
	for _, e := range fleet {
		s := old[e.Name]
		if s == nil || s.Address != e.Address {
			s = c.newState(e.Service)
		} else {
			delete(old, e.Name)
		}
		if s.Weights != e.Weights {
			c.index.Forget(s.index)
		}
		s.Endpoint, s.id, s.hash = e, digest.Identify(e.Name), nameHash(e.Name)
		c.byName[e.Name] = s
		c.fleet = append(c.fleet, s)
		c.byID[s.id], c.byAt[digest.Of(s.id, s.run)] = s, s
		if e.KnownIncarnation != "" {
			c.RecordIncarnation(s, e.KnownIncarnation)
		}
		for _, m := range e.Models {
			c.byModel[m] = append(c.byModel[m], s)
		}
		if e.Service != "" {
			c.byService[e.Service] = append(c.byService[e.Service], s)
		}
		if s.Leaving {
			moved = append(moved, s.queue.Overdue(now.Add(time.Nanosecond))...)
		}
	}
	for _, s := range old {
		s.gone = true
		c.index.Forget(s.index)
		c.unused = append(c.unused, s.index)
		moved = append(moved, s.queue.Overdue(now.Add(time.Nanosecond))...)
	}
	slices.SortStableFunc(moved, func(a, b *Pending) int { return a.submitted.Compare(b.submitted) })
	for _, p := range moved {
		p.state = nil
		c.place(now, p)
	}
	c.unpark(now)
}

// newState is an endpoint of a service, or of none, that has told nothing yet.
func (c *Core) newState(service string) *State {
	s := &State{PrefillPerToken: initialPrefillPerToken, ServiceTime: initialService, index: c.number()}
	if t := c.tokenCosts[service]; t.answers > 0 {
		s.PrefillPerToken = t.perToken
	}
	return s
}

// number takes a number in the index, a freed one first.
func (c *Core) number() cacheindex.Endpoint {
	last := len(c.unused) - 1
	if last < 0 {
		return c.index.Add()
	}
	n := c.unused[last]
	c.unused = c.unused[:last]
	c.index.Believe(n, cacheindex.InitialLifetime)
	return n
}

// Submit decides on a request's endpoint. settled is called once, when the request
// has its place or its refusal; possibly before Submit returns.
func (c *Core) Submit(now time.Time, r Request, settled func()) *Pending {
	p := &Pending{Request: r, submitted: now, settled: settled}
	if len(r.Exclude) == 0 {
		c.retries.earn()
	} else if !c.retries.spend() {
		c.refuse(p, errkind.New(errkind.Overloaded, "retry budget is spent").WithRetryAfter(c.limits.LongestWait))
		return p
	}
	c.place(now, p)
	return p
}

// place chooses an endpoint and queues the request there.
func (c *Core) place(now time.Time, p *Pending) {
	best := c.decide(now, p)
	if best == nil {
		c.park(now, p)
		return
	}
	if c.admit(p, best.State) {
		c.assign(now, p, best)
	}
}

// assign queues a request at its endpoint.
func (c *Core) assign(now time.Time, p *Pending, best *Candidate) {
	s := best.State
	p.state, p.match, p.missed = s, best.Match, best.UncachedTokens-best.ImportTokens
	p.Decision = Decision{
		Endpoint: s.Name, Address: s.Address, FailureDomain: s.FailureDomain, Incarnation: s.Incarnation,
		CachedTokens: max(p.Request.PromptTokens-best.UncachedTokens, 0),
		ImportFrom:   c.importFrom(now, p, best), Weights: s.Weights, Parts: c.parts(best),
	}
	p.queued = now
	s.queue.Push(p)
	c.pump(now, s)
}

// moveOn takes the next request of a queue to another endpoint when it has waited there
// for a while and the other is the better one by now and has a place.
func (c *Core) moveOn(now time.Time, s *State) {
	p := s.queue.Peek()
	if p == nil || now.Sub(p.queued) < reconsiderAfter {
		return
	}
	best := c.decide(now, p)
	if best == nil || best.State == s || best.State.InFlight >= best.State.limit(c.vms) || best.State.queue.Len() > 0 {
		p.queued = now
		return
	}
	s.queue.Remove(p)
	c.assign(now, p, best)
}

// hopeless reports whether the request's time will be over before the work that was sent
// before it is done, even where that is soonest, and when there will be room.
func (c *Core) hopeless(r *Request, s *State) (time.Duration, bool) {
	ahead := time.Duration(s.PendingTokens+s.PeerPendingTokens) * s.PrefillPerToken
	return ahead - r.TimeLeft/2, r.TimeLeft > 0 && ahead > r.TimeLeft
}

// admit sheds early: by the work ahead, by the predicted wait in fair order, and by the
// queue's bound, where the account that waits with the most tokens gives way.
func (c *Core) admit(p *Pending, s *State) bool {
	if wait, hopeless := c.hopeless(&p.Request, s); hopeless {
		c.refuse(p, overloaded(wait))
		return false
	}
	if c.roomy(&p.Request, s) {
		return true
	}
	wait := c.wait(&p.Request, s)
	if wait > c.longest(&p.Request) {
		c.refuse(p, overloaded(wait))
		return false
	}
	victim := s.queue.Longest(p.Request.Priority)
	if victim == nil || victim.Request.Account == p.Request.Account && victim.Request.Priority == p.Request.Priority {
		c.refuse(p, overloaded(wait))
		return false
	}
	s.queue.Remove(victim)
	c.refuse(victim, overloaded(wait))
	return true
}

// roomy reports whether the endpoint has a place, or one in its queue that comes up in
// time.
func (c *Core) roomy(r *Request, s *State) bool {
	if s.InFlight < s.limit(c.vms) && s.queue.Len() == 0 {
		return true
	}
	return s.queue.Len() < c.limits.QueuePerEndpoint && c.wait(r, s) <= c.longest(r)
}

// longest is how long a request may wait for a place.
func (c *Core) longest(r *Request) time.Duration {
	if r.LongestWait > 0 {
		return min(r.LongestWait, c.limits.LongestWait)
	}
	return c.limits.LongestWait
}

// wait predicts how long a newcomer waits for a place, in fair order.
func (c *Core) wait(r *Request, s *State) time.Duration {
	ahead := s.queue.Ahead(r.Account, r.Priority)
	return time.Duration(ahead+1) * s.ServiceTime / time.Duration(s.limit(c.vms))
}

func overloaded(wait time.Duration) *errkind.Error {
	return errkind.New(errkind.Overloaded, "every place is taken").WithRetryAfter(max(wait, 100*time.Millisecond))
}

func (c *Core) refuse(p *Pending, e *errkind.Error) {
	p.phase, p.Refusal = over, e
	p.settled()
}

// pump sends waiting requests while there are places.
func (c *Core) pump(now time.Time, s *State) {
	for s.InFlight < s.limit(c.vms) {
		p := s.queue.Pop()
		if p == nil {
			return
		}
		c.send(now, p)
	}
}

func (c *Core) send(now time.Time, p *Pending) {
	s := p.state
	p.phase, p.sent, p.run = sent, now, s.run
	p.work = s.PendingTokens + s.PeerPendingTokens + p.missed
	p.Decision.SaveTo = c.saveTo(now, p)
	s.intake.add(p.Request.PromptTokens-p.Decision.CachedTokens+p.Request.MaxTokens, now)
	c.believe(s.index, &s.intake, s.CacheCapacityTokens, now)
	for _, store := range c.stores {
		if store.Address == p.Decision.ImportFrom {
			store.moved.add(p.Request.PromptTokens, now)
		}
	}
	s.InFlight++
	s.note()
	s.PendingTokens += p.missed
	c.index.Touch(s.index, p.Request.Chain, now)
	c.remember(s, p.Request.Chain, p.match.Depth)
	p.settled()
}

// RecordFirstToken tells that the first token of a sent request has arrived.
func (c *Core) RecordFirstToken(p *Pending) {
	if p.phase == sent {
		p.phase = started
		p.state.PendingTokens -= p.missed
	}
}

// Finish ends a sent request with its result.
func (c *Core) Finish(now time.Time, p *Pending, r Result) {
	if p.phase != sent && p.phase != started {
		return
	}
	c.RecordFirstToken(p)
	p.phase = over
	s := p.state
	s.InFlight--
	c.learn(now, p, r)
	if !s.gone {
		c.pump(now, s)
	}
}

// Cancel takes back a request that still waits; it reports whether it did.
func (c *Core) Cancel(p *Pending) bool {
	if p.phase != waiting {
		return false
	}
	p.phase = over
	if p.state == nil {
		c.dropParked(p)
	} else {
		p.state.queue.Remove(p)
	}
	return true
}

// Tick refuses, at once, what has waited for longer than the bound.
func (c *Core) Tick(now time.Time) {
	c.forgetSilent(now)
	c.unpark(now)
	for _, s := range c.fleet {
		if s.queue.Len() == 0 {
			continue
		}
		for _, p := range s.queue.Overdue(now.Add(-c.limits.LongestWait)) {
			c.refuse(p, overloaded(s.ServiceTime))
		}
		c.pump(now, s)
		c.moveOn(now, s)
	}
}

// State finds what is known of an endpoint, for reports.
func (c *Core) State(name string) (*State, bool) {
	s, ok := c.byName[name]
	return s, ok
}
