package fleetview

import (
	"context"
	"encoding/gob"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetcontrol"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/statemachine"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const (
	scaleReplicas = 9
	scaleDomains  = 6
	scaleServers  = 90
)

// group is a group of control replicas in memory that changes its leader on demand, with the
// messages between them and the entry VMs counted.
type group struct {
	mu       sync.Mutex
	term     uint64
	leader   int
	changed  chan struct{}
	services map[string]*fleetcontrol.Service // by peer address
	messages map[string]int                   // calls, by the address of the receiver
	bytes    int                              // of all arguments and replies
	encoders map[string]*countingEncoder
}

// countingEncoder counts the bytes of values on one connection, which sends each type once.
type countingEncoder struct {
	encoder *gob.Encoder
	bytes   int
}

func (c *countingEncoder) Write(b []byte) (int, error) {
	c.bytes += len(b)
	return len(b), nil
}

func replicaAddress(i int) string { return fmt.Sprint("control-", i) }

// count counts a call and its arguments or reply on the connection of a caller to a receiver.
func (g *group) count(from, to string, value any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := from + ">" + to
	c := g.encoders[key]
	if c == nil {
		c = &countingEncoder{}
		c.encoder = gob.NewEncoder(c)
		g.encoders[key] = c
		// The types are sent once for each connection.
		_ = c.encoder.Encode(&fleetcontrol.PollArgs{})
		_ = c.encoder.Encode(&fleetcontrol.PollReply{})
		_ = c.encoder.Encode(&fleetcontrol.FollowArgs{})
		_ = c.encoder.Encode(&fleetcontrol.FollowReply{})
	}
	before := c.bytes
	if err := c.encoder.Encode(value); err != nil {
		panic(err)
	}
	g.bytes += c.bytes - before
}

// caller is the connection of one VM to the replicas.
type caller struct {
	group *group
	from  string
}

func (c caller) Call(ctx context.Context, address, _ string, args, reply any) error {
	c.group.mu.Lock()
	service := c.group.services[address]
	c.group.messages[address]++
	c.group.mu.Unlock()
	if service == nil {
		return errkind.New(errkind.NoQuorum, "no replica at %s", address)
	}
	time.Sleep(time.Millisecond)
	c.group.count(c.from, address, args)
	var err error
	switch args := args.(type) {
	case *fleetcontrol.PollArgs:
		err = service.Poll(args, reply.(*fleetcontrol.PollReply))
	case *fleetcontrol.FollowArgs:
		err = service.Follow(args, reply.(*fleetcontrol.FollowReply))
	}
	if ctx.Err() != nil {
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "canceled")
	}
	if err == nil {
		c.group.count(c.from, address, reply)
	}
	return err
}

// groupReplica is one replica of a group. Its state is always fresh.
type groupReplica struct {
	group *group
	index int
}

func (r groupReplica) Propose(context.Context, string, []byte) (statemachine.Result, error) {
	return statemachine.Result{}, errkind.New(errkind.NotLeader, "not used")
}
func (r groupReplica) ReadBarrier(context.Context) error { return nil }
func (r groupReplica) Leading() (uint64, bool) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.group.term, r.group.leader == r.index
}
func (r groupReplica) Leader() string {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return replicaAddress(r.group.leader)
}
func (r groupReplica) Status() *consensus.ReplicaStatus {
	return &consensus.ReplicaStatus{FreshAsOf: time.Now()}
}
func (r groupReplica) Changed() <-chan struct{} {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.group.changed
}

// elect makes the replica with an index the leader of a new term.
func (g *group) elect(leader int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.leader = leader
	close(g.changed)
	g.changed = make(chan struct{})
}

// cost is what a fleet sent in some time.
type cost struct{ messages, bytes, toLeader int }

// measure runs f and returns the cost of what was sent meanwhile.
func (g *group) measure(f func()) cost {
	g.mu.Lock()
	clear(g.messages)
	g.bytes = 0
	g.mu.Unlock()
	f()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := cost{bytes: g.bytes, toLeader: g.messages[replicaAddress(g.leader)]}
	for _, n := range g.messages {
		c.messages += n
	}
	return c
}

// scaleCosts starts a fleet of entry VMs at once and returns the costs of its events.
func scaleCosts(t *testing.T, vms int) map[string]cost {
	g := &group{term: 1, changed: make(chan struct{}), services: map[string]*fleetcontrol.Service{}, messages: map[string]int{}, encoders: map[string]*countingEncoder{}}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	servers := make([]fleet.Server, scaleServers)
	for i := range servers {
		servers[i] = fleet.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Weights: []fleet.Weights{{Model: "m", Version: 1}}}
	}
	var replicas []*fleetcontrol.Service
	for i := range scaleReplicas {
		self := fleetcontrol.ControlVM{Address: replicaAddress(i), FailureDomain: fmt.Sprint("d", i%scaleDomains)}
		machine := fleetcontrol.NewMachine(func([]byte) (*fleet.Config, error) { return &fleet.Config{}, nil }, time.Now)
		s := fleetcontrol.NewService(self, machine, groupReplica{g, i}, caller{g, self.Address}, time.Now, zap.NewNop())
		g.services[self.Address] = s
		replicas = append(replicas, s)
	}
	for _, s := range replicas {
		running.Go(func() { s.Run(ctx) })
	}
	fleet.SortServers(servers)
	g.services[replicaAddress(0)].SetServers(servers)
	clients := make([]*Client, vms)
	costs := map[string]cost{}
	costs["start of all VMs"] = g.measure(func() {
		for i := range clients {
			vm := membership.VM{Name: fmt.Sprintf("vm-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:7600", i/250, i%250), FailureDomain: fmt.Sprint("d", i%scaleDomains)}
			c := NewClient(Config{VM: vm, Seeds: []string{replicaAddress(0), replicaAddress(1), replicaAddress(2)}, Lister: noList{}, Now: time.Now, Log: zap.NewNop()})
			c.peers, c.leader = caller{g, vm.Name}, peer.NewLeaderClient(nil, []string{replicaAddress(0)})
			clients[i] = c
			running.Go(func() { c.run(ctx) })
		}
		time.Sleep(4 * time.Second)
	})
	current := func(wantServers []fleet.Server) {
		for _, c := range clients {
			assert.Equal(t, len(c.View().VMs), vms)
			assert.Assert(t, fleet.SameServers(c.View().Servers, wantServers))
			assert.Assert(t, c.Age() <= controlTimeout, "%v", c.Age())
		}
	}
	current(servers)
	const observed = 5 * time.Second
	costs["nothing"] = g.measure(func() { time.Sleep(observed) })
	costs["election"] = g.measure(func() {
		g.elect(4)
		g.services[replicaAddress(4)].SetServers(servers)
		time.Sleep(observed)
	})
	current(servers)
	changed := slices.Clone(servers)
	costs["change of one server"] = g.measure(func() {
		changed[7].Draining = true // an item of changed, which no VM has yet
		g.services[replicaAddress(4)].SetServers(changed)
		time.Sleep(observed)
	})
	current(changed)
	costs["new seeds everywhere"] = g.measure(func() {
		for _, c := range clients {
			c.SetSeeds([]string{replicaAddress(5), replicaAddress(6), replicaAddress(7)})
		}
		time.Sleep(observed)
	})
	current(changed)
	return costs
}

// The pattern: 100 to 1,400 entry VMs behind nine control replicas. What an event costs must
// grow in proportion to the number of VMs, where each VM has to hear of each other one once in
// proportion to the size of that list; and the leader must not hear from every VM.
func TestCostOfEventsIsLinear(t *testing.T) {
	sizes := []int{100, 300, 1400}
	costs := map[int]map[string]cost{}
	for _, vms := range sizes {
		synctest.Test(t, func(t *testing.T) { costs[vms] = scaleCosts(t, vms) })
	}
	const slack = 1.3
	for event, base := range costs[sizes[0]] {
		for _, vms := range sizes {
			c, factor := costs[vms][event], float64(vms)/float64(sizes[0])
			t.Logf("%-22s %5d VMs: %.2f messages and %.0f bytes a VM, %d messages to the leader", event, vms,
				float64(c.messages)/float64(vms), float64(c.bytes)/float64(vms), c.toLeader)
			assert.Assert(t, float64(c.messages) <= slack*factor*float64(base.messages), "%s at %d VMs", event, vms)
			// Reports of the replicas, at most ten a second from each. After an election, the VMs
			// that polled the new leader before poll it once more; at the start, the VMs ask the
			// seeds first, one of which leads.
			toLeader := 50 * scaleReplicas
			switch event {
			case "election":
				toLeader += 2 * vms / scaleReplicas
			case "start of all VMs":
				toLeader += 3 * vms
			}
			assert.Assert(t, c.toLeader <= toLeader, "%s at %d VMs: %d messages to the leader", event, vms, c.toLeader)
			// At the start and after an election, each VM reads the list of all VMs once or
			// twice, completed by a new leader; everything else is in proportion.
			lists := 0.0
			if event == "start of all VMs" || event == "election" {
				lists = 6 * 100 * float64(vms) * float64(vms)
			}
			assert.Assert(t, float64(c.bytes) <= slack*factor*float64(base.bytes)+lists, "%s at %d VMs: %d bytes", event, vms, c.bytes)
		}
	}
}
