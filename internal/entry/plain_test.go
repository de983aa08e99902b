package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/standin"
	"eelgrasshollow/internal/watch"

	"gotest.tools/v3/assert"
)

func httpGet(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(data)
}

func TestRepeatedOrderRunsOnceAndReturnsStoredResponse(t *testing.T) {
	b := newTestFront(t, nil)
	p := b.addPlain()
	first, text := b.do("POST", "/orders/confirm", `{"kg":5}`, "Idempotency-Key", "order-1")
	assert.Equal(t, first.StatusCode, 200, text)
	assert.Equal(t, first.Header.Get(errkind.OutcomeHeader), string(errkind.Completed))
	_, again := b.do("POST", "/orders/confirm", `{"kg":5}`, "Idempotency-Key", "order-1")
	assert.Equal(t, again, text)
	other, body := b.do("POST", "/orders/confirm", `{"kg":6}`, "Idempotency-Key", "order-1")
	assertRefused(t, other, body, errkind.BodyMismatch, errkind.NotRun)
	assert.Assert(t, strings.Contains(httpGet(t, p.URL+"/admin/stats"), `"order-1":1`))
}

func TestLostResponseOfOrderIsOutcomeUnknown(t *testing.T) {
	for _, kind := range []string{standin.FaultCutStream, standin.FaultCrossed, standin.FaultEmpty, standin.FaultSilent} {
		t.Run(kind, func(t *testing.T) {
			b := newTestFront(t, func(_ *Settings, e *engine.Settings) { e.PlainTimeout = 300 * time.Millisecond })
			p := b.addPlain()
			b.injectFault(p, standin.Fault{Kind: kind, Count: 1})
			for range 2 {
				response, text := b.do("POST", "/orders", `{}`, "Idempotency-Key", "order-2")
				assertRefused(t, response, text, errkind.OutcomeUnknown, errkind.Unknown)
			}
			assert.Assert(t, strings.Contains(httpGet(t, p.URL+"/admin/stats"), `"order-2":1`))
		})
	}
}

func TestUnsentOrderIsNotRun(t *testing.T) {
	b := newTestFront(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b.addAddress("plain", l.Addr().String())
	assert.NilError(t, l.Close())
	response, text := b.do("POST", "/orders", `{}`, "Idempotency-Key", "order-3")
	assertRefused(t, response, text, errkind.NoEndpoint, errkind.NotRun)
	p := b.addPlain()
	b.journal.beginErr = errkind.New(errkind.Stale, "claim has expired").WithOutcome(errkind.NotRun)
	response, text = b.do("POST", "/orders", `{}`, "Idempotency-Key", "order-3")
	assertRefused(t, response, text, errkind.Stale, errkind.NotRun)
	assert.Assert(t, strings.Contains(httpGet(t, p.URL+"/admin/stats"), `"calls":0`))
	assert.Equal(t, b.journal.released, 1)
}

func TestIdempotentCallIsRetriedAtAnotherEndpoint(t *testing.T) {
	b := newTestFront(t, nil)
	first := b.addPlain()
	b.injectFault(first, standin.Fault{Kind: standin.FaultCutStream})
	response, text := b.do("GET", "/stock/egg", "")
	assertRefused(t, response, text, errkind.EndpointFailed, errkind.Unknown) // the call has run
	b.addPlain()
	response, text = b.do("GET", "/stock/egg", "")
	assert.Equal(t, response.StatusCode, 200, text)
	response, text = b.do("GET", "/news", "", "Authorization", "")
	assert.Equal(t, response.StatusCode, 200, text)
}

func TestDrainFinishesStreamsAndRefusesNewWork(t *testing.T) {
	b := newTestFront(t, nil)
	b.addEngine(10 * time.Millisecond)
	done := make(chan string)
	go func() {
		_, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 40))
		done <- text
	}()
	for len(b.front.open.list()) == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error)
	go func() { drained <- b.front.Drain(context.Background()) }()
	for b.front.open.currentPhase() != draining {
		time.Sleep(time.Millisecond)
	}
	response, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 4))
	assertRefused(t, response, text, errkind.Draining, errkind.NotRun)
	list := readEvents(t, <-done, 0)
	assert.Equal(t, list[len(list)-1], "[DONE]")
	assert.NilError(t, <-drained)
}

func TestLookupSpreadsOverFailureDomains(t *testing.T) {
	vms := []watch.VM{{Name: "a1", FailureDomain: "a"}, {Name: "a2", FailureDomain: "a"}, {Name: "b1", FailureDomain: "b"}, {Name: "c1", FailureDomain: "c", Leaving: true}, {Name: "d1", FailureDomain: "d"}}
	b := newTestFront(t, nil)
	b.front.fleet = fixedFleet{vms: vms}
	firsts := map[string]bool{}
	for range 200 {
		list := b.front.lookup("")
		assert.Equal(t, len(list), 4)
		domains := map[string]bool{}
		for _, vm := range list[:3] {
			domains[vm.FailureDomain] = true
		}
		assert.Equal(t, len(domains), 3)
		firsts[list[0].Name] = true
	}
	assert.Equal(t, len(firsts), 4)
}

// fixedFleet is a list of VMs.
type fixedFleet struct {
	watch.Fleet
	vms []watch.VM
}

func (f fixedFleet) VMs() []watch.VM { return f.vms }

// TestLookupReturnsFewVMsPerAccount checks, with 700 VMs in 23 failure domains, that an account
// gets a fixed number of VMs, that only the removed VM is replaced when one is removed, and that
// all VMs are used by some account.
func TestLookupReturnsFewVMsPerAccount(t *testing.T) {
	const count, domains, limit = 700, 23, 16
	vms := make([]watch.VM, count)
	for i := range vms {
		vms[i] = watch.VM{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%domains)}
	}
	names := func(vms []watch.VM, account string) []string {
		var all []string
		for _, vm := range homeVMs(slices.Clone(vms), account, limit) {
			all = append(all, vm.Name)
		}
		slices.Sort(all)
		return all
	}
	used := map[string]bool{}
	for i := range 600 {
		account := fmt.Sprint("account", i)
		list := names(vms, account)
		assert.Equal(t, len(list), limit)
		for _, name := range list {
			used[name] = true
		}
	}
	assert.Equal(t, len(used), count)
	before := names(vms, "account0")
	remaining := slices.DeleteFunc(slices.Clone(vms), func(vm watch.VM) bool { return vm.Name == before[0] })
	after := names(remaining, "account0")
	kept := slices.DeleteFunc(after, func(name string) bool { return !slices.Contains(before, name) })
	assert.Equal(t, len(kept), limit-1, "one VM was removed, so one is new")
}

// TestDrainUnderLoadLosesNoOrder drains a front while orders arrive continuously. Each order must
// either run once and complete, or be refused as not-run and not run.
func TestDrainUnderLoadLosesNoOrder(t *testing.T) {
	b := newTestFront(t, func(s *Settings, _ *engine.Settings) { s.LookupTTL = 50 * time.Millisecond })
	p := b.addPlain()
	outcomes := map[string]errkind.Outcome{}
	var mu sync.Mutex
	var workers sync.WaitGroup
	stopped := make(chan struct{})
	for w := range 20 {
		workers.Go(func() {
			for i := 0; ; i++ {
				id := fmt.Sprintf("order-%d-%d", w, i)
				response, _ := b.do("POST", "/orders", `{}`, "Idempotency-Key", id)
				mu.Lock()
				outcomes[id] = errkind.Outcome(response.Header.Get(errkind.OutcomeHeader))
				mu.Unlock()
				select {
				case <-stopped:
					return
				default:
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, b.front.Drain(context.Background()))
	close(stopped)
	workers.Wait()
	var stats standin.PlainStats
	assert.NilError(t, json.Unmarshal([]byte(httpGet(t, p.URL+"/admin/stats")), &stats))
	counts := map[errkind.Outcome]int{}
	for id, outcome := range outcomes {
		counts[outcome]++
		assert.Equal(t, stats.Runs[id] == 1, outcome == errkind.Completed, "%s: %s, %d runs", id, outcome, stats.Runs[id])
	}
	assert.Assert(t, counts[errkind.Completed] > 0 && counts[errkind.NotRun] > 0)
	assert.Equal(t, counts[errkind.Completed]+counts[errkind.NotRun], len(outcomes))
}
