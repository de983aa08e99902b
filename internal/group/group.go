// Package group makes a control replica a member of its group, given a few seed
// addresses. At the first start of the system, the seeds are the first members. Later, a
// replica with an empty disk joins as a new member.
//
// Invariants:
//   - No two stores use the same replica ID. IDs after the first start are therefore
//     random.
//   - A data directory forms a group at most once: once it has held a store, a replica
//     without a store must join, also if the settings still name the first start.
//   - A store that the group refuses is removed, never repaired.
//   - A member is removed only if that does not make a quorum harder to reach. A store that no
//     longer exists is removed as soon as another one at its address is a member.
package group

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
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
	// minRandomID is the smallest ID of a member that joined after the first start.
	minRandomID = 1 << 16
	// checkInterval is the time between two membership checks; callTimeout limits one call.
	checkInterval = 250 * time.Millisecond
	callTimeout   = time.Second
	// noLeaderTimeout is how long a replica may be without a leader before it asks its
	// peers whether it is still a member.
	noLeaderTimeout = 3 * time.Second
	// removeAfter is how long a learner, or a member of a group with an even number of
	// voters, may be unreachable before the leader removes it. It is longer than a restart
	// and the election after it.
	removeAfter = 5 * time.Second
	// notMemberLogInterval is the time between two log lines of a replica that is no member.
	notMemberLogInterval = 10 * time.Second
	usedFileMode         = 0o600
)

// ErrRefused reports that the group refused this replica as a member. The replica must
// restart with an empty store.
var ErrRefused = errors.New("the group refused this replica's store")

// Identity is the replica ID and the membership that a replica starts with.
type Identity struct {
	ReplicaID uint64
	// InitialMembership holds the seeds at the first start. It is empty for a replica that
	// has a store or must join.
	InitialMembership consensus.Membership
}

// Identify returns the Identity to start with. If there is a store in dataDir, the replica
// keeps its ID. Else it is one of the first members if firstStart, which means the first
// start of the whole system, self is a seed, and dataDir has never held a store. Else it
// gets a random ID and must join.
func Identify(dataDir, self string, seeds []string, firstStart bool) (Identity, error) {
	id, err := consensus.FindStore(dataDir)
	if err != nil || id != 0 {
		return Identity{ReplicaID: id}, err
	}
	used, err := isUsed(dataDir)
	if err != nil {
		return Identity{}, err
	}
	sorted := slices.Sorted(slices.Values(seeds))
	position := slices.Index(sorted, self)
	if !firstStart || used || position < 0 {
		return Identity{ReplicaID: minRandomID + rand.Uint64N(1<<62)}, nil
	}
	identity := Identity{ReplicaID: uint64(position) + 1}
	for i, address := range sorted {
		identity.InitialMembership.Members = append(identity.InitialMembership.Members, consensus.Member{ID: uint64(i) + 1, Address: address})
	}
	return identity, nil
}

// RemoveStore removes the store of a replica that the group refused. It first marks the
// data directory as used, so that no replica starts from it as a first member again.
func RemoveStore(dataDir string, replica uint64) error {
	if err := markUsed(dataDir); err != nil {
		return err
	}
	if err := os.RemoveAll(consensus.StoreDir(dataDir, replica)); err != nil {
		return errors.Wrap(err, "remove the refused store")
	}
	return errors.Wrap(consensus.SyncDir(dataDir), "sync the data directory")
}

// usedFile is the name of an empty file that marks a data directory which has held a store.
// Directories of former versions get it when their store is next opened or is removed.
const usedFile = "store-created"

func isUsed(dataDir string) (bool, error) {
	_, err := os.Stat(filepath.Join(dataDir, usedFile))
	if os.IsNotExist(err) {
		return false, nil
	}
	return err == nil, errors.Wrap(err, "check whether the data directory was used")
}

// markUsed marks a data directory as used and returns once the mark is synced.
func markUsed(dataDir string) error {
	used, err := isUsed(dataDir)
	if err != nil || used {
		return err
	}
	path := filepath.Join(dataDir, usedFile)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, usedFileMode)
	if err != nil {
		return errors.Wrap(err, "mark the data directory as used")
	}
	err = errors.CombineErrors(f.Sync(), f.Close())
	return errors.Wrap(errors.CombineErrors(err, consensus.SyncDir(dataDir)), "sync the mark of the data directory")
}

// Replica is the part of consensus.Replica that this package uses.
type Replica interface {
	Status() *consensus.ReplicaStatus
	Leading() (uint64, bool)
	AddReplica(ctx context.Context, id uint64, address string) (uint64, error)
	RemoveReplica(ctx context.Context, id uint64) (uint64, error)
}

// Module joins a replica to its group and, on the leader, removes lost members.
type Module struct {
	kernel.Background
	self    string
	replica Replica
	pool    interface {
		Call(ctx context.Context, address, method string, args, reply any) error
	}
	id        uint64
	now       clock.Clock
	log       *zap.Logger
	onRefused func(error)
	dataDir   string
	started   atomic.Bool

	joining        bool // the replica was no member at the last check
	awaitsVote     bool // the replica had no vote at the last check
	dataDirMarked  bool
	notMemberSince time.Time // last time that this replica was a member, or that the log said that it is none

	mu                sync.Mutex
	peerAddresses     map[string]bool // all addresses received so far
	lastLeaderContact time.Time       // last time that this replica was a member and had a leader
	unreachableSince  map[uint64]time.Time
}

// NewModule returns a module for the replica at peer address self, whose store is in dataDir.
// It calls onRefused with ErrRefused if the group refuses the replica.
func NewModule(dataDir, self string, id uint64, seeds []string, now clock.Clock, onRefused func(error)) *Module {
	m := &Module{dataDir: dataDir, self: self, id: id, now: now, onRefused: onRefused, notMemberSince: now(),
		peerAddresses: map[string]bool{}, unreachableSince: map[uint64]time.Time{}}
	m.AddPeers(seeds)
	return m
}

// AddPeers adds peer addresses to send join requests to, for example after the seeds in
// the settings changed.
func (m *Module) AddPeers(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a != m.self {
			m.peerAddresses[a] = true
		}
	}
}

// Provision looks up the consensus module and registers the net/rpc receiver.
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
	m.replica, m.pool, m.log = replica.Replica, pool, k.Log.Named("group")
	m.Run = m.run
	return server.Register(ServiceName, &Receiver{m})
}

// Start implements kernel.Module.
func (m *Module) Start(ctx context.Context) error {
	m.started.Store(true)
	return m.Background.Start(ctx)
}

// Started reports whether the replica has run, so that its process is not the first start of the
// system any more.
func (m *Module) Started() bool { return m.started.Load() }

func (m *Module) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	m.lastLeaderContact = m.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.markDataDir()
		m.checkMembership(ctx)
	}
}

// markDataDir marks the data directory as used, and tries again at the next check if the disk
// fails. RemoveStore does not rely on it.
func (m *Module) markDataDir() {
	if m.dataDirMarked {
		return
	}
	err := markUsed(m.dataDir)
	m.dataDirMarked = err == nil
	if err != nil {
		m.log.Warn("data directory could not be marked as used", zap.Error(err))
	}
}

func (m *Module) checkMembership(ctx context.Context) {
	status := m.replica.Status()
	var knownAddresses []string
	for _, other := range status.Members.Members {
		knownAddresses = append(knownAddresses, other.Address)
	}
	m.AddPeers(knownAddresses)
	own, member := status.Members.Find(m.id)
	now := m.now()
	if status.Leader != 0 && member {
		m.lastLeaderContact = now
	}
	if member && m.joining {
		m.log.Info("replica is a member", zap.Uint64("replica", m.id), zap.Uint64("leader", status.Leader))
	}
	m.joining = !member
	if voter := member && !own.Learner; !voter {
		m.awaitsVote = true
	} else if m.awaitsVote && !status.MembersPending {
		m.awaitsVote = false
		m.log.Info("replica votes", zap.Uint64("replica", m.id), zap.Int("voters", countVoters(status.Members.Members)))
	}
	switch {
	case member:
		m.notMemberSince = now
	case now.Sub(m.notMemberSince) > notMemberLogInterval:
		m.log.Warn("replica is not a member of a group and serves no calls; it goes on asking to join",
			zap.Uint64("replica", m.id), zap.Int("peers", len(m.peerAddresses)))
		m.notMemberSince = now
	}
	if _, leads := m.replica.Leading(); leads {
		m.removeLostMembers(ctx, now, status)
		return
	}
	if !member || now.Sub(m.lastLeaderContact) > noLeaderTimeout {
		m.requestMembership(ctx)
	}
}

// JoinArgs is a request to become or remain a member.
type JoinArgs struct {
	ID      uint64
	Address string
}

// JoinReply is the response to JoinArgs. Leader and Known are peer addresses. Only the
// leader sets Member and Refused.
type JoinReply struct {
	Member  bool
	Refused bool // the ID was used before by another store, or was removed from the group
	Leader  string
	Known   []string
}

// requestMembership sends a join request to all known peers in random order, and to a
// leader that a reply names first, until the leader has accepted or refused the replica.
func (m *Module) requestMembership(ctx context.Context) {
	m.mu.Lock()
	var addresses []string
	for a := range m.peerAddresses {
		addresses = append(addresses, a)
	}
	m.mu.Unlock()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for len(addresses) > 0 && ctx.Err() == nil {
		address := addresses[0]
		addresses = addresses[1:]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var reply JoinReply
		err := m.pool.Call(callCtx, address, ServiceName+".Join", &JoinArgs{ID: m.id, Address: m.self}, &reply)
		cancel()
		m.AddPeers(reply.Known)
		switch {
		case err == nil && reply.Refused:
			m.log.Warn("group refused this replica", zap.Uint64("replica", m.id), zap.String("by", address))
			m.onRefused(ErrRefused)
			return
		case err == nil && reply.Member:
			m.lastLeaderContact = m.now()
			return
		case reply.Leader != "" && !slices.Contains(addresses, reply.Leader) && reply.Leader != address && reply.Leader != m.self:
			addresses = append([]string{reply.Leader}, addresses...)
		}
	}
}

// handleJoin handles a join request. Only the leader decides it; other replicas return
// the leader's address.
func (m *Module) handleJoin(args *JoinArgs, reply *JoinReply) error {
	status := m.replica.Status()
	for _, known := range status.Members.Members {
		reply.Known = append(reply.Known, known.Address)
		if known.ID == status.Leader {
			reply.Leader = known.Address
		}
	}
	if _, leads := m.replica.Leading(); !leads {
		return nil
	}
	if known, member := status.Members.Find(args.ID); member && known.Address == args.Address {
		reply.Member = true
		return nil
	}
	if args.ID < minRandomID {
		// A first member that was removed. It gives its store up, which holds acknowledged entries, so the
		// removal must not be undone by the next leader.
		reply.Refused = !status.MembersPending
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := m.replica.AddReplica(ctx, args.ID, args.Address)
	m.log.Info("replica requested to join", zap.Uint64("replica", args.ID), zap.String("address", args.Address), zap.Error(err))
	reply.Refused = errkind.Is(err, errkind.AlreadyExists)
	reply.Member = err == nil
	return nil
}

// removeLostMembers removes at most one unreachable member: the one that lostMember names.
func (m *Module) removeLostMembers(ctx context.Context, now time.Time, status *consensus.ReplicaStatus) {
	m.updateUnreachable(now, status)
	member, replaced, ok := m.lostMember(now, status.Members.Members)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := m.replica.RemoveReplica(callCtx, member.ID)
	m.log.Info("member taken out", zap.Uint64("replica", member.ID), zap.String("address", member.Address),
		zap.Bool("replaced", replaced), zap.Duration("silent", now.Sub(m.unreachableSince[member.ID])),
		zap.Int("voters", countVoters(status.Members.Members)), zap.Error(err))
}

// lostMember returns the unreachable member to remove, if there is one. A member whose address
// another, reachable member has is replaced and is removed immediately: its store no longer
// exists, and without its vote the quorum is never harder to reach. The successor may take
// long to catch up. After removeAfter, a learner is removed, and so is a voter if the number of
// voters is even and above 2, because the quorum then gets smaller. It must also be even with the
// learners that are catching up, or else the VM that is only away would be missing once they have
// votes. A replaced member goes first: its successor may have made the number even, and removing a
// VM that is only away instead would leave two votes less.
func (m *Module) lostMember(now time.Time, members []consensus.Member) (lost consensus.Member, replaced, ok bool) {
	voters, learners := countVoters(members), 0
	for _, member := range members {
		if _, unreachable := m.unreachableSince[member.ID]; member.Learner && !unreachable {
			learners++
		}
	}
	shrinks := voters%2 == 0 && (voters+learners)%2 == 0 && voters > 2
	for _, member := range members {
		since, unreachable := m.unreachableSince[member.ID]
		if member.ID == m.id || !unreachable {
			continue
		}
		if slices.ContainsFunc(members, func(other consensus.Member) bool {
			_, otherUnreachable := m.unreachableSince[other.ID]
			return other.Address == member.Address && other.ID != member.ID && !otherUnreachable
		}) {
			return member, true, true
		}
		if !ok && now.Sub(since) > removeAfter && (member.Learner || shrinks) {
			lost, ok = member, true
		}
	}
	return lost, false, ok
}

func countVoters(members []consensus.Member) int {
	voters := 0
	for _, member := range members {
		if !member.Learner {
			voters++
		}
	}
	return voters
}

// updateUnreachable records since when each member has been unreachable.
func (m *Module) updateUnreachable(now time.Time, status *consensus.ReplicaStatus) {
	for _, member := range status.Members.Members {
		if _, unreachable := status.Unreachable[member.ID]; !unreachable {
			delete(m.unreachableSince, member.ID)
		} else if _, known := m.unreachableSince[member.ID]; !known {
			m.unreachableSince[member.ID] = now
		}
	}
}

// Receiver is the net/rpc receiver of a Module.
type Receiver struct{ module *Module }

// Join handles a request from a replica to become or remain a member.
func (r *Receiver) Join(args *JoinArgs, reply *JoinReply) error {
	return r.module.handleJoin(args, reply)
}
