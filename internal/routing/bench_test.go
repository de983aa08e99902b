package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"eelgrasshollow/internal/prefix"
)

// chainOf returns the chain of one of many prompts; prompts that are equal modulo 8 share
// the first half.
func chainOf(prompt, depth int) []prefix.Hash {
	rng := rand.New(rand.NewPCG(uint64(prompt%8), 1))
	chain := make([]prefix.Hash, depth)
	for i := range chain {
		if i == depth/2 {
			rng = rand.New(rand.NewPCG(uint64(prompt), 2))
		}
		chain[i] = prefix.Hash(rng.Uint64())
	}
	return chain
}

func newWarmCore(endpoints, depth, prompts int) (*Core, []Request) {
	c := NewCore(DefaultPolicy(DefaultTuning()), DefaultLimits(), epoch)
	c.SetEndpoints(epoch, engines(endpoints, 1000))
	requests := make([]Request, prompts)
	for i := range requests {
		requests[i] = request("a", chainOf(i, depth)...)
		p := submit(c, epoch, requests[i])
		c.Finish(epoch, p, successResult(p, "i", 0))
	}
	return c, requests
}

func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{9, 170, 1000} {
		for _, depth := range []int{4, 16, 64} {
			b.Run(fmt.Sprintf("endpoints=%d/depth=%d", endpoints, depth), func(b *testing.B) {
				c, requests := newWarmCore(endpoints, depth, 500)
				now := epoch
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Millisecond)
					p := submit(c, now, requests[i%len(requests)])
					c.Finish(now, p, Result{Incarnation: "i", PromptTokens: p.Request.PromptTokens, CachedTokens: p.Decision.CachedTokens, FirstToken: time.Millisecond})
				}
			})
		}
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports bytes per endpoint and per tracked prefix.
func BenchmarkMemory(b *testing.B) {
	const endpoints, prefixes = 10_000, 100_000
	for b.Loop() {
		before := heapBytes()
		c := NewCore(DefaultPolicy(DefaultTuning()), DefaultLimits(), epoch)
		c.SetEndpoints(epoch, engines(endpoints, 8))
		withFleet := heapBytes()
		for i := range prefixes / 10 {
			chain := chainOf(1000+i, 10)
			c.index.Touch(c.byName["e0"].index, chain, epoch)
			c.index.Touch(c.byName["e1"].index, chain, epoch)
		}
		withPrefixes := heapBytes()
		b.ReportMetric((withFleet-before)/endpoints, "B/endpoint")
		b.ReportMetric((withPrefixes-withFleet)/float64(c.index.Len()), "B/prefix")
		runtime.KeepAlive(c)
	}
}

// BenchmarkDigest encodes and applies a digest after each request.
func BenchmarkDigest(b *testing.B) {
	for _, endpoints := range []int{9, 170, 1000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			c, requests := newWarmCore(endpoints, 10, 50)
			peer, _ := newWarmCore(endpoints, 10, 50)
			now := epoch
			bytes := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Millisecond)
				p := submit(c, now, requests[i%len(requests)])
				c.Finish(now, p, successResult(p, "i", 0))
				d := c.NextDigest("a", 1024)
				bytes += d.Size()
				peer.ApplyDigest(now, d)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/digest")
		})
	}
}

// BenchmarkAbsorb applies a full digest of 1 KiB.
func BenchmarkAbsorb(b *testing.B) {
	c, requests := newWarmCore(1000, 10, 500)
	peer, _ := newWarmCore(1000, 10, 50)
	for _, r := range requests {
		submit(c, epoch, r)
	}
	d := c.NextDigest("a", 1024)
	b.ReportAllocs()
	for b.Loop() {
		peer.ApplyDigest(epoch, d)
	}
	b.ReportMetric(float64(d.Size()), "B/digest")
}
