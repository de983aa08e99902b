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

func get(t *testing.T, url string) string {
	t.Helper()
	answer, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return string(data)
}

func TestOrderRunsOnceAndRepeatsItsAnswer(t *testing.T) {
	b := newBench(t, nil)
	p := b.addPlain()
	first, text := b.do("POST", "/orders/confirm", `{"kg":5}`, "Idempotency-Key", "order-1")
	assert.Equal(t, first.StatusCode, 200, text)
	assert.Equal(t, first.Header.Get(errkind.HeaderName), string(errkind.Completed))
	_, again := b.do("POST", "/orders/confirm", `{"kg":5}`, "Idempotency-Key", "order-1")
	assert.Equal(t, again, text)
	other, body := b.do("POST", "/orders/confirm", `{"kg":6}`, "Idempotency-Key", "order-1")
	refused(t, other, body, errkind.BodyMismatch, errkind.NotRun)
	assert.Assert(t, strings.Contains(get(t, p.URL+"/admin/stats"), `"order-1":1`))
}

func TestLostAnswerOfOrderIsOutcomeUnknown(t *testing.T) {
	for _, kind := range []string{standin.FaultCutStream, standin.FaultCrossed, standin.FaultEmpty, standin.FaultSilent} {
		t.Run(kind, func(t *testing.T) {
			b := newBench(t, func(_ *Settings, e *engine.Settings) { e.PlainAnswer = 300 * time.Millisecond })
			p := b.addPlain()
			b.fault(p, standin.Fault{Kind: kind, Count: 1})
			for range 2 {
				answer, text := b.do("POST", "/orders", `{}`, "Idempotency-Key", "order-2")
				refused(t, answer, text, errkind.OutcomeUnknown, errkind.Unknown)
			}
			assert.Assert(t, strings.Contains(get(t, p.URL+"/admin/stats"), `"order-2":1`))
		})
	}
}

func TestOrderThatNeverLeftIsNotRun(t *testing.T) {
	b := newBench(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b.addAddress("plain", l.Addr().String())
	assert.NilError(t, l.Close())
	answer, text := b.do("POST", "/orders", `{}`, "Idempotency-Key", "order-3")
	refused(t, answer, text, errkind.NoEndpoint, errkind.NotRun)
	p := b.addPlain()
	b.journal.noBegin = errkind.New(errkind.Stale, "claim has run out").WithOutcome(errkind.NotRun)
	answer, text = b.do("POST", "/orders", `{}`, "Idempotency-Key", "order-3")
	refused(t, answer, text, errkind.Stale, errkind.NotRun)
	assert.Assert(t, strings.Contains(get(t, p.URL+"/admin/stats"), `"calls":0`))
	assert.Equal(t, b.journal.released, 1)
}

func TestIdempotentCallIsTriedElsewhere(t *testing.T) {
	b := newBench(t, nil)
	first := b.addPlain()
	b.fault(first, standin.Fault{Kind: standin.FaultCutStream})
	answer, text := b.do("GET", "/stock/egg", "")
	refused(t, answer, text, errkind.EndpointFailed, errkind.Unknown) // it did run
	b.addPlain()
	answer, text = b.do("GET", "/stock/egg", "")
	assert.Equal(t, answer.StatusCode, 200, text)
	answer, text = b.do("GET", "/news", "", "Authorization", "")
	assert.Equal(t, answer.StatusCode, 200, text)
}

func TestDrainFinishesStreamsAndRefusesNewWork(t *testing.T) {
	b := newBench(t, nil)
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
	for b.front.open.now() != draining {
		time.Sleep(time.Millisecond)
	}
	answer, text := b.do("POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true, 4))
	refused(t, answer, text, errkind.Draining, errkind.NotRun)
	list := events(t, <-done, 0)
	assert.Equal(t, list[len(list)-1], "[DONE]")
	assert.NilError(t, <-drained)
}

func TestLookupSpreadsOverFailureDomains(t *testing.T) {
	vms := []watch.VM{{Name: "a1", FailureDomain: "a"}, {Name: "a2", FailureDomain: "a"}, {Name: "b1", FailureDomain: "b"}, {Name: "c1", FailureDomain: "c", Leaving: true}, {Name: "d1", FailureDomain: "d"}}
	b := newBench(t, nil)
	b.front.fleet = fixedFleet{vms: vms}
	firsts := map[string]bool{}
	for range 200 {
		list := b.front.leadTo("")
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

// TestLookupLeadsAnAccountToFewVMs looks at 700 VMs in 23 failure domains: an account
// keeps its VMs, spread over domains, when another VM goes, and all VMs are used.
func TestLookupLeadsAnAccountToFewVMs(t *testing.T) {
	const count, domains, most = 700, 23, 16
	vms := make([]watch.VM, count)
	for i := range vms {
		vms[i] = watch.VM{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%domains)}
	}
	names := func(vms []watch.VM, account string) []string {
		var all []string
		for _, vm := range homes(slices.Clone(vms), account, most) {
			all = append(all, vm.Name)
		}
		slices.Sort(all)
		return all
	}
	used := map[string]bool{}
	for i := range 600 {
		account := fmt.Sprint("account", i)
		list := names(vms, account)
		assert.Equal(t, len(list), most)
		for _, name := range list {
			used[name] = true
		}
	}
	assert.Equal(t, len(used), count)
	before := names(vms, "account0")
	gone := slices.DeleteFunc(slices.Clone(vms), func(vm watch.VM) bool { return vm.Name == before[0] })
	after := names(gone, "account0")
	kept := slices.DeleteFunc(after, func(name string) bool { return !slices.Contains(before, name) })
	assert.Equal(t, len(kept), most-1, "one VM went, one is new")
}

// TestStopUnderLoadLosesNothing stops a front while orders come without pause: each
// was run once and answered, or is refused as not run and did not run.
func TestStopUnderLoadLosesNothing(t *testing.T) {
	b := newBench(t, func(s *Settings, _ *engine.Settings) { s.LookupTTL = 50 * time.Millisecond })
	p := b.addPlain()
	outcomes := map[string]errkind.Outcome{}
	var mu sync.Mutex
	var workers sync.WaitGroup
	stopped := make(chan struct{})
	for w := range 20 {
		workers.Go(func() {
			for i := 0; ; i++ {
				id := fmt.Sprintf("order-%d-%d", w, i)
				answer, _ := b.do("POST", "/orders", `{}`, "Idempotency-Key", id)
				mu.Lock()
				outcomes[id] = errkind.Outcome(answer.Header.Get(errkind.HeaderName))
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
	assert.NilError(t, json.Unmarshal([]byte(get(t, p.URL+"/admin/stats")), &stats))
	counts := map[errkind.Outcome]int{}
	for id, outcome := range outcomes {
		counts[outcome]++
		assert.Equal(t, stats.Runs[id] == 1, outcome == errkind.Completed, "%s: %s, %d runs", id, outcome, stats.Runs[id])
	}
	assert.Assert(t, counts[errkind.Completed] > 0 && counts[errkind.NotRun] > 0)
	assert.Equal(t, counts[errkind.Completed]+counts[errkind.NotRun], len(outcomes))
}
