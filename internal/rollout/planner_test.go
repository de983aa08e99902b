package rollout

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"eelgrasshollow/internal/fleet"

	"gotest.tools/v3/assert"
)

const model = "m"

// world plays servers that load weights, with orders that may be carried out late.
type world struct {
	now     time.Time
	planner *Planner
	servers []fleet.Server
	loading map[string]time.Time
	target  map[string]int64
	seq     map[string]int64
	late    []Call // orders without an answer, carried out by the test
	loseAll bool
	most    int
	load    time.Duration
}

func newWorld(n int) *world {
	w := &world{load: 2 * time.Second, now: time.Unix(0, 0), planner: NewPlanner(DefaultConfig()), loading: map[string]time.Time{}, target: map[string]int64{}, seq: map[string]int64{}}
	for i := range n {
		w.servers = append(w.servers, fleet.Server{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint("a", i), Weights: []fleet.Weights{{Model: model, Version: 1}}})
	}
	return w
}

func (w *world) accept(c Call) bool {
	key := c.Server.Key()
	if _, busy := w.loading[key]; busy || w.seq[key] != c.Sequence {
		return false
	}
	w.seq[key]++
	w.loading[key], w.target[key] = w.now.Add(w.load), c.Version
	return true
}

func (w *world) step(wanted int64) {
	w.now = w.now.Add(50 * time.Millisecond)
	for i := range w.servers {
		key := w.servers[i].Key()
		if end, ok := w.loading[key]; ok && !w.now.Before(end) {
			delete(w.loading, key)
			w.servers[i].Weights = []fleet.Weights{{Model: model, Version: w.target[key]}}
		}
	}
	for _, c := range w.planner.Step(w.now, w.servers, map[string]int64{model: wanted}) {
		w.look(c)
	}
	w.most = max(w.most, len(w.loading))
}

func (w *world) look(c Call) {
	key := c.Server.Key()
	_, busy := w.loading[key]
	order, due := w.planner.HandleReport(w.now, c, Report{Weights: c.Server.Weights, Busy: busy, Sequence: w.seq[key]}, nil)
	if !due {
		return
	}
	if w.loseAll {
		w.late = append(w.late, order)
		w.planner.HandleOrderResult(w.now, order, false)
		return
	}
	w.planner.HandleOrderResult(w.now, order, w.accept(order))
}

func (w *world) versions() map[int64]int {
	count := map[int64]int{}
	for _, s := range w.servers {
		count[s.Weights[0].Version]++
	}
	return count
}

func TestAllServersGetTheNewestWeightsTwoAtATime(t *testing.T) {
	w := newWorld(9)
	for range 300 { // 15 s
		w.step(2)
	}
	assert.DeepEqual(t, w.versions(), map[int64]int{2: 9})
	assert.Equal(t, w.most, 2)
}

func TestVersionNamedDuringARolloutTakesOver(t *testing.T) {
	w := newWorld(9)
	for range 60 {
		w.step(2)
	}
	for range 400 {
		w.step(3)
	}
	assert.DeepEqual(t, w.versions(), map[int64]int{3: 9})
}

func TestLargeFleetUsesItsShare(t *testing.T) {
	w := newWorld(60)
	for range 400 {
		w.step(2)
	}
	assert.DeepEqual(t, w.versions(), map[int64]int{2: 60})
	assert.Equal(t, w.most, 12)
}

// Pattern: a version is named before the one before it is in place everywhere. The
// servers furthest behind must not wait for those that only just got newer weights.
func TestServersFurthestBehindGoFirst(t *testing.T) {
	w := newWorld(9)
	w.load = 2700 * time.Millisecond // 1.9 s, and runs of some 0.8 s finish first
	wanted := int64(2)
	for i := range 480 { // 24 s, new weights every 6 s
		if i%120 == 0 {
			wanted = int64(2 + i/120)
		}
		w.step(wanted)
		if i >= 300 { // 15 s after version 2 was named
			assert.Equal(t, w.versions()[1], 0, "at step %d", i)
		}
	}
}

// Pattern: orders get no answer and are carried out seconds later, after newer ones.
func TestLateOrderAfterANewerOneHasNoEffect(t *testing.T) {
	w := newWorld(1)
	w.loseAll = true
	for range 20 {
		w.step(2)
	}
	w.loseAll = false
	assert.Assert(t, len(w.late) > 0)
	for range 100 {
		w.step(3)
	}
	assert.DeepEqual(t, w.versions(), map[int64]int{3: 1})
	for _, order := range w.late {
		assert.Assert(t, !w.accept(order), "a late order for %d took effect", order.Version)
	}
}

func TestServerOutOfReachHoldsNobodyUp(t *testing.T) {
	w := newWorld(3)
	dead := w.servers[0].Key()
	for range 400 {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, c := range w.planner.Step(w.now, w.servers, map[string]int64{model: 2}) {
			if c.Server.Key() == dead {
				w.planner.HandleReport(w.now, c, Report{}, errors.New("unreachable"))
				continue
			}
			w.look(c)
		}
		for i := range w.servers {
			if end, ok := w.loading[w.servers[i].Key()]; ok && !w.now.Before(end) {
				delete(w.loading, w.servers[i].Key())
				w.servers[i].Weights = []fleet.Weights{{Model: model, Version: 2}}
			}
		}
	}
	assert.DeepEqual(t, w.versions(), map[int64]int{1: 1, 2: 2})
}
