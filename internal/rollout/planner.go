// Package rollout brings servers to the newest named weights, a few at a time. The
// Planner is a plain state machine: servers, reports and the time go in, calls to make
// come out.
//
// Invariants: no more servers of a service than Config.AtOnce allows load at a time; each
// order names the number of orders that the server had accepted when it was read, so a
// late or repeated order has no effect after another one.
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
	// MaxLoads and MaxLoadShare bound the servers of a service that load: the greater of the
	// count and the share. More slow each other down at the store of the weights.
	MaxLoads     int
	MaxLoadShare float64
	// DrainAhead is how many more are announced as changing, so that they are empty once it is
	// their turn.
	DrainAhead int
	// DrainPeriod is how long a server is announced as changing before it gets its order, so
	// that requests already go elsewhere.
	DrainPeriod time.Duration
	// FirstCheckDelay is when a server is first asked whether it has loaded; CheckInterval is the
	// time between further looks.
	FirstCheckDelay time.Duration
	CheckInterval   time.Duration
	// SlotTimeout is how long one server may take before another one may go first.
	SlotTimeout time.Duration
	// Backoff is how long a server that could not be reached is left alone.
	Backoff time.Duration
}

// DefaultConfig returns the tuning of a control VM. A load takes about 2 s when few run.
func DefaultConfig() Config {
	return Config{
		MaxLoads: 2, MaxLoadShare: 0.2, DrainAhead: 1, DrainPeriod: 150 * time.Millisecond, FirstCheckDelay: 1800 * time.Millisecond,
		CheckInterval: 200 * time.Millisecond, SlotTimeout: 12 * time.Second, Backoff: 2 * time.Second,
	}
}

// Call is one look at a server, whose result goes to Looked, or one order to it, whose
// result goes to Ordered.
type Call struct {
	Server  fleet.Server
	Model   string
	Version int64
	// Sequence is the number of orders that the server must have accepted so far.
	Sequence int64
}

// Report is what a server says of itself.
type Report struct {
	Weights  []fleet.Weights
	Busy     bool // an order is under way
	Sequence int64
}

// change is a server under change.
type change struct {
	model   string
	version int64
	service string
	room    int   // loads of the service at a time
	ordered int64 // version of the last accepted order
	since   time.Time
	due     time.Time // of the next call
	asked   bool      // an order is out
	busy    bool      // as its last report said
	calling bool      // a call is out
}

// Planner keeps which servers are under change. It is not safe for concurrent use.
type Planner struct {
	config  Config
	changes map[string]*change
	known   map[string][]fleet.Weights // newer than the list
	backOff map[string]time.Time
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner(c Config) *Planner {
	return &Planner{config: c, changes: map[string]*change{}, known: map[string][]fleet.Weights{}, backOff: map[string]time.Time{}}
}

// loading counts the servers of a service that were ordered to load and have not shown
// the weights yet.
func (p *Planner) loading(service string) int {
	n := 0
	for _, c := range p.changes {
		if c.service == service && (c.ordered > 0 || c.asked || c.busy) {
			n++
		}
	}
	return n
}

// WithLatestWeights returns a server with the newest knowledge of its weights.
func (p *Planner) WithLatestWeights(s fleet.Server) fleet.Server {
	if p.known[s.Key()] == nil {
		return s
	}
	weights := make([]fleet.Weights, len(s.Weights))
	for i, w := range s.Weights {
		v, _ := p.version(s, w.Model)
		weights[i] = fleet.Weights{Model: w.Model, Version: v}
	}
	s.Weights = weights
	return s
}

// Changing reports whether a server is under change.
func (p *Planner) Changing(s fleet.Server) bool { return p.changes[s.Key()] != nil }

// version is the newest knowledge of a model's version on a server.
func (p *Planner) version(s fleet.Server, model string) (int64, bool) {
	v, ok := s.WeightsVersion(model)
	for _, w := range p.known[s.Key()] {
		if w.Model == model {
			v, ok = max(v, w.Version), true
		}
	}
	return v, ok
}

// Step returns the calls to make now. wanted is the named version of each model.
func (p *Planner) Step(now time.Time, servers []fleet.Server, wanted map[string]int64) []Call {
	p.forget(servers)
	byService := map[string][]fleet.Server{}
	for _, s := range servers {
		if len(s.Weights) > 0 {
			byService[s.Service] = append(byService[s.Service], s)
		}
	}
	var calls []Call
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		group := byService[service]
		p.begin(now, group, wanted)
		for _, s := range group {
			if c := p.changes[s.Key()]; c != nil {
				if call, due := c.next(now, s, wanted); due {
					calls = append(calls, call)
				}
			}
		}
	}
	return calls
}

// forget drops what is kept of servers that are gone or leaving.
func (p *Planner) forget(servers []fleet.Server) {
	there := map[string]bool{}
	for _, s := range servers {
		there[s.Key()] = !s.Draining
	}
	maps.DeleteFunc(p.changes, func(key string, _ *change) bool { return !there[key] })
	maps.DeleteFunc(p.known, func(key string, _ []fleet.Weights) bool { return !there[key] })
	maps.DeleteFunc(p.backOff, func(key string, _ time.Time) bool { return !there[key] })
}

// begin puts outdated servers under change while there is room, those furthest behind
// first.
func (p *Planner) begin(now time.Time, group []fleet.Server, wanted map[string]int64) {
	most := max(p.config.MaxLoads, int(p.config.MaxLoadShare*float64(len(group))))
	room := most + p.config.DrainAhead
	var outdated []fleet.Server
	for _, s := range group {
		c := p.changes[s.Key()]
		switch {
		case c != nil && now.Sub(c.since) <= p.config.SlotTimeout:
			room--
		case c != nil:
			// It stays under change, but no longer holds up the others.
		case !s.Draining && now.After(p.backOff[s.Key()]) && p.outdated(s, wanted) != "":
			outdated = append(outdated, s)
		}
	}
	slices.SortStableFunc(outdated, func(a, b fleet.Server) int {
		va, _ := p.version(a, p.outdated(a, wanted))
		vb, _ := p.version(b, p.outdated(b, wanted))
		return cmp.Compare(va, vb)
	})
	for _, s := range outdated[:min(max(room, 0), len(outdated))] {
		model := p.outdated(s, wanted)
		p.changes[s.Key()] = &change{model: model, version: wanted[model], service: s.Service, room: most, since: now, due: now.Add(p.config.DrainPeriod)}
	}
}

// outdated names a model that the server has in an older version than wanted, or "".
func (p *Planner) outdated(s fleet.Server, wanted map[string]int64) string {
	for _, w := range s.Weights {
		if v, _ := p.version(s, w.Model); v < wanted[w.Model] {
			return w.Model
		}
	}
	return ""
}

// next is the call that is due for a server. Before each order its report is read.
func (c *change) next(now time.Time, s fleet.Server, wanted map[string]int64) (Call, bool) {
	if c.calling || now.Before(c.due) {
		return Call{}, false
	}
	c.calling = true
	c.version = max(c.version, wanted[c.model])
	return Call{Server: s, Model: c.model, Version: c.version}, true
}

// HandleReport takes in a report, or the failure to get one. It returns the order to give at
// once, if any.
func (p *Planner) HandleReport(now time.Time, call Call, r Report, err error) (Call, bool) {
	key := call.Server.Key()
	c := p.changes[key]
	if c == nil {
		return Call{}, false
	}
	c.calling = false
	if err != nil {
		p.giveUp(now, key)
		return Call{}, false
	}
	c.due, c.busy = now.Add(p.config.CheckInterval), r.Busy
	p.known[key] = r.Weights
	v, loaded := p.version(call.Server, c.model)
	switch {
	case r.Busy:
	case !loaded:
		p.giveUp(now, key)
	case v >= c.version || v >= c.ordered && c.ordered > 0:
		// Newer weights may be named by now; those further behind go first.
		delete(p.changes, key)
	case c.ordered == 0 && p.loading(call.Server.Service) >= c.room:
		// It is announced and emptied, and goes as soon as another one has loaded.
	default:
		c.calling, c.asked = true, true
		return Call{Server: call.Server, Model: c.model, Version: c.version, Sequence: r.Sequence}, true
	}
	return Call{}, false
}

// HandleOrderResult takes in what came of an order. One without an answer may still be carried
// out; the next look tells.
func (p *Planner) HandleOrderResult(now time.Time, call Call, accepted bool) {
	c := p.changes[call.Server.Key()]
	if c == nil {
		return
	}
	c.calling, c.asked = false, false
	c.due = now.Add(p.config.CheckInterval)
	if accepted {
		c.ordered, c.due = call.Version, now.Add(p.config.FirstCheckDelay)
	}
}

// giveUp lets a server go that can't be changed now.
func (p *Planner) giveUp(now time.Time, key string) {
	delete(p.changes, key)
	p.backOff[key] = now.Add(p.config.Backoff)
}
