package routing

import (
	"fmt"
	"testing"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

func engines(n, concurrent int) []Endpoint {
	fleet := make([]Endpoint, n)
	for i := range fleet {
		fleet[i] = Endpoint{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Models: []string{"m"}, MaxConcurrent: concurrent}
	}
	return fleet
}

func newCore(n, concurrent int) *Core {
	c := NewCore(DefaultPolicy(DefaultTuning()), DefaultLimits(), epoch)
	c.SetEndpoints(epoch, engines(n, concurrent))
	return c
}

func request(account string, pieces ...prefix.Hash) Request {
	return Request{ID: "r", Account: account, Model: "m", Version: "v1", Chain: pieces, PromptTokens: 1000*len(pieces) + 100, MaxTokens: 50}
}

func submit(c *Core, now time.Time, r Request) *Pending { return c.Submit(now, r, func() {}) }

func answer(p *Pending, incarnation string, cached int) Result {
	return Result{Incarnation: incarnation, PromptTokens: p.Request.PromptTokens, CachedTokens: cached, FirstToken: 100 * time.Millisecond}
}

func TestSiblingsFollowTheirPrefix(t *testing.T) {
	c := newCore(9, 8)
	first := submit(c, epoch, request("a", 1, 2, 3))
	c.Finish(epoch.Add(time.Second), first, answer(first, "i1", 0))
	second := submit(c, epoch.Add(2*time.Second), request("a", 1, 2, 3, 4))
	assert.Equal(t, second.Decision.Endpoint, first.Decision.Endpoint)
	assert.Equal(t, second.Decision.CachedTokens, 3000)
}

func TestLeavingAndExcludedGetNothing(t *testing.T) {
	c := newCore(2, 8)
	fleet := engines(2, 8)
	fleet[0].Leaving = true
	c.SetEndpoints(epoch, fleet)
	for range 20 {
		assert.Equal(t, submit(c, epoch, request("a")).Decision.Endpoint, "e1")
	}
	c.SetEndpoints(epoch, engines(2, 8))
	r := request("a")
	r.Exclude = []string{"e1"}
	for range 5 {
		assert.Equal(t, submit(c, epoch, r).Decision.Endpoint, "e0")
	}
	c.SetEndpoints(epoch, fleet)
	assert.Equal(t, submit(c, epoch, r).Decision.Endpoint, "e1", "the excluded one is the last resort")
	fleet[1].Leaving = true
	c.SetEndpoints(epoch, fleet)
	assert.Equal(t, submit(c, epoch, r).Refusal.Kind, errkind.NoEndpoint)
}

func TestWaitsForAnEndpointThatJustFailed(t *testing.T) {
	c := newCore(1, 8)
	failed := submit(c, epoch, request("a"))
	c.Finish(epoch, failed, Result{Err: errkind.New(errkind.EndpointFailed, "reset")})
	again, once := request("a"), request("a")
	again.Idempotent, again.Exclude = true, []string{"e0"}
	p, gone := submit(c, epoch, again), submit(c, epoch, again)
	assert.Equal(t, submit(c, epoch, once).Refusal.Kind, errkind.NoEndpoint, "may run once only")
	assert.Equal(t, p.phase, waiting)
	assert.Assert(t, c.Cancel(gone))
	c.Tick(epoch.Add(firstBackOff - time.Millisecond))
	assert.Equal(t, p.phase, waiting)
	c.Tick(epoch.Add(firstBackOff))
	assert.Equal(t, p.phase, sent)
	assert.Equal(t, gone.phase, over)
}

func TestRefusesAtOnceWhenTheEndpointIsBackTooLate(t *testing.T) {
	limits := DefaultLimits()
	limits.LongestWait = firstBackOff / 2
	c := NewCore(DefaultPolicy(DefaultTuning()), limits, epoch)
	c.SetEndpoints(epoch, engines(1, 8))
	failed := submit(c, epoch, request("a"))
	c.Finish(epoch, failed, Result{Err: errkind.New(errkind.EndpointFailed, "reset")})
	r := request("a")
	r.Idempotent = true
	p := submit(c, epoch, r)
	assert.Equal(t, p.Refusal.Kind, errkind.NoEndpoint)
	assert.Equal(t, p.Refusal.RetryAfter, firstBackOff)
}

func TestWaitingMovesOffALeavingEndpoint(t *testing.T) {
	c := newCore(1, 1)
	running, queued := submit(c, epoch, request("a")), submit(c, epoch, request("a"))
	assert.Equal(t, running.phase, sent)
	assert.Equal(t, queued.phase, waiting)
	fleet := engines(2, 1)
	fleet[0].Leaving = true
	c.SetEndpoints(epoch, fleet)
	assert.Equal(t, queued.phase, sent)
	assert.Equal(t, queued.Decision.Endpoint, "e1")
}

func TestFloodingAccountGivesWay(t *testing.T) {
	limits := DefaultLimits()
	limits.QueuePerEndpoint = 8
	limits.LongestWait = time.Hour
	c := NewCore(DefaultPolicy(DefaultTuning()), limits, epoch)
	c.SetEndpoints(epoch, engines(1, 1))
	var flood []*Pending
	for range 9 {
		flood = append(flood, submit(c, epoch, request("big")))
	}
	small := submit(c, epoch, request("small"))
	assert.Assert(t, small.Refusal == nil)
	assert.Equal(t, flood[8].Refusal.Kind, errkind.Overloaded)
	assert.Assert(t, flood[8].Refusal.RetryAfter > 0)
	assert.Equal(t, flood[8].Refusal.Outcome, errkind.NotRun)
	c.Finish(epoch, flood[0], answer(flood[0], "i", 0))
	assert.Equal(t, small.phase, sent, "the account that had least goes first")
}

func TestGivenUpAtTheBound(t *testing.T) {
	c := newCore(1, 1)
	submit(c, epoch, request("a"))
	late := submit(c, epoch, request("a"))
	c.Tick(epoch.Add(DefaultLimits().LongestWait - time.Millisecond))
	assert.Assert(t, late.Refusal == nil)
	c.Tick(epoch.Add(DefaultLimits().LongestWait + time.Millisecond))
	assert.Equal(t, late.Refusal.Kind, errkind.Overloaded)
}

func TestRetriesStayInsideTheBudget(t *testing.T) {
	c := newCore(3, 1000)
	retry := request("a")
	retry.Exclude = []string{"e0"}
	ran := 0
	for range 100 {
		if submit(c, epoch, retry).Refusal == nil {
			ran++
		}
	}
	assert.Equal(t, ran, int(DefaultLimits().RetryBurst))
}

func TestReportsShowForeignWork(t *testing.T) {
	c := newCore(2, 4)
	own := submit(c, epoch, request("a"))
	c.ApplyLoadReport(epoch, own.Decision.Endpoint, engineapi.Load{Incarnation: "i", Running: 1})
	s, _ := c.State(own.Decision.Endpoint)
	assert.Equal(t, s.ForeignRequests, 0)
	c.Finish(epoch, own, answer(own, "i", 0))
	c.ApplyLoadReport(epoch, s.Name, engineapi.Load{Incarnation: "i", Running: 1})
	assert.Equal(t, s.ForeignRequests, 0, "the report may be older than the end of the request")
	c.ApplyLoadReport(epoch, s.Name, engineapi.Load{Incarnation: "i", Running: 4, Waiting: 3})
	assert.Equal(t, s.ForeignRequests, 7)
	for range 4 {
		assert.Assert(t, submit(c, epoch, request("a")).Decision.Endpoint != s.Name)
	}
}

func TestAWaitingRequestMovesToAnEndpointThatBecameFree(t *testing.T) {
	c := newCore(2, 1)
	warmed := warm(c, epoch, request("a", 1, 2, 3, 4), "i")
	home := warmed.Decision.Endpoint
	now := epoch.Add(2 * time.Second)
	running := submit(c, now, request("a", 1, 2, 3, 4))
	queued := submit(c, now, request("a", 1, 2, 3, 4))
	assert.Equal(t, running.Decision.Endpoint, home)
	assert.Equal(t, queued.phase, waiting)
	c.byName[home].ServiceTime = time.Minute // by now the wait is known to be long
	c.Tick(now.Add(reconsiderAfter - time.Millisecond))
	assert.Equal(t, queued.phase, waiting)
	c.Tick(now.Add(reconsiderAfter))
	assert.Equal(t, queued.phase, sent)
	assert.Assert(t, queued.Decision.Endpoint != home)
}

func TestASecondTryGoesToAnotherFailureDomain(t *testing.T) {
	fleet := engines(4, 8)
	for i := range fleet {
		fleet[i].FailureDomain = fmt.Sprintf("fd-%d", i/2)
	}
	c := NewCore(DefaultPolicy(DefaultTuning()), DefaultLimits(), epoch)
	c.SetEndpoints(epoch, fleet)
	r := request("a", 1, 2, 3)
	warm(c, epoch, r, "i")
	r.Exclude = []string{"e0"}
	for range 3 {
		assert.Equal(t, submit(c, epoch, r).Decision.FailureDomain, "fd-1")
	}
	c.SetEndpoints(epoch, fleet[:2])
	assert.Equal(t, submit(c, epoch, r).Decision.Endpoint, "e1", "rather the same domain than none")
}

// TestAnUnmeasuredEndpointCostsWhatItsSiblingsDo: a VM of a large fleet asks one endpoint
// seldom. What the others' answers tell must hold for it until it has told enough itself.
func TestAnUnmeasuredEndpointCostsWhatItsSiblingsDo(t *testing.T) {
	servers := engines(20, 8)
	for i := range servers {
		servers[i].Models, servers[i].Service, servers[i].KnownIncarnation = nil, "s", fmt.Sprint("run-", i)
	}
	now := time.Unix(1_000_000, 0)
	c := NewCore(DefaultPolicy(DefaultTuning()), DefaultLimits(), now)
	c.SetEndpoints(now, servers[:10])
	ask := func(perToken time.Duration) string {
		now = now.Add(time.Second)
		r := Request{ID: "r", Account: "a", Service: "s", PromptTokens: 10_000}
		p := submit(c, now, r)
		s := p.state
		p.sent = now
		c.Finish(now.Add(10_000*perToken), p, Result{Incarnation: s.KnownIncarnation, PromptTokens: 10_000, FirstToken: 10_000 * perToken})
		return p.Decision.Endpoint
	}
	for range 5 {
		ask(20 * time.Microsecond)
	}
	c.SetEndpoints(now, servers) // ten more
	for name, s := range c.byName {
		assert.Equal(t, s.PrefillPerToken, 20*time.Microsecond, "%s, measured %d times", name, s.measured)
	}
	// One that is slow is known as slow by its own answers.
	slow := c.fleet[0]
	for slow.measured < 3*ownMeasures {
		slow.observe(10_000, 10_000*80*time.Microsecond, 0)
	}
	ask(20 * time.Microsecond)
	assert.Assert(t, slow.PrefillPerToken > 70*time.Microsecond, "%v", slow.PrefillPerToken)
	assert.Equal(t, c.fleet[19].PrefillPerToken, 20*time.Microsecond)
}
