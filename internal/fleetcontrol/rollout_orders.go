package fleetcontrol

import (
	"bytes"
	"context"
	"slices"
	"time"

	"eelgrasshollow/internal/canary"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/releasetraffic"

	"go.uber.org/zap"
)

const (
	// MaxRolloutDuration is the longest duration of a rollout.
	MaxRolloutDuration = 24 * time.Hour
	// defaultAckTime is the time for which operators resend an order if the settings don't state it.
	defaultAckTime = 5 * time.Second
	// resendMargin is added to it, for an order that was sent last just within the time.
	resendMargin = time.Second
	// listWait is the time since the start of the process for which an order is not decided if no list of
	// servers is known. It is below the time for which operators resend an order, so that an order is accepted
	// in time if the list can't be read.
	listWait = 4 * time.Second
)

// StartRollout orders that a service's traffic move to the servers of a release, and returns once the
// order is committed. An order that was accepted before is acknowledged again. Errors are errkind
// InvalidRequest, AlreadyExists if another rollout of the service is running, or NoQuorum and Timeout
// when the outcome is unknown.
func (o *OperatorAPI) StartRollout(ctx context.Context, service, release string, duration time.Duration) error {
	err := o.startRollout(ctx, service, release, duration)
	o.log.Info("rollout ordered", zap.String("service", service), zap.String("to", release), zap.Duration("duration", duration), zap.Error(err))
	return err
}

func (o *OperatorAPI) startRollout(ctx context.Context, service, release string, duration time.Duration) error {
	switch {
	case o.rolloutsDisabled:
		return errkind.New(errkind.InvalidRequest, "rollouts are disabled: the settings hold no exposure bounds")
	case release == "":
		return errkind.New(errkind.InvalidRequest, "rollout needs a release")
	case duration <= 0 || duration > MaxRolloutDuration:
		return errkind.New(errkind.InvalidRequest, "duration of a rollout must be above 0 and at most %v", MaxRolloutDuration)
	}
	barrierCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := o.replica.ReadBarrier(barrierCtx); err != nil {
		return err
	}
	state := o.machine.State()
	switch {
	case state.Config() == nil:
		return errkind.New(errkind.NoQuorum, "no configuration has been sent yet")
	case state.Config().Service(service) == nil:
		return errkind.New(errkind.InvalidRequest, "unknown service %q", service)
	}
	last := state.latestRollout(service)
	number := uint64(1)
	if last != nil {
		// An order may be resent after its rollout has ended and another one has started.
		if slices.ContainsFunc(state.Rollouts[service], func(r Rollout) bool { return o.accepted(&r, r.Number == last.Number, release, duration) }) {
			return nil
		}
		if last.Running() {
			return errkind.New(errkind.AlreadyExists, "a rollout of %q to %q is running", service, last.Release)
		}
		number = last.Number + 1
	}
	known := slices.ContainsFunc(state.Rollouts[service], func(r Rollout) bool { return r.Release == release })
	if !known && o.serversKnown != nil && !o.serversKnown() && o.machine.now().Sub(o.machine.startedAt) < listWait {
		return errkind.New(errkind.NoQuorum, "the list of servers is not known yet")
	}
	if !known && o.allHaveRelease(service, release) {
		return errkind.New(errkind.InvalidRequest, "all servers of %q already have release %q", service, release)
	}
	result, err := o.propose(barrierCtx, command{Rollout: &rolloutCommand{
		Step: startRollout, Service: service, Number: number, Release: release, Duration: duration, OrderedAt: time.Now().UnixMilli(),
	}})
	switch {
	case err != nil:
		return err
	case bytes.Equal(result, conflicts):
		return errkind.New(errkind.AlreadyExists, "another rollout of %q was ordered at the same time", service)
	case !bytes.Equal(result, inForce):
		return errkind.New(errkind.NoQuorum, "the leader does not support rollouts yet")
	}
	return nil
}

// accepted reports whether an order is one that was accepted before: it equals the latest rollout, which
// is running or completed, or any one that was ordered within the time for which operators resend an order.
func (o *OperatorAPI) accepted(r *Rollout, latest bool, release string, duration time.Duration) bool {
	if !r.sameOrder(release, duration) {
		return false
	}
	resendTime := o.ackTime
	if resendTime <= 0 {
		resendTime = defaultAckTime
	}
	return latest && (r.Running() || r.Stage.Phase == canary.Completed) || o.machine.now().Sub(r.appliedAt) <= resendTime+resendMargin
}

// allHaveRelease reports whether servers of the service are listed and all of them have the release.
func (o *OperatorAPI) allHaveRelease(service, release string) bool {
	if o.servers == nil {
		return false
	}
	listed := false
	for _, s := range o.servers() {
		if s.Service == service {
			listed = true
			if s.Release != release {
				return false
			}
		}
	}
	return listed
}

// RolloutState returns the latest rollout of a service. Errors are errkind NotFound if none is known, and
// NoQuorum while this replica can't confirm that its state is current.
func (o *OperatorAPI) RolloutState(ctx context.Context, service string) (releasetraffic.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := o.replica.ReadBarrier(ctx); err != nil {
		return releasetraffic.Rollout{}, err
	}
	last := o.machine.State().latestRollout(service)
	if last == nil {
		return releasetraffic.Rollout{}, errkind.New(errkind.NotFound, "no rollout of %q is known", service)
	}
	return last.forVMs(), nil
}

// Rollouts returns the recent rollouts of a service, the newest first. Errors are errkind NotFound if none
// is known, and NoQuorum while this replica can't confirm that its state is current.
func (o *OperatorAPI) Rollouts(ctx context.Context, service string) ([]Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := o.replica.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	all := slices.Clone(o.machine.State().Rollouts[service])
	if len(all) == 0 {
		return nil, errkind.New(errkind.NotFound, "no rollout of %q is known", service)
	}
	slices.Reverse(all)
	return all, nil
}

// serversKnown reports whether the directory has ever had a list of servers.
func (s *Service) serversKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.servers.version > 0
}

// Servers lists the servers in the directory.
func (s *Service) Servers() []fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.servers.list()
}

// entryVMs lists the entry VMs that this replica knows.
func (s *Service) entryVMs() []membership.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.vms.list()
}
