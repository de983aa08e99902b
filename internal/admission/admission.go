// Package admission decides for one request of a service whether it is sent, waits or is refused while
// requests of different urgency compete for a service that has too few slots. It makes its decisions from
// what one entry VM knows: its own requests, and the number of requests of the other VMs from their digests.
// It uses neither network nor clock; times are passed in.
//
// A Service bounds the requests of this VM that are in flight (its window) such that all VMs together have
// little more in flight than the service has slots. Every VM scales its window by the same factor, the
// wanted number of requests over the present one, so that shares follow demand without any message.
package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shrinkTime and growTime are the times in which a window follows the ratio of the wanted to the present
	// requests in flight, or ageFactor times the age of what is known of the other VMs if that is longer: windows
	// that follow faster than news travels oscillate.
	shrinkTime = 500 * time.Millisecond
	growTime   = time.Second
	ageFactor  = 2
	// equalShareTime is the time in which the windows of all VMs approach an equal share.
	equalShareTime = 10 * time.Second
	// minShare is the equal share of the slots, in requests, below which there is no window: a VM can't share
	// less than a request, and one request in flight at each VM would be more than the slots.
	minShare = 2
	// calmTime is how long a service counts as crowded after the last moment in which more requests were
	// in flight than it has slots.
	calmTime = 500 * time.Millisecond
	// maxHeld bounds the requests of a service that wait at a VM, and so the time to put them in order.
	maxHeld = 128
	// servedTime is the time constant with which tokens that an account was served are forgotten: an account that
	// was idle must not take all slots until it has caught up.
	servedTime = 2 * time.Second
	// expireInterval is the time between two looks for waiting requests that can't meet their deadline.
	expireInterval = 100 * time.Millisecond
	// averageWeight is the weight of a new sample in averages over requests.
	averageWeight = 0.05
	// mixTime is the time constant of the share of this VM's requests in flight that a priority has.
	mixTime = 2 * time.Second
	// kindTime is how long a kind of request counts after its last arrival.
	kindTime = time.Minute
	// maxKinds bounds the kinds of requests of a service that are told apart.
	maxKinds = 16
	// minRetryAfter and maxRetryAfter bound the time after which a refused request may be sent again.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// RefusalText is the text of the error with which a request is refused. Tools find such refusals in logs by it.
const RefusalText = "the service is crowded and the request would miss its deadline"

// Policy selects how requests compete. The zero value disables admission.
type Policy struct {
	// Window enables the bound on requests in flight, as a multiple of the slots of the service.
	Window float64
	// UrgentFirst makes less urgent requests of all VMs invisible to more urgent ones where slots are counted:
	// engines run the most urgent of the waiting requests first.
	UrgentFirst bool
	// Order is the order of waiting requests.
	Order Order
	// LateFactor is the predicted share of its target above which a request counts as late in OrderInTime.
	LateFactor float64
	// RefuseLate refuses a request that would be late.
	RefuseLate bool
}

// Order is an order of waiting requests.
type Order int

// The orders that are compared.
const (
	// OrderArrival: higher priority, then arrival.
	OrderArrival Order = iota
	// OrderDeadline: the earliest target first, whatever the priority.
	OrderDeadline
	// OrderValue: the highest value per token.
	OrderValue
	// OrderFair: the priority that has been served the fewest tokens for its weight.
	OrderFair
	// OrderInTime: higher priority; then requests that can still meet their target before those that can't; then
	// the account that has been served the fewest tokens; then arrival.
	OrderInTime
)

// DefaultPolicy returns the policy of the entry VMs.
func DefaultPolicy() Policy {
	return Policy{Window: 1.6, UrgentFirst: true, Order: OrderInTime, LateFactor: 0.8}
}

// Request is a request to decide on.
type Request struct {
	Account   string
	Priority  int // a higher one is more urgent
	Tokens    int // of the prompt that have to be computed, and of the output
	Target    time.Duration
	TimeLeft  time.Duration // after which the client gives up; 0 means no limit
	ArrivedAt time.Time
}

func (r *Request) key() accountKey { return accountKey{r.Priority, r.Account} }

// Load is what a VM knows of the service now.
type Load struct {
	Slots int // of the endpoints in use
	Peers int // requests of other VMs in flight, from their digests
	// Age is the time in which news of the other VMs arrives.
	Age time.Duration
	VMs int // entry VMs that send requests to the service, this one included
	// Alone is set if the VM hears nothing of the others, although there are others.
	Alone bool
}

// Entry is a request that waits.
type Entry struct {
	Request
	// ID is the caller's.
	ID       any
	held     bool
	sequence uint64
}

// Verdict is the decision for a request.
type Verdict int

// The verdicts.
const (
	Send Verdict = iota
	Wait
	Refuse
)

type kind struct {
	priority int
	target   time.Duration
}

type accountKey struct {
	priority int
	account  string
}

// priorityState is what is known of the requests of one priority.
type priorityState struct {
	priority int
	inFlight int
	share    float64       // of the requests in flight at this VM with this priority or a higher one
	took     time.Duration // mean time in flight
	first    time.Duration // mean time from sending to the first token
	sampled  bool
	window   float64 // requests of this priority or a higher one that may be in flight
	tokens   float64 // tokens served, for OrderFair
	heldBack int     // waiting requests
}

// Service is the state of one service at one VM. It is not safe for concurrent use.
type Service struct {
	policy     Policy
	priorities []*priorityState // the highest first
	kinds      map[kind]time.Time
	held       []*Entry               // in order
	served     map[accountKey]float64 // tokens, see servedTime
	crowdedAt  time.Time
	updatedAt  time.Time
	expiredAt  time.Time
	windowed   bool // see minShare
	sequence   uint64
	inFlight   int
}

// NewService returns the state of a service of which nothing is known.
func NewService(p Policy) *Service {
	return &Service{policy: p, kinds: map[kind]time.Time{}, served: map[accountKey]float64{}}
}

// Clone returns a copy on which Decide and Observe leave s unchanged. Waiting requests are shared: Next, Remove and
// Expire must not be called on the copy.
func (s *Service) Clone() *Service {
	copied := *s
	copied.priorities = make([]*priorityState, len(s.priorities))
	for i, p := range s.priorities {
		state := *p
		copied.priorities[i] = &state
	}
	copied.kinds, copied.served, copied.held = maps.Clone(s.kinds), maps.Clone(s.served), slices.Clone(s.held)
	return &copied
}

// Held returns the number of waiting requests.
func (s *Service) Held() int { return len(s.held) }

// InFlight returns the number of this VM's requests in flight.
func (s *Service) InFlight() int { return s.inFlight }

// Crowded reports whether admission is in effect: requests of several kinds were seen, and the service has
// had more requests in flight than slots within calmTime, or requests wait.
func (s *Service) Crowded(now time.Time) bool {
	if s.policy.Window == 0 && !s.policy.UrgentFirst {
		return false
	}
	return len(s.kinds) > 1 && (len(s.held) > 0 || !s.crowdedAt.IsZero() && now.Sub(s.crowdedAt) < calmTime)
}

func (s *Service) priority(p int) *priorityState {
	i, found := slices.BinarySearchFunc(s.priorities, p, func(c *priorityState, want int) int { return want - c.priority })
	if !found {
		s.priorities = slices.Insert(s.priorities, i, &priorityState{priority: p, window: -1})
	}
	return s.priorities[i]
}

// Update moves the windows to the present load. It is called before decisions and periodically.
func (s *Service) Update(now time.Time, l Load) {
	elapsed := now.Sub(s.updatedAt)
	first := s.updatedAt.IsZero()
	if elapsed <= 0 && !first {
		return
	}
	s.updatedAt = now
	for k, tokens := range s.served {
		if s.served[k] = tokens * (1 - weight(elapsed, servedTime)); s.served[k] < 1 || first {
			delete(s.served, k)
		}
	}
	for k, at := range s.kinds {
		if now.Sub(at) > kindTime {
			delete(s.kinds, k)
		}
	}
	if l.Slots == 0 {
		return
	}
	if s.inFlight+l.Peers >= l.Slots {
		s.crowdedAt = now
	}
	s.windowed = float64(l.Slots) >= minShare*float64(max(l.VMs, 1))
	cumulative := 0
	for _, p := range s.priorities {
		cumulative += p.inFlight
		if s.inFlight > 0 {
			p.share += (float64(cumulative)/float64(s.inFlight) - p.share) * weight(elapsed, mixTime)
		}
		equal := s.policy.Window * float64(l.Slots) / float64(max(l.VMs, 1))
		if p.window < 0 || l.Alone {
			p.window = max(equal, 1)
			continue
		}
		if now.Sub(s.crowdedAt) > calmTime {
			p.window = max(equal, float64(cumulative), 1) // a start for the next crowded moment
			continue
		}
		present := float64(cumulative) + float64(l.Peers)*p.share
		wanted := s.policy.Window * float64(l.Slots)
		ratio := min(max(wanted/max(present, 1), 0.25), 4)
		follow := growTime
		if ratio < 1 {
			follow = shrinkTime
			p.window = min(p.window, max(float64(cumulative), equal)) // what is not used is given up first
		}
		p.window *= math.Exp(math.Log(ratio) * min(float64(elapsed)/float64(max(follow, ageFactor*l.Age)), 1))
		p.window += (equal - p.window) * weight(elapsed, equalShareTime)
		// Without use, a window would grow until it no longer bounds anything.
		p.window = min(max(p.window, 1), max(2*equal, 2*float64(cumulative)))
	}
}

func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// Observe records the kind of an arriving request.
func (s *Service) Observe(now time.Time, r *Request) {
	k := kind{r.Priority, r.Target}
	if _, known := s.kinds[k]; known || len(s.kinds) < maxKinds {
		s.kinds[k] = now
	}
	s.priority(r.Priority)
}

// PeerShare returns the share of the other VMs' requests that count for a request of a priority: those as
// urgent as it or more. It is 1 unless the service is crowded.
func (s *Service) PeerShare(now time.Time, priority int) float64 {
	if !s.policy.UrgentFirst || !s.Crowded(now) {
		return 1
	}
	return s.priority(priority).share
}

// LessUrgent returns the number of this VM's requests in flight at an endpoint that a request of a priority
// doesn't count, of those given by priority. It is 0 unless the service is crowded.
func (s *Service) LessUrgent(now time.Time, priority int, inFlight map[int]int) int {
	if !s.policy.UrgentFirst || !s.Crowded(now) {
		return 0
	}
	n := 0
	for p, count := range inFlight {
		if p < priority {
			n += count
		}
	}
	return n
}

// hasRoom reports whether the window has room for one more request of a priority.
func (s *Service) hasRoom(priority int) bool {
	if !s.windowed {
		return true
	}
	cumulative := 0
	for _, p := range s.priorities {
		if cumulative += p.inFlight; p.priority <= priority && float64(cumulative) >= p.window {
			return false
		}
		if p.priority <= priority {
			return true
		}
	}
	return true
}

// Decide decides on a request that has arrived. A request that waits is held until Next returns it. The
// duration is the time to retry after for a refusal, before it is spread.
func (s *Service) Decide(now time.Time, e *Entry) (Verdict, time.Duration) {
	if s.policy.Window == 0 || !s.windowed || !s.Crowded(now) || len(s.held) == 0 && s.hasRoom(e.Priority) {
		return Send, 0
	}
	s.sequence++
	e.sequence = s.sequence
	ahead := 0
	for _, o := range s.held {
		if s.compare(now, o, e) < 0 {
			ahead++
		}
	}
	if ahead == 0 && s.hasRoom(e.Priority) {
		return Send, 0
	}
	p := s.priority(e.Priority)
	wait := s.wait(p, ahead)
	if ahead >= maxHeld || e.TimeLeft > 0 && wait+p.took > e.TimeLeft || s.policy.RefuseLate && s.late(now, e, wait) {
		return Refuse, s.retryAfter(p, ahead, e)
	}
	s.hold(now, e)
	return Wait, 0
}

// retryAfter returns the time until the requests ahead have become few enough for a request like this one to be
// served before its deadline.
func (s *Service) retryAfter(p *priorityState, ahead int, e *Entry) time.Duration {
	return min(max(s.wait(p, ahead)+p.took-e.TimeLeft, minRetryAfter), maxRetryAfter)
}

// wait predicts the time until a request is sent behind a number of others: the window turns over in the
// mean time in flight.
func (s *Service) wait(p *priorityState, ahead int) time.Duration {
	return time.Duration(float64(ahead+1) * float64(p.took) / max(p.window, 1))
}

// late reports whether a request that is sent after a wait would miss its target.
func (s *Service) late(now time.Time, e *Entry, wait time.Duration) bool {
	return e.Target > 0 && float64(now.Sub(e.ArrivedAt)+wait+s.priority(e.Priority).first) > s.policy.LateFactor*float64(e.Target)
}

func (s *Service) hold(now time.Time, e *Entry) {
	e.held = true
	s.held = append(s.held, e)
	s.priority(e.Priority).heldBack++
}

// compare orders waiting requests: a negative result means that a goes first.
func (s *Service) compare(now time.Time, a, b *Entry) int {
	switch s.policy.Order {
	case OrderDeadline:
		return cmpTime(a.ArrivedAt.Add(a.Target), b.ArrivedAt.Add(b.Target), a, b)
	case OrderValue:
		return cmpFloat(s.value(b), s.value(a), a, b)
	case OrderFair:
		if a.Priority != b.Priority {
			return cmpFloat(s.priority(a.Priority).tokens, s.priority(b.Priority).tokens, a, b)
		}
		return cmpTime(a.ArrivedAt, b.ArrivedAt, a, b)
	}
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	if s.policy.Order == OrderInTime {
		if lateA, lateB := s.late(now, a, 0), s.late(now, b, 0); lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		if servedA, servedB := s.served[a.key()], s.served[b.key()]; servedA != servedB {
			return cmpFloat(servedA, servedB, a, b)
		}
	}
	return cmpTime(a.ArrivedAt, b.ArrivedAt, a, b)
}

// value returns the value of a request per token: each priority is worth twice the next lower one.
func (s *Service) value(e *Entry) float64 {
	const fixedTokens = 2000 // tokens that an engine computes in the time of a usual output
	return math.Pow(2, float64(e.Priority)) / float64(e.Tokens+fixedTokens)
}

func cmpTime(x, y time.Time, a, b *Entry) int {
	if c := x.Compare(y); c != 0 {
		return c
	}
	return bySequence(a, b)
}

func cmpFloat(x, y float64, a, b *Entry) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return bySequence(a, b)
}

func bySequence(a, b *Entry) int {
	if a.sequence < b.sequence {
		return -1
	}
	return 1
}

// Next removes and returns the waiting request that is to be sent now, or nil.
func (s *Service) Next(now time.Time) *Entry {
	if len(s.held) == 0 {
		return nil
	}
	best := s.held[0]
	for _, e := range s.held[1:] {
		if s.compare(now, e, best) < 0 {
			best = e
		}
	}
	if !s.hasRoom(best.Priority) {
		return nil
	}
	s.Remove(best)
	return best
}

// Remove withdraws a waiting request and reports whether it waited.
func (s *Service) Remove(e *Entry) bool {
	if !e.held {
		return false
	}
	e.held = false
	s.held = slices.DeleteFunc(s.held, func(o *Entry) bool { return o == e })
	s.priority(e.Priority).heldBack--
	return true
}

// Refusal is a waiting request that is refused, and the time to retry after, before it is spread.
type Refusal struct {
	Entry      *Entry
	RetryAfter time.Duration
}

// Expire removes and returns the waiting requests that can no longer be served before their deadline, and the
// last ones beyond maxHeld.
func (s *Service) Expire(now time.Time) []Refusal {
	if len(s.held) == 0 || now.Sub(s.expiredAt) < expireInterval {
		return nil
	}
	s.expiredAt = now
	order := slices.Clone(s.held)
	slices.SortFunc(order, func(a, b *Entry) int { return s.compare(now, a, b) })
	var refused []Refusal
	ahead := 0
	for _, e := range order {
		p := s.priority(e.Priority)
		left := e.TimeLeft - now.Sub(e.ArrivedAt)
		wait := s.wait(p, ahead)
		if ahead >= maxHeld || e.TimeLeft > 0 && left < wait+p.took || s.policy.RefuseLate && s.late(now, e, wait) {
			s.Remove(e)
			refused = append(refused, Refusal{e, s.retryAfter(p, ahead, e)})
			continue
		}
		ahead++
	}
	return refused
}

// Sent records that a request was sent to an endpoint.
func (s *Service) Sent(r *Request) {
	s.inFlight++
	p := s.priority(r.Priority)
	p.inFlight++
	p.tokens += float64(r.Tokens) / math.Pow(2, float64(r.Priority))
	s.served[r.key()] += float64(r.Tokens)
}

// Ended records that a request which was sent has ended. took is its time in flight and first the time to the
// first token or response; both are 0 if the request did not run to its end.
func (s *Service) Ended(priority int, took, first time.Duration) {
	s.inFlight--
	p := s.priority(priority)
	p.inFlight--
	if took <= 0 {
		return
	}
	if first <= 0 {
		first = took
	}
	if !p.sampled {
		p.sampled, p.took, p.first = true, took, first
	}
	p.took += time.Duration(averageWeight * float64(took-p.took))
	p.first += time.Duration(averageWeight * float64(first-p.first))
}
