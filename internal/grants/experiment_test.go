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

// bucket is a token bucket with exact integer refill.
type bucket struct {
	level    int64         // tokens
	fraction int64         // fraction of a token, in billionths
	last     time.Duration // time of the last refill
}

// refill adds the tokens that the rate supplied since the last refill, but no more than
// room. It shortens the time by the drift bound, because the clock may be fast and the true
// rate must be kept.
func (b *bucket) refill(now time.Duration, rate, room int64) {
	elapsed := now - b.last
	if elapsed <= 0 {
		return
	}
	b.last = now
	elapsed -= elapsed / (ppm / DriftPPM)
	if room <= 0 {
		b.fraction = 0
		return
	}
	if elapsed.Seconds()*float64(rate) >= float64(room)+1 {
		b.level += room
		b.fraction = 0
		return
	}
	b.fraction += int64(elapsed) * rate
	add := b.fraction / int64(time.Second)
	b.fraction %= int64(time.Second)
	if add >= room {
		add, b.fraction = room, 0
	}
	b.level += add
}

// singleBucket is the reference: one bucket that all VMs use without delay.
type singleBucket struct {
	bucket bucket
	limit  Limit
}

func newSingleBucket(l Limit) *singleBucket {
	return &singleBucket{bucket: bucket{level: l.Burst}, limit: l}
}

// admit reports whether the bucket has the tokens, and removes them if so.
func (b *singleBucket) admit(at time.Duration, tokens int64) bool {
	b.bucket.refill(at, b.limit.Rate, b.limit.Burst-b.bucket.level)
	if tokens > b.bucket.level {
		return false
	}
	b.bucket.level -= tokens
	return true
}

// score compares a trace with the reference, a singleBucket, and with a static split of rate
// and burst over the VMs.
type score struct {
	withinRate    int     // requests that the reference admits
	refused       int     // of these, refused by the grants
	staticRefused int     // of these, refused by the static split
	excess        int64   // tokens above the limit in the worst window
	servedShare   float64 // admitted tokens as a fraction of those that the reference admits
}

// score returns the score of an account's requests that arrived from from until before to.
func (s *sim) score(account string, from, to time.Duration) score {
	limit := s.limits[account]
	ref := newSingleBucket(limit)
	split := make([]*singleBucket, s.opt.holders)
	for i := range split {
		n := int64(s.opt.holders)
		split[i] = newSingleBucket(Limit{Rate: limit.Rate / n, Burst: limit.Burst / n})
	}
	var sc score
	var servedTokens, referenceTokens int64
	for _, a := range s.arrivals {
		if a.account != account {
			continue
		}
		staticAdmits := split[a.node].admit(a.at, a.tokens)
		withinRate := ref.admit(a.at, a.tokens)
		if a.at < from || a.at >= to {
			continue
		}
		if !a.refused {
			servedTokens += a.tokens
		}
		if !withinRate {
			continue
		}
		referenceTokens += a.tokens
		sc.withinRate++
		if a.refused {
			sc.refused++
		}
		if !staticAdmits {
			sc.staticRefused++
		}
	}
	sc.excess = s.excess(account, limit).Tokens
	sc.servedShare = float64(servedTokens) / float64(max(1, referenceTokens))
	return sc
}

// experimentAccounts returns five accounts of different size. The burst of each is 10 s of its
// rate.
func experimentAccounts() map[string]Limit {
	all := map[string]Limit{}
	for i, rate := range []int64{60000, 30000, 20000, 6000, 3000} {
		all[fmt.Sprintf("account-%d", i+1)] = Limit{Rate: rate, Burst: 10 * rate}
	}
	return all
}

// sendLoad sends every account's requests at load times its rate. vm returns the node that a
// request of an account is sent to, or -1 for a random one.
func (s *sim) sendLoad(until time.Duration, load func(account string) float64, vm func(account string) int) {
	for _, name := range sortedNames(s.limits) {
		rate := load(name) * float64(s.limits[name].Rate)
		const mean = 1500 // tokens per request
		var next func()
		next = func() {
			if s.now >= until {
				return
			}
			node := vm(name)
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

// sortedNames returns the accounts in the order of Owner.names.
func sortedNames(limits map[string]Limit) []string {
	o := NewOwner(1, OwnerOptions{})
	for n := range limits {
		o.accounts[n] = nil
	}
	return o.names()
}

func steadyLoad(string) float64 { return 0.8 }
func anyVM(string) int          { return -1 }

// totalScore combines the scores of all accounts: counts are added, servedShare is the least
// and excess the largest. The account without counts only for excess.
func (s *sim) totalScore(from, to time.Duration, without string) score {
	total := score{servedShare: 1}
	for _, n := range sortedNames(s.limits) {
		sc := s.score(n, from, to)
		total.excess = max(total.excess, sc.excess)
		if n == without {
			continue
		}
		total.withinRate += sc.withinRate
		total.refused += sc.refused
		total.staticRefused += sc.staticRefused
		total.servedShare = min(total.servedShare, sc.servedShare)
	}
	return total
}

// printRow prints the score as a row of a Markdown table.
func (sc score) printRow(name string) {
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(1, sc.withinRate)) }
	fmt.Printf("| %s | %d | %.3f %% | %.3f %% | %.4f | %d |\n", name, sc.withinRate, percent(sc.refused), percent(sc.staticRefused), sc.servedShare, sc.excess)
}

// BenchmarkExperimentRefusals counts refused requests that are within their account's rate.
func BenchmarkExperimentRefusals(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| case | requests inside | refused by grants | refused by static split | worst account's share | tokens over |")
		fmt.Println("|---|---|---|---|---|---|")
		const end = 120 * time.Second
		s := newSim(defaultSim(), experimentAccounts())
		s.sendLoad(end, steadyLoad, anyVM)
		s.runUntil(end)
		s.totalScore(0, end, "").printRow("steady at 0.8 of the rate, nine VMs")

		s = newSim(defaultSim(), experimentAccounts())
		s.sendLoad(end, steadyLoad, func(string) int { return int(s.now/(5*time.Second)) % 9 })
		s.runUntil(end)
		s.totalScore(0, end, "").printRow("all demand moves to another VM every 5 s")

		s = newSim(defaultSim(), experimentAccounts())
		s.sendLoad(end, func(n string) float64 {
			if n == "account-3" {
				return 5
			}
			return 0.8
		}, anyVM)
		s.runUntil(end)
		s.totalScore(0, end, "account-3").printRow("the four others while one sends five times its rate")
		s.score("account-3", 0, end).printRow("the one at five times its rate")

		for _, variant := range failoverVariants() {
			total := score{servedShare: 1}
			for seed := range uint64(5) {
				opt := variant.opt
				opt.seed = seed
				s := newSim(opt, experimentAccounts())
				s.sendLoad(50*time.Second, steadyLoad, anyVM)
				s.at(30*time.Second, func() { s.elect(1500 * time.Millisecond) })
				s.runUntil(50 * time.Second)
				sc := s.totalScore(30*time.Second, 40*time.Second, "")
				total.withinRate += sc.withinRate
				total.refused += sc.refused
				total.staticRefused += sc.staticRefused
				total.excess = max(total.excess, sc.excess)
				total.servedShare = min(total.servedShare, sc.servedShare)
			}
			total.printRow("10 s after the owner stops, " + variant.name)
		}
	}
}

// failoverVariant is a design of the owner's change that the experiments compare.
type failoverVariant struct {
	name string
	opt  simOptions
}

func failoverVariants() []failoverVariant {
	floorAndCap, emptyBucket, waitForLeases := defaultSim(), defaultSim(), defaultSim()
	emptyBucket.zeroFloor = true
	waitForLeases.fullCap = true
	return []failoverVariant{
		{"durable floor and cap", floorAndCap},
		{"durable cap, empty bucket", emptyBucket},
		{"no durable bound, wait for all leases", waitForLeases},
	}
}

// byteCounter counts the bytes that net/rpc writes for one holder's connection in both
// directions.
type byteCounter struct {
	bytes    int64
	requests *gob.Encoder
	replies  *gob.Encoder
}

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += int64(len(p))
	return len(p), nil
}

func newByteCounter() *byteCounter {
	c := &byteCounter{}
	c.requests, c.replies = gob.NewEncoder(c), gob.NewEncoder(c)
	return c
}

// count adds the bytes of a report and its reply.
func (c *byteCounter) count(req *SyncRequest, reply *SyncReply) {
	_ = c.requests.Encode(&rpc.Request{ServiceMethod: "Grants.Sync", Seq: req.Seq}) // Write never fails
	_ = c.requests.Encode(req)
	_ = c.replies.Encode(&rpc.Response{ServiceMethod: "Grants.Sync", Seq: req.Seq})
	_ = c.replies.Encode(reply)
}

// BenchmarkExperimentTraffic measures messages and bytes per VM for different numbers of
// accounts in use and of VMs. Each account sends two requests per second to each VM.
func BenchmarkExperimentTraffic(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| VMs | accounts in use at each | messages a second and VM | bytes a second and VM, both ways |")
		fmt.Println("|---|---|---|---|")
		for _, shape := range []struct{ vms, accounts int }{{9, 1}, {9, 5}, {9, 10}, {9, 20}, {9, 40}, {3, 10}, {27, 10}, {81, 10}} {
			messages, bytes := measureTraffic(shape.vms, shape.accounts)
			fmt.Printf("| %d | %d | %.2f | %.0f |\n", shape.vms, shape.accounts, messages, bytes)
		}
	}
}

// measureTraffic returns messages and bytes per second and VM.
func measureTraffic(vms, accounts int) (messages, bytes float64) {
	opt := defaultSim()
	opt.holders = vms
	limits := map[string]Limit{}
	for i := range accounts {
		rate := int64(vms) * 2 * 1500 * 5 / 4
		limits[fmt.Sprintf("account-%04d", i)] = Limit{Rate: rate, Burst: 10 * rate}
	}
	s := newSim(opt, limits)
	counters := map[*simNode]*byteCounter{}
	counting := false
	s.onReply = func(n *simNode, req *SyncRequest, reply *SyncReply) {
		if counters[n] == nil {
			counters[n] = newByteCounter()
		}
		if !counting {
			counters[n].bytes = 0
		}
		counters[n].count(req, reply)
	}
	s.sendLoad(40*time.Second, steadyLoad, anyVM)
	s.runUntil(10 * time.Second)
	counting = true
	before := s.messages
	s.runUntil(40 * time.Second)
	total := int64(0)
	for _, c := range counters {
		total += c.bytes
	}
	vmSeconds := 30 * float64(vms)
	return float64(s.messages-before) / vmSeconds, float64(total) / vmSeconds
}

// BenchmarkExperimentStreams counts refusals of an account whose long requests reserve more
// than they use. By the tokens used, the account is at 0.8 of its rate. The reference is one
// bucket that gets the refund at the end of each request.
func BenchmarkExperimentStreams(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| requests last, mean | reserved over used | requests inside | refused by grants | tokens over |")
		fmt.Println("|---|---|---|---|---|")
		for _, hold := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second} {
			for _, overReserve := range []float64{1.25, 1.67, 3} {
				s, sc := runStreams(hold, overReserve)
				fmt.Printf("| %v | %.2f | %d | %.2f %% | %d |\n", hold, overReserve, sc.withinRate, 100*float64(sc.refused)/float64(sc.withinRate), s.excess("a", s.limits["a"]).Tokens)
			}
		}
	}
}

// runStreams simulates requests that last hold on average and reserve overReserve times what
// they use.
func runStreams(hold time.Duration, overReserve float64) (*sim, score) {
	limit := Limit{Rate: 20000, Burst: 200000}
	s := newSim(defaultSim(), map[string]Limit{"a": limit})
	ref := newSingleBucket(limit)
	var sc score
	const mean = 1500
	var next func()
	next = func() {
		if s.now >= 120*time.Second {
			return
		}
		used := 1 + int64(min(s.rng.ExpFloat64()*mean, 4*mean))
		tokens := int64(float64(used)*overReserve) + 1
		duration := time.Duration(s.rng.ExpFloat64() * float64(hold))
		withinRate := ref.admit(s.now, tokens)
		if withinRate {
			s.after(duration, func() { ref.bucket.level = min(limit.Burst, ref.bucket.level+tokens-used) })
		}
		i := len(s.arrivals)
		s.request(s.rng.IntN(s.opt.holders), "a", tokens, used, duration)
		if withinRate && s.now > 20*time.Second {
			sc.withinRate++
			s.after(s.opt.ownerWait, func() {
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
