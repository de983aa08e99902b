package routing

import (
	"context"
	"strconv"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/quarantine"
	"eelgrasshollow/internal/rendezvous"

	"go.uber.org/zap"
)

// settledAfter is the time from the first token of a response from which on a crash of the endpoint
// is no longer attributed to parts of its prompt.
const settledAfter = 50 * time.Millisecond

// quarantined returns a refusal if a trait of the request is quarantined.
func (c *Core) quarantined(now time.Time, r *Request) *errkind.Error {
	refusal := c.quarantine.Check(now, r.Traits, c.answeredAt[r.group()])
	if refusal == nil {
		return nil
	}
	text := "prompt part %s has crashed %d endpoints in a row"
	if refusal.Trait.IsRequest() {
		text = "request with fingerprint %s has crashed %d endpoints"
	}
	return errkind.New(errkind.Quarantined, text, refusal.Trait.Name, refusal.Crashes).WithRetryAfter(max(refusal.RetryAfter, defaultRetryAfter))
}

// CheckQuarantine implements Router.
func (m *Module) CheckQuarantine(r Request) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if refusal := m.core.quarantined(m.now(), &r); refusal != nil {
		return refusal
	}
	return nil
}

// group names the endpoints that may serve the request: its service or its model.
func (r *Request) group() string {
	if r.Service != "" {
		return r.Service
	}
	return r.Model
}

// RecordCrash records that the endpoint has crashed while it served a request that is over. It
// returns the traits of the request that are quarantined because of it.
func (c *Core) RecordCrash(now time.Time, p *Pending) []quarantine.Trait {
	if p.state == nil {
		return nil
	}
	run := p.run
	if run == 0 { // the time stands for the unknown incarnation
		run = digest.Run(now.Unix())
	}
	crash := digest.CrashIDOf(digest.EndpointRunOf(p.state.id, run))
	c.digestUrgent, c.relayUrgent = true, true
	return c.quarantine.RecordCrash(now, p.Request.Traits, p.quarantineState, p.settled, crash)
}

// hasSettled reports whether the response has gone on for settledAfter.
func hasSettled(now time.Time, p *Pending) bool {
	return !p.startedAt.IsZero() && now.Sub(p.startedAt) >= settledAfter
}

// settle records that the endpoint answers the request, and whether the response is complete.
func (c *Core) settle(now time.Time, p *Pending, complete bool) {
	p.settled = true
	c.answeredAt[p.Request.group()] = now
	for _, trait := range c.quarantine.RecordAnswer(now, p.Request.Traits, complete) {
		c.released = append(c.released, Release{Trait: trait, Request: p.Request.ID, Endpoint: p.Decision.Endpoint})
	}
}

// settleStarted settles the responses that have gone on for long enough.
func (c *Core) settleStarted(now time.Time) {
	for len(c.unsettled) > 0 && (c.unsettled[0].phase != phaseStarted || hasSettled(now, c.unsettled[0])) {
		if p := c.unsettled[0]; p.phase == phaseStarted {
			c.settle(now, p, false)
		}
		c.unsettled = c.unsettled[1:]
	}
}

// Release tells which response has released a trait from the quarantine.
type Release struct {
	Trait             quarantine.Trait
	Request, Endpoint string
}

// TakeReleases returns the releases since the last call.
func (c *Core) TakeReleases() []Release {
	released := c.released
	c.released = nil
	return released
}

// Prober opens a connection to an endpoint's address and closes it again. Its errors are those
// of the dial.
type Prober interface {
	Probe(ctx context.Context, address string) error
}

// crashCheckWait is how long the end of an attempt waits for its crash check. An endpoint that has
// crashed refuses connections within a round trip.
const crashCheckWait = 50 * time.Millisecond

// awaitCrashCheck checks for a crash and waits for the result, so that a repeat of the request is
// sent in knowledge of it.
func (m *Module) awaitCrashCheck(p *Pending) {
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		m.checkCrash(p)
	}()
	timer := time.NewTimer(crashCheckWait)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	}
}

// checkCrash finds out whether the endpoint of an attempt whose connection broke has ended: its
// address then refuses connections. A lost connection alone says nothing about the endpoint.
func (m *Module) checkCrash(p *Pending) {
	address := p.Decision.Address
	_, err, _ := m.probes.Do(address, func() (any, error) { return nil, m.prober.Probe(context.Background(), address) })
	if !liveness.Refused(err) {
		return
	}
	m.crashes.WithLabelValues(strconv.FormatBool(len(p.Request.Exclude) > 0)).Inc()
	m.mu.Lock()
	quarantined := m.core.RecordCrash(m.now(), p)
	m.mu.Unlock()
	m.log.Info("endpoint crashed under the request", zap.String("request", p.Request.ID), zap.String("endpoint", p.Decision.Endpoint),
		zap.String("incarnation", p.Decision.Incarnation), zap.Bool("answered", p.settled), zap.Error(err))
	for _, trait := range quarantined {
		message, name := traitLog(trait)
		m.log.Warn(message+" quarantined", name, zap.String("request", p.Request.ID), zap.String("endpoint", p.Decision.Endpoint))
	}
}

// logReleases logs the traits that were released from the quarantine. The caller must hold the mutex.
func (m *Module) logReleases() {
	for _, r := range m.core.TakeReleases() {
		message, name := traitLog(r.Trait)
		m.log.Info(message+" released from quarantine", name, zap.String("request", r.Request), zap.String("endpoint", r.Endpoint))
	}
}

// traitLog returns what the log calls a trait, and the field with its name.
func traitLog(trait quarantine.Trait) (subject string, name zap.Field) {
	if trait.IsRequest() {
		return "repeated request", zap.String("fingerprint", trait.Name)
	}
	return "prompt part", zap.String("part", trait.Name)
}

// runsTrials reports whether this VM makes the trials of a quarantined trait: one of the entry VMs
// does, on whose choice all with the same list of VMs agree. A VM that is not in its own list makes
// none.
func (m *Module) runsTrials(trait prefix.Hash) bool {
	if m.server == nil {
		return true
	}
	chosen, highest := "", uint64(0)
	for _, vm := range m.allVMs() {
		if weight := rendezvous.Weight(trait, rendezvous.Name(vm.PeerAddress)); vm.PeerAddress != "" && !vm.Leaving && weight >= highest {
			chosen, highest = vm.PeerAddress, weight
		}
	}
	return chosen != "" && chosen == m.self()
}
