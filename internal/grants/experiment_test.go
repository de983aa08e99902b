package grants

import (
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"
)

// The experiments run in virtual time, so their figures don't depend on the machine.
//
//	go test -run '^$' -bench Experiment -benchtime 1x ./internal/grants

// bucket is the level of a token bucket with exact integer refill.
type bucket struct {
	level int64 // tokens
	part  int64 // part of a token, in tokens × nanoseconds a second
	last  time.Duration
}

// refill adds what the rate gave since the last refill, but no more than room tokens.
// It counts the clock as fast by the drift bound, so that the true rate is kept.
func (b *bucket) refill(now time.Duration, rate, room int64) {
	elapsed := now - b.last
	if elapsed <= 0 {
		return
	}
	b.last = now
	elapsed -= elapsed / (ppm / DriftPPM)
	if room <= 0 {
		b.part = 0
		return
	}
	if elapsed.Seconds()*float64(rate) >= float64(room)+1 {
		b.level += room
		b.part = 0
		return
	}
	b.part += int64(elapsed) * rate
	add := b.part / int64(time.Second)
	b.part %= int64(time.Second)
	if add >= room {
		add, b.part = room, 0
	}
	b.level += add
}

// reference is one bucket for all VMs, asked without any delay.
type reference struct {
	bucket bucket
	limit  Limit
}

func newReference(l Limit) *reference { return &reference{bucket: bucket{level: l.Burst}, limit: l} }

func (r *reference) admit(at time.Duration, tokens int64) bool {
	r.bucket.refill(at, r.limit.Rate, r.limit.Burst-r.bucket.level)
	if tokens > r.bucket.level {
		return false
	}
	r.bucket.level -= tokens
	return true
}

// score compares a trace with the reference and the static split of the rate over VMs.
type score struct {
	inside  int // requests that the reference admits
	refused int // of these, refused by the grants
	static  int // of these, refused by the static split
	over    int64
	served  float64 // tokens admitted, of those that the reference admits
}

func (s *sim) score(account string, from, to time.Duration) score {
	limit := s.limits[account]
	ref := newReference(limit)
	split := make([]*reference, s.opt.holders)
	for i := range split {
		n := int64(s.opt.holders)
		split[i] = newReference(Limit{Rate: limit.Rate / n, Burst: limit.Burst / n})
	}
	var sc score
	var got, ideal int64
	for _, a := range s.arrivals {
		if a.account != account {
			continue
		}
		static := split[a.node].admit(a.at, a.tokens)
		inside := ref.admit(a.at, a.tokens)
		if a.at < from || a.at >= to {
			continue
		}
		if !a.refused {
			got += a.tokens
		}
		if !inside {
			continue
		}
		ideal += a.tokens
		sc.inside++
		if a.refused {
			sc.refused++
		}
		if !static {
			sc.static++
		}
	}
	sc.over = s.excess(account, limit).Tokens
	sc.served = float64(got) / float64(max(1, ideal))
	return sc
}

// fleetAccounts are five accounts, a few of them large, with 10 s of rate as burst.
func fleetAccounts() map[string]Limit {
	all := map[string]Limit{}
	for i, rate := range []int64{60000, 30000, 20000, 6000, 3000} {
		all[fmt.Sprintf("account-%d", i+1)] = Limit{Rate: rate, Burst: 10 * rate}
	}
	return all
}

// drive sends every account's traffic at a part of its rate; home says which VM a
// request of an account comes to, -1 for any.
func (s *sim) drive(until time.Duration, load func(account string) float64, home func(account string) int) {
	for _, name := range sortedNames(s.limits) {
		rate := load(name) * float64(s.limits[name].Rate)
		const mean = 1500
		var next func()
		next = func() {
			if s.now >= until {
				return
			}
			node := home(name)
			if node < 0 {
				node = s.rng.IntN(s.opt.holders)
			}
			tokens := 1 + int64(min(s.rng.ExpFloat64()*mean, 4*mean))
			s.request(node, name, tokens, tokens, 0)
			s.after(time.Duration(s.rng.ExpFloat64()*mean/rate*float64(time.Second)), next)
		}
		s.at(time.Second, next)
	}
}

func sortedNames(limits map[string]Limit) []string {
	o := NewOwner(1, OwnerOptions{})
	for n := range limits {
		o.accounts[n] = nil
	}
	return o.names()
}

func steadyLoad(string) float64 { return 0.8 }
func anywhere(string) int       { return -1 }

// sum adds the scores of all accounts but those left out.
func (s *sim) sum(from, to time.Duration, without string) score {
	total := score{served: 1}
	for _, n := range sortedNames(s.limits) {
		sc := s.score(n, from, to)
		total.over = max(total.over, sc.over)
		if n == without {
			continue
		}
		total.inside += sc.inside
		total.refused += sc.refused
		total.static += sc.static
		total.served = min(total.served, sc.served)
	}
	return total
}

func (sc score) row(name string) {
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(1, sc.inside)) }
	fmt.Printf("| %s | %d | %.3f %% | %.3f %% | %.4f | %d |\n", name, sc.inside, percent(sc.refused), percent(sc.static), sc.served, sc.over)
}

// BenchmarkExperimentRefusals measures requests refused inside their rate.
func BenchmarkExperimentRefusals(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| case | requests inside | refused by grants | refused by static split | worst account's share | tokens over |")
		fmt.Println("|---|---|---|---|---|---|")
		const end = 120 * time.Second
		s := newSim(defaultSim(), fleetAccounts())
		s.drive(end, steadyLoad, anywhere)
		s.runUntil(end)
		s.sum(0, end, "").row("steady at 0.8 of the rate, nine VMs")

		s = newSim(defaultSim(), fleetAccounts())
		s.drive(end, steadyLoad, func(string) int { return int(s.now/(5*time.Second)) % 9 })
		s.runUntil(end)
		s.sum(0, end, "").row("all demand moves to another VM every 5 s")

		s = newSim(defaultSim(), fleetAccounts())
		s.drive(end, func(n string) float64 {
			if n == "account-3" {
				return 5
			}
			return 0.8
		}, anywhere)
		s.runUntil(end)
		s.sum(0, end, "account-3").row("the four others while one sends five times its rate")
		s.score("account-3", 0, end).row("the one at five times its rate")

		for _, way := range failoverWays() {
			total := score{served: 1}
			for seed := range uint64(5) {
				opt := way.opt
				opt.seed = seed
				s := newSim(opt, fleetAccounts())
				s.drive(50*time.Second, steadyLoad, anywhere)
				s.at(30*time.Second, func() { s.elect(1500 * time.Millisecond) })
				s.runUntil(50 * time.Second)
				sc := s.sum(30*time.Second, 40*time.Second, "")
				total.inside += sc.inside
				total.refused += sc.refused
				total.static += sc.static
				total.over = max(total.over, sc.over)
				total.served = min(total.served, sc.served)
			}
			total.row("10 s from the owner's death, " + way.name)
		}
	}
}

type failoverWay struct {
	name string
	opt  simOptions
}

func failoverWays() []failoverWay {
	promised, empty, waitOut := defaultSim(), defaultSim(), defaultSim()
	empty.noFloor = true
	waitOut.waitOut = true
	return []failoverWay{
		{"promised floor and cap", promised},
		{"promised cap, empty bucket", empty},
		{"no promise, leases waited out", waitOut},
	}
}

// wire counts the bytes of one holder's connection, both ways, as net/rpc writes them.
type wire struct {
	n   int64
	out *gob.Encoder
	in  *gob.Encoder
}

// Write counts.
func (w *wire) Write(p []byte) (int, error) {
	w.n += int64(len(p))
	return len(p), nil
}

func newWire() *wire {
	w := &wire{}
	w.out, w.in = gob.NewEncoder(w), gob.NewEncoder(w)
	return w
}

func (w *wire) count(req *SyncRequest, reply *SyncReply) {
	_ = w.out.Encode(&rpc.Request{ServiceMethod: "Grants.Sync", Seq: req.Seq}) // a counter never fails
	_ = w.out.Encode(req)
	_ = w.in.Encode(&rpc.Response{ServiceMethod: "Grants.Sync", Seq: req.Seq})
	_ = w.in.Encode(reply)
}

// BenchmarkExperimentTraffic measures messages and bytes of a VM against accounts in
// use and VMs; an account sends two requests a second at each VM where it is in use.
func BenchmarkExperimentTraffic(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| VMs | accounts in use at each | messages a second and VM | bytes a second and VM, both ways |")
		fmt.Println("|---|---|---|---|")
		for _, shape := range []struct{ vms, accounts int }{{9, 1}, {9, 5}, {9, 10}, {9, 20}, {9, 40}, {3, 10}, {27, 10}, {81, 10}} {
			messages, bytes := traffic(shape.vms, shape.accounts)
			fmt.Printf("| %d | %d | %.2f | %.0f |\n", shape.vms, shape.accounts, messages, bytes)
		}
	}
}

func traffic(vms, accounts int) (messages, bytes float64) {
	opt := defaultSim()
	opt.holders = vms
	limits := map[string]Limit{}
	for i := range accounts {
		rate := int64(vms) * 2 * 1500 * 5 / 4
		limits[fmt.Sprintf("account-%04d", i)] = Limit{Rate: rate, Burst: 10 * rate}
	}
	s := newSim(opt, limits)
	wires := map[*simNode]*wire{}
	counting := false
	s.traffic = func(n *simNode, req *SyncRequest, reply *SyncReply) {
		if wires[n] == nil {
			wires[n] = newWire()
		}
		if !counting {
			wires[n].n = 0
		}
		wires[n].count(req, reply)
	}
	s.drive(40*time.Second, steadyLoad, anywhere)
	s.runUntil(10 * time.Second)
	counting = true
	before := s.messages
	s.runUntil(40 * time.Second)
	total := int64(0)
	for _, w := range wires {
		total += w.n
	}
	per := 30 * float64(vms)
	return float64(s.messages-before) / per, float64(total) / per
}

// BenchmarkExperimentStreams measures accounts at 0.8 of their rate by what they use,
// whose requests reserve more and last long, against one bucket that refunds at the end.
func BenchmarkExperimentStreams(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| requests last, mean | reserved over used | requests inside | refused by grants | tokens over |")
		fmt.Println("|---|---|---|---|---|")
		for _, hold := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second} {
			for _, over := range []float64{1.25, 1.67, 3} {
				s, sc := streams(hold, over)
				fmt.Printf("| %v | %.2f | %d | %.2f %% | %d |\n", hold, over, sc.inside, 100*float64(sc.refused)/float64(sc.inside), s.excess("a", s.limits["a"]).Tokens)
			}
		}
	}
}

func streams(hold time.Duration, over float64) (*sim, score) {
	limit := Limit{Rate: 20000, Burst: 200000}
	s := newSim(defaultSim(), map[string]Limit{"a": limit})
	ref := newReference(limit)
	var sc score
	const mean = 1500
	var next func()
	next = func() {
		if s.now >= 120*time.Second {
			return
		}
		used := 1 + int64(min(s.rng.ExpFloat64()*mean, 4*mean))
		tokens := int64(float64(used)*over) + 1
		last := time.Duration(s.rng.ExpFloat64() * float64(hold))
		inside := ref.admit(s.now, tokens)
		if inside {
			s.after(last, func() { ref.bucket.level = min(limit.Burst, ref.bucket.level+tokens-used) })
		}
		i := len(s.arrivals)
		s.request(s.rng.IntN(s.opt.holders), "a", tokens, used, last)
		if inside && s.now > 20*time.Second {
			sc.inside++
			s.after(s.opt.outage, func() {
				if s.arrivals[i].refused {
					sc.refused++
				}
			})
		}
		s.after(time.Duration(s.rng.ExpFloat64()*mean/(0.8*float64(limit.Rate))*float64(time.Second)), next)
	}
	s.at(time.Second, next)
	s.runUntil(180 * time.Second)
	return s, sc
}
