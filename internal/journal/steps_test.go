package journal

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/errkind"

	"gotest.tools/v3/assert"
)

// step is a point of a call at which a fault is injected.
type step int

const (
	beforeClaim step = iota
	afterClaim
	afterSend
	afterAnswer
	afterSettle
	stepCount
)

// attempt runs a call through the journal as an entry VM does and counts the run in runs. at
// is called at each step; false means that the VM has failed and the call ends there. attempt
// returns the outcome and the answer that the client receives.
func attempt(ctx context.Context, c *Client, runs *int, at func(step) bool) (outcome errkind.Outcome, answer *Answer) {
	if !at(beforeClaim) {
		return errkind.NoOutcome, nil
	}
	claim, stored, err := c.Claim(ctx, request("order"))
	if err != nil || stored != nil {
		return outcomeOf(err), stored
	}
	if !at(afterClaim) {
		return errkind.NoOutcome, nil
	}
	if err := claim.Begin(); err != nil {
		return outcomeOf(err), nil
	}
	*runs++
	if !at(afterSend) || !at(afterAnswer) {
		return errkind.NoOutcome, nil
	}
	a := Answer{Status: 201}
	_ = claim.Complete(ctx, a) // a slow settlement continues in the background
	if !at(afterSettle) {
		return errkind.NoOutcome, nil
	}
	return errkind.Completed, &a
}

func outcomeOf(err error) errkind.Outcome {
	if err == nil {
		return errkind.Completed
	}
	return errkind.Of(err).Outcome
}

// fault is a fault that can be injected at a step. inject reports whether the entry VM still
// runs.
type fault struct {
	name   string
	inject func(fx *fixture) (alive bool)
}

func faults() []fault {
	return []fault{
		{"entry VM dies", func(*fixture) bool { return false }},
		{"entry VM pauses for minutes", func(*fixture) bool { time.Sleep(3 * time.Minute); return true }},
		{"leader is unavailable", func(fx *fixture) bool { fx.log.unavailable.Store(true); return true }},
		{"leader's responses are lost", func(fx *fixture) bool { fx.log.loseResponses.Store(true); return true }},
	}
}

// TestFailureAtEveryStep injects every fault at every step of a call, and retries the request
// at another VM meanwhile and afterwards. The request must run at most once, and an attempt
// with outcome not-run must never run it.
func TestFailureAtEveryStep(t *testing.T) {
	for at := beforeClaim; at < stepCount; at++ {
		for _, f := range faults() {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, testLimits())
				defer fx.stop()
				other := NewClient(testLimits().BeginLease, fx.caller, fx.client.log)
				otherRuns, firstRuns := 0, 0
				done := make(chan errkind.Outcome, 1)
				go func() {
					outcome, _ := attempt(t.Context(), fx.client, &firstRuns, func(s step) bool { return s != at || f.inject(fx) })
					done <- outcome
				}()
				noFault := func(step) bool { return true }
				time.Sleep(30 * time.Second)
				fx.log.unavailable.Store(false)
				fx.log.loseResponses.Store(false)
				time.Sleep(time.Second)
				if at != beforeClaim || f.name != "entry VM pauses for minutes" {
					outcome, _ := attempt(t.Context(), other, &otherRuns, noFault)
					assert.Assert(t, outcome != errkind.NotRun || otherRuns == 0)
				}
				outcome := <-done
				time.Sleep(10 * time.Minute)
				last, answer := attempt(t.Context(), other, &otherRuns, noFault)
				assert.Assert(t, firstRuns+otherRuns <= 1, "%s at step %d: ran %d times", f.name, at, firstRuns+otherRuns)
				assert.Assert(t, outcome != errkind.NotRun || firstRuns == 0, "%s at step %d: ran in spite of outcome not-run", f.name, at)
				if last == errkind.Completed {
					assert.Equal(t, firstRuns+otherRuns, 1, "%s at step %d", f.name, at)
					assert.Equal(t, answer.Status, 201)
				} else {
					assert.Equal(t, last, errkind.Unknown, "%s at step %d", f.name, at)
				}
				assert.NilError(t, fx.client.Wait(t.Context()))
			})
		}
	}
}
