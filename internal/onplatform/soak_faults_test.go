package onplatform

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gotest.tools/v3/assert"
)

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
		if others > 0 && wipe || others > 1 || w.wiping {
			return false
		}
		w.wiping = wipe
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
		w.wiping = false
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

// repair ends what is left of links' faults; play has waited for the others.
func (w *world) repair() {
	for _, k := range w.links {
		k.Heal()
		k.Delay(0)
	}
}
