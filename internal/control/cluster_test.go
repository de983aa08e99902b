package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/statemachine"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const (
	testElection  = time.Second
	testBeat      = 100 * time.Millisecond
	testFreshness = 3 * time.Second
	testDelay     = time.Millisecond
	testHashKey   = "test"
	settleTime    = time.Minute // for calls under way at the end of a test
)

// memStore is a Storage whose content outlives the replica.
type memStore struct {
	mu     sync.Mutex
	name   string
	boot   uint64
	hard   consensus.HardState
	snap   consensus.Snapshot
	log    []consensus.Entry
	broken error
}

func (s *memStore) Save(h consensus.HardState, install *consensus.Snapshot, es []consensus.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return s.broken
	}
	s.hard = h
	if install != nil {
		s.snap, s.log = *install, nil
	}
	if len(es) > 0 {
		s.log = slices.DeleteFunc(s.log, func(e consensus.Entry) bool { return e.Index >= es[0].Index })
		s.log = append(s.log, es...)
	}
	return nil
}

func (s *memStore) SaveSnapshot(snap consensus.Snapshot, dropTo uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return s.broken
	}
	s.snap = snap
	s.log = slices.DeleteFunc(s.log, func(e consensus.Entry) bool { return e.Index <= dropTo })
	return nil
}

func (s *memStore) Snapshot() (consensus.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snap, nil
}

func (s *memStore) Close() error { return nil }

func (s *memStore) load() consensus.StoredState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot++
	s.hard.Writes++
	es := slices.DeleteFunc(slices.Clone(s.log), func(e consensus.Entry) bool { return e.Index <= s.snap.Index })
	return consensus.StoredState{HardState: s.hard, Snapshot: s.snap, Entries: es,
		Identity: consensus.Identity{Store: s.name, Boot: s.boot, Nonce: rand.Uint64(), WritesAtBoot: s.hard.Writes}}
}

// node is one control replica with its services.
type node struct {
	id      uint64
	store   *memStore
	replica *consensus.Replica
	machine *state.Machine
	watch   *watch.Server
	service *Service
	rpc     map[string]any
	fatal   error
}

// cluster joins nodes by an in-memory network.
type cluster struct {
	t  *testing.T
	mu sync.Mutex
	// slow is how long a snapshot takes.
	slow time.Duration
	// cut holds the directions that are silent; "" as the sender is a watcher.
	cut   map[[2]string]bool
	nodes map[string]*node
}

func addressOf(id uint64) string { return fmt.Sprint("replica", id) }

func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{t: t, cut: map[[2]string]bool{}, nodes: map[string]*node{}}
	var members consensus.Membership
	for id := range uint64(size) {
		members.Members = append(members.Members, consensus.Member{ID: id + 1, Address: addressOf(id + 1)})
	}
	for _, x := range members.Members {
		c.add(x.ID, members)
	}
	return c
}

func (c *cluster) add(id uint64, first consensus.Membership) *node {
	n := &node{id: id, store: &memStore{name: fmt.Sprint("store", id, rand.Uint64()), snap: consensus.Snapshot{Membership: first}}}
	c.mu.Lock()
	c.nodes[addressOf(id)] = n
	c.mu.Unlock()
	c.start(n)
	return n
}

// slowMachine takes its time for a snapshot.
type slowMachine struct{ c *cluster }

func (slowMachine) Apply(uint64, []byte) []byte { return nil }
func (slowMachine) Restore(io.Reader) error     { return nil }
func (m slowMachine) Snapshot(io.Writer) error {
	time.Sleep(m.c.slow)
	return nil
}

// link is the network as one process sees it.
type link struct {
	c    *cluster
	from string
}

func (c *cluster) start(n *node) {
	machine := state.NewMachine()
	mux := statemachine.NewMux()
	mux.Add(state.Namespace, machine)
	mux.Add("slow", slowMachine{c})
	net := link{c, addressOf(n.id)}
	r, err := consensus.NewReplica(consensus.Options{
		Core: consensus.Config{ID: n.id, ElectionTimeout: testElection, HeartbeatInterval: testBeat, MaxAppendBytes: 1 << 20,
			Random: rand.New(rand.NewPCG(n.id, 7))},
		Storage: n.store, Stored: n.store.load(), Transport: consensus.NewPeerTransport(net), Machine: mux,
		Logger: zap.NewNop(), EntriesPerSnapshot: 100, RetainedEntries: 10,
		OnFatal: func(err error) { c.mu.Lock(); n.fatal = err; c.mu.Unlock() },
	})
	assert.NilError(c.t, err)
	w := watch.NewServer(r, machine, membership.NewTable(watch.MaxStaleness(testFreshness)), testFreshness, zap.NewNop())
	s := NewService(r, machine, w, net, keys.NewDeriver(testHashKey), zap.NewNop())
	c.mu.Lock()
	n.replica, n.machine, n.watch, n.service = r, machine, w, s
	n.rpc = map[string]any{"Consensus": consensus.NewService(r), "Watch": watch.NewReceiver(w), "Session": watch.NewExchangeReceiver(w), "Control": s.leader.local}
	c.mu.Unlock()
	r.Start()
	go w.Run(net)
}

// stop ends a node as a crash would; its store stays.
func (c *cluster) stop(n *node) {
	c.mu.Lock()
	n.rpc = nil
	c.mu.Unlock()
	n.watch.Close()
	_ = n.replica.Stop()
}

func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		c.stop(n)
	}
	time.Sleep(settleTime)
	synctest.Wait()
}

func (c *cluster) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]string{from, to}]
}

// isolate cuts a node off from every other process, or joins it again.
func (c *cluster) isolate(address string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.nodes {
		c.cut[[2]string{address, other}], c.cut[[2]string{other, address}] = cut, cut
	}
	c.cut[[2]string{"", address}] = cut
}

// Call carries a call; a cut in either direction is silence. As in peer.Pool, an answer
// that comes late is not written to reply.
func (l link) Call(ctx context.Context, address, method string, args, reply any) error {
	done := make(chan error, 1)
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	go func() {
		time.Sleep(testDelay)
		if l.c.isCut(l.from, address) {
			return
		}
		l.c.mu.Lock()
		n := l.c.nodes[address]
		var rpc map[string]any
		if n != nil {
			rpc = n.rpc
		}
		l.c.mu.Unlock()
		err := dispatch(rpc, method, args, answer.Interface())
		time.Sleep(testDelay)
		if !l.c.isCut(address, l.from) {
			done <- err
		}
	}()
	select {
	case err := <-done:
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(answer.Elem())
		}
		return err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "no answer")
	}
}

func dispatch(rpc map[string]any, method string, args, reply any) error {
	if rpc == nil {
		return errkind.New(errkind.NoQuorum, "refused")
	}
	switch a := args.(type) {
	case *consensus.Batch:
		return rpc["Consensus"].(*consensus.Service).Deliver(a, nil)
	case *watch.PollArgs:
		return rpc["Watch"].(*watch.Receiver).Poll(a, reply.(*watch.PollReply))
	case *watch.ExchangeArgs:
		return rpc["Session"].(*watch.ExchangeReceiver).Exchange(a, nil)
	case *CommandArgs:
		return plain(rpc["Control"].(*LeaderService).Command(a, reply.(*CommandReply)))
	case *MemberArgs:
		return rpc["Control"].(*LeaderService).member(a, reply.(*MemberReply))
	}
	if method == "Consensus.ReadIndex" {
		return plain(rpc["Consensus"].(*consensus.Service).ReadIndex(nil, reply.(*consensus.IndexReply)))
	}
	return errkind.New(errkind.Unsupported, "%s", method)
}

// plain stands in for the decoding of an error: whatever fails may have run.
func plain(err error) error {
	if err == nil {
		return nil
	}
	return errkind.Wrap(err, errkind.Timeout, "failed at the leader")
}

func (c *cluster) leader() *node {
	for range 200 {
		c.mu.Lock()
		for _, n := range c.nodes {
			if n.rpc != nil {
				if _, ok := n.replica.Leading(); ok {
					c.mu.Unlock()
					return n
				}
			}
		}
		c.mu.Unlock()
		time.Sleep(testBeat)
	}
	c.t.Fatal("no leader")
	return nil
}

func (c *cluster) change(n *node, op string, muts ...*pb.Mutation) (*pb.ChangeResponse, error) {
	ctx := context.WithValue(context.Background(), operatorKey{}, "ana")
	return n.service.change(ctx, &pb.ChangeMeta{OperationId: op}, nil, muts...)
}

func putAccount(name string, rate int64, expected uint64) *pb.Mutation {
	return &pb.Mutation{ExpectedRevision: expected, Change: &pb.Mutation_PutClientAccount{
		PutClientAccount: &pb.ClientAccount{Name: name, RateTokens: rate}}}
}

// client starts a watcher.
func (c *cluster) client(name string) *watch.Client {
	cfg := watch.ClientConfig{VM: membership.VM{Name: name, Address: name}, Freshness: testFreshness, Caller: link{c, ""}}
	for id := range uint64(len(c.nodes)) {
		cfg.ControlAddresses = append(cfg.ControlAddresses, addressOf(id+1))
	}
	w := watch.NewClient(cfg)
	assert.NilError(c.t, w.Start(context.Background()))
	return w
}
