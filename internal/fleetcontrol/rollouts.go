package fleetcontrol

import (
	"maps"
	"slices"
	"time"

	"eelgrasshollow/internal/canary"
	"eelgrasshollow/internal/releasetraffic"
)

// maxRollouts is the number of rollouts of a service that are kept.
const maxRollouts = 16

// Rollout is a rollout of a release of a service's software. It is part of snapshots, so fields may be
// added only.
type Rollout struct {
	Service     string
	Number      uint64 // counts the rollouts of the service from 1 on
	Release     string
	Duration    time.Duration
	OrderedAt   int64 // wall-clock time at the replica that proposed the order, in Unix milliseconds
	Stage       canary.Stage
	StageNumber uint64 // counts the stages since the order

	// appliedAt is when the order was applied, by this replica's clock.
	appliedAt time.Time
}

// Running reports whether the rollout has not ended.
func (r *Rollout) Running() bool { return !r.Stage.Final() }

// forVMs returns the rollout in the form that entry VMs get.
func (r *Rollout) forVMs() releasetraffic.Rollout {
	return releasetraffic.Rollout{Service: r.Service, Number: r.Number, Release: r.Release, Stage: r.Stage, StageNumber: r.StageNumber}
}

// sameOrder reports whether an order asks for what this rollout does.
func (r *Rollout) sameOrder(release string, duration time.Duration) bool {
	return r.Release == release && r.Duration == duration
}

// rolloutStep is what a command does to a rollout.
type rolloutStep uint8

// Steps of a rollout.
const (
	startRollout rolloutStep = iota + 1
	stageRollout
	completeRollout
	rollBackRollout
)

// rolloutCommand is a command for the rollouts of a service. Number is that of the rollout that it
// starts or changes, so that of two concurrent orders only one takes effect.
type rolloutCommand struct {
	Step    rolloutStep
	Service string
	Number  uint64
	// Release, Duration and OrderedAt are set to start a rollout.
	Release   string
	Duration  time.Duration
	OrderedAt int64
	// Stage is the new stage, and StageNumber that of the stage which it replaces. A roll-back replaces
	// any stage.
	Stage       canary.Stage
	StageNumber uint64
}

// latestRollout returns the service's latest rollout, or nil.
func (s *State) latestRollout(service string) *Rollout {
	all := s.Rollouts[service]
	if len(all) == 0 {
		return nil
	}
	return &all[len(all)-1]
}

// latestRollouts returns the latest rollout of each service for entry VMs.
func (s *State) latestRollouts() []releasetraffic.Rollout {
	var all []releasetraffic.Rollout
	for service := range s.Rollouts {
		all = append(all, s.latestRollout(service).forVMs())
	}
	return all
}

// applyRollout applies a command to next, whose maps are still those of the former state. It returns
// inForce, superseded, refused or conflicts.
func (m *Machine) applyRollout(next *State, c *rolloutCommand) []byte {
	last := next.latestRollout(c.Service)
	if c.Step == startRollout {
		return m.applyOrder(next, last, c)
	}
	if last == nil || last.Number != c.Number || !last.Running() || c.Step != rollBackRollout && last.StageNumber != c.StageNumber {
		return superseded
	}
	switch {
	case c.Step == stageRollout && !c.Stage.Final():
	case c.Step == completeRollout && c.Stage.Phase == canary.Completed:
	case c.Step == rollBackRollout && c.Stage.Phase == canary.RolledBack:
	default:
		return refused
	}
	changed := *last
	changed.Stage, changed.StageNumber = c.Stage, last.StageNumber+1
	all := slices.Clone(next.Rollouts[c.Service])
	all[len(all)-1] = changed
	next.setRollouts(c.Service, all)
	return inForce
}

// applyOrder applies an order. An order that is equal to the running rollout, or that was started under
// the same number, has already been accepted.
func (m *Machine) applyOrder(next *State, last *Rollout, c *rolloutCommand) []byte {
	lastNumber := uint64(0)
	if last != nil {
		lastNumber = last.Number
		same := last.sameOrder(c.Release, c.Duration)
		started := slices.ContainsFunc(next.Rollouts[c.Service], func(r Rollout) bool { return r.Number == c.Number && r.sameOrder(c.Release, c.Duration) })
		switch {
		case started:
			return inForce
		case same && (last.Running() || c.Number <= lastNumber):
			return inForce
		case last.Running() || c.Number <= lastNumber:
			return conflicts
		}
	}
	if c.Number != lastNumber+1 || c.Release == "" || c.Duration <= 0 {
		return refused
	}
	r := Rollout{
		Service: c.Service, Number: c.Number, Release: c.Release, Duration: c.Duration, OrderedAt: c.OrderedAt,
		Stage: canary.InitialStage(), appliedAt: m.orderTime(c.OrderedAt, c.Duration),
	}
	all := append(slices.Clone(next.Rollouts[c.Service]), r)
	next.setRollouts(c.Service, all[max(0, len(all)-maxRollouts):])
	return inForce
}

// setRollouts sets the rollouts of a service without changing the former state.
func (s *State) setRollouts(service string, all []Rollout) {
	s.Rollouts = maps.Clone(s.Rollouts)
	if s.Rollouts == nil {
		s.Rollouts = map[string][]Rollout{}
	}
	s.Rollouts[service] = all
}

// maxRestoredAge is the age of an order, in multiples of its duration, up to which the wall clock is
// believed.
const maxRestoredAge = 4

// orderTime returns the time of an order by this replica's clock. An order that is older than this
// process, by the wall clock, is read from the log or a snapshot. Any other one was made since the state was
// known to be complete: it is just made, unless this VM was frozen or cut off. Wall clocks of VMs may differ,
// so that of a live order is used only within that time.
func (m *Machine) orderTime(orderedAt int64, duration time.Duration) time.Time {
	now := m.now()
	age := time.Since(time.UnixMilli(orderedAt))
	if uptime := now.Sub(m.startedAt); age > uptime && age <= maxRestoredAge*duration {
		return now.Add(-age)
	}
	if m.freshAsOf == nil {
		return now
	}
	fresh := m.freshAsOf()
	if fresh.IsZero() {
		return now
	}
	return now.Add(-max(min(age, now.Sub(fresh)), 0))
}

// restoreRollouts returns the rollouts of a snapshot with the times of their orders.
func (m *Machine) restoreRollouts(all map[string][]Rollout) map[string][]Rollout {
	for _, rollouts := range all {
		for i := range rollouts {
			r := &rollouts[i]
			age := min(max(time.Since(time.UnixMilli(r.OrderedAt)), 0), maxRestoredAge*r.Duration)
			r.appliedAt = m.now().Add(-age)
		}
	}
	return all
}

// sameRollouts reports whether two states have the same rollouts at the same stages.
func sameRollouts(a, b map[string][]Rollout) bool {
	return maps.EqualFunc(a, b, func(x, y []Rollout) bool {
		return slices.EqualFunc(x, y, func(r, s Rollout) bool { return r.Number == s.Number && r.StageNumber == s.StageNumber })
	})
}
