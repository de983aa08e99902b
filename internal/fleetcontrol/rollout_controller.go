package fleetcontrol

import (
	"bytes"
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/canary"
	"eelgrasshollow/internal/membership"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// judgeInterval is the time between two evaluations of a running rollout.
const judgeInterval = 100 * time.Millisecond

// RolloutBounds limit the requests that a bad release may get.
type RolloutBounds struct {
	// ExposureShare and ExposureSlack are a share of all requests of the service from the order to the
	// deadline, and a number of requests in addition.
	ExposureShare, ExposureSlack float64
}

// defaultRolloutBounds apply if the settings state none.
var defaultRolloutBounds = RolloutBounds{ExposureShare: 0.1, ExposureSlack: 50}

// rolloutController judges the running rollouts and proposes their next stages. It is active only on the
// leader.
type rolloutController struct {
	service *Service
	bounds  RolloutBounds
	log     *zap.Logger

	term  uint64
	plans map[string]*activePlan // by service
}

// activePlan is the plan of a running rollout.
type activePlan struct {
	number uint64
	// stageNumber is that of the committed stage from which the plan continues.
	stageNumber uint64
	judge       *canary.Judge
	plan        *canary.Plan
	suspected   bool // as of the last evaluation
	decision    canary.Decision
}

func newRolloutController(s *Service, bounds RolloutBounds, log *zap.Logger) *rolloutController {
	if bounds.ExposureShare <= 0 {
		bounds = defaultRolloutBounds
	}
	return &rolloutController{service: s, bounds: bounds, log: log, plans: map[string]*activePlan{}}
}

// RunRollouts judges the running rollouts and proposes their next stages while this replica leads, until ctx
// ends.
func (s *Service) RunRollouts(ctx context.Context, bounds RolloutBounds, log *zap.Logger) {
	newRolloutController(s, bounds, log).run(ctx)
}

// run evaluates the rollouts until ctx ends.
func (c *rolloutController) run(ctx context.Context) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.step(ctx)
		}
	}
}

// step evaluates the running rollouts once, if this replica leads.
func (c *rolloutController) step(ctx context.Context) {
	state := c.service.machine.State()
	running := false
	for service := range state.Rollouts {
		running = running || state.latestRollout(service).Running()
	}
	if !running {
		if len(state.Rollouts) > 0 {
			c.service.rollouts.clear()
		}
		clear(c.plans)
		return
	}
	term, leads := c.service.replica.Leading()
	if !leads {
		return // the plans are kept: if the lease is confirmed again in the same term, no other replica has led since
	}
	if term != c.term {
		clear(c.plans)
		c.term = term
	}
	vms, settled := c.service.knownVMs()
	// A proposal takes up to proposeTimeout, so one service must not wait for those before it.
	var wg sync.WaitGroup
	for service := range state.Rollouts {
		if r := state.latestRollout(service); r.Running() {
			active := c.follow(state, r)
			wg.Go(func() { c.evaluate(ctx, active, r, vms, settled) })
		}
	}
	wg.Wait()
}

// follow returns the plan of a running rollout at its current stage.
func (c *rolloutController) follow(state *State, r *Rollout) *activePlan {
	elapsed := c.service.now().Sub(r.appliedAt)
	active := c.plans[r.Service]
	if active == nil || active.number != r.Number {
		active = &activePlan{number: r.Number, judge: canary.NewJudge(canary.Config{}), plan: canary.NewPlan(canary.PlanConfig{
			Duration: r.Duration, ExposureShare: c.bounds.ExposureShare, ExposureSlack: c.bounds.ExposureSlack, LongestTimeout: state.longestTimeout(r.Service),
		})}
		active.resume(elapsed, r)
		c.plans[r.Service] = active
		c.log.Info("judging a rollout", zap.String("service", r.Service), zap.String("to", r.Release), zap.Uint64("number", r.Number),
			zap.Duration("elapsed", elapsed), zap.Uint64("stage", r.StageNumber), zap.Uint64("term", c.term))
	}
	if active.stageNumber != r.StageNumber { // a proposal was committed after its acknowledgement was lost
		active.resume(elapsed, r)
	}
	return active
}

// evaluate judges a running rollout and proposes its next stage, if that differs. It may run for several
// services at the same time.
func (c *rolloutController) evaluate(ctx context.Context, active *activePlan, r *Rollout, vms []membership.VM, settled bool) {
	now := c.service.now()
	elapsed := now.Sub(r.appliedAt)
	evidence := c.service.rollouts.evidence(r, vms, settled, now)
	verdict := active.judge.Evaluate(evidence)
	stage := active.plan.Step(elapsed, evidence, verdict)
	if verdict.Suspected != active.suspected || verdict.Decision != active.decision {
		active.suspected, active.decision = verdict.Suspected, verdict.Decision
		c.log.Info("release judged", c.fields(r, elapsed, evidence, verdict)...)
	}
	if stage.Equal(r.Stage) {
		return
	}
	command := &rolloutCommand{Step: stageRollout, Service: r.Service, Number: r.Number, Stage: stage, StageNumber: r.StageNumber}
	switch stage.Phase {
	case canary.Completed:
		command.Step = completeRollout
	case canary.RolledBack:
		command.Step = rollBackRollout
	case canary.Canary, canary.Ramp, canary.All:
	}
	if !c.propose(ctx, command, c.fields(r, elapsed, evidence, verdict)) {
		active.resume(elapsed, r) // the next steps must not build on a stage that is not in force
		return
	}
	active.stageNumber = r.StageNumber + 1
}

// resume makes the plan continue from the stage that is in force.
func (a *activePlan) resume(elapsed time.Duration, r *Rollout) {
	a.plan.Resume(elapsed, r.Stage)
	a.stageNumber = r.StageNumber
}

// propose commits a stage and reports whether it is in force. One that is not is decided again at the next
// evaluation.
func (c *rolloutController) propose(ctx context.Context, r *rolloutCommand, fields []zap.Field) bool {
	data, err := command{Rollout: r}.encode()
	if err != nil {
		c.log.Error("stage of a rollout not encoded", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := c.service.now()
	result, err := c.service.replica.Propose(ctx, Namespace, data)
	committed := err == nil && bytes.Equal(result.Data, inForce)
	c.log.Info("rollout stage proposed", append(fields, zap.Stringer("phase", r.Stage.Phase), zap.Any("shares", r.Stage.Shares),
		zap.Float64("default_share", r.Stage.Default), zap.Float64("server_share", r.Stage.ServerShare), zap.String("reason", r.Stage.Reason),
		zap.Bool("committed", committed), zap.Duration("took", c.service.now().Sub(start)), zap.Error(err))...)
	return committed
}

// fields returns the log fields of an evaluation.
func (c *rolloutController) fields(r *Rollout, elapsed time.Duration, e canary.Evidence, v canary.Verdict) []zap.Field {
	oldSum, newSum := sumCounts(e.Old), sumCounts(e.New)
	return []zap.Field{
		zap.String("service", r.Service), zap.String("to", r.Release), zap.Uint64("number", r.Number), zap.Duration("elapsed", elapsed),
		zap.Stringer("verdict", v.Decision), zap.Bool("suspected", v.Suspected), zap.String("verdict_reason", v.Reason),
		zap.Uint32("old_requests", oldSum.Requests), zap.Uint32("old_failures", oldSum.Failures),
		zap.Uint32("new_requests", newSum.Requests), zap.Uint32("new_failures", newSum.Failures),
		zap.Duration("evidence_age", e.Age), zap.Float64("reported_share", e.ReportedShare), zap.Bool("drained", e.Drained),
	}
}

func sumCounts(byRoute map[string]canary.Counts) canary.Counts {
	var sum canary.Counts
	for _, counts := range byRoute {
		sum.Merge(counts)
	}
	return sum
}

// longestTimeout returns the longest timeout of the routes that use a service.
func (s *State) longestTimeout(service string) time.Duration {
	longest := time.Duration(0)
	config := s.Config()
	if config == nil {
		return longest
	}
	for _, route := range config.Routes {
		for _, share := range route.Split {
			if share.Service == service {
				longest = max(longest, route.Timeout)
			}
		}
	}
	return longest
}

// rolloutsDesc describes the gauge of the rollouts by state.
var rolloutsDesc = prometheus.NewDesc("eelgrass_control_rollouts", "Services by the phase of their latest rollout, as this replica knows it.", []string{"phase"}, nil)

// rolloutMetrics collects the gauge of the rollouts.
type rolloutMetrics struct{ machine *Machine }

// Describe implements prometheus.Collector.
func (rolloutMetrics) Describe(d chan<- *prometheus.Desc) { d <- rolloutsDesc }

// Collect implements prometheus.Collector.
func (r rolloutMetrics) Collect(m chan<- prometheus.Metric) {
	state := r.machine.State()
	services := map[canary.Phase]int{}
	for service := range state.Rollouts {
		services[state.latestRollout(service).Stage.Phase]++
	}
	for phase, n := range services {
		m <- prometheus.MustNewConstMetric(rolloutsDesc, prometheus.GaugeValue, float64(n), phase.String())
	}
}
