// Package releasetraffic is the entry side of rollouts of software releases. A Table decides which
// servers of a service a request may use, and a Traffic counts the results and the requests in flight
// that control judges the new release by. Neither does I/O.
//
// Invariants:
//   - While the known state of a running rollout is older than MaxStateAge, nothing goes to the new
//     release.
//   - A request that started on the old release never moves to the new one, except after the end of
//     the rollout.
package releasetraffic

import (
	"time"

	"eelgrasshollow/internal/canary"
)

// MaxStateAge is the time since control last confirmed the state of a rollout after which a VM sends
// nothing to the new release.
const MaxStateAge = 2 * time.Second

// Rollout is the state of a service's latest rollout. It is encoded with gob in messages between VMs, so
// fields may be added only.
type Rollout struct {
	Service string
	Number  uint64 // of the rollout among those of the service, from 1 on
	Release string // new release
	Stage   canary.Stage
	// StageNumber counts the stages of the rollout since the order.
	StageNumber uint64
}

// Running reports whether the rollout has not ended.
func (r Rollout) Running() bool { return !r.Stage.Final() }

// Server is a server as a Table needs it.
type Server struct {
	Key     string // fleet.Server.Key
	Service string
	Release string
	Unused  bool // gets no requests, whatever its release
}

// Table decides which servers of each service may be used. It is immutable. The zero value and nil
// restrict nothing.
type Table struct{ services map[string]*service }

type service struct {
	rollout *Rollout // latest one; nil if none is known
	inUse   map[string]bool
	// newListed and oldListed report whether a usable server of the arm is listed.
	newListed, oldListed bool
	known                map[string]bool // see History
	knownListed          bool            // a usable server with a known release, other than the rollout's, is listed
	restricts            bool            // some usable server is not open to all requests
}

// NewTable returns a table for the listed servers. history may be nil.
func NewTable(servers []Server, rollouts map[string]Rollout, history *History) *Table {
	t := &Table{services: map[string]*service{}}
	newServers := map[string][]string{}
	for name, r := range rollouts {
		t.services[name] = &service{rollout: &r, known: history.of(name)}
	}
	for _, s := range servers {
		entry := t.services[s.Service]
		if entry == nil {
			entry = &service{known: history.of(s.Service)}
			t.services[s.Service] = entry
		}
		if s.Unused {
			continue
		}
		switch {
		case entry.isNew(s.Release):
			entry.newListed = true
			newServers[s.Service] = append(newServers[s.Service], s.Key)
		default:
			entry.oldListed = true
			entry.knownListed = entry.knownListed || entry.known[s.Release]
		}
	}
	for _, s := range servers {
		entry := t.services[s.Service]
		entry.restricts = entry.restricts || !s.Unused && entry.isWithheld(s.Release)
	}
	for _, entry := range t.services {
		if r := entry.rollout; r != nil {
			entry.restricts = entry.restricts || r.Running() || entry.newListed && entry.oldListed
		}
	}
	for name, keys := range newServers {
		entry := t.services[name]
		entry.inUse = map[string]bool{}
		for _, key := range canary.ServersInUse(keys, entry.rollout.Stage) {
			entry.inUse[key] = true
		}
	}
	return t
}

// isNew reports whether a release is the new one of the latest rollout.
func (s *service) isNew(release string) bool { return s.rollout != nil && release == s.rollout.Release }

// isWithheld reports whether a release gets nothing because no rollout to it is known, while servers of
// known releases are listed.
func (s *service) isWithheld(release string) bool {
	return s.known != nil && s.knownListed && !s.known[release] && !s.isNew(release)
}

// of returns the service's entry, or nil if nothing is known of it.
func (t *Table) of(name string) *service {
	if t == nil {
		return nil
	}
	return t.services[name]
}

// Rollout returns the service's latest rollout, or nil.
func (t *Table) Rollout(name string) *Rollout {
	if s := t.of(name); s != nil {
		return s.rollout
	}
	return nil
}

// Restricts reports whether some servers of the service are not open to all requests.
func (t *Table) Restricts(name string) bool {
	s := t.of(name)
	return s != nil && s.restricts
}

// Arm is the release to which a request is assigned, of the rollout with a number.
type Arm struct {
	New    bool
	Number uint64
}

// Choose returns the arm of a request of a route that has not been sent yet. stateAge is the time since
// control last confirmed the state; resumed is true if the request continues a stream.
func (t *Table) Choose(name, route, requestID string, resumed bool, stateAge time.Duration) Arm {
	r := t.Rollout(name)
	if r == nil {
		return Arm{}
	}
	arm := Arm{Number: r.Number}
	switch {
	case r.Running() && stateAge > MaxStateAge:
	case r.Stage.Phase == canary.All || r.Stage.Phase == canary.Completed:
		arm.New = true
	case resumed:
	default:
		arm.New = canary.ArmFor(canary.Fraction(name, r.Number, requestID), route, r.Stage) == canary.NewRelease
	}
	return arm
}

// AfterFailure returns the arm of the next attempt of a request that failed on an arm.
func (t *Table) AfterFailure(name string, failed Arm, stateAge time.Duration) Arm {
	r := t.Rollout(name)
	if !failed.New || r == nil || r.Number != failed.Number || r.Running() && stateAge > MaxStateAge {
		return Arm{Number: failed.Number}
	}
	// The old servers may be stopped as soon as none of them has a request.
	failed.New = r.Stage.Phase == canary.All || r.Stage.Phase == canary.Completed
	return failed
}

// Never is the tier of servers that a request may not use.
const Never = -1

// Tier returns the tier of a server for a request of an arm: a server of a higher tier is used only if
// none of a lower one can accept the request, and one of the tier Never not at all.
func (t *Table) Tier(name string, arm Arm, key, release string) int {
	s := t.of(name)
	if s == nil {
		return 0
	}
	if s.isWithheld(release) {
		return Never
	}
	if s.rollout == nil {
		return 0
	}
	isNew := s.isNew(release)
	switch phase := s.rollout.Stage.Phase; {
	case phase == canary.Completed:
		return neverIf(!isNew && s.newListed)
	case phase == canary.RolledBack:
		return neverIf(isNew && s.oldListed)
	case !arm.New || arm.Number != s.rollout.Number:
		return neverIf(isNew && s.oldListed)
	case phase == canary.All:
		return neverIf(!isNew && s.newListed)
	case s.inUse[key]:
		return 0
	case isNew:
		if s.oldListed {
			return Never
		}
	}
	return 1
}

func neverIf(condition bool) int {
	if condition {
		return Never
	}
	return 0
}

// Permits reports whether a request of an arm may be sent to a server now.
func (t *Table) Permits(name string, arm Arm, key, release string, stateAge time.Duration) bool {
	if t.Tier(name, arm, key, release) == Never {
		return false
	}
	s := t.of(name)
	stale := stateAge > MaxStateAge && s != nil && s.rollout != nil && s.rollout.Running()
	return !stale || !s.isNew(release) || !s.oldListed
}

// History remembers the releases of each service that a VM may use without an order: those of the first
// list that it got from control, and those to which a rollout was completed. Others get nothing while
// servers of known releases are listed: the VM may have missed the order, or it is still to come. It is
// not safe for concurrent use.
type History struct{ releases map[string]map[string]bool }

// NewHistory returns an empty history.
func NewHistory() *History { return &History{releases: map[string]map[string]bool{}} }

// Record records the servers and rollouts that control has sent.
func (h *History) Record(servers []Server, rollouts map[string]Rollout) {
	listed := map[string]map[string]bool{}
	for _, s := range servers { // also unused ones: a known release may be so for a moment
		if listed[s.Service] == nil {
			listed[s.Service] = map[string]bool{}
		}
		listed[s.Service][s.Release] = true
	}
	for name, releases := range listed {
		h.recordService(name, releases, rollouts)
	}
}

// recordService records the listed releases of a service. Recorded sets are never changed, because
// tables refer to them.
func (h *History) recordService(name string, listed map[string]bool, rollouts map[string]Rollout) {
	r, hasRollout := rollouts[name]
	known := map[string]bool{}
	anyListed := false
	for release := range h.releases[name] {
		known[release] = true
		anyListed = anyListed || listed[release]
	}
	if !anyListed { // the first list, or all known servers have been replaced
		for release := range listed {
			if !hasRollout || release != r.Release {
				known[release] = true
			}
		}
	}
	if hasRollout {
		switch {
		case r.Stage.Phase == canary.Completed:
			known = map[string]bool{r.Release: true}
		case r.Stage.Phase == canary.RolledBack:
			delete(known, r.Release)
		default:
		}
	}
	h.releases[name] = known
}

// of returns the known releases of a service, or nil if all may be used.
func (h *History) of(name string) map[string]bool {
	if h == nil {
		return nil
	}
	return h.releases[name]
}
