package releasetraffic

import (
	"maps"
	"sync"
	"time"

	"eelgrasshollow/internal/canary"
	"eelgrasshollow/internal/clock"

	"github.com/prometheus/client_golang/prometheus"
)

// Report is what a VM has counted since it knows of a running rollout. It is encoded with gob in messages
// between VMs, so fields may be added only.
type Report struct {
	Service string
	Number  uint64
	// StageNumber is that of the stage under which the VM chooses servers.
	StageNumber uint64
	// OldInFlight is the number of requests that are, or may still be sent, on a server of the old
	// release.
	OldInFlight int
	Old, New    map[string]canary.Counts // by route
	Servers     map[string]canary.Counts // of the new release, by server
	// Before holds what the VM counted, by route, in the last beforePeriod to twice that before it knew of
	// the rollout.
	Before map[string]canary.Counts
}

// beforePeriod is the time after which counts from outside rollouts begin to be forgotten. The results of the
// minute before an order give the rate of a route with 2% of 100 requests/s from 120 requests.
const beforePeriod = time.Minute

// recentCounts holds counts of the last beforePeriod to twice that.
type recentCounts struct {
	begunAt          time.Time
	current, earlier map[string]canary.Counts // by route
}

// add adds the counts of an attempt.
func (r *recentCounts) add(now time.Time, route string, counts canary.Counts) {
	r.forget(now)
	if r.current == nil {
		r.begunAt, r.current = now, map[string]canary.Counts{}
	}
	add(r.current, route, counts)
}

// forget forgets what is too old.
func (r *recentCounts) forget(now time.Time) {
	switch age := now.Sub(r.begunAt); {
	case r.current == nil || age < beforePeriod:
	case age < 2*beforePeriod:
		r.earlier, r.current = r.current, nil
	default:
		r.earlier, r.current = nil, nil
	}
}

// sums returns the counts.
func (r *recentCounts) sums(now time.Time) map[string]canary.Counts {
	r.forget(now)
	all := map[string]canary.Counts{}
	for _, part := range []map[string]canary.Counts{r.earlier, r.current} {
		for route, counts := range part {
			add(all, route, counts)
		}
	}
	return all
}

// Traffic counts the results of attempts during rollouts, and the requests in flight. It is safe for
// concurrent use. A nil Traffic counts nothing.
type Traffic struct {
	now     clock.Clock
	results *prometheus.CounterVec

	mu       sync.Mutex
	services map[string]*counters
}

// counters are those of one service.
type counters struct {
	inFlight int
	number   uint64 // of the rollout that the rest belongs to
	// newInFlight are the requests in flight that can't be on an old server.
	newInFlight int
	old, new    map[string]canary.Counts
	servers     map[string]canary.Counts
	pending     map[*Attempt]struct{}    // sent and without a result
	needs       map[string]*needEstimate // by route; kept over rollouts
	recent      recentCounts             // of attempts outside rollouts
	before      map[string]canary.Counts // recent when the rollout became known
}

// NewTraffic returns a Traffic without counts.
func NewTraffic(now clock.Clock) *Traffic {
	return &Traffic{now: now, services: map[string]*counters{}, results: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrass_rollout_attempts_total", Help: "Attempts during rollouts that say something about a release, by service, release (old or new) and result.",
	}, []string{"service", "release", "result"})}
}

// Collector returns the metrics.
func (t *Traffic) Collector() prometheus.Collector { return t.results }

func (t *Traffic) of(service string) *counters {
	c := t.services[service]
	if c == nil {
		c = &counters{needs: map[string]*needEstimate{}}
		t.services[service] = c
	}
	return c
}

// follow starts the counts of a rollout, unless they have been started.
func (c *counters) follow(number uint64, now time.Time) {
	if c.number == number {
		return
	}
	// A later rollout starts from servers that have another release.
	c.before, c.recent = c.recent.sums(now), recentCounts{}
	c.number, c.newInFlight = number, 0
	c.old, c.new, c.servers = map[string]canary.Counts{}, map[string]canary.Counts{}, map[string]canary.Counts{}
	c.pending = map[*Attempt]struct{}{}
}

// Request is a request in flight. A nil Request is not counted. It is not safe for concurrent use.
type Request struct {
	traffic *Traffic
	service string
	arm     Arm
}

// Begin counts a request of a service as in flight, on the old release. It must be called before the
// Table is read by which its arm is chosen, so that a report under a newer stage includes the request.
func (t *Traffic) Begin(service string) *Request {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(service).inFlight++
	return &Request{traffic: t, service: service}
}

// SetArm records the arm of the request's next attempt.
func (r *Request) SetArm(arm Arm) {
	if r == nil {
		return
	}
	r.traffic.mu.Lock()
	defer r.traffic.mu.Unlock()
	c := r.traffic.of(r.service)
	c.moveNew(r.arm, -1)
	if arm.New {
		c.follow(max(arm.Number, c.number), r.traffic.now())
	}
	r.arm = arm
	c.moveNew(arm, 1)
}

// moveNew adds n requests in flight to an arm, if it is the new one of the current rollout.
func (c *counters) moveNew(arm Arm, n int) {
	if arm.New && arm.Number == c.number {
		c.newInFlight += n
	}
}

// End counts the request as no longer in flight.
func (r *Request) End() {
	if r == nil {
		return
	}
	r.traffic.mu.Lock()
	defer r.traffic.mu.Unlock()
	c := r.traffic.of(r.service)
	c.moveNew(r.arm, -1)
	c.inFlight--
}

// Target is where an attempt goes.
type Target struct {
	Route   string
	Server  string // fleet.Server.Key
	Release string
	// Rollout is the running rollout when the attempt is sent, or nil.
	Rollout        *Rollout
	UncachedTokens int // of the prompt, as predicted
}

// isNew reports whether the server has the new release of the running rollout.
func (t *Target) isNew() bool { return t.Rollout != nil && t.Release == t.Rollout.Release }

// Attempt is one send of a request to a server. A nil Attempt is not counted.
type Attempt struct {
	Target
	traffic *Traffic
	service string
	begunAt time.Time
	// firstEvent is the time until the first event or the whole body of the response; 0 before it.
	firstEvent time.Duration
}

// Attempt begins an attempt at a server.
func (r *Request) Attempt(target Target) *Attempt {
	if r == nil {
		return nil
	}
	return &Attempt{Target: target, traffic: r.traffic, service: r.service, begunAt: r.traffic.now()}
}

// Sent counts the attempt as pending. It is called immediately before the first byte is sent.
func (a *Attempt) Sent() {
	if a == nil || a.Rollout == nil {
		return
	}
	a.traffic.mu.Lock()
	defer a.traffic.mu.Unlock()
	if c := a.traffic.of(a.service); a.Rollout.Number >= c.number {
		c.follow(a.Rollout.Number, a.traffic.now())
		c.pending[a] = struct{}{}
	}
}

// Started records that the first event or the whole body has arrived.
func (a *Attempt) Started() {
	if a == nil {
		return
	}
	a.traffic.mu.Lock()
	defer a.traffic.mu.Unlock()
	a.firstEvent = a.traffic.now().Sub(a.begunAt)
}

// Result is what an attempt says about its server's release.
type Result uint8

// Results of attempts. Responses that state that the request has not run, failed connects and
// cancellations by the client say nothing; 5xx and broken or missing responses are failures.
const (
	SaysNothing Result = iota
	Answered
	Failed
)

// End counts the result.
func (a *Attempt) End(result Result) {
	if a == nil {
		return
	}
	t := a.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(a.service)
	delete(c.pending, a)
	if result == SaysNothing {
		return
	}
	need := c.need(a.Route)
	counts := canary.Counts{Requests: 1}
	if !a.isNew() { // only the old release's requests are waited for
		counts.Duration.Add(t.now().Sub(a.begunAt).Seconds())
	}
	if result == Failed {
		counts.Failures = 1
	} else {
		counts.Latency.Add(need.relative(a.firstEvent, a.UncachedTokens))
	}
	if a.Rollout == nil {
		c.recent.add(t.now(), a.Route, counts)
	}
	if a.Rollout != nil && a.Rollout.Number >= c.number {
		c.follow(a.Rollout.Number, t.now())
		c.add(a, c.old, c.new, c.servers, counts)
		t.results.WithLabelValues(a.service, armLabel(a.isNew()), resultLabel(result)).Inc()
	}
	if !a.isNew() && result == Answered { // a slow new release must not raise what counts as normal
		need.observe(a.firstEvent, a.UncachedTokens)
	}
}

// need returns the estimate of a route.
func (c *counters) need(route string) *needEstimate {
	need := c.needs[route]
	if need == nil {
		need = &needEstimate{}
		c.needs[route] = need
	}
	return need
}

// add adds the counts of an attempt to the maps of its arm.
func (*counters) add(a *Attempt, old, fresh, servers map[string]canary.Counts, counts canary.Counts) {
	if !a.isNew() {
		add(old, a.Route, counts)
		return
	}
	add(fresh, a.Route, counts)
	add(servers, a.Server, counts)
}

func armLabel(isNew bool) string {
	if isNew {
		return "new"
	}
	return "old"
}

func resultLabel(r Result) string {
	if r == Failed {
		return "failed"
	}
	return "answered"
}

func add(all map[string]canary.Counts, key string, counts canary.Counts) {
	sum := all[key]
	sum.Merge(counts)
	all[key] = sum
}

// Reports returns the counts of the running rollouts.
func (t *Traffic) Reports(rollouts map[string]Rollout) []Report {
	if t == nil {
		return nil
	}
	var reports []Report
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range rollouts {
		if !r.Running() {
			continue
		}
		c := t.of(name)
		if r.Number > c.number {
			c.follow(r.Number, t.now())
		}
		report := Report{
			Service: name, Number: r.Number, StageNumber: r.StageNumber, OldInFlight: c.inFlight - c.newInFlight,
			Old: maps.Clone(c.old), New: maps.Clone(c.new), Servers: maps.Clone(c.servers), Before: c.before,
		}
		for a := range c.pending {
			counts := canary.Counts{Pending: 1}
			if a.firstEvent == 0 {
				counts.Waiting.Add(c.need(a.Route).relative(t.now().Sub(a.begunAt), a.UncachedTokens))
			}
			c.add(a, report.Old, report.New, report.Servers, counts)
		}
		reports = append(reports, report)
	}
	return reports
}
