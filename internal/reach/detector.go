// Package reach finds out whether this VM is cut off from the endpoints of all services while
// other VMs reach them. Detector decides, without network or clock access; Module observes the
// attempts of the gateway, asks other VMs and probes endpoints.
//
// Invariants:
//   - A VM whose attempts succeed exchanges no messages with other VMs for this purpose. It probes
//     endpoints only if none has answered for some time while attempts wait.
//   - A VM is isolated only if another VM has received something from an endpoint after this VM's
//     attempts had failed. Endpoints that are down for all VMs isolate none.
package reach

import (
	"maps"
	"slices"
	"time"
)

// State is what a VM knows about its reach.
type State int

// The states of a VM.
const (
	// Connected is the usual state.
	Connected State = iota
	// Suspect is the state after attempts at several endpoints have failed, until it is known
	// whether other VMs reach them.
	Suspect
	// Isolated is the state in which other VMs reach the endpoints and this one does not.
	Isolated
	// Returning is the state after an isolation in which a growing share of the requests goes to
	// endpoints directly.
	Returning
)

// String returns the name of the state in log lines.
func (s State) String() string {
	return [...]string{"connected", "suspect", "isolated", "returning"}[s]
}

const (
	// suspectAfter is the time without contact with any endpoint from which on failed attempts
	// make the VM suspect.
	suspectAfter = 400 * time.Millisecond
	// suspectEndpoints is the number of different endpoints at which attempts must have failed.
	suspectEndpoints = 3
	// silentEndpoints is the number of different endpoints at which attempts must have been silent,
	// and checkAfter the time without an answer of any endpoint, before the VM checks whether
	// endpoints answer at all. Sound endpoints may be silent for about a second, one at a time.
	silentEndpoints = 2
	checkAfter      = 600 * time.Millisecond
	// silenceTTL is how long a silent attempt counts.
	silenceTTL = 2 * time.Second
	// checkInterval is the least time between two checks: the first answers of a slow service
	// may be seconds apart.
	checkInterval = time.Second
	// failureTTL is how long a failed attempt counts.
	failureTTL = 5 * time.Second
	// maxFailures limits the failed endpoints that are kept.
	maxFailures = 64
	// freshAnswer is the greatest age of another VM's last answer that proves endpoints to work.
	freshAnswer = time.Second
	// roundInterval is the time between two rounds of probes of an isolated VM, and between the
	// first two rounds of a suspect one. The latter doubles up to maxRoundInterval, because
	// endpoints may be down for all VMs for a long time.
	roundInterval    = 500 * time.Millisecond
	maxRoundInterval = 2 * time.Second
	// returnRounds is the number of consecutive rounds with an answer after which an isolated VM
	// counts as connected again. It doubles up to maxReturnRounds when the return fails, because
	// some partitions let connections be opened and then reset them.
	returnRounds    = 2
	maxReturnRounds = 16
	// returnFailures is the number of endpoints at which attempts must fail before the first
	// contact for a return to have failed.
	returnFailures = 2
	// returnTime is the time in which the share of direct requests grows from returnShare to all.
	returnTime  = time.Second
	returnShare = 0.25
	// steadyAfter is the time in the state connected after which the next isolation needs
	// returnRounds again.
	steadyAfter = 10 * time.Second
)

// Detector decides whether a VM is isolated. It is not safe for concurrent use.
type Detector struct {
	endpoints int // number of known endpoints
	state     State
	since     time.Time // when the state began
	// contactAt is when the newest connection on which an endpoint answered was opened, and
	// failures holds when and for which service attempts failed since, by endpoint.
	contactAt time.Time
	failures  map[string]failure
	// answeredAt is when the newest connection on which an endpoint of a service answered was opened.
	// The age of the connection counts, not that of the answer: a partition may leave connections
	// open while new ones fail, and stopping endpoints refuse new ones while they finish old ones.
	answeredAt map[string]time.Time
	// heardAt is when an endpoint last answered, on whatever connection, and silent holds when and
	// for which service attempts have been found silent since, by endpoint.
	heardAt   time.Time
	silent    map[string]failure
	nextCheck time.Time
	nextRound time.Time
	interval  time.Duration // between rounds while suspect
	rounds    int           // consecutive rounds with an answer while isolated
	needed    int           // rounds needed to return
}

// failure is a failed attempt at an endpoint.
type failure struct {
	at      time.Time
	service string
}

// NewDetector returns a detector of a connected VM.
func NewDetector(now time.Time) *Detector {
	return &Detector{since: now, contactAt: now, heardAt: now, silent: map[string]failure{}, failures: map[string]failure{}, answeredAt: map[string]time.Time{}, needed: returnRounds}
}

// State returns the state.
func (d *Detector) State() State { return d.state }

// SetEndpoints sets the number of endpoints that the VM knows.
func (d *Detector) SetEndpoints(n int) { d.endpoints = n }

// RecordAnswer records that an endpoint of the service has answered on a connection opened at the
// given time.
func (d *Detector) RecordAnswer(now, opened time.Time, service string) {
	d.heardAt = now
	clear(d.silent)
	if opened.After(d.contactAt) {
		d.contactAt = opened
		maps.DeleteFunc(d.failures, func(_ string, f failure) bool { return !f.at.After(opened) })
	}
	if opened.After(d.answeredAt[service]) {
		d.answeredAt[service] = opened
	}
}

// RecordFailure records that an attempt at an endpoint failed to connect or was reset.
func (d *Detector) RecordFailure(now time.Time, endpoint, service string) {
	if len(d.failures) >= maxFailures {
		maps.DeleteFunc(d.failures, func(_ string, f failure) bool { return now.Sub(f.at) > failureTTL })
	}
	if len(d.failures) < maxFailures {
		d.failures[endpoint] = failure{now, service}
	}
}

// RecordSilence records that an attempt at an endpoint has had no answer for some time. A slow
// service looks the same, so that this proves nothing, except right after an isolation.
func (d *Detector) RecordSilence(now time.Time, endpoint, service string) {
	switch {
	case d.state == Returning:
		d.RecordFailure(now, endpoint, service)
	case len(d.silent) < maxFailures:
		d.silent[endpoint] = failure{now, service}
	}
}

// RecordCheck records whether one of the probed endpoints answered. If none did, the silent attempts
// and the probes have failed.
func (d *Detector) RecordCheck(now time.Time, reached bool, opened time.Time, probed []Endpoint) {
	d.nextCheck = now.Add(checkInterval)
	if reached {
		d.heardAt, d.contactAt = now, opened
		clear(d.silent)
		return
	}
	for endpoint, s := range d.silent {
		d.RecordFailure(now, endpoint, s.service)
	}
	for _, e := range probed {
		d.RecordFailure(now, e.Address, e.Service)
	}
}

// checkDue reports whether to check that endpoints answer, or in how long; 0 means not as far as is known.
func (d *Detector) checkDue(now time.Time) (due bool, in time.Duration) {
	maps.DeleteFunc(d.silent, func(_ string, f failure) bool { return now.Sub(f.at) > silenceTTL })
	if len(d.silent) < d.neededFailures(silentEndpoints) {
		return false, 0
	}
	wait := max(d.heardAt.Add(checkAfter).Sub(now), d.nextCheck.Sub(now))
	return wait <= 0, max(wait, 0)
}

// Answered returns the age of the newest connection on which an endpoint of one of the services
// answered; false if none did. Without services those of all services count.
func (d *Detector) Answered(now time.Time, services []string) (time.Duration, bool) {
	var last time.Time
	for service, at := range d.answeredAt {
		if at.After(last) && (len(services) == 0 || slices.Contains(services, service)) {
			last = at
		}
	}
	return now.Sub(last), !last.IsZero()
}

// Evidence describes the failed attempts since the last contact.
type Evidence struct {
	Services []string
	Failed   []string // endpoints
	// Age is the time since the last of the failures: another VM's answer proves something only
	// if it is younger.
	Age time.Duration
}

// evidence returns the failures since the last contact.
func (d *Detector) evidence(now time.Time) Evidence {
	e := Evidence{Age: freshAnswer}
	for endpoint, f := range d.failures {
		if now.Sub(f.at) > failureTTL {
			continue
		}
		e.Failed = append(e.Failed, endpoint)
		e.Age = min(e.Age, now.Sub(f.at))
		if !slices.Contains(e.Services, f.service) {
			e.Services = append(e.Services, f.service)
		}
	}
	slices.Sort(e.Failed)
	slices.Sort(e.Services)
	return e
}

// neededFailures returns the number of endpoints at which attempts must fail, at most the given one.
func (d *Detector) neededFailures(most int) int { return max(1, min(most, d.endpoints)) }

// Step is what the caller has to do next.
type Step struct {
	// Round asks for a round: probe endpoints and ask other VMs, with the evidence.
	Round bool
	// Check asks for probes of a few endpoints, without questions to other VMs.
	Check    bool
	Evidence Evidence
	// Next is the time until Advance must be called again; 0 means at the next failure.
	Next time.Duration
}

// Advance applies the passage of time and the attempts since the last call.
func (d *Detector) Advance(now time.Time) Step {
	e := d.evidence(now)
	switch d.state {
	case Connected:
		if len(e.Failed) < d.neededFailures(suspectEndpoints) {
			due, in := d.checkDue(now)
			return Step{Check: due, Next: in}
		}
		if silence := now.Sub(d.contactAt); silence < suspectAfter {
			return Step{Next: suspectAfter - silence}
		}
		d.enter(now, Suspect)
		d.interval, d.nextRound = roundInterval, now
	case Suspect:
		if len(e.Failed) < d.neededFailures(suspectEndpoints) {
			d.enter(now, Connected) // an endpoint has answered, or the failures are old
			return Step{}
		}
	case Returning:
		switch {
		case len(e.Failed) >= d.neededFailures(returnFailures) && !d.contactAt.After(d.since):
			d.needed = min(2*d.needed, maxReturnRounds)
			d.enter(now, Isolated)
			d.nextRound = now
		case now.Sub(d.since) >= returnTime:
			d.enter(now, Connected)
			return Step{}
		default:
			return Step{Next: returnTime - now.Sub(d.since)}
		}
	}
	if wait := d.nextRound.Sub(now); wait > 0 {
		return Step{Next: wait}
	}
	interval := roundInterval
	if d.state == Suspect {
		interval, d.interval = d.interval, min(2*d.interval, maxRoundInterval)
	}
	d.nextRound = now.Add(interval)
	return Step{Round: true, Evidence: e, Next: interval}
}

// PeerAnswer is another VM's answer to a suspect VM.
type PeerAnswer struct {
	// Answered reports that an endpoint answered the other VM on a connection opened Age ago.
	Answered bool
	Age      time.Duration
	// Isolated reports that the other VM is cut off or suspects to be.
	Isolated bool
}

// Usable reports whether the other VM can serve requests of this one.
func (a PeerAnswer) Usable() bool { return a.Answered && a.Age < freshAnswer && !a.Isolated }

// RecordRound records the results of a round: whether one of the probed endpoints answered on a
// connection opened at the given time, and the answers of other VMs.
func (d *Detector) RecordRound(now time.Time, e Evidence, reached bool, opened time.Time, peers []PeerAnswer) {
	if reached && d.state != Isolated {
		d.heardAt, d.contactAt = now, opened
		clear(d.failures)
		clear(d.silent)
	}
	switch d.state {
	case Suspect:
		// Ages are those at the time of the answer, which is later than that of the evidence.
		proof := func(p PeerAnswer) bool { return p.Usable() && p.Age <= e.Age }
		if !reached && slices.ContainsFunc(peers, proof) {
			d.enter(now, Isolated)
			d.nextRound = now.Add(roundInterval)
		}
	case Isolated:
		if !reached {
			d.rounds = 0
			return
		}
		if d.rounds++; d.rounds >= d.needed {
			d.enter(now, Returning)
			clear(d.failures)
		}
	}
}

func (d *Detector) enter(now time.Time, s State) {
	if s == Suspect && d.state == Connected && now.Sub(d.since) > steadyAfter {
		d.needed = returnRounds
	}
	d.state, d.since, d.rounds = s, now, 0
	clear(d.silent)
}

// Direct reports whether a request goes to endpoints directly. fraction is a number in [0, 1)
// that is uniformly distributed over requests.
func (d *Detector) Direct(now time.Time, fraction float64) bool {
	switch d.state {
	case Isolated:
		return false
	case Returning:
		return fraction < returnShare+(1-returnShare)*float64(now.Sub(d.since))/float64(returnTime)
	}
	return true
}
