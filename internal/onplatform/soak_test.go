package onplatform

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	down   map[string]bool // daemons that the soak has ended or stopped
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

// play brings faults until the time is over.
func (w *world) play(lasts time.Duration) {
	var running sync.WaitGroup
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		fault := faults[w.random.IntN(len(faults))]
		target := fault.targets[w.random.IntN(len(fault.targets))]
		hold := 200*time.Millisecond + time.Duration(w.random.Int64N(int64(3*time.Second)))
		w.mu.Lock()
		w.faults[fault.name]++
		w.mu.Unlock()
		running.Go(func() { fault.play(w, target, hold) })
		time.Sleep(time.Duration(w.random.Int64N(int64(1200 * time.Millisecond))))
	}
	running.Wait()
}

// fault is a kind of trouble; play returns once it is over.
type fault struct {
	name    string
	targets []string
	play    func(w *world, target string, hold time.Duration)
}

var (
	cores    = []string{"core-1", "core-2", "core-3"}
	entries  = []string{"entry-1", "entry-2", "entry-3"}
	toCaller = entries
	toServer = []string{"app-0", "app-1", "list"}
	allLinks = append(append([]string{}, toCaller...), toServer...)
)

var faults = []fault{
	{"core killed", cores, func(w *world, target string, hold time.Duration) { w.endAndStart(target, syscall.SIGKILL, false, hold) }},
	{"core stopped", cores, func(w *world, target string, hold time.Duration) { w.endAndStart(target, syscall.SIGTERM, false, hold) }},
	{"core wiped", cores, func(w *world, target string, hold time.Duration) { w.endAndStart(target, syscall.SIGKILL, true, hold) }},
	{"core frozen", cores, (*world).freeze},
	{"entry killed", entries, func(w *world, target string, hold time.Duration) { w.endAndStart(target, syscall.SIGKILL, false, hold) }},
	{"entry stopped", entries, func(w *world, target string, hold time.Duration) { w.endAndStart(target, syscall.SIGTERM, false, hold) }},
	{"entry frozen", entries, (*world).freeze},
	{"hangup", append(append([]string{}, cores...), entries...), func(w *world, target string, _ time.Duration) { w.signal(target, syscall.SIGHUP) }},
	{"cut", allLinks, func(w *world, target string, hold time.Duration) { w.cut(target, true, true, hold) }},
	{"cut one way", allLinks, func(w *world, target string, hold time.Duration) {
		forward := hold%2 == 0
		w.cut(target, forward, !forward, hold)
	}},
	{"reset", allLinks, func(w *world, target string, _ time.Duration) { w.links[target].Reset() }},
	{"silenced", allLinks, func(w *world, target string, _ time.Duration) { w.links[target].Silence() }},
	{"delayed", allLinks, func(w *world, target string, hold time.Duration) {
		w.links[target].Delay(hold / 20)
		time.Sleep(hold)
		w.links[target].Delay(0)
	}},
	{"servers refuse", []string{""}, func(w *world, _ string, hold time.Duration) {
		w.servers.refusing.Add(1)
		time.Sleep(hold)
		w.servers.refusing.Add(-1)
	}},
}

func (w *world) cut(target string, forward, back bool, hold time.Duration) {
	w.links[target].Cut(forward, back)
	time.Sleep(hold)
	w.links[target].Heal()
}

// claim takes a daemon for a fault. Of the control VMs a second one may only be frozen or
// killed now and then, and never wiped: that would lose what was promised to two disks.
func (w *world) claim(target string, wipe bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[target] {
		return false
	}
	if strings.HasPrefix(target, "core") {
		others := 0
		for _, name := range cores {
			if w.down[name] {
				others++
			}
		}
		if others > 0 && wipe || others > 1 || w.down["wiped"] {
			return false
		}
		if wipe {
			w.down["wiped"] = true
		}
	}
	w.down[target] = true
	return true
}

func (w *world) release(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[target] = false
}

func (w *world) signal(target string, s syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cmd := w.vms[target]; cmd != nil && !w.down[target] {
		assert.Check(w.t, cmd.Process.Signal(s) == nil, "%s ended by itself", target)
	}
}

func (w *world) endAndStart(target string, s syscall.Signal, wipe bool, hold time.Duration) {
	if !w.claim(target, wipe) {
		return
	}
	w.mu.Lock()
	cmd := w.vms[target]
	w.mu.Unlock()
	if !assert.Check(w.t, cmd.Process.Signal(s) == nil, "%s ended by itself", target) {
		return
	}
	grace := time.AfterFunc(6*time.Second, func() { _ = cmd.Process.Kill() }) // as the platform does
	err := cmd.Wait()
	stopped := grace.Stop()
	if s == syscall.SIGTERM {
		assert.Check(w.t, stopped && err == nil, "%s, told to stop: in time %v, %v", target, stopped, err)
	}
	if wipe {
		assert.Check(w.t, os.RemoveAll(filepath.Join(w.dir, target)) == nil)
	}
	time.Sleep(hold / 2)
	n := hostOf(target)
	w.mu.Lock()
	w.deployment.start(target, n, false)
	w.mu.Unlock()
	if wipe {
		// It is a member again only when it votes; until then no other one may be wiped or end.
		w.recovers(target+" is a member again", func() bool {
			v, ok := w.read(n)
			return ok && v >= w.acked.Load() && strings.Count(w.logs[target].String(), "replica is a member") > 0
		})
		w.mu.Lock()
		w.down["wiped"] = false
		w.mu.Unlock()
	}
	w.release(target)
}

func hostOf(name string) int {
	var n int
	if _, err := fmt.Sscanf(name, "core-%d", &n); err == nil {
		return n
	}
	_, _ = fmt.Sscanf(name, "entry-%d", &n) // the names are ours
	return entryHost(n)
}

func (w *world) freeze(target string, hold time.Duration) {
	if !w.claim(target, false) {
		return
	}
	defer w.release(target)
	w.mu.Lock()
	process := w.vms[target].Process
	w.mu.Unlock()
	assert.Check(w.t, process.Signal(syscall.SIGSTOP) == nil, "%s ended by itself", target)
	time.Sleep(hold)
	assert.Check(w.t, process.Signal(syscall.SIGCONT) == nil)
}

// recovers expects something within the recovery time, and goes on without it.
func (w *world) recovers(what string, f func() bool) {
	assert.Check(w.t, w.within(recovery, f), "not within %v: %s", recovery, what)
}

// repair ends what is left of links' faults; play has waited for the others.
func (w *world) repair() {
	for _, k := range w.links {
		k.Heal()
		k.Delay(0)
	}
}
