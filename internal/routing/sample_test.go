package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

// largeFleet is entry VMs that hear each other every two seconds, in front of servers.
type largeFleet struct {
	vms    []*Core
	now    time.Time
	random *rand.Rand
	open   []openRequest
	count  int
}

type openRequest struct {
	vm   *Core
	p    *Pending
	ends time.Time
}

const (
	fleetVMs, fleetServers = 81, 60
	fleetRound             = 2 * time.Second
	fleetStep              = 10 * time.Millisecond
	requestsPerStep        = 7 // 700 a second
	requestLasts           = 300 * time.Millisecond
)

func newLargeFleet(outdated int) *largeFleet {
	f := &largeFleet{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2))}
	limits := DefaultLimits()
	limits.DigestsPerSecond = (fleetVMs - 1) / fleetRound.Seconds()
	servers := engines(fleetServers, 32)
	for i := range servers {
		servers[i].KnownIncarnation = fmt.Sprint("run-", i)
		servers[i].Outdated = i < outdated
	}
	for range fleetVMs {
		c := NewCore(DefaultPolicy(DefaultTuning()), limits, f.now)
		c.SetEndpoints(f.now, servers)
		f.vms = append(f.vms, c)
	}
	return f
}

// play sends requests for some rounds and returns how many each server got in the last one.
func (f *largeFleet) play(rounds int, chain func(*rand.Rand) []prefix.Hash) map[string]int {
	got := map[string]int{}
	for step := range rounds * int(fleetRound/fleetStep) {
		f.now = f.now.Add(fleetStep)
		// Every VM's digest leaves at its own time in the round.
		if from := step % int(fleetRound/fleetStep); from < fleetVMs {
			d := f.vms[from].NextDigest(fmt.Sprint("vm-", from), 1024)
			for to, c := range f.vms {
				if to != from {
					c.ApplyDigest(f.now, d)
				}
			}
		}
		for len(f.open) > 0 && !f.open[0].ends.After(f.now) {
			o := f.open[0]
			f.open = f.open[1:]
			o.vm.Finish(f.now, o.p, answer(o.p, o.p.state.KnownIncarnation, 0))
		}
		if step%int(fleetRound/fleetStep) == 0 {
			clear(got)
		}
		for range requestsPerStep {
			f.count++
			r := request("a", chain(f.random)...)
			r.ID, r.PromptTokens = fmt.Sprint("r-", f.count), 400
			for i := range r.Chain {
				r.PieceEnds = append(r.PieceEnds, 50*(i+1))
			}
			if len(r.Chain) == 1 && r.Chain[0] < 600 {
				r.PieceEnds, r.PromptTokens = []int{1000}, 1200
			}
			vm := f.vms[f.random.IntN(fleetVMs)]
			p := submit(vm, f.now, r)
			got[p.Decision.Endpoint]++
			f.open = append(f.open, openRequest{vm, p, f.now.Add(requestLasts)})
		}
	}
	return got
}

// TestALargeFleetDoesNotHerd: what peers told two seconds ago is the same for all VMs, so
// the endpoint that looks best looks best to all. No endpoint may get many times its share.
func TestALargeFleetDoesNotHerd(t *testing.T) {
	fresh := func(r *rand.Rand) []prefix.Hash { return []prefix.Hash{prefix.Hash(r.Uint64())} }
	common := func(r *rand.Rand) []prefix.Hash {
		return []prefix.Hash{prefix.Hash(r.IntN(16)), prefix.Hash(r.Uint64())}
	}
	long := func(r *rand.Rand) []prefix.Hash { return []prefix.Hash{prefix.Hash(r.IntN(600))} }
	none := func(*rand.Rand) []prefix.Hash { return nil }
	for _, c := range []struct {
		name     string
		outdated int
		chain    func(*rand.Rand) []prefix.Hash
	}{
		{"prompts of their own", 0, fresh},
		{"short parts that many share", 0, common},
		{"no prompts", 0, none},
		{"long parts that some share", 0, long},
		{"a fifth has the new weights", fleetServers * 4 / 5, fresh},
	} {
		got := newLargeFleet(c.outdated).play(4, c.chain)
		most, sum := 0, 0
		for _, n := range got {
			most, sum = max(most, n), sum+n
		}
		mean := float64(sum) / fleetServers
		t.Logf("%s: %d of %d servers, most %.1f times the mean", c.name, len(got), fleetServers, float64(most)/mean)
		// A random draw of so many gives a favourite at most so many times the mean, and one
		// more for chance.
		assert.Check(t, float64(most) <= (sampled+1)*mean, "%s: %d at one server, %.0f in the mean", c.name, most, mean)
	}
}
