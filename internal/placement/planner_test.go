package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"eelgrasshollow/internal/engineapi"
	_ "eelgrasshollow/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const (
	stepInterval = 500 * time.Millisecond
	loadTime     = 2 * time.Second
)

// fakeEngine executes orders. It runs requests until loadTime after it last received one.
type fakeEngine struct {
	name           string
	versions       map[string]string
	adapters       []string
	role           string
	loading        string // model or adapter being loaded, or ""
	loadingVersion string // weights version being loaded
	loadingUntil   time.Time
	busyUntil      time.Time
	dead           bool
}

// fakeFleet runs a Planner against fake engines and records the extremes of running loads
// and serving engines.
type fakeFleet struct {
	t          testReporter
	engines    []*fakeEngine
	planner    *Planner
	models     []Model
	now        time.Time
	maxLoads   int               // greatest number of concurrent loads
	minServing int               // least number of engines that served at the same time
	loseOrder  func(Action) bool // reports whether the order does not arrive
}

// testReporter is implemented by testing.T and rapid.T.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newFakeFleet(t testReporter, n int, version string) *fakeFleet {
	f := &fakeFleet{t: t, planner: NewPlanner(DefaultConfig()), now: start, minServing: n}
	for i := range n {
		e := &fakeEngine{name: fmt.Sprintf("e%d", i), versions: map[string]string{}, role: "any"}
		if version != "" {
			e.versions["m"] = version
		}
		f.engines = append(f.engines, e)
	}
	return f
}

// state returns the fleet as the planner sees it; the report of a dead engine is an hour old.
func (f *fakeFleet) state() FleetState {
	state := FleetState{Models: f.models, Store: "w:1"}
	for _, e := range f.engines {
		reportedAt := f.now
		if e.dead {
			reportedAt = start.Add(-time.Hour)
		}
		l := engineapi.Load{Role: e.role, Versions: e.versions, Adapters: e.adapters}
		if e.loading != "" {
			l.Loading = []string{e.loading}
		}
		if e.busyUntil.After(f.now) {
			l.Running = 3
		}
		state.Endpoints = append(state.Endpoints, Endpoint{Name: e.name, Models: []string{"m"}, Load: l, ReportedAt: reportedAt})
	}
	return state
}

// step advances the time by stepInterval: loads finish, serving engines receive requests, and
// the planner's orders are executed.
func (f *fakeFleet) step() {
	f.t.Helper()
	f.now = f.now.Add(stepInterval)
	loads, serving := 0, 0
	for _, e := range f.engines {
		if e.loading != "" && !e.dead && !f.now.Before(e.loadingUntil) {
			if e.loading == "m" {
				e.versions = map[string]string{"m": e.loadingVersion}
			} else {
				e.adapters = append(e.adapters, e.loading)
			}
			e.loading = ""
		}
		if !e.dead && e.role != engineapi.RoleDrain && e.versions["m"] != "" {
			serving++
			e.busyUntil = f.now.Add(loadTime)
		}
		if e.loading != "" && !e.dead {
			loads++
		}
	}
	f.maxLoads, f.minServing = max(f.maxLoads, loads), min(f.minServing, serving)
	for _, a := range f.planner.Step(f.now, f.state()) {
		if f.loseOrder != nil && f.loseOrder(a) {
			f.planner.OrderFailed(a.Endpoint)
			continue
		}
		f.execute(a)
	}
}

// execute executes an order. It fails the test if the order loads weights on an engine that
// serves.
func (f *fakeFleet) execute(a Action) {
	f.t.Helper()
	i := slices.IndexFunc(f.engines, func(e *fakeEngine) bool { return e.name == a.Endpoint })
	e := f.engines[i]
	switch a.Order.Op {
	case engineapi.OrderSetRole:
		e.role = a.Order.Role
	case engineapi.OrderLoadModel:
		if e.versions["m"] != "" && (e.role != engineapi.RoleDrain || e.busyUntil.After(f.now)) {
			f.t.Fatalf("%s loads weights while it serves", e.name)
		}
		e.loading, e.loadingVersion, e.loadingUntil = "m", a.Order.Version, f.now.Add(loadTime)
	case engineapi.OrderLoadAdapter:
		e.loading, e.loadingUntil = a.Order.Adapter, f.now.Add(loadTime)
	}
}

// countServing counts the engines that serve the version.
func (f *fakeFleet) countServing(version string) int {
	n := 0
	for _, e := range f.engines {
		if !e.dead && e.versions["m"] == version && e.role != engineapi.RoleDrain {
			n++
		}
	}
	return n
}

func TestRolloutKeepsRequiredEndpointsServing(t *testing.T) {
	f := newFakeFleet(t, 9, "v1")
	f.models = []Model{{Name: "m", Version: "v2", MinEndpoints: 7}}
	for range 200 {
		f.step()
	}
	assert.Equal(t, f.countServing("v2"), 9)
	assert.Assert(t, f.minServing >= 7, "%d serving", f.minServing)
	assert.Assert(t, f.maxLoads <= 2, "%d concurrent loads", f.maxLoads)
}

func TestRolloutIsBlockedIfAllEndpointsAreRequired(t *testing.T) {
	f := newFakeFleet(t, 3, "v1")
	f.models = []Model{{Name: "m", Version: "v2", MinEndpoints: 3}}
	for range 50 {
		f.step()
	}
	assert.Equal(t, f.countServing("v1"), 3)
	assert.DeepEqual(t, f.planner.Blocked(), []string{"m"})
}

func TestDemandLoadsModelOnMoreEndpoints(t *testing.T) {
	f := newFakeFleet(t, 6, "")
	f.engines[0].versions["m"] = "v1"
	f.models = []Model{{Name: "m", Version: "v1", MinEndpoints: 1}}
	stepUnderLoad := func() {
		state := f.state()
		state.Endpoints[0].Load.Running = 20
		f.now = f.now.Add(stepInterval)
		for _, a := range f.planner.Step(f.now, state) {
			f.execute(a)
		}
	}
	for range 10 {
		stepUnderLoad()
	}
	required := f.planner.RequiredEndpoints(f.models[0])
	assert.Assert(t, required >= 3, "%d required", required)
	for range 20 {
		f.step()
	}
	assert.Assert(t, f.countServing("v1") >= required)
	assert.Assert(t, f.maxLoads <= 2)
}

func TestAdapterLoadsStayWithinMaxLoads(t *testing.T) {
	f := newFakeFleet(t, 5, "v1")
	f.models = []Model{{Name: "m", Version: "v1", Adapters: []string{"a1", "a2"}}}
	for range 100 {
		f.step()
	}
	for _, e := range f.engines {
		assert.Equal(t, len(e.adapters), 2)
	}
	assert.Assert(t, f.maxLoads <= 2)
}

func TestFailedOrdersAreSentAgain(t *testing.T) {
	f := newFakeFleet(t, 3, "v1")
	f.models = []Model{{Name: "m", Version: "v2", MinEndpoints: 1}}
	f.loseOrder = func(a Action) bool { return a.Endpoint == "e1" && f.now.Before(start.Add(10*time.Second)) }
	for range 100 {
		f.step()
	}
	assert.Equal(t, f.countServing("v2"), 3)
}

// TestLostDrainIsDroppedAfterCrash loses the order to drain an endpoint and then crashes
// another engine, so that the endpoint is required. The drain must not be ordered again.
func TestLostDrainIsDroppedAfterCrash(t *testing.T) {
	f := newFakeFleet(t, 6, "v1")
	f.models = []Model{{Name: "m", Version: "v2", MinEndpoints: 4}}
	f.loseOrder = func(a Action) bool { return a.Endpoint == "e0" }
	f.step() // drains e0 and e1; the order to e0 is lost
	f.loseOrder = nil
	f.engines[5].dead = true
	f.step()
	assert.Equal(t, f.countServing("v1"), 4)
	for range 100 {
		f.step()
	}
	assert.Equal(t, f.countServing("v2"), 5)
}

// TestInvariantsUnderFaults changes the leader, sets a new version during the rollout, crashes
// an engine and loses orders at random steps.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeFleet(t, 6, "v1")
		f.models = []Model{{Name: "m", Version: "v2", MinEndpoints: rapid.IntRange(1, 4).Draw(t, "min")}}
		dead := 0
		for range 150 {
			switch rapid.IntRange(0, 30).Draw(t, "fault") {
			case 0:
				f.planner = NewPlanner(DefaultConfig())
			case 1:
				f.models[0].Version = "v3"
			case 2:
				if e := f.engines[rapid.IntRange(0, 5).Draw(t, "engine")]; dead == 0 && !e.dead {
					e.dead, e.role, e.loading = true, "any", ""
					dead++
				}
			}
			lose := rapid.IntRange(0, 9).Draw(t, "lose") == 0
			f.loseOrder = func(Action) bool { return lose }
			before := f.countServing("v1") + f.countServing("v2") + f.countServing("v3")
			f.step()
			after := f.countServing("v1") + f.countServing("v2") + f.countServing("v3")
			if after < before && after < f.planner.RequiredEndpoints(f.models[0]) {
				t.Fatalf("%d endpoints serve, %d are required", after, f.planner.RequiredEndpoints(f.models[0]))
			}
		}
		f.loseOrder = nil
		for range 300 {
			f.step()
		}
		if got := f.countServing(f.models[0].Version); got < 6-dead {
			t.Fatalf("%d of %d endpoints serve the configured version", got, 6-dead)
		}
		if f.maxLoads > DefaultConfig().MaxLoads {
			t.Fatalf("%d concurrent loads", f.maxLoads)
		}
	})
}

func TestSingleIdleEndpointGetsNewWeights(t *testing.T) {
	f := newFakeFleet(t, 1, "v1")
	f.models = []Model{{Name: "m", Version: "v2"}}
	for range 50 {
		f.now = f.now.Add(stepInterval)
		if e := f.engines[0]; e.loading != "" && !f.now.Before(e.loadingUntil) {
			e.versions, e.loading = map[string]string{"m": e.loadingVersion}, ""
		}
		for _, a := range f.planner.Step(f.now, f.state()) {
			f.execute(a)
		}
	}
	assert.Equal(t, f.countServing("v2"), 1)
}
