package onplatform

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eelgrasshollow/internal/loopback"

	"gotest.tools/v3/assert"
)

const (
	// contactTime is the platform's time after which a VM that is cut off must serve again. Then its first
	// attempts are served at least contactShare as often as elsewhere, or at most contactExcess + contactFailed
	// of all first attempts fail.
	contactTime   = 4 * time.Second
	contactShare  = 2.0 / 3
	contactExcess = 10
	contactFailed = 1.0 / 50
	// cutWatched is the time at least for which a VM stays cut off after contactTime.
	cutWatched = time.Second
)

// endpointCuts cuts entry VMs off from all endpoints, one at a time.
type endpointCuts struct {
	links             []*loopback.Link // of all endpoints
	hanging, refusing atomic.Int64     // process whose new connections hang or are reset, or 0
	resets            atomic.Int64     // new connections that were cut
	inUse             sync.Mutex

	mu   sync.Mutex
	over []endpointCut
}

// endpointCut is the time of a cut, since the start of the run.
type endpointCut struct {
	vm       int
	mode     string
	from, to time.Duration
}

func newEndpointCuts() *endpointCuts { return &endpointCuts{} }

// wrap returns a listener that cuts the new connections.
func (c *endpointCuts) wrap(l net.Listener) net.Listener {
	return cutListener{cutListener{l, &c.hanging, neverReset, &c.resets}, &c.refusing, 0, &c.resets}
}

// cutOff cuts an entry VM off from all endpoints: connections hang, are reset, or only new ones are reset.
func (r *soakRun) cutOff(target string, hold time.Duration) {
	c := r.cuts
	if !c.inUse.TryLock() {
		return
	}
	defer c.inUse.Unlock()
	if !r.claim(target, false) {
		return
	}
	defer r.release(target)
	r.mu.Lock()
	pid := r.commands[target].Process.Pid
	r.mu.Unlock()
	mode := []string{"hang", "reset", "refuse new"}[hold%3]
	cut := endpointCut{vm: hostNumber(target) - entryHost(0), mode: mode, from: time.Since(r.startedAt)}
	fault := (*loopback.Link).ResetOf
	if mode == "hang" {
		fault = (*loopback.Link).SilenceOf
		c.hanging.Store(int64(pid))
		defer c.hanging.Store(0)
	} else {
		c.refusing.Store(int64(pid))
		defer c.refusing.Store(0)
	}
	if mode != "refuse new" {
		for _, link := range c.links {
			fault(link, func(client, listener net.Addr) bool { return ownsConnection(pid, client, listener) })
		}
	}
	time.Sleep(contactTime + cutWatched + hold)
	cut.to = time.Since(r.startedAt)
	c.mu.Lock()
	c.over = append(c.over, cut)
	c.mu.Unlock()
}

// check returns the cuts in which clients of the VM were served too seldom.
func (c *endpointCuts) check(r *soakRun, records []callRecord) (all []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cut := range c.over {
		if violation := cut.check(r.startedAt, r.spans, records); violation != "" {
			all = append(all, violation)
		}
	}
	return all
}

// check returns how a cut violated the bounds, or "". It counts the calls to rolledService, as the other services
// refuse many calls under faults. Calls that another fault kept from their VM don't count, nor do calls to the VM that is cut
// off within contactTime of a fault of each other VM: there is none that must serve it.
func (cut endpointCut) check(startedAt time.Time, spans []faultSpan, records []callRecord) string {
	var served, calls [2]int // at the VM, elsewhere
	for _, record := range records {
		if record.path != "payments" && record.path != "lookups" || record.from < cut.from+contactTime || record.from > cut.to ||
			record.disturbed(startedAt, spans, clientTimeout, "entry cut off") {
			continue
		}
		where := 1
		if record.vm == cut.vm {
			where = 0
			if cut.alone(startedAt, spans, record) {
				continue
			}
		}
		calls[where]++
		if record.status == 200 {
			served[where]++
		}
	}
	failed, sum := calls[0]+calls[1]-served[0]-served[1], calls[0]+calls[1]
	if calls[0] == 0 || calls[1] == 0 || float64(failed) <= contactExcess+contactFailed*float64(sum) ||
		float64(served[0])/float64(calls[0]) >= contactShare*float64(served[1])/float64(calls[1]) {
		return ""
	}
	return fmt.Sprintf("%s, cut off (%s) from %v to %v, served %d of %d calls, the others %d of %d", entryName(cut.vm), cut.mode, cut.from, cut.to, served[0], calls[0], served[1], calls[1])
}

// alone reports whether every VM but the one that is cut off had a fault during a call or in the contactTime before it.
func (cut endpointCut) alone(startedAt time.Time, spans []faultSpan, record callRecord) bool {
	for n := range soakEntryVMs {
		elsewhere := record
		elsewhere.vm, elsewhere.from = n+1, record.from-contactTime
		if elsewhere.vm != cut.vm && !elsewhere.disturbed(startedAt, spans, 0, "hangup") {
			return false
		}
	}
	return true
}

// Guards against a check that accepts a VM whose clients are not served, or counts calls that did not reach it.
func TestCutOffVMMustServe(t *testing.T) {
	start := time.Now()
	at := func(vm int) faultSpan {
		return faultSpan{name: "cut", target: entryName(vm), from: start.Add(5 * time.Second), to: start.Add(7 * time.Second)}
	}
	cut := endpointCut{vm: 1, from: time.Second, to: 8 * time.Second}
	calls := func(vm, n, status int) (records []callRecord) {
		for range n {
			records = append(records, callRecord{path: "lookups", vm: vm, status: status, from: 6 * time.Second, to: 6 * time.Second})
		}
		return records
	}
	elsewhere := calls(2, 100, 200)
	for name, test := range map[string]struct {
		records  []callRecord
		violates bool
	}{
		"few failures":        {append(calls(1, 12, 0), elsewhere...), false},
		"too many failures":   {append(calls(1, 13, 0), elsewhere...), true},
		"two thirds":          {append(append(calls(1, 20, 503), calls(1, 40, 200)...), elsewhere...), false},
		"under two thirds":    {append(append(calls(1, 21, 503), calls(1, 40, 200)...), elsewhere...), true},
		"others fail as well": {append(calls(1, 50, 0), calls(2, 100, 0)...), false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, cut.check(start, nil, test.records) != "", test.violates)
			assert.Equal(t, cut.check(start, []faultSpan{at(1)}, test.records), "")
			assert.Equal(t, cut.check(start, []faultSpan{at(3)}, test.records) != "", test.violates)
			assert.Equal(t, cut.check(start, []faultSpan{at(2), at(3)}, test.records), "")
		})
	}
	// Failures of a VM that has a fault excuse none of the VM that is cut off: a third VM could have served its clients.
	records := slices.Concat(calls(1, 20, 503), calls(1, 20, 200), calls(2, 100, 0), calls(3, 100, 200))
	assert.Assert(t, cut.check(start, []faultSpan{at(2)}, records) != "")
}
