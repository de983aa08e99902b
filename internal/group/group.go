// Package group finds a control replica's place in its group from a few seeds: the
// first members at the first start, a new member with an empty disk afterwards.
//
// Invariants: a replica number is never used by two stores, so numbers after the first
// start are drawn at random; a store that the group refuses is given up, never repaired;
// a member is taken out only when the group's quorum does not get harder to reach.
package group

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// ServiceName is the net/rpc name of the service.
	ServiceName = "Group"
	// ModuleName is the module's name in the kernel.
	ModuleName = "control.group"
	// firstDrawn is the least number of a member that joined later.
	firstDrawn = 1 << 16
	// checkEvery is how often membership is looked at; callTimeout bounds one question.
	checkEvery  = 250 * time.Millisecond
	callTimeout = time.Second
	// lostAfter is how long a replica may know no leader before it asks the others
	// whether it still belongs to the group.
	lostAfter = 3 * time.Second
	// deadAfter is how long a member of an even group may be silent before it is taken
	// out: longer than a restart and the election after it.
	deadAfter = 5 * time.Second
)

// ErrRefused says that the group knows this store as lost or replaced: the replica has
// to begin anew with an empty store.
var ErrRefused = errors.New("the group does not know this replica's store any more")

// Identity is what a replica starts as.
type Identity struct {
	ReplicaID uint64
	// Initial is the first membership; empty for a replica that has to join.
	InitialMembership consensus.Membership
}

// Identify decides what to start as: the store on the disk, else a first member when the
// whole system starts for the first time and self is a seed, else a new member.
func Identify(dataDir, self string, seeds []string, firstStart bool) (Identity, error) {
	id, err := consensus.FindStore(dataDir)
	if err != nil || id != 0 {
		return Identity{ReplicaID: id}, err
	}
	sorted := slices.Sorted(slices.Values(seeds))
	at := slices.Index(sorted, self)
	if !firstStart || at < 0 {
		return Identity{ReplicaID: firstDrawn + rand.Uint64N(1<<62)}, nil
	}
	first := Identity{ReplicaID: uint64(at) + 1}
	for i, address := range sorted {
		first.InitialMembership.Members = append(first.InitialMembership.Members, consensus.Member{ID: uint64(i) + 1, Address: address})
	}
	return first, nil
}

// RemoveStore gives up the store of a replica that the group refused.
func RemoveStore(dataDir string, replica uint64) error {
	return errors.Wrap(os.RemoveAll(consensus.StoreDir(dataDir, replica)), "remove the refused store")
}

// Replica is the part of a consensus.Replica that is used.
type Replica interface {
	Status() *consensus.ReplicaStatus
	Leading() (uint64, bool)
	AddReplica(ctx context.Context, id uint64, address string) (uint64, error)
	RemoveReplica(ctx context.Context, id uint64) (uint64, error)
}

// Module keeps a replica in its group.
type Module struct {
	kernel.Background
	self    string
	replica Replica
	calls   interface {
		Call(ctx context.Context, address, method string, args, reply any) error
	}
	id     uint64
	now    clock.Clock
	log    *zap.Logger
	reject func(error)

	mu     sync.Mutex
	peers  map[string]bool // addresses ever heard of
	heard  time.Time       // last time that a leader was known
	silent map[uint64]time.Time
}

// NewModule returns a module for the replica at peer address self; reject is called with
// ErrRefused when the group does not know the replica any more.
func NewModule(self string, id uint64, seeds []string, now clock.Clock, reject func(error)) *Module {
	m := &Module{self: self, id: id, now: now, reject: reject, peers: map[string]bool{}, silent: map[uint64]time.Time{}}
	m.AddPeers(seeds)
	return m
}

// AddPeers adds addresses to ask, as when the settings name other seeds.
func (m *Module) AddPeers(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a != m.self {
			m.peers[a] = true
		}
	}
}

// Provision looks up agreement and registers the net/rpc receiver.
func (m *Module) Provision(k *kernel.Kernel) error {
	var (
		replica *consensus.Module
		pool    *peer.PoolModule
		server  *peer.ServerModule
	)
	err := k.Find(kernel.As(consensus.ModuleName, &replica), kernel.As(peer.PoolName, &pool), kernel.As(peer.ServerName, &server))
	if err != nil {
		return err
	}
	m.replica, m.calls, m.log = replica.Replica, pool, k.Log.Named("group")
	m.Run = m.run
	return server.Register(ServiceName, &Receiver{m})
}

func (m *Module) run(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	m.heard = m.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.step(ctx)
	}
}

func (m *Module) step(ctx context.Context) {
	p := m.replica.Status()
	var known []string
	for _, x := range p.Members.Members {
		known = append(known, x.Address)
	}
	m.AddPeers(known)
	_, member := p.Members.Find(m.id)
	now := m.now()
	if p.Leader != 0 && member {
		m.heard = now
	}
	if _, leads := m.replica.Leading(); leads {
		m.tend(ctx, now, p)
		return
	}
	if !member || now.Sub(m.heard) > lostAfter {
		m.ask(ctx)
	}
}

// JoinArgs asks to be, or to stay, a member.
type JoinArgs struct {
	ID      uint64
	Address string
}

// JoinReply answers for the group.
type JoinReply struct {
	Member  bool
	Refused bool // the number was used before by another store, or was taken out
	Leader  string
	Known   []string
}

// ask asks everyone heard of whether this replica belongs to the group, until the leader
// has answered.
func (m *Module) ask(ctx context.Context) {
	m.mu.Lock()
	var all []string
	for a := range m.peers {
		all = append(all, a)
	}
	m.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for len(all) > 0 && ctx.Err() == nil {
		address := all[0]
		all = all[1:]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var reply JoinReply
		err := m.calls.Call(callCtx, address, ServiceName+".Join", &JoinArgs{ID: m.id, Address: m.self}, &reply)
		cancel()
		m.AddPeers(reply.Known)
		switch {
		case err == nil && reply.Refused:
			m.log.Warn("group refuses this replica", zap.Uint64("replica", m.id), zap.String("by", address))
			m.reject(ErrRefused)
			return
		case err == nil && reply.Member:
			m.log.Info("replica is a member", zap.Uint64("replica", m.id), zap.String("leader", address))
			m.heard = m.now()
			return
		case reply.Leader != "" && !slices.Contains(all, reply.Leader) && reply.Leader != address && reply.Leader != m.self:
			all = append([]string{reply.Leader}, all...)
		}
	}
}

// join answers on the leader.
func (m *Module) join(args *JoinArgs, reply *JoinReply) error {
	p := m.replica.Status()
	for _, x := range p.Members.Members {
		reply.Known = append(reply.Known, x.Address)
		if x.ID == p.Leader {
			reply.Leader = x.Address
		}
	}
	if _, leads := m.replica.Leading(); !leads {
		return nil
	}
	if x, member := p.Members.Find(args.ID); member && x.Address == args.Address {
		reply.Member = true
		return nil
	}
	if args.ID < firstDrawn {
		reply.Refused = true // a first member that was taken out
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := m.replica.AddReplica(ctx, args.ID, args.Address)
	m.log.Info("replica asks to join", zap.Uint64("replica", args.ID), zap.String("address", args.Address), zap.Error(err))
	reply.Refused = errkind.Is(err, errkind.AlreadyExists)
	reply.Member = err == nil
	return nil
}

// tend takes out members that are gone: one whose VM has come back as another member,
// and one that is silent while the group is even, as the quorum only gains by that.
func (m *Module) tend(ctx context.Context, now time.Time, p *consensus.ReplicaStatus) {
	m.note(now, p)
	voters := 0
	for _, x := range p.Members.Members {
		if !x.Learner {
			voters++
		}
	}
	for _, x := range p.Members.Members {
		if x.ID == m.id {
			continue
		}
		since, silent := m.silent[x.ID]
		dead := silent && now.Sub(since) > deadAfter
		replaced := slices.ContainsFunc(p.Members.Members, func(o consensus.Member) bool {
			return silent && o.Address == x.Address && o.ID != x.ID && !o.Learner
		})
		if replaced || dead && (x.Learner || voters%2 == 0 && voters > 2) {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			_, err := m.replica.RemoveReplica(callCtx, x.ID)
			cancel()
			m.log.Info("member taken out", zap.Uint64("replica", x.ID), zap.String("address", x.Address),
				zap.Bool("replaced", replaced), zap.Duration("silent", now.Sub(since)), zap.Int("voters", voters), zap.Error(err))
			return // one change at a time
		}
	}
}

// note keeps since when each member has acknowledged nothing.
func (m *Module) note(now time.Time, p *consensus.ReplicaStatus) {
	for _, x := range p.Members.Members {
		if _, silent := p.Unreachable[x.ID]; !silent {
			delete(m.silent, x.ID)
		} else if _, known := m.silent[x.ID]; !known {
			m.silent[x.ID] = now
		}
	}
}

// Receiver offers the net/rpc methods.
type Receiver struct{ module *Module }

// Join answers a replica that wants to be a member.
func (r *Receiver) Join(args *JoinArgs, reply *JoinReply) error { return r.module.join(args, reply) }
