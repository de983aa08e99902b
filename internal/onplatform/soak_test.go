package onplatform

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eelgrasshollow/internal/loopback"

	"gotest.tools/v3/assert"
)

// The soak runs the real daemons against stand-ins while faults come from outside, in
// series and overlapping, and checks what callers and servers see. Connections of callers,
// to servers and to the list go through links that are cut, reset, delayed and silenced;
// daemons get signals and lose their disks. Daemons reach each other directly: the
// platform's format has one address to listen at and to be reached at.
//
//	make soak-platform SEED=7 SEEDS=50 SECONDS=40
var (
	soakSeed    = flag.Uint64("soak.seed", 1, "first seed of the soak")
	soakSeeds   = flag.Int("soak.seeds", 1, "how many seeds to play")
	soakSeconds = flag.Int("soak.seconds", 12, "seconds of faults for each seed")
)

// failedSeeds once broke a promise; each with the cause. They are played again and again.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{}

const (
	soakCore, soakEntry, soakServers = 3, 3, 2
	soakCallers                      = 24
	// recovery is the platform's bound on the time to full service after the last fault, on
	// a machine that does other things as well.
	recovery = 20 * time.Second
)

func TestSoak(t *testing.T) {
	seeds := []uint64{}
	for i := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(i))
	}
	for _, f := range failedSeeds {
		seeds = append(seeds, f.seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soak(t, seed, time.Duration(*soakSeconds)*time.Second) })
	}
}

// world is a deployment with links between it and its surroundings.
type world struct {
	*deployment
	random  *rand.Rand
	began   time.Time
	servers *servers
	// links by what they lead to: "entry-1", "app-1", "list".
	links map[string]*loopback.Link

	mu     sync.Mutex
	down   map[string]bool // daemons that a fault has
	wiping bool            // a control VM without its disk is not a member yet
	faults map[string]int  // how often each kind came
	acked  atomic.Int64    // newest acknowledged version
	asked  atomic.Int64    // newest version sent
}

func soak(t *testing.T, seed uint64, lasts time.Duration) {
	w := newWorld(t, seed)
	for n := 1; n <= soakCore; n++ {
		w.start(coreName(n), n, true)
	}
	for n := 1; n <= soakEntry; n++ {
		w.start(entryName(n), entryHost(n), true)
	}
	w.eventually("a first configuration is acknowledged", func() bool { return w.change(1) })
	for n := range soakEntry {
		w.eventually("each entry VM serves", func() bool { return w.serves(n + 1) })
	}

	w.began = time.Now()
	calls := newCalls(w)
	stopCalls := calls.run(soakCallers)
	stopChanges := w.changing()
	w.play(lasts)
	w.repair()
	w.recovers("every VM serves after the last fault", func() bool {
		for n := range soakEntry {
			if !w.serves(n + 1) {
				return false
			}
		}
		return true
	})
	stopChanges()
	stopCalls()
	w.recovers("a change is acknowledged after the last fault", func() bool { return w.change(1 + int(w.random.Uint64()%soakCore)) })
	w.recovers("every control VM names the newest version", func() bool {
		for n := 1; n <= soakCore; n++ {
			if v, ok := w.read(n); !ok || v < w.acked.Load() {
				return false
			}
		}
		return true
	})
	broken := calls.judge()
	t.Logf("seed %d: %d calls (%s), faults %v, version %d", seed, len(calls.all), calls.summary(), w.faults, w.acked.Load())
	for _, b := range broken {
		t.Errorf("seed %d: %s", seed, b)
	}
}

func coreName(n int) string  { return fmt.Sprint("core-", n) }
func entryName(n int) string { return fmt.Sprint("entry-", n) }
func entryHost(n int) int    { return 10 + n }

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{deployment: emptyDeployment(t, grantSlack), random: rand.New(rand.NewPCG(seed, 0)), servers: newServers(),
		links: map[string]*loopback.Link{}, down: map[string]bool{}, faults: map[string]int{}}
	for n := range soakServers {
		w.serve(w.at(220+n, listPort), w.servers.answer)
		w.link(fmt.Sprint("app-", n), w.at(201+n, listPort), w.at(220+n, listPort))
	}
	w.serve(w.at(210, listPort), w.list)
	w.link("list", w.at(200, listPort), w.at(210, listPort))
	for n := 1; n <= soakEntry; n++ {
		w.link(entryName(n), w.at(100+n, callerPort), w.at(entryHost(n), callerPort))
	}
	return w
}

// link puts a link at an address.
func (w *world) link(name, at, to string) {
	l, err := net.Listen("tcp", at)
	assert.NilError(w.t, err)
	k := loopback.New(l, to)
	w.t.Cleanup(k.Close)
	w.links[name] = k
}

// recovers expects something within the recovery time, and goes on without it.
func (w *world) recovers(what string, f func() bool) {
	assert.Check(w.t, w.within(recovery, f), "not within %v: %s", recovery, what)
}
