// Package rollout updates servers to the target versions of their weights, a few servers
// at a time. The Planner is a deterministic state machine without I/O: its inputs are the
// servers, their reports and the time, its outputs are the calls to make.
//
// Invariants: the number of servers of a service that load at the same time stays within
// Config.MaxLoads and Config.MaxLoadShare. Each order carries the number of orders that
// the server had accepted when its report was read, so a delayed or duplicate order has no
// effect once the server has accepted another one. Weights under which servers are lost before any
// has loaded them are not ordered at one server after the other.
package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eelgrasshollow/internal/fleet"
)

// Config tunes a Planner.
type Config struct {
	// MaxLoads and MaxLoadShare limit how many servers of a service load at the same time:
	// the greater of the count and the share applies. More concurrent loads slow each other
	// down at the weight store.
	MaxLoads     int
	MaxLoadShare float64
	// DrainAhead is how many servers beyond this limit are announced as changing, so that
	// they are already drained when they may load.
	DrainAhead int
	// DrainPeriod is the time between announcing a server as changing and its order, in
	// which requests move to other servers.
	DrainPeriod time.Duration
	// FirstCheckDelay is the time from an accepted order to the first check whether the
	// server has loaded, until a load of the model has been observed. CheckInterval is the
	// time between further checks.
	FirstCheckDelay time.Duration
	CheckInterval   time.Duration
	// SlotTimeout is the time after which a server under change no longer counts against
	// the limit, so that another one may start.
	SlotTimeout time.Duration
	// Backoff is the time for which a server is skipped after a failed call.
	Backoff time.Duration
}

// DefaultConfig returns the tuning of a control VM.
func DefaultConfig() Config {
	return Config{
		MaxLoads: 2, MaxLoadShare: 0.2, DrainAhead: 1, DrainPeriod: 150 * time.Millisecond, FirstCheckDelay: 300 * time.Millisecond,
		CheckInterval: 100 * time.Millisecond, SlotTimeout: 12 * time.Second, Backoff: 2 * time.Second,
	}
}

// Call is a call to a server: either a status check, whose result goes to HandleReport, or
// an order, whose result goes to HandleOrderResult.
type Call struct {
	Server  fleet.Server
	Model   string
	Version int64 // target weights version of Model
	// Sequence is the number of orders that the server must have accepted before this order;
	// 0 for a status check.
	Sequence int64
}

// Report is the result of a server's status check.
type Report struct {
	Weights  []fleet.Weights
	Busy     bool  // an order is being executed
	Sequence int64 // number of orders accepted so far
}

// Outcome is what became of an order.
type Outcome uint8

// Outcomes of an order. One without an answer may still arrive and be executed.
const (
	Unanswered Outcome = iota
	NotSent
	Refused
	Accepted
)

// String returns the outcome for log lines.
func (o Outcome) String() string {
	return [...]string{"unanswered", "not sent", "refused", "accepted"}[o]
}

// change is the state of a server under change.
type change struct {
	model          string
	targetVersion  int64
	service        string
	maxLoads       int   // concurrent loads of the service
	sentVersion    int64 // version of the last order, which may not have been accepted; or 0
	orderedVersion int64 // version of the last accepted order, or 0
	startedAt      time.Time
	nextCallAt     time.Time
	orderedAt      time.Time // time of the response to the last accepted order
	orderPending   bool      // the result of an order is outstanding
	busy           bool      // Busy of the last report
	callPending    bool      // the result of a check or an order is outstanding
}

// Planner decides which servers change their weights and when. It is not safe for
// concurrent use.
type Planner struct {
	config       Config
	changes      map[string]*change         // by server key
	reported     map[string][]fleet.Weights // from the last reports, newer than the server list
	shortestLoad map[string]time.Duration   // shortest observed load of each model
	backoffUntil map[string]time.Time
	failed       map[fleet.Weights]*failedLoads
}

// NewPlanner returns a planner with no servers under change.
func NewPlanner(c Config) *Planner {
	return &Planner{config: c, changes: map[string]*change{}, reported: map[string][]fleet.Weights{}, shortestLoad: map[string]time.Duration{}, backoffUntil: map[string]time.Time{},
		failed: map[fleet.Weights]*failedLoads{}}
}

// countLoading counts the servers of a service that may be loading: those with an order
// that is outstanding or accepted, and those that reported to be busy.
func (p *Planner) countLoading(service string) int {
	n := 0
	for _, c := range p.changes {
		if c.service == service && (c.orderedVersion > 0 || c.orderPending || c.busy) {
			n++
		}
	}
	return n
}

// WithLatestWeights returns the server with the highest version of each model that the
// server list or the server's last report shows.
func (p *Planner) WithLatestWeights(s fleet.Server) fleet.Server {
	if p.reported[s.Key()] == nil {
		return s
	}
	weights := make([]fleet.Weights, len(s.Weights))
	for i, w := range s.Weights {
		v, _ := p.latestVersion(s, w.Model)
		weights[i] = fleet.Weights{Model: w.Model, Version: v}
	}
	s.Weights = weights
	return s
}

// Changing reports whether a server is under change.
func (p *Planner) Changing(s fleet.Server) bool { return p.changes[s.Key()] != nil }

// latestVersion returns the highest version of a model that the server list or the server's
// last report shows; false if neither has the model.
func (p *Planner) latestVersion(s fleet.Server, model string) (int64, bool) {
	v, ok := s.WeightsVersion(model)
	for _, w := range p.reported[s.Key()] {
		if w.Model == model {
			v, ok = max(v, w.Version), true
		}
	}
	return v, ok
}

// Step returns the status checks to make now. targetVersions is the target weights version
// of each model.
func (p *Planner) Step(now time.Time, servers []fleet.Server, targetVersions map[string]int64) []Call {
	p.removeUnlisted(now, servers)
	byService := map[string][]fleet.Server{}
	for _, s := range servers {
		if len(s.Weights) > 0 {
			byService[s.Service] = append(byService[s.Service], s)
		}
	}
	var calls []Call
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		group := byService[service]
		p.startChanges(now, group, targetVersions)
		for _, s := range group {
			if c := p.changes[s.Key()]; c != nil && !p.mustWait(c) {
				if call, due := c.nextCheck(now, s, targetVersions); due {
					calls = append(calls, call)
				}
			}
		}
	}
	return calls
}

// removeUnlisted drops the state of servers that are draining or no longer listed. The list also
// shows which weights some server has loaded.
func (p *Planner) removeUnlisted(now time.Time, servers []fleet.Server) {
	active := map[string]bool{}
	for _, s := range servers {
		active[s.Key()] = !s.Draining
		for _, w := range s.Weights {
			p.recordLoaded(w)
		}
	}
	for key, c := range p.changes {
		if _, listed := active[key]; !listed {
			p.recordFailure(now, c)
		}
	}
	maps.DeleteFunc(p.changes, func(key string, _ *change) bool { return !active[key] })
	maps.DeleteFunc(p.reported, func(key string, _ []fleet.Weights) bool { return !active[key] })
	maps.DeleteFunc(p.backoffUntil, func(key string, _ time.Time) bool { return !active[key] })
}

// startChanges puts outdated servers of a service under change while slots are free, those
// with the lowest versions first.
func (p *Planner) startChanges(now time.Time, group []fleet.Server, targetVersions map[string]int64) {
	maxLoads := max(p.config.MaxLoads, int(p.config.MaxLoadShare*float64(len(group))))
	slots := maxLoads + p.config.DrainAhead
	var outdated []fleet.Server
	for _, s := range group {
		c := p.changes[s.Key()]
		switch {
		case c != nil && now.Sub(c.startedAt) <= p.config.SlotTimeout:
			slots--
		case c != nil:
			// The server stays under change, but no longer occupies a slot.
		case !s.Draining && now.After(p.backoffUntil[s.Key()]) && p.mayStart(now, s, targetVersions):
			outdated = append(outdated, s)
		}
	}
	slices.SortStableFunc(outdated, func(a, b fleet.Server) int {
		va, _ := p.latestVersion(a, p.outdatedModel(a, targetVersions))
		vb, _ := p.latestVersion(b, p.outdatedModel(b, targetVersions))
		return cmp.Compare(va, vb)
	})
	for _, s := range outdated[:min(max(slots, 0), len(outdated))] {
		model := p.outdatedModel(s, targetVersions)
		p.changes[s.Key()] = &change{model: model, targetVersion: targetVersions[model], service: s.Service, maxLoads: maxLoads, startedAt: now, nextCallAt: now.Add(p.config.DrainPeriod)}
	}
}

// outdatedModel returns a model that the server has below its target version, or "".
func (p *Planner) outdatedModel(s fleet.Server, targetVersions map[string]int64) string {
	for _, w := range s.Weights {
		if v, _ := p.latestVersion(s, w.Model); v < targetVersions[w.Model] {
			return w.Model
		}
	}
	return ""
}

// mayStart reports whether the server has a model below its target version that may be ordered now.
func (p *Planner) mayStart(now time.Time, s fleet.Server, targetVersions map[string]int64) bool {
	model := p.outdatedModel(s, targetVersions)
	return model != "" && !p.paused(now, fleet.Weights{Model: model, Version: targetVersions[model]})
}

// mustWait reports whether a server has no order yet and can't get one while others load.
func (p *Planner) mustWait(c *change) bool {
	return c.orderedVersion == 0 && !c.orderPending && !c.busy && p.countLoading(c.service) >= c.maxLoads
}

// nextCheck returns the status check of a server under change, and whether it is due.
// Before each order the server's report is read.
func (c *change) nextCheck(now time.Time, s fleet.Server, targetVersions map[string]int64) (Call, bool) {
	if c.callPending || now.Before(c.nextCallAt) {
		return Call{}, false
	}
	c.callPending = true
	c.targetVersion = max(c.targetVersion, targetVersions[c.model])
	return Call{Server: s, Model: c.model, Version: c.targetVersion}, true
}

// HandleReport processes the result of a status check: a report or an error. It returns the
// order to send immediately and true, or false if there is none.
func (p *Planner) HandleReport(now time.Time, call Call, r Report, err error) (Call, bool) {
	key := call.Server.Key()
	c := p.changes[key]
	if c == nil {
		return Call{}, false
	}
	c.callPending = false
	if err != nil {
		p.recordFailure(now, c)
		p.abandonChange(now, key)
		return Call{}, false
	}
	c.nextCallAt, c.busy = now.Add(p.config.CheckInterval), r.Busy
	p.reported[key] = r.Weights
	v, loaded := p.latestVersion(call.Server, c.model)
	switch {
	case r.Busy:
	case !loaded:
		p.abandonChange(now, key)
	case v >= c.targetVersion || v >= c.orderedVersion && c.orderedVersion > 0:
		// The change ends even if a newer version has become the target meanwhile, so that
		// servers with lower versions go first.
		p.recordLoad(now, c)
		p.recordLoaded(fleet.Weights{Model: c.model, Version: v})
		delete(p.changes, key)
	case p.mustWait(c):
		// The server is drained and gets its order when another one has loaded.
	case !p.takeTurn(now, fleet.Weights{Model: c.model, Version: c.targetVersion}):
		p.abandonChange(now, key)
	default:
		c.callPending, c.orderPending, c.sentVersion = true, true, c.targetVersion
		return Call{Server: call.Server, Model: c.model, Version: c.targetVersion, Sequence: r.Sequence}, true
	}
	return Call{}, false
}

// HandleOrderResult processes the result of an order. An order without a response counts as
// not accepted but may still be executed, which the next status check shows.
func (p *Planner) HandleOrderResult(now time.Time, call Call, accepted bool) {
	c := p.changes[call.Server.Key()]
	if c == nil {
		return
	}
	c.callPending, c.orderPending = false, false
	c.nextCallAt = now.Add(p.config.CheckInterval)
	if accepted {
		c.orderedVersion, c.orderedAt, c.nextCallAt = call.Version, now, now.Add(p.firstCheckDelay(call.Model))
	}
}

// recordLoad records the time of a load that has ended.
func (p *Planner) recordLoad(now time.Time, c *change) {
	if c.orderedVersion == 0 {
		return
	}
	took := now.Sub(c.orderedAt)
	if shortest, known := p.shortestLoad[c.model]; !known || took < shortest {
		p.shortestLoad[c.model] = took
	}
}

// firstCheckDelay returns the time from an accepted order to the first check whether the
// model has been loaded. The shortest observed load includes up to one check interval.
func (p *Planner) firstCheckDelay(model string) time.Duration {
	shortest, known := p.shortestLoad[model]
	if !known {
		return p.config.FirstCheckDelay
	}
	return max(0, shortest-p.config.CheckInterval)
}

// abandonChange ends the change of a server that can't be changed now. The server is skipped
// for Config.Backoff.
func (p *Planner) abandonChange(now time.Time, key string) {
	delete(p.changes, key)
	p.backoffUntil[key] = now.Add(p.config.Backoff)
}
