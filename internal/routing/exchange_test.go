package routing

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

type idle struct{}

func (idle) Provision(*kernel.Kernel) error { return nil }
func (idle) Start(context.Context) error    { return nil }
func (idle) Stop(context.Context) error     { return nil }

// vmNet joins the digest services of VMs in memory.
type vmNet struct{ sync.Map }

type vmServer struct {
	idle
	net     *vmNet
	address string
}

func (s *vmServer) Address() string { return s.address }
func (s *vmServer) Register(_ string, r any) error {
	s.net.Store(s.address, r)
	return nil
}

type vmPool struct {
	idle
	net *vmNet
}

func (p *vmPool) Call(_ context.Context, address, method string, args, reply any) error {
	registered, ok := p.net.Load(address)
	if !ok {
		return errkind.New(errkind.NoQuorum, "down")
	}
	r := registered.(receiver)
	if strings.HasSuffix(method, ".Give") {
		return r.Give(args.(DigestArgs), reply.(*DigestReply))
	}
	return r.Recall(args.(RecallArgs), reply.(*RecallReply))
}

type vmDirectory struct {
	fixedDirectory
	vms []watch.VM
}

func (d *vmDirectory) VMs() []watch.VM             { return d.vms }
func (d *vmDirectory) Leave(context.Context) error { return nil }

// reportSource answers for every engine as one run.
type reportSource struct {
	idle
	mu    sync.Mutex
	reads map[string]int
	run   string
}

func (s *reportSource) Load(_ context.Context, address string) (engineapi.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[address]++
	return engineapi.Load{Incarnation: s.run, Versions: map[string]string{"m": "v1"}}, nil
}

func (s *reportSource) Events(ctx context.Context, _ string, _ uint64, _ func(engineapi.Event) error) error {
	<-ctx.Done()
	return ctx.Err()
}

var twoVMs = []watch.VM{{Name: "a", PeerAddress: "a:1"}, {Name: "b", PeerAddress: "b:1"}}

func startVM(t *testing.T, net *vmNet, address string, source *reportSource) *Module {
	var endpoints []*pb.Endpoint
	for _, e := range engines(9, 8) {
		endpoints = append(endpoints, &pb.Endpoint{Name: e.Name, Address: e.Address, Models: e.Models, Role: pb.EndpointRole_ENDPOINT_ROLE_ENGINE, MaxConcurrent: 8})
	}
	k := kernel.New(zap.NewNop())
	view := state.NewView(&pb.Configuration{Revision: 1, Endpoints: endpoints})
	k.Register("entry.directory", &vmDirectory{fixedDirectory{view}, twoVMs})
	k.Register(peer.ServerName, &vmServer{net: net, address: address})
	k.Register(peer.PoolName, &vmPool{net: net})
	k.Register("entry.engine", source)
	m := NewModule(Settings{QueuePerEndpoint: 8, LongestWait: time.Second, TrackedPrefixes: 1000, DigestEvery: 100 * time.Millisecond, DigestBytes: 1024, LoadEvery: 500 * time.Millisecond}, nil)
	k.Register(ModuleName, m, "entry.directory", peer.ServerName, peer.PoolName, "entry.engine")
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
	return m
}

func newSource() *reportSource { return &reportSource{reads: map[string]int{}, run: "i1"} }

func TestPeersLearnPlacementsAndOneReadsEachEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, sourceA, sourceB := &vmNet{}, newSource(), newSource()
		a, b := startVM(t, net, "a:1", sourceA), startVM(t, net, "b:1", sourceB)
		time.Sleep(2 * time.Second)
		r := ask("acct", "v1")
		first, err := a.Pick(t.Context(), r)
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
		second, err := b.Pick(t.Context(), r)
		assert.NilError(t, err)
		assert.Equal(t, second.Decision().Endpoint, first.Decision().Endpoint)
		assert.Equal(t, second.Decision().CachedTokens, 9000)
		sourceA.mu.Lock()
		sourceB.mu.Lock()
		defer sourceA.mu.Unlock()
		defer sourceB.mu.Unlock()
		for address := range sourceA.reads {
			assert.Equal(t, sourceB.reads[address], 0, "%s is read by both", address)
		}
		assert.Equal(t, len(sourceA.reads)+len(sourceB.reads), 9)
	})
}

func TestRestartedVMRecallsFromItsPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &vmNet{}
		a := startVM(t, net, "a:1", newSource())
		time.Sleep(2 * time.Second)
		r := ask("acct", "v1")
		first, err := a.Pick(t.Context(), r)
		assert.NilError(t, err)
		first.Done(Result{Incarnation: "i1", PromptTokens: r.PromptTokens})
		time.Sleep(time.Second)
		b := startVM(t, net, "b:1", newSource())
		time.Sleep(200 * time.Millisecond)
		second, err := b.Pick(t.Context(), r)
		assert.NilError(t, err)
		assert.Equal(t, second.Decision().Endpoint, first.Decision().Endpoint)
		assert.Equal(t, second.Decision().CachedTokens, 9000)
	})
}

func TestEventsAreReadWithinTheirBudget(t *testing.T) {
	b := newByteBudget(100)
	now := time.Unix(1_000_000, 0)
	event := engineapi.Event{Hashes: make([]string, 10)}
	read := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if b.take(eventBytes(event), now) {
			read += eventBytes(event)
		}
	}
	assert.Assert(t, read <= 100*(30+10), "%d bytes in 10 s", read)
	assert.Assert(t, read > 100*30)
}

// countedPool counts the calls to each peer; each answers at once.
type countedPool struct {
	mu     sync.Mutex
	gives  map[string]int
	most   int // in any tenth of a second
	recent []time.Time
	asked  int // recalls
	knows  bool
}

func (p *countedPool) Call(_ context.Context, address, method string, _, reply any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := reply.(*RecallReply); ok {
		p.asked++
		d := &digest.Digest{From: address}
		if p.knows {
			d.Placements = []digest.Placement{{Prefix: 1}}
		}
		r.Body = d.Encode()
		return nil
	}
	p.gives[address]++
	now := time.Now()
	p.recent = append(slices.DeleteFunc(p.recent, func(t time.Time) bool { return now.Sub(t) > 100*time.Millisecond }), now)
	p.most = max(p.most, len(p.recent))
	return nil
}

// playExchange lets one VM of a fleet send digests while every request brings a new prefix.
func playExchange(t *testing.T, peers int, calls float64, knows bool, lasts time.Duration) *countedPool {
	var vms []watch.VM
	for i := range peers + 1 {
		vms = append(vms, watch.VM{Name: fmt.Sprint(i), PeerAddress: fmt.Sprintf("vm-%03d:1", i)})
	}
	pool := &countedPool{gives: map[string]int{}, knows: knows}
	m := &Module{
		settings: Settings{DigestEvery: 250 * time.Millisecond, DigestBytes: 1024, DigestCalls: calls},
		core:     NewCore(DefaultPolicy(DefaultTuning()), DefaultLimits(), time.Now()),
		fleet:    &vmDirectory{vms: vms}, server: &vmServer{address: vms[peers/2].PeerAddress}, log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(lasts, cancel)
	var requests sync.WaitGroup
	requests.Go(func() {
		time.Sleep(urgentEvery / 2) // between two looks of the exchange
		for ctx.Err() == nil {
			m.mu.Lock()
			m.core.urgent = true
			m.mu.Unlock()
			time.Sleep(urgentEvery)
		}
	})
	assert.NilError(t, newExchange(m, pool).run(ctx))
	requests.Wait()
	return pool
}

// TestDigestsOfALargeFleet is a fleet of small VMs where every VM sees new prefixes all
// the time: what a VM sends must not grow with the number of VMs.
func TestDigestsOfALargeFleet(t *testing.T) {
	const calls, lasts = 40, 20 * time.Second
	for _, peers := range []int{80, 300} {
		synctest.Test(t, func(t *testing.T) {
			pool := playExchange(t, peers, calls, false, lasts)
			sum := 0
			for _, n := range pool.gives {
				sum += n
			}
			assert.Assert(t, sum <= int(calls*lasts.Seconds())+digestBurst, "%d digests to %d peers", sum, peers)
			assert.Equal(t, len(pool.gives), peers, "some peers heard nothing")
			assert.Assert(t, pool.most <= digestBurst+calls/10+1, "%d digests in 100 ms", pool.most)
		})
	}
}

func TestDigestsOfASmallFleetLeaveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := playExchange(t, 8, 500, false, 10*time.Second)
		for peer, n := range pool.gives {
			assert.Assert(t, n > 400, "%s heard %d times in 10 s", peer, n)
		}
	})
}

func TestRecallAsksAFewPeersThatKnow(t *testing.T) {
	for knows, most := range map[bool]int{true: recallPeers + digestBurst, false: 80} {
		synctest.Test(t, func(t *testing.T) {
			pool := playExchange(t, 80, 40, knows, 10*time.Second)
			assert.Assert(t, pool.asked >= recallPeers && pool.asked <= most, "%d peers asked, knows %v", pool.asked, knows)
		})
	}
}

// TestPeersOfALongRoundAreNotForgotten: with so many peers that a round lasts longer than
// the usual silence, what they told must still count.
func TestPeersOfALongRoundAreNotForgotten(t *testing.T) {
	limits := DefaultLimits()
	limits.DigestsPerSecond = 40
	now := time.Unix(1_000_000, 0)
	c := NewCore(DefaultPolicy(DefaultTuning()), limits, now)
	for i := range 300 {
		c.ApplyDigest(now, &digest.Digest{From: fmt.Sprint(i)})
	}
	c.forgetSilent(now.Add(15 * time.Second)) // two rounds of 7.5 s
	assert.Equal(t, c.vms, 301)
	c.forgetSilent(now.Add(30 * time.Second))
	assert.Equal(t, c.vms, 1)
}
