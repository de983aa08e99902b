package grants

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/statemachine"

	"go.uber.org/zap"
)

// Limits is the source of the accounts' grants for the owner, usually the replicated
// configuration.
type Limits interface {
	// Limits returns the grants of all client accounts by name, and a revision that
	// changes whenever a grant does. ok is false while there is no configuration yet.
	// The map must not be modified.
	Limits() (limits map[string]Limit, revision uint64, ok bool)
}

// StateLimits implements Limits with the product's own configuration.
type StateLimits struct {
	Source interface{ View() *state.View }
}

// Limits implements Limits.
func (s StateLimits) Limits() (map[string]Limit, uint64, bool) {
	view := s.Source.View()
	if view == nil {
		return nil, 0, false
	}
	limits := map[string]Limit{}
	for _, a := range view.Configuration().GetClientAccounts() {
		limits[a.GetName()] = Limit{Rate: a.GetRateTokens(), Burst: a.GetBurstTokens()}
	}
	return limits, view.Revision(), true
}

// Limit returns the grant of one account, or false if the configuration does not have it. It implements
// HolderOptions.Limit.
func (s StateLimits) Limit(account string) (Limit, bool) {
	view := s.Source.View()
	if view == nil {
		return Limit{}, false
	}
	a, ok := view.Account(account)
	return Limit{Rate: a.GetRateTokens(), Burst: a.GetBurstTokens()}, ok
}

// Timing of the owner's service.
const (
	tickInterval   = 50 * time.Millisecond // between checks of leadership and durable bounds
	expireInterval = time.Second           // between checks for expired slices
	proposeTimeout = 2 * time.Second       // for one command to be committed and applied
)

// Service runs the owner while this replica leads.
type Service struct {
	opt        OwnerOptions
	limits     Limits
	machine    *Machine
	proposer   statemachine.Proposer
	leadership statemachine.Leadership
	log        *zap.Logger
	start      time.Time
	clock      clock.Clock
	wakeup     chan struct{}

	mu             sync.Mutex
	owner          *Owner        // nil while this replica does not serve
	served         serviceClock  // of the owner
	lastServed     time.Duration // when the service time was last made durable for its own sake
	limitsRevision uint64        // of the grants that the owner uses
	lastTick       time.Duration // time of the last check for expired slices
}

// NewService returns the owner's service. It owns no grants until Run is called.
func NewService(opt OwnerOptions, limits Limits, machine *Machine, proposer statemachine.Proposer, leadership statemachine.Leadership, log *zap.Logger, now clock.Clock) *Service {
	return &Service{
		opt: opt, limits: limits, machine: machine, proposer: proposer, leadership: leadership, log: log,
		start: now(), clock: now, wakeup: make(chan struct{}, 1),
	}
}

// now returns the time since NewService.
func (s *Service) now() time.Duration { return s.clock().Sub(s.start) }

// Sync replies to a holder's report. It returns an encoded errkind.NotLeader if this replica is
// not the owner.
func (s *Service) Sync(req *SyncRequest, reply *SyncReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owns() { // tokens granted now would count as outstanding until they expire
		return peer.EncodeError(errkind.New(errkind.NotLeader, "this replica does not own the grants"))
	}
	s.applyNewLimits() // the report may name an account that was just added
	ownerReply := s.owner.Sync(s.now(), req)
	// Grants may be sent only while the leader lease is valid. A later owner waits for the
	// leases of slices granted before its own start, and for no others.
	if !s.owns() {
		return peer.EncodeError(errkind.New(errkind.NotLeader, "this replica no longer owns the grants"))
	}
	*reply = *ownerReply
	s.wakeIfRefused(ownerReply)
	return nil
}

// owns reports whether the owner may grant now: it exists and its replica holds the leader lease in its term. The
// caller must hold s.mu.
func (s *Service) owns() bool {
	if s.owner == nil {
		return false
	}
	term, ok := s.leadership.Leading()
	return ok && term == s.owner.Term()
}

// wakeIfRefused makes Run check the durable bounds now if the reply refuses a need, because
// a bound may be the reason.
func (s *Service) wakeIfRefused(reply *SyncReply) {
	for _, e := range reply.Entries {
		if e.RetryAfter > 0 {
			select {
			case s.wakeup <- struct{}{}:
			default:
			}
			return
		}
	}
}

// Run starts and stops the owner as leadership changes, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stopServing()
			return
		case <-ticker.C:
		case <-s.wakeup:
		}
		s.step(ctx)
	}
}

// step takes over, maintains or stops the owner according to the current leadership. While the leader lease has
// lapsed, the owner grants nothing and is kept: if a majority confirms the lease again in the same term, no other
// replica has owned the grants since.
func (s *Service) step(ctx context.Context) {
	term, ok := s.leadership.Leading()
	s.mu.Lock()
	serving := s.owner != nil && s.owner.Term() == term
	s.mu.Unlock()
	if !ok {
		if !serving {
			s.stopServing()
		}
		return
	}
	if !serving {
		s.takeOver(ctx, term)
		return
	}
	s.maintain()
	s.commitBounds(ctx)
}

// accountCount returns the number of the owner's accounts, or 0 if this replica is not the
// owner.
func (s *Service) accountCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == nil {
		return 0
	}
	return len(s.owner.accounts)
}

// stopServing drops the owner, so that Sync refuses reports.
func (s *Service) stopServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner = nil
}

// takeOver starts an owner for the term. It first commits a command of the term: then all
// bounds of former owners that will ever apply are applied to this replica's machine. The
// owner starts from those bounds.
func (s *Service) takeOver(ctx context.Context, term uint64) {
	s.stopServing()
	limits, revision, ok := s.limits.Limits()
	if !ok || !s.propose(ctx, command{Term: term}) {
		return
	}
	owner, served := NewOwner(term, s.opt), serviceClock{durable: s.machine.Served(), start: s.now()}
	changes, advances := owner.initialize(s.now(), limits, s.machine)
	if len(changes) > 0 || len(advances) > 0 {
		if !s.propose(ctx, command{Term: term, Changes: changes, Advances: advances, Served: served.durable}) {
			return
		}
		owner.Committed(changes)
	}
	s.mu.Lock()
	s.owner, s.limitsRevision, s.served, s.lastServed = owner, revision, served, s.now()
	s.mu.Unlock()
	s.log.Info("owning grants", zap.Uint64("term", term), zap.Int("accounts", len(changes)), zap.Int("advances", len(advances)),
		zap.Duration("served", served.durable))
}

// initialize adds all accounts that have a grant, and those that have a durable bound but no
// grant any more. It returns the initial changes of durable bounds and the advances to
// commit. The owner must not serve before both are committed.
func (o *Owner) initialize(now time.Duration, limits map[string]Limit, m *Machine) ([]Change, []Advance) {
	var advances []Advance
	for name, limit := range limits {
		bound, known := m.Bound(name)
		if !known {
			continue
		}
		earlier, _ := m.Advanced(name, o.opt.advanceHorizon())
		advance := o.opt.allowedAdvance(limit, bound, earlier)
		if advance > 0 {
			advances = append(advances, Advance{Account: name, Tokens: advance, At: m.Served()})
		}
		o.SetLimit(now, name, limit, &bound, advance)
	}
	slices.SortFunc(advances, func(a, b Advance) int { return strings.Compare(a.Account, b.Account) })
	o.applyLimits(now, limits, m)
	for _, c := range m.Bounds() {
		if o.accounts[c.Account] == nil {
			o.SetLimit(now, c.Account, Limit{}, &c.Promise, 0)
			o.RemoveLimit(now, c.Account)
		}
	}
	return o.ProposeBounds(now), advances
}

// applyLimits sets the grants of all accounts in limits and removes those of all others.
func (o *Owner) applyLimits(now time.Duration, limits map[string]Limit, m *Machine) {
	for name, limit := range limits {
		var bound *DurableBound
		if b, ok := m.Bound(name); ok {
			bound = &b
		}
		o.SetLimit(now, name, limit, bound, 0)
	}
	for _, name := range o.names() {
		if _, ok := limits[name]; !ok {
			o.RemoveLimit(now, name)
		}
	}
}

// maintain applies a newer configuration and, every expireInterval, expires slices.
func (s *Service) maintain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == nil {
		return
	}
	s.applyNewLimits()
	if now := s.now(); now-s.lastTick >= expireInterval {
		s.lastTick = now
		s.owner.Tick(now)
	}
}

// applyNewLimits applies the grants of a newer configuration. The caller must hold s.mu, and
// s.owner must not be nil.
func (s *Service) applyNewLimits() {
	if limits, revision, ok := s.limits.Limits(); ok && revision != s.limitsRevision {
		s.owner.applyLimits(s.now(), limits, s.machine)
		s.limitsRevision = revision
	}
}

// commitBounds commits the durable bounds that the owner proposes.
func (s *Service) commitBounds(ctx context.Context) {
	s.mu.Lock()
	owner := s.owner
	var changes []Change
	var served ServiceTime
	if owner != nil {
		changes = owner.ProposeBounds(s.now())
		served = s.served.at(s.now())
	}
	storeTime := owner != nil && s.mustStoreServiceTime(s.now())
	s.mu.Unlock()
	if len(changes) == 0 && !storeTime || !s.propose(ctx, command{Term: owner.Term(), Changes: changes, Served: served}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owner.Committed(changes)
}

// serviceTimeInterval is the time between two commits of the service time alone.
const serviceTimeInterval = time.Second

// mustStoreServiceTime reports whether to commit the service time now, so that advances
// leave the horizon of the next owner. The caller must hold s.mu.
func (s *Service) mustStoreServiceTime(now time.Duration) bool {
	if now-s.lastServed < serviceTimeInterval {
		return false
	}
	s.lastServed = now
	_, some := s.machine.Advanced("", s.opt.advanceHorizon())
	return some
}

// propose commits a command to the log and reports whether it was applied.
func (s *Service) propose(ctx context.Context, c command) bool {
	data, err := c.encode()
	if err != nil {
		s.log.Error("durable bounds not encoded", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.proposer.Propose(ctx, Namespace, data)
	if err != nil {
		s.log.Warn("durable bounds not committed", zap.Error(err))
		return false
	}
	return len(result.Data) == 1 && result.Data[0] == applied[0]
}
