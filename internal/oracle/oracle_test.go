package oracle

import (
	"strings"
	"testing"
	"time"

	_ "eelgrasshollow/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestAnswerDependsOnRequest(t *testing.T) {
	a := Answer("m", []byte("one"), 4)
	assert.Equal(t, a, Answer("m", []byte("one"), 4))
	assert.Assert(t, a != Answer("m", []byte("two"), 4))
	assert.Assert(t, a != Answer("n", []byte("one"), 4))
	assert.Assert(t, strings.HasPrefix(Answer("m", []byte("one"), 5), a))
}

func TestCheckIntervalsFindsAnOverrun(t *testing.T) {
	s := time.Second
	trace := []Interval{{0, s, 100}, {s, 2 * s, 100}, {s, 2 * s, 100}}
	_, broken := CheckIntervals(100, 100, trace)
	assert.Assert(t, !broken) // 300 tokens in 2 s; the bound is 100 + 2 × 100
	over, broken := CheckIntervals(100, 99, trace)
	assert.Assert(t, broken)
	assert.DeepEqual(t, over, Overrun{From: 0, To: 2 * s, Tokens: 2})
}

// TestCheckIntervalsHasNoFalsePositives checks traces that a token bucket admitted. None may be
// reported as an overrun, however imprecisely the client observes the time of each admission.
func TestCheckIntervalsHasNoFalsePositives(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const rate, burst = 100.0, 500.0
		level, at := burst, time.Duration(0)
		var trace []Interval
		for range rapid.IntRange(1, 60).Draw(r, "requests") {
			gap := time.Duration(rapid.IntRange(0, 2000).Draw(r, "gap")) * time.Millisecond
			at += gap
			level = min(burst, level+rate*gap.Seconds())
			tokens := int64(rapid.IntRange(1, 400).Draw(r, "tokens"))
			if float64(tokens) > level {
				continue
			}
			level -= float64(tokens)
			before := time.Duration(rapid.IntRange(0, 500).Draw(r, "before")) * time.Millisecond
			after := time.Duration(rapid.IntRange(0, 500).Draw(r, "after")) * time.Millisecond
			trace = append(trace, Interval{at - before, at + after, tokens})
		}
		over, broken := CheckIntervals(rate, burst, trace)
		assert.Assert(r, !broken, "%+v", over)
	})
}

func TestCheckRuns(t *testing.T) {
	assert.Equal(t, CheckRuns(1, 1, 1, true), "")
	assert.Equal(t, CheckRuns(0, 2, 0, false), "")
	assert.Equal(t, CheckRuns(2, 0, 2, true), "ran more than once")
	assert.Equal(t, CheckRuns(1, 2, 0, false), "ran although every attempt was answered not-run")
	assert.Equal(t, CheckRuns(0, 0, 1, true), "was answered as completed but never ran")
}
