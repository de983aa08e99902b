package routing

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"eelgrasshollow/internal/admission"
	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/pace"
)

// DryRunner explains the selection of an endpoint without sending a request. Module implements it.
type DryRunner interface {
	// DryRun returns what Pick would do with the request now, and why. It changes nothing.
	DryRun(r Request) dryrun.Placement
	// DryRunVersion is VersionSelector.SelectVersion without a change of state.
	DryRunVersion(model, target string, key uint64) string
}

// DryRunVersion implements DryRunner.
func (m *Module) DryRunVersion(model, target string, key uint64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.SelectVersion(m.now(), model, target, key)
}

// DryRun implements DryRunner. It does not apply a newer snapshot of the inventory, as Pick does: followInventory
// applies one as soon as it arrives.
func (m *Module) DryRun(r Request) dryrun.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.DryRun(m.now(), r)
}

// DryRun returns what Submit would do with a request now, and why. It makes the decision on a copy of what a decision
// may change, and leaves c as it is.
func (c *Core) DryRun(now time.Time, r Request) dryrun.Placement {
	s := c.shadow(&r)
	p := &Pending{Request: r, submittedAt: now, onSettled: func() {}}
	best := s.choose(now, p)
	out := s.describe(now, p)
	out.Candidates, out.Dropped = s.compared(now, p)
	switch {
	case best != nil:
		s.describeBest(now, p, best, &out)
	case p.Refusal != nil:
		out.Refused(p.Refusal)
	case slices.Contains(s.parked, p):
		out.Verdict, out.Reason = dryrun.Wait, "no endpoint can serve the request now; it waits until one recovers or its pause ends"
	default:
		out.Verdict, out.Reason = dryrun.Wait, "the service is crowded; the request waits for admission"
	}
	return out
}

// shadow returns a core that decides like c on a request of the same model or service. What a decision reads and
// never changes is shared with c, above all the index of cached prefixes.
func (c *Core) shadow(r *Request) *Core {
	s := *c
	s.matches, s.storeMatches, s.candidates, s.scoreBuffer, s.branchPoints = nil, nil, nil, nil, nil
	s.newPlacements, s.evictions, s.newLimits, s.brittleChanges, s.paceChanges, s.released, s.unsettled = nil, nil, nil, nil, nil, nil, nil
	s.parked = slices.Clone(c.parked)
	s.starts.processes, s.starts.changes = nil, nil
	copies := map[*State]*State{}
	group := c.endpointsFor(r)
	for _, state := range group {
		copies[state] = state.shadow()
	}
	s.endpoints = make([]*State, 0, len(group))
	for _, state := range group {
		s.endpoints = append(s.endpoints, copies[state])
	}
	for _, state := range c.starts.processes {
		if copied := copies[state]; copied != nil {
			s.starts.processes = append(s.starts.processes, copied)
		}
	}
	s.byService, s.byModel = map[string][]*State{r.Service: s.endpoints}, map[string][]*State{r.Model: s.endpoints}
	s.competitions = map[string]*competition{}
	if k := c.competitions[r.Service]; k != nil {
		s.competitions[r.Service] = &competition{Service: k.Clone(), load: k.load}
	}
	return &s
}

// shadow returns a copy of the state that decisions may change.
func (s *State) shadow() *State {
	copied := *s
	copied.permits, copied.queue, copied.inFlightBy = s.permits.Clone(), s.queue.shadow(&copied), maps.Clone(s.inFlightBy)
	if s.start == nil {
		return &copied
	}
	start := *s.start
	if limit, ok := start.limit.(*pace.Start); ok {
		l := *limit
		start.limit = &l
	}
	copied.start = &start
	return &copied
}

// shadow returns a copy for the copy of an endpoint's state, with copies of the waiting requests, which can be refused
// without effect.
func (q *fairQueue) shadow(at *State) fairQueue {
	copied := fairQueue{length: q.length}
	for _, class := range q.classes {
		k := &priorityClass{priority: class.priority, lastServedTokens: class.lastServedTokens, accounts: map[string]*accountQueue{}, idle: maps.Clone(class.idle)}
		for name, account := range class.accounts {
			waiting := &accountQueue{waitingTokens: account.waitingTokens, servedTokens: account.servedTokens}
			for _, p := range account.waiting {
				request := *p
				request.state, request.onSettled = at, func() {}
				waiting.waiting = append(waiting.waiting, &request)
			}
			k.accounts[name] = waiting
		}
		copied.classes = append(copied.classes, k)
	}
	return copied
}

// describe returns what the VM knows that does not depend on the selected endpoint. It is called on a shadow.
func (c *Core) describe(now time.Time, p *Pending) dryrun.Placement {
	out := dryrun.Placement{VMs: c.vmCount, Peers: len(c.peers), Traits: len(p.Request.Traits), Quarantined: c.quarantined(now, &p.Request) != nil}
	for _, peer := range c.peers {
		out.OldestDigest = max(out.OldestDigest, now.Sub(peer.receivedAt))
	}
	if k := c.competitions[p.Request.Service]; k != nil && c.admissionPolicy != (admission.Policy{}) {
		out.Crowded, out.Held = k.Crowded(now), k.Held()
	}
	return out
}

// describeBest describes the selected endpoint. It is called on a shadow.
func (c *Core) describeBest(now time.Time, p *Pending, best *Candidate, out *dryrun.Placement) {
	c.recordDecision(now, p, best)
	s := best.State
	out.Verdict, out.Endpoint, out.ImportFrom = dryrun.Send, s.Name, p.Decision.ImportFrom
	wait, hasPermit, queued, pending := c.predictedWait(now, p, s), s.hasPermit(now), s.queue.Len(), s.PendingTokens+s.PeerPendingTokens
	if !c.sendsNow(now, p) {
		out.Verdict, out.Wait = dryrun.Wait, wait
		switch {
		case !hasPermit:
			out.Reason = "the selected endpoint takes requests with a permit only, and this VM has none yet"
		case queued > 0:
			out.Reason = "other requests wait at the selected endpoint"
		default:
			out.Reason = "all places at the selected endpoint are in use"
		}
	}
	if c.costKnown(s) {
		out.FirstToken = out.Wait + time.Duration(pending+p.Decision.UncachedTokens)*s.perToken()
	}
}

// sendsNow reports whether dispatch would send the request at once after it was queued at its endpoint. It is called
// on a shadow, whose queues and counts it changes as dispatch does.
func (c *Core) sendsNow(now time.Time, p *Pending) bool {
	s := p.state
	s.queue.Push(p)
	for next := s.queue.Peek(); next != nil && c.hasSlot(now, s, &next.Request); next = s.queue.Peek() {
		s.queue.Pop()
		switch {
		case next == p:
			return true
		case c.quarantined(now, &next.Request) != nil:
			continue
		}
		s.usePermit()
		s.InFlight++
		c.recordSent(next)
	}
	return false
}

// compared returns the candidates of the decision that c, a shadow, has made, and why the other endpoints were none.
// A request that was refused or has to wait before an endpoint was selected is decided on only for this.
func (c *Core) compared(now time.Time, p *Pending) ([]dryrun.Candidate, []dryrun.Dropped) {
	r := &p.Request
	if len(c.candidates) == 0 {
		c.decide(now, p)
	}
	kept := map[*State]bool{}
	var candidates []dryrun.Candidate
	roomLeft, lowestTier := false, math.MaxInt
	for i := range c.candidates {
		candidate := &c.candidates[i]
		kept[candidate.State] = true
		roomLeft = roomLeft || c.hasCapacity(now, p, candidate.State)
		lowestTier = min(lowestTier, candidate.tier)
		candidates = append(candidates, c.describeCandidate(now, r, candidate))
	}
	slices.SortStableFunc(candidates, func(a, b dryrun.Candidate) int {
		switch {
		case a.Total < b.Total:
			return -1
		case a.Total > b.Total:
			return 1
		}
		return strings.Compare(a.Endpoint, b.Endpoint)
	})
	var dropped []dryrun.Dropped
	eval := Evaluation{Now: now, Request: r, VMs: c.vmCount, FailedDomains: c.failedDomains(r)}
	for _, s := range c.endpointsFor(r) {
		if kept[s] {
			continue
		}
		reason := c.filteredBy(&eval, s)
		switch {
		case reason != "":
		case r.Tier != nil && r.tierOf(s) != lowestTier:
			reason = "its release is used only if servers of the other one have no room"
		case roomLeft && !c.hasCapacity(now, p, s):
			reason = "it has no room, and others have"
		case s.start != nil:
			reason = "it has just started or recovered, and others have room"
		case c.digestsStale():
			reason = "not in the random sample that is compared while digests arrive seldom"
		default:
			reason = "dropped in a later step of the selection"
		}
		dropped = append(dropped, dryrun.Dropped{Endpoint: s.Name, Reason: reason})
	}
	return candidates, dropped
}

// filteredBy returns why a filter drops an endpoint, or "".
func (c *Core) filteredBy(eval *Evaluation, s *State) string {
	for _, filter := range c.policy.Filters {
		if filter.Keep(eval, s) {
			continue
		}
		switch {
		case filter != Filter(available{}):
			return "filter " + filter.Name()
		case s.Leaving || s.selfReport.leaving:
			return "it is leaving"
		case eval.Now.Before(s.downUntil):
			return "it is avoided for another " + s.downUntil.Sub(eval.Now).Round(time.Millisecond).String() + " after a failure or a refusal"
		case eval.Now.Before(s.selfReport.pausedUntil):
			return "it has asked for a pause of another " + s.selfReport.pausedUntil.Sub(eval.Now).Round(time.Millisecond).String()
		case !s.mayServe(eval.Request.Model, eval.Request.Version, eval.Now):
			return "it runs other weights"
		}
		return "filter " + filter.Name()
	}
	return ""
}

func (c *Core) describeCandidate(now time.Time, r *Request, candidate *Candidate) dryrun.Candidate {
	s := candidate.State
	out := dryrun.Candidate{
		Endpoint: s.Name, Address: s.Address, FailureDomain: s.FailureDomain, Release: s.Release, Weights: s.Weights, Total: candidate.Total,
		CachedTokens: max(r.PromptTokens-candidate.UncachedTokens, 0), UncachedTokens: max(candidate.UncachedTokens, 0),
		InFlight: s.InFlight, PeerInFlight: s.PeerInFlight, Queued: s.queue.Len(), Slots: s.slots(), PerToken: s.perToken(),
		Starting: s.start != nil, LoadAge: -1,
	}
	for _, part := range c.scoreParts(candidate) {
		out.Scores = append(out.Scores, dryrun.Score(part))
	}
	if s.needsPermit() {
		out.Permit = dryrun.Permit{Needed: true, Held: s.hasPermit(now), Wait: s.permitWait(now, s.queue.Len()), Rate: c.permitRate(s)}
	}
	if !s.LoadReportedAt.IsZero() {
		out.LoadAge = now.Sub(s.LoadReportedAt)
	}
	return out
}
