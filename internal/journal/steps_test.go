package journal

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/errkind"

	"gotest.tools/v3/assert"
)

// step is a place in the life of a call at which something fails.
type step int

const (
	beforeClaim step = iota
	afterClaim
	afterSend
	afterAnswer
	afterSettle
	steps
)

// attempt runs a call through the journal as an entry VM does. at is called on the way;
// when it returns false the VM is dead. said is what the caller heard.
func attempt(ctx context.Context, c *Client, runs *int, at func(step) bool) (said errkind.Outcome, answer *Answer) {
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
	_ = claim.Complete(ctx, a) // a settlement that takes long goes on in the background
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

// failure is what happens at a step.
type failure struct {
	name string
	hit  func(b *bench) (alive bool)
}

func failures() []failure {
	return []failure{
		{"entry VM dies", func(*bench) bool { return false }},
		{"entry VM pauses for minutes", func(*bench) bool { time.Sleep(3 * time.Minute); return true }},
		{"leader is away", func(b *bench) bool { b.log.down.Store(true); return true }},
		{"leader's answers are lost", func(b *bench) bool { b.log.lose.Store(true); return true }},
	}
}

// TestFailureAtEveryStep has a call fail at every step in every way, and others retry the
// same request at another VM meanwhile and afterwards: it runs at most once, and who
// hears not-run finds that this attempt never runs it.
func TestFailureAtEveryStep(t *testing.T) {
	for at := beforeClaim; at < steps; at++ {
		for _, f := range failures() {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, testLimits())
				defer b.stop()
				other := NewClient(testLimits().BeginLease, b.direct, b.client.log)
				runs, first := 0, 0
				done := make(chan errkind.Outcome, 1)
				go func() {
					said, _ := attempt(t.Context(), b.client, &first, func(s step) bool { return s != at || f.hit(b) })
					done <- said
				}()
				always := func(step) bool { return true }
				time.Sleep(30 * time.Second)
				b.log.down.Store(false)
				b.log.lose.Store(false)
				time.Sleep(time.Second)
				if at != beforeClaim || f.name != "entry VM pauses for minutes" {
					said, _ := attempt(t.Context(), other, &runs, always)
					assert.Assert(t, said != errkind.NotRun || runs == 0)
				}
				said := <-done
				time.Sleep(10 * time.Minute)
				last, answer := attempt(t.Context(), other, &runs, always)
				assert.Assert(t, first+runs <= 1, "%s at step %d: ran %d times", f.name, at, first+runs)
				assert.Assert(t, said != errkind.NotRun || first == 0, "%s at step %d: not-run was false", f.name, at)
				if last == errkind.Completed {
					assert.Equal(t, first+runs, 1, "%s at step %d", f.name, at)
					assert.Equal(t, answer.Status, 201)
				} else {
					assert.Equal(t, last, errkind.Unknown, "%s at step %d", f.name, at)
				}
				assert.NilError(t, b.client.Wait(t.Context()))
			})
		}
	}
}
