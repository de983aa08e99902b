package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

// largeFleet simulates entry VMs that receive each other's digests every two seconds, in
// front of a set of servers.
type largeFleet struct {
	vms      []*Core
	now      time.Time
	random   *rand.Rand
	inFlight []inFlightRequest
	count    int
}

type inFlightRequest struct {
	vm   *Core
	p    *Pending
	ends time.Time
}

const (
	fleetVMs, fleetServers = 81, 60
	digestRound            = 2 * time.Second
	fleetStep              = 10 * time.Millisecond
	requestsPerStep        = 7 // 700 per second
	requestDuration        = 300 * time.Millisecond
)

func newLargeFleet(outdated int) *largeFleet {
	f := &largeFleet{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2))}
	limits := DefaultLimits()
	limits.DigestsPerSecond = (fleetVMs - 1) / digestRound.Seconds()
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

// run sends requests for some digest rounds and returns the requests per server in the
// last one.
func (f *largeFleet) run(rounds int, chain func(*rand.Rand) []prefix.Hash) map[string]int {
	got := map[string]int{}
	for step := range rounds * int(digestRound/fleetStep) {
		f.now = f.now.Add(fleetStep)
		// The VMs send their digests at different times in the round.
		if from := step % int(digestRound/fleetStep); from < fleetVMs {
			d := f.vms[from].NextDigest(fmt.Sprint("vm-", from), 1024)
			for to, c := range f.vms {
				if to != from {
					c.ApplyDigest(f.now, d)
				}
			}
		}
		for len(f.inFlight) > 0 && !f.inFlight[0].ends.After(f.now) {
			o := f.inFlight[0]
			f.inFlight = f.inFlight[1:]
			o.vm.Finish(f.now, o.p, successResult(o.p, o.p.state.KnownIncarnation, 0))
		}
		if step%int(digestRound/fleetStep) == 0 {
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
			f.inFlight = append(f.inFlight, inFlightRequest{vm, p, f.now.Add(requestDuration)})
		}
	}
	return got
}

// TestLargeFleetSpreadsRequests: digests that are two seconds old are the same for all
// VMs, so the best endpoint is the same for all. No endpoint may receive many times its
// share.
func TestLargeFleetSpreadsRequests(t *testing.T) {
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
		{"unique prompts", 0, fresh},
		{"short prefixes shared by many", 0, common},
		{"no prefixes", 0, none},
		{"long prefixes shared by some", 0, long},
		{"new weights on a fifth of the servers", fleetServers * 4 / 5, fresh},
	} {
		got := newLargeFleet(c.outdated).run(4, c.chain)
		most, sum := 0, 0
		for _, n := range got {
			most, sum = max(most, n), sum+n
		}
		mean := float64(sum) / fleetServers
		t.Logf("%s: %d of %d servers, most %.1f times the mean", c.name, len(got), fleetServers, float64(most)/mean)
		// With a sample of sampleSize random candidates, the best endpoint receives at
		// most sampleSize times the mean; one more mean allows for chance.
		assert.Check(t, float64(most) <= (sampleSize+1)*mean, "%s: %d at one server, %.0f in the mean", c.name, most, mean)
	}
}
