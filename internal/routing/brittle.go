package routing

import (
	"maps"
	"slices"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/pace"
	"eelgrasshollow/internal/permits"
)

const (
	// brittlePeriod is how long all endpoints of a service count as brittle after a response of one
	// of them has said so.
	brittlePeriod = 5 * time.Second
	// brittleSilence is how long they do while the VM gets no response from the service that says
	// nothing of it: a VM that was cut off or frozen must not return with requests without permits.
	brittleSilence = time.Minute
	// maxBrittleServices bounds the services in a message to a peer.
	maxBrittleServices = 64
)

// brittleService is a service whose endpoints are brittle: they go down if they reject more than a
// number of requests in a second.
type brittleService struct {
	tolerated uint32 // lowest number that was stated within brittlePeriod
	loweredAt time.Time
	statedAt  time.Time
	silentAt  time.Time // last response to this VM without a statement
}

// BrittleService tells a peer of a service with brittle endpoints.
type BrittleService struct {
	Service   string
	Tolerated uint32
	Age       time.Duration // since an endpoint has said so
}

// state records that an endpoint tolerates a number of rejections, as a response at a time said.
func (b *brittleService) state(at time.Time, tolerated uint32) {
	if tolerated <= b.tolerated || at.Sub(b.loweredAt) > brittlePeriod {
		b.tolerated, b.loweredAt = tolerated, at
	}
	if at.After(b.statedAt) {
		b.statedAt = at
	}
}

// holds reports whether the endpoints of the service still count as brittle.
func (b *brittleService) holds(now time.Time) bool {
	since := now.Sub(b.statedAt)
	return since <= brittlePeriod || since <= brittleSilence && !b.silentAt.After(b.statedAt.Add(brittlePeriod))
}

// BrittleChange is the begin, end or change of the number of tolerated rejections of a service's
// brittle endpoints.
type BrittleChange struct {
	Service  string
	From, To uint32 // 0 for not brittle
}

// RecordBrittle records how many rejections an endpoint tolerates according to a response to p, or that
// the response says nothing of it. It returns the change, if there is one.
func (c *Core) RecordBrittle(now time.Time, p *Pending, n Notice) (BrittleChange, bool) {
	if p.state == nil || p.state.Service == "" || n.UnreachableFor > 0 {
		return BrittleChange{}, false
	}
	b := c.brittle[p.state.Service]
	if n.ToleratedRejections == 0 {
		if b != nil {
			b.silentAt = now
		}
		return BrittleChange{}, false
	}
	if !c.isCurrent(p, n) {
		return BrittleChange{}, false
	}
	return c.setBrittle(now, p.state.Service, now, n.ToleratedRejections)
}

// setBrittle records a statement of a time.
func (c *Core) setBrittle(now time.Time, service string, at time.Time, tolerated uint32) (BrittleChange, bool) {
	b := c.brittle[service]
	if b == nil {
		b = &brittleService{}
		c.brittle[service] = b
	}
	from := b.tolerated
	b.state(at, tolerated)
	for _, s := range c.byService[service] {
		s.brittle = b.tolerated
	}
	return BrittleChange{service, from, b.tolerated}, from != b.tolerated
}

// BrittleServices returns the services with brittle endpoints, for a peer.
func (c *Core) BrittleServices(now time.Time) []BrittleService {
	var all []BrittleService
	for _, name := range slices.Sorted(maps.Keys(c.brittle)) {
		b := c.brittle[name]
		if age := now.Sub(b.statedAt); age <= brittlePeriod && len(all) < maxBrittleServices {
			all = append(all, BrittleService{name, b.tolerated, age})
		}
	}
	return all
}

// MergeBrittle applies what a peer tells of services with brittle endpoints. The time that the message
// has taken is unknown; the longest possible one counts, or VMs would keep the period going among
// themselves.
func (c *Core) MergeBrittle(now time.Time, services []BrittleService) {
	for _, received := range services[:min(len(services), maxBrittleServices)] {
		at := now.Add(-max(received.Age, 0) - digestTimeout)
		if received.Tolerated == 0 || len(c.byService[received.Service]) == 0 || now.Sub(at) > brittlePeriod {
			continue
		}
		if change, changed := c.setBrittle(now, received.Service, at, received.Tolerated); changed {
			c.brittleChanges = append(c.brittleChanges, change)
		}
	}
}

// expireBrittle ends the periods in which no response has said that endpoints are brittle. What waits
// for permits is sent then, but not all at once.
func (c *Core) expireBrittle(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(c.brittle)) {
		b := c.brittle[service]
		if b.holds(now) {
			continue
		}
		delete(c.brittle, service)
		c.brittleChanges = append(c.brittleChanges, BrittleChange{Service: service, From: b.tolerated})
		for _, s := range c.byService[service] {
			s.brittle = 0
			if s.needsPermit() {
				continue
			}
			if s.selfReport.pausedUntil.Before(now) {
				s.selfReport.pausedUntil = now
			}
			c.dispatch(now, s)
		}
	}
}

// TakeBrittleChanges returns the changes since the last call that no response to this VM has caused.
func (c *Core) TakeBrittleChanges() []BrittleChange {
	changes := c.brittleChanges
	c.brittleChanges = nil
	return changes
}

// permitPace returns the pace of an endpoint for an ask.
func (c *Core) permitPace(now time.Time, s *State) permits.Pace {
	if !s.paced() {
		return permits.Pace{}
	}
	return permits.Pace{Brittle: s.brittle, Slots: s.slots(), Fair: c.fairRate(s), Known: s.permits.KnownRate(now)}
}

// fairRate returns the number of requests per second that an endpoint serves when its slots are in use.
func (c *Core) fairRate(s *State) float64 {
	return float64(s.slots()) / max(c.meanServiceTime(s), time.Millisecond).Seconds()
}

// meanServiceTime returns the mean service time of the endpoints of an endpoint's service: a VM of many
// sees few responses of a single one.
func (c *Core) meanServiceTime(s *State) time.Duration {
	sum, n := time.Duration(0), 0
	for _, other := range c.byService[s.Service] {
		if other.served {
			sum += other.ServiceTime
			n++
		}
	}
	mean := s.ServiceTime
	if n > 0 {
		mean = sum / time.Duration(n)
	}
	return mean
}

// observePace records the result of a request for the pace of its endpoint.
func (c *Core) observePace(now time.Time, p *Pending, r Result) {
	s := p.state
	if !s.paced() || s.removed || p.run != s.run {
		return
	}
	var f pace.Feedback
	switch {
	case r.Err == nil:
		f.Answered = 1
	case r.Err.Kind == errkind.Overloaded:
		f.Rejected = 1
	case r.Err.Kind == errkind.EndpointFailed || r.Err.Kind == errkind.StreamBroken || r.Err.Kind == errkind.Timeout:
		f.Failed = 1
	default:
		return // says nothing of the endpoint
	}
	c.paceResults.Add(f)
	s.permits.Observe(now, f)
}

// TakePaceResults returns the results of endpoints with a pace since the last call.
func (c *Core) TakePaceResults() pace.Feedback {
	results := c.paceResults
	c.paceResults = pace.Feedback{}
	return results
}

// brittleEndpoints returns the number of endpoints that count as brittle.
func (c *Core) brittleEndpoints() int {
	n := 0
	for _, s := range c.endpoints {
		if s.brittle > 0 {
			n++
		}
	}
	return n
}

const (
	// paceLogInterval and paceLogChange bound the log of an endpoint's rate: at least that much time
	// and that change, as a factor, lie between two lines.
	paceLogInterval = time.Second
	paceLogChange   = 1.2
	// maxPaceChanges bounds the changes that wait to be logged.
	maxPaceChanges = 64
)

// PaceChange is a change of the rate of an endpoint whose permits this VM gives.
type PaceChange struct {
	Endpoint string
	From, To float64 // requests per second, for all VMs together
	Fair     float64 // as far as this VM knows
}

// recordPace records the rate of an endpoint whose permits this VM has given.
func (c *Core) recordPace(now time.Time, s *State, rate float64) {
	last := &s.loggedPace
	if rate <= 0 || now.Sub(last.at) < paceLogInterval || rate < last.rate*paceLogChange && rate > last.rate/paceLogChange || len(c.paceChanges) >= maxPaceChanges {
		return
	}
	c.paceChanges = append(c.paceChanges, PaceChange{Endpoint: s.Name, From: last.rate, To: rate, Fair: c.fairRate(s)})
	*last = loggedPace{rate, now}
}

// loggedPace is the last rate of an endpoint that was logged.
type loggedPace struct {
	rate float64
	at   time.Time
}

// TakePaceChanges returns the changes since the last call.
func (c *Core) TakePaceChanges() []PaceChange {
	changes := c.paceChanges
	c.paceChanges = nil
	return changes
}
