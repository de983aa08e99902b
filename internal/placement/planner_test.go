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
	stepEvery = 500 * time.Millisecond
	loadTime  = 2 * time.Second
)

// fakeEngine obeys orders; its requests end two seconds after the last new one.
type fakeEngine struct {
	name     string
	versions map[string]string
	adapters []string
	role     string
	loading  string
	version  string
	until    time.Time
	busyTill time.Time
	dead     bool
}

type fakeFleet struct {
	t       fataler
	engines []*fakeEngine
	planner *Planner
	models  []Model
	now     time.Time
	most    int // loads at a time
	least   int // engines that served at once
	lost    func(Action) bool
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newFakeFleet(t fataler, n int, version string) *fakeFleet {
	f := &fakeFleet{t: t, planner: NewPlanner(DefaultConfig()), now: start, least: n}
	for i := range n {
		e := &fakeEngine{name: fmt.Sprintf("e%d", i), versions: map[string]string{}, role: "any"}
		if version != "" {
			e.versions["m"] = version
		}
		f.engines = append(f.engines, e)
	}
	return f
}

func (f *fakeFleet) world() FleetState {
	w := FleetState{Models: f.models, Store: "w:1"}
	for _, e := range f.engines {
		seen := f.now
		if e.dead {
			seen = start.Add(-time.Hour)
		}
		l := engineapi.Load{Role: e.role, Versions: e.versions, Adapters: e.adapters}
		if e.loading != "" {
			l.Loading = []string{e.loading}
		}
		if e.busyTill.After(f.now) {
			l.Running = 3
		}
		w.Endpoints = append(w.Endpoints, Endpoint{Name: e.name, Models: []string{"m"}, Load: l, ReportedAt: seen})
	}
	return w
}

// step lets half a second pass: requests arrive where they may, the planner's orders
// are obeyed, and the invariants are checked.
func (f *fakeFleet) step() {
	f.t.Helper()
	f.now = f.now.Add(stepEvery)
	loads, serving := 0, 0
	for _, e := range f.engines {
		if e.loading != "" && !e.dead && !f.now.Before(e.until) {
			if e.loading == "m" {
				e.versions = map[string]string{"m": e.version}
			} else {
				e.adapters = append(e.adapters, e.loading)
			}
			e.loading = ""
		}
		if !e.dead && e.role != engineapi.RoleDrain && e.versions["m"] != "" {
			serving++
			e.busyTill = f.now.Add(loadTime)
		}
		if e.loading != "" && !e.dead {
			loads++
		}
	}
	f.most, f.least = max(f.most, loads), min(f.least, serving)
	for _, a := range f.planner.Step(f.now, f.world()) {
		if f.lost != nil && f.lost(a) {
			f.planner.OrderFailed(a.Endpoint)
			continue
		}
		f.obey(a)
	}
}

func (f *fakeFleet) obey(a Action) {
	f.t.Helper()
	i := slices.IndexFunc(f.engines, func(e *fakeEngine) bool { return e.name == a.Endpoint })
	e := f.engines[i]
	switch a.Order.Op {
	case engineapi.OrderSetRole:
		e.role = a.Order.Role
	case engineapi.OrderLoadModel:
		if e.versions["m"] != "" && (e.role != engineapi.RoleDrain || e.busyTill.After(f.now)) {
			f.t.Fatalf("%s is changed while it serves", e.name)
		}
		e.loading, e.version, e.until = "m", a.Order.Version, f.now.Add(loadTime)
	case engineapi.OrderLoadAdapter:
		e.loading, e.until = a.Order.Adapter, f.now.Add(loadTime)
	}
}

func (f *fakeFleet) on(version string) int {
	n := 0
	for _, e := range f.engines {
		if !e.dead && e.versions["m"] == version && e.role != engineapi.RoleDrain {
			n++
		}
	}
	return n
}

func TestRollNeverGoesBelowNeed(t *testing.T) {
	f := newFakeFleet(t, 9, "v1")
	f.models = []Model{{Name: "m", Version: "v2", MinEndpoints: 7}}
	for range 200 {
		f.step()
	}
	assert.Equal(t, f.on("v2"), 9)
	assert.Assert(t, f.least >= 7, "least %d", f.least)
	assert.Assert(t, f.most <= 2, "most %d", f.most)
}

func TestRollWaitsWithoutASpare(t *testing.T) {
	f := newFakeFleet(t, 3, "v1")
	f.models = []Model{{Name: "m", Version: "v2", MinEndpoints: 3}}
	for range 50 {
		f.step()
	}
	assert.Equal(t, f.on("v1"), 3)
	assert.DeepEqual(t, f.planner.Blocked(), []string{"m"})
}

func TestDemandAsksForCopies(t *testing.T) {
	f := newFakeFleet(t, 6, "")
	f.engines[0].versions["m"] = "v1"
	f.models = []Model{{Name: "m", Version: "v1", MinEndpoints: 1}}
	busy := func() {
		w := f.world()
		w.Endpoints[0].Load.Running = 20
		f.now = f.now.Add(stepEvery)
		for _, a := range f.planner.Step(f.now, w) {
			f.obey(a)
		}
	}
	for range 10 {
		busy()
	}
	want := f.planner.RequiredEndpoints(f.models[0])
	assert.Assert(t, want >= 3, "need %d", want)
	for range 20 {
		f.step()
	}
	assert.Assert(t, f.on("v1") >= want)
	assert.Assert(t, f.most <= 2)
}

func TestAdaptersAreLoadedWithinTheLimit(t *testing.T) {
	f := newFakeFleet(t, 5, "v1")
	f.models = []Model{{Name: "m", Version: "v1", Adapters: []string{"a1", "a2"}}}
	for range 100 {
		f.step()
	}
	for _, e := range f.engines {
		assert.Equal(t, len(e.adapters), 2)
	}
	assert.Assert(t, f.most <= 2)
}

func TestOrdersThatCannotBeGivenYetAreGivenLater(t *testing.T) {
	f := newFakeFleet(t, 3, "v1")
	f.models = []Model{{Name: "m", Version: "v2", MinEndpoints: 1}}
	f.lost = func(a Action) bool { return a.Endpoint == "e1" && f.now.Before(start.Add(10*time.Second)) }
	for range 100 {
		f.step()
	}
	assert.Equal(t, f.on("v2"), 3)
}

// A drain whose order was lost is not ordered again once a crash has taken the spare.
func TestLostDrainIsDroppedAfterACrash(t *testing.T) {
	f := newFakeFleet(t, 6, "v1")
	f.models = []Model{{Name: "m", Version: "v2", MinEndpoints: 4}}
	f.lost = func(a Action) bool { return a.Endpoint == "e0" }
	f.step() // e0 and e1 are to drain; e0 never hears of it
	f.lost = nil
	f.engines[5].dead = true
	f.step()
	assert.Equal(t, f.on("v1"), 4)
	for range 100 {
		f.step()
	}
	assert.Equal(t, f.on("v2"), 5)
}

// Crashes, a new version in mid-roll and a change of the sender come at any step.
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
			f.lost = func(Action) bool { return lose }
			before := f.on("v1") + f.on("v2") + f.on("v3")
			f.step()
			after := f.on("v1") + f.on("v2") + f.on("v3")
			if after < before && after < f.planner.RequiredEndpoints(f.models[0]) {
				t.Fatalf("taken down to %d of %d needed", after, f.planner.RequiredEndpoints(f.models[0]))
			}
		}
		f.lost = nil
		for range 300 {
			f.step()
		}
		if got := f.on(f.models[0].Version); got < 6-dead {
			t.Fatalf("%d of %d are on the wanted version", got, 6-dead)
		}
		if f.most > DefaultConfig().MaxLoads {
			t.Fatalf("%d loads at a time", f.most)
		}
	})
}

func TestASingleIdleEndpointGetsNewWeights(t *testing.T) {
	f := newFakeFleet(t, 1, "v1")
	f.models = []Model{{Name: "m", Version: "v2"}}
	for range 50 {
		f.now = f.now.Add(stepEvery)
		if e := f.engines[0]; e.loading != "" && !f.now.Before(e.until) {
			e.versions, e.loading = map[string]string{"m": e.version}, ""
		}
		for _, a := range f.planner.Step(f.now, f.world()) {
			f.obey(a)
		}
	}
	assert.Equal(t, f.on("v2"), 1)
}
