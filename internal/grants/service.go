package grants

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/statemachine"

	"go.uber.org/zap"
)

// Limits is where the owner reads the accounts' grants: the replicated state.
type Limits interface {
	// Limits returns every client account's grant, and a revision that changes with
	// them; ok is false while nothing is known yet. The map must not be changed.
	Limits() (limits map[string]Limit, revision uint64, ok bool)
}

// StateLimits reads the grants from the product's own configuration.
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

// Timing of the owner's service.
const (
	tickEvery      = 50 * time.Millisecond // looks at leadership and promises
	expireEvery    = time.Second           // looks for slices that have ended
	proposeTimeout = 2 * time.Second
)

// Service runs the owner while this replica leads.
type Service struct {
	opt      OwnerOptions
	limits   Limits
	machine  *Machine
	proposer statemachine.Proposer
	leads    statemachine.Leadership
	log      *zap.Logger
	start    time.Time
	clock    clock.Clock
	kick     chan struct{}

	mu       sync.Mutex
	owner    *Owner // nil while this replica does not serve
	revision uint64
	ticked   time.Duration
}

// NewService returns the owner's service; Run makes it work.
func NewService(opt OwnerOptions, l Limits, m *Machine, p statemachine.Proposer, leads statemachine.Leadership, log *zap.Logger, now clock.Clock) *Service {
	return &Service{
		opt: opt, limits: l, machine: m, proposer: p, leads: leads, log: log,
		start: now(), clock: now, kick: make(chan struct{}, 1),
	}
}

func (s *Service) now() time.Duration { return s.clock().Sub(s.start) }

// Sync is the net/rpc method that takes holders' reports.
func (s *Service) Sync(req *SyncRequest, reply *SyncReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == nil {
		return peer.EncodeError(errkind.New(errkind.NotLeader, "this replica does not own the grants"))
	}
	s.followView() // a holder may know of an account from a moment ago
	answer := s.owner.Sync(s.now(), req)
	// A slice may only leave while the lease of leadership holds: a later owner waits
	// for the slices' end from its own start on.
	if term, ok := s.leads.Leading(); !ok || term != s.owner.Term() {
		s.owner = nil
		return peer.EncodeError(errkind.New(errkind.NotLeader, "this replica does not own the grants any more"))
	}
	*reply = *answer
	s.kickIfRefused(answer)
	return nil
}

// kickIfRefused has promises looked at right away when one may be in the way.
func (s *Service) kickIfRefused(reply *SyncReply) {
	for _, e := range reply.Entries {
		if e.RetryAfter > 0 {
			select {
			case s.kick <- struct{}{}:
			default:
			}
			return
		}
	}
}

// Run follows leadership until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stopServing()
			return
		case <-ticker.C:
		case <-s.kick:
		}
		s.step(ctx)
	}
}

func (s *Service) step(ctx context.Context) {
	term, ok := s.leads.Leading()
	if !ok {
		s.stopServing()
		return
	}
	s.mu.Lock()
	serving := s.owner != nil && s.owner.Term() == term
	s.mu.Unlock()
	if !serving {
		s.takeOver(ctx, term)
		return
	}
	s.follow()
	s.promise(ctx)
}

// accounts counts the accounts of the owner, if this replica runs it.
func (s *Service) accounts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == nil {
		return 0
	}
	return len(s.owner.accounts)
}

func (s *Service) stopServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner = nil
}

// takeOver takes the term in the log, so that every promise of former owners is
// applied here and none can follow, and starts an owner from them.
func (s *Service) takeOver(ctx context.Context, term uint64) {
	s.stopServing()
	limits, revision, ok := s.limits.Limits()
	if !ok || !s.propose(ctx, command{Term: term}) {
		return
	}
	owner := NewOwner(term, s.opt)
	changes := owner.adopt(s.now(), limits, s.machine)
	if len(changes) > 0 {
		if !s.propose(ctx, command{Term: term, Changes: changes}) {
			return
		}
		owner.Committed(changes)
	}
	s.mu.Lock()
	s.owner, s.revision = owner, revision
	s.mu.Unlock()
	s.log.Info("owning grants", zap.Uint64("term", term), zap.Int("accounts", len(changes)))
}

// adopt sets the grants, takes up accounts that have a promise and no grant any
// more, and returns the promises to start with.
func (o *Owner) adopt(now time.Duration, limits map[string]Limit, m *Machine) []Change {
	o.follow(now, limits, m)
	for _, c := range m.Bounds() {
		if o.accounts[c.Account] == nil {
			o.SetLimit(now, c.Account, Limit{}, &c.Promise)
			o.RemoveLimit(now, c.Account)
		}
	}
	return o.ProposeBounds(now)
}

// follow sets every grant, and takes away those that are not there any more.
func (o *Owner) follow(now time.Duration, limits map[string]Limit, m *Machine) {
	for name, limit := range limits {
		var promised *DurableBound
		if p, ok := m.Bound(name); ok {
			promised = &p
		}
		o.SetLimit(now, name, limit, promised)
	}
	for _, name := range o.names() {
		if _, ok := limits[name]; !ok {
			o.RemoveLimit(now, name)
		}
	}
}

// follow takes a newer configuration over.
func (s *Service) follow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == nil {
		return
	}
	s.followView()
	if now := s.now(); now-s.ticked >= expireEvery {
		s.ticked = now
		s.owner.Tick(now)
	}
}

// followView sets the grants of a newer configuration. The caller holds the lock.
func (s *Service) followView() {
	if limits, revision, ok := s.limits.Limits(); ok && revision != s.revision {
		s.owner.follow(s.now(), limits, s.machine)
		s.revision = revision
	}
}

// promise commits the promises that the owner wants.
func (s *Service) promise(ctx context.Context) {
	s.mu.Lock()
	owner := s.owner
	var changes []Change
	if owner != nil {
		changes = owner.ProposeBounds(s.now())
	}
	s.mu.Unlock()
	if len(changes) == 0 || !s.propose(ctx, command{Term: owner.Term(), Changes: changes}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owner.Committed(changes)
}

// propose puts a command in the log and reports whether it was applied.
func (s *Service) propose(ctx context.Context, c command) bool {
	data, err := c.encode()
	if err != nil {
		s.log.Error("promise not encoded", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.proposer.Propose(ctx, Namespace, data)
	if err != nil {
		s.log.Warn("promise not committed", zap.Error(err))
		return false
	}
	return len(result.Data) == 1 && result.Data[0] == applied[0]
}
