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
	testElectionTimeout = time.Second
	testHeartbeat       = 100 * time.Millisecond
	testFreshness       = 3 * time.Second
	testNetworkDelay    = time.Millisecond
	testHashKey         = "test"
	drainTime           = time.Minute // for calls in progress at the end of a test
)

// memStore is a consensus.Storage in memory, whose content survives a restart of the
// replica.
type memStore struct {
	mu        sync.Mutex
	name      string
	bootCount uint64
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	log       []consensus.Entry
	failure   error
}

func (s *memStore) Save(hardState consensus.HardState, install *consensus.Snapshot, entries []consensus.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	s.hardState = hardState
	if install != nil {
		s.snapshot, s.log = *install, nil
	}
	if len(entries) > 0 {
		s.log = slices.DeleteFunc(s.log, func(e consensus.Entry) bool { return e.Index >= entries[0].Index })
		s.log = append(s.log, entries...)
	}
	return nil
}

func (s *memStore) SaveSnapshot(snap consensus.Snapshot, dropTo uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	s.snapshot = snap
	s.log = slices.DeleteFunc(s.log, func(e consensus.Entry) bool { return e.Index <= dropTo })
	return nil
}

func (s *memStore) Snapshot() (consensus.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot, nil
}

func (s *memStore) Entry(index uint64) (consensus.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.IndexFunc(s.log, func(e consensus.Entry) bool { return e.Index == index })
	if at < 0 {
		return consensus.Entry{}, fmt.Errorf("no entry %d", index)
	}
	return s.log[at], nil
}

func (s *memStore) Close() error { return nil }

func (s *memStore) load() consensus.StoredState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootCount++
	s.hardState.Writes++
	entries := slices.DeleteFunc(slices.Clone(s.log), func(e consensus.Entry) bool { return e.Index <= s.snapshot.Index })
	return consensus.StoredState{HardState: s.hardState, Snapshot: s.snapshot, Entries: entries,
		Identity: consensus.Identity{Store: s.name, Boot: s.bootCount, Nonce: rand.Uint64(), WritesAtBoot: s.hardState.Writes}}
}

// node is one control replica with its services. rpc is nil while the node is stopped.
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

// cluster connects nodes by an in-memory network.
type cluster struct {
	t  *testing.T
	mu sync.Mutex
	// snapshotDelay is the time that a snapshot takes.
	snapshotDelay time.Duration
	// cut holds the directions, as sender and receiver, whose messages are dropped. The
	// sender "" stands for all watchers.
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
	n := &node{id: id, store: &memStore{name: fmt.Sprint("store", id, rand.Uint64()), snapshot: consensus.Snapshot{Membership: first}}}
	c.mu.Lock()
	c.nodes[addressOf(id)] = n
	c.mu.Unlock()
	c.start(n)
	return n
}

// slowMachine is a state machine whose snapshot takes cluster.snapshotDelay.
type slowMachine struct{ c *cluster }

func (slowMachine) Apply(uint64, []byte) []byte { return nil }
func (slowMachine) Restore(io.Reader) error     { return nil }
func (m slowMachine) Snapshot(io.Writer) error {
	time.Sleep(m.c.snapshotDelay)
	return nil
}

// network sends calls from one process.
type network struct {
	c    *cluster
	from string
}

// start starts a node from its store.
func (c *cluster) start(n *node) {
	machine := state.NewMachine()
	mux := statemachine.NewMux()
	mux.Add(state.Namespace, machine)
	mux.Add("slow", slowMachine{c})
	net := network{c, addressOf(n.id)}
	r, err := consensus.NewReplica(consensus.Options{
		Core: consensus.Config{ID: n.id, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeat, MaxAppendBytes: 1 << 20,
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

// stop stops a node without draining, as a crash would. Its store survives.
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
	time.Sleep(drainTime)
	synctest.Wait()
}

func (c *cluster) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]string{from, to}]
}

// isolate cuts or restores the connections between a node and every other process.
func (c *cluster) isolate(address string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.nodes {
		c.cut[[2]string{address, other}], c.cut[[2]string{other, address}] = cut, cut
	}
	c.cut[[2]string{"", address}] = cut
}

// Call delivers a call. If either direction is cut, it gets no response. Like peer.Pool,
// it does not write a late response to reply.
func (n network) Call(ctx context.Context, address, method string, args, reply any) error {
	done := make(chan error, 1)
	response := reflect.New(reflect.TypeOf(reply).Elem())
	go func() {
		time.Sleep(testNetworkDelay)
		if n.c.isCut(n.from, address) {
			return
		}
		n.c.mu.Lock()
		target := n.c.nodes[address]
		var rpc map[string]any
		if target != nil {
			rpc = target.rpc
		}
		n.c.mu.Unlock()
		err := dispatch(rpc, method, args, response.Interface())
		time.Sleep(testNetworkDelay)
		if !n.c.isCut(address, n.from) {
			done <- err
		}
	}()
	select {
	case err := <-done:
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(response.Elem())
		}
		return err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "no response")
	}
}

// dispatch executes a call on the receivers of a node.
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
		return decodeError(rpc["Control"].(*LeaderService).Command(a, reply.(*CommandReply)))
	case *MemberArgs:
		return rpc["Control"].(*LeaderService).changeMembership(a, reply.(*MemberReply))
	}
	if method == "Consensus.ReadIndex" {
		return decodeError(rpc["Consensus"].(*consensus.Service).ReadIndex(nil, reply.(*consensus.IndexReply)))
	}
	return errkind.New(errkind.Unsupported, "%s", method)
}

// decodeError replaces the decoding of an error by peer.Pool: any failed call may have
// been executed.
func decodeError(err error) error {
	if err == nil {
		return nil
	}
	return errkind.Wrap(err, errkind.Timeout, "failed at the leader")
}

// leader waits for a leader and returns it.
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
		time.Sleep(testHeartbeat)
	}
	c.t.Fatal("no leader")
	return nil
}

// change makes a change through a node as the operator ana.
func (c *cluster) change(n *node, operationID string, mutations ...*pb.Mutation) (*pb.ChangeResponse, error) {
	ctx := context.WithValue(context.Background(), operatorKey{}, "ana")
	return n.service.change(ctx, &pb.ChangeMeta{OperationId: operationID}, nil, mutations...)
}

func putAccount(name string, rate int64, expected uint64) *pb.Mutation {
	return &pb.Mutation{ExpectedRevision: expected, Change: &pb.Mutation_PutClientAccount{
		PutClientAccount: &pb.ClientAccount{Name: name, RateTokens: rate}}}
}

// newWatcher starts the watcher of a VM.
func (c *cluster) newWatcher(name string) *watch.Client {
	cfg := watch.ClientConfig{VM: membership.VM{Name: name, Address: name}, Freshness: testFreshness, Caller: network{c, ""}}
	for id := range uint64(len(c.nodes)) {
		cfg.ControlAddresses = append(cfg.ControlAddresses, addressOf(id+1))
	}
	w := watch.NewClient(cfg)
	assert.NilError(c.t, w.Start(context.Background()))
	return w
}
