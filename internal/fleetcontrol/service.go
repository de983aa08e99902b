package fleetcontrol

import (
	"bytes"
	"context"
	"encoding/gob"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/releasetraffic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Fleet"

const (
	// MaxHold limits how long a poll waits for a change. It is also the time between two polls
	// of an entry VM while nothing changes.
	MaxHold = time.Second
	// vmTimeout is the time since an entry VM's last contact after which clients are sent to
	// other VMs. It allows for a held poll, the way of the report to the leader, and one lost
	// and resent round trip.
	vmTimeout = 2 * time.Second
	// settleTime is the time after which a new leader's list of entry VMs is complete: every
	// live VM polls some replica within that time, which reports it.
	settleTime = vmTimeout + reportInterval
	// publishInterval is the minimum time between two changes of the lists of servers and VMs.
	// Every entry VM reads each of them.
	publishInterval = 100 * time.Millisecond
	// reportInterval is the time between two reports of a replica to the leader.
	reportInterval = 250 * time.Millisecond
	// followTimeout limits a report in addition to its hold, and followRetryPause is the wait
	// after one that failed.
	followTimeout    = 500 * time.Millisecond
	followRetryPause = 50 * time.Millisecond
)

// PollArgs holds the versions that an entry VM has.
type PollArgs struct {
	VM       membership.VM
	Term     uint64 // of the leader whose numbering Servers and VMs use
	Revision uint64 // of the document and the target weights versions
	// DocumentVersion is the version of the document that the VM has; 0 if it has none.
	DocumentVersion int64
	Unpacks         bool // the VM reads PackedDocument
	Servers         uint64
	VMs             uint64
	Settled         bool   // VMs is the version of a complete list
	Leader          string // peer address of the leader that the VM knows
	Hold            time.Duration
	// Rollouts holds what the VM has counted for running rollouts; RolloutSequence orders the polls of
	// its process that carry any.
	Rollouts        []releasetraffic.Report
	RolloutSequence uint64
}

// PollReply holds what is newer than the versions in PollArgs. Any replica sends it.
type PollReply struct {
	// Serves is false if this replica has no state that a leader has ever attested. It then
	// sets nothing else but Control and Leader.
	Serves bool
	// Age is the time since everything in this reply was the leader's state, and Held the time
	// from the poll's arrival to the reply.
	Age      time.Duration
	Held     time.Duration
	Term     uint64
	Revision uint64
	// Weights, Named and Rollouts are set together, if Changed is. Weights is the target
	// version of each model. Named is the age of the recent target versions of each model, as
	// far back as the replica has applied them. Rollouts holds the latest rollout of each service.
	Changed bool
	// Document is the document in force, or Changes lead to it from PollArgs.DocumentVersion. Neither
	// is set if the VM has the document or there is none. PackedDocument holds a large Document; see Unpack.
	Document       []byte
	PackedDocument []byte
	Changes        []DocumentChange
	Weights        map[string]int64
	Named          map[string][]TargetVersionAge
	Rollouts       []releasetraffic.Rollout
	Servers        Delta[fleet.Server]
	VMs            Delta[membership.VM]
	// FullServers is the encoded Servers.Set of a whole list; see Unpack.
	FullServers []byte
	// Settled is true if the list of VMs is complete, so that VMs not listed are down. A new
	// leader has not heard of every VM yet.
	Settled bool
	Control []ControlVM
	Leader  string // peer address of the leader, or "" if unknown
}

// Unpack decodes FullServers into Servers.Set and PackedDocument into Document.
func (r *PollReply) Unpack() error {
	if r.PackedDocument != nil {
		var err error
		if r.Document, err = unpack(r.PackedDocument); err != nil {
			return errors.Wrap(err, "unpack the configuration")
		}
	}
	if r.FullServers == nil {
		return nil
	}
	err := gob.NewDecoder(bytes.NewReader(r.FullServers)).Decode(&r.Servers.Set)
	return errors.Wrap(err, "decode the list of servers")
}

// TargetVersionAge is a target weights version and the time since it became the target.
type TargetVersionAge struct {
	Version int64
	Age     time.Duration
}

// Service serves the polls of entry VMs on every control replica. The leader writes the
// directory of servers and VMs; the other replicas report the VMs that poll them to the
// leader and mirror its directory. The leader's work therefore depends on the number of
// replicas and on what changes, not on the number of polls.
type Service struct {
	self    ControlVM
	machine *Machine
	replica Replica
	peers   Caller
	now     clock.Clock
	log     *zap.Logger
	vmTable *membership.Table // VMs that polled this replica and, on the leader, reported ones
	// rollouts holds the reports of VMs that polled this replica and, on the leader, passed ones.
	rollouts *rolloutReports

	mu          sync.Mutex
	changed     chan struct{} // closed when the directory or the leader changes
	directory   *directory
	pending     []fleet.Server // servers to publish; nil if there are none
	nextPublish time.Time
	termStart   time.Time // when this replica started to write the directory
	leader      string    // peer address of the leader that held polls know of
	controlVMs  map[string]reportedControl
	fullServers []byte // encoded list of servers of fullVersion in fullTerm
	fullTerm    uint64
	fullVersion uint64
}

// reportedControl is a control VM and the time of its last report to the leader.
type reportedControl struct {
	vm         ControlVM
	reportedAt time.Time
}

// NewService returns a service without a list of servers. self is this control VM.
func NewService(self ControlVM, m *Machine, r Replica, peers Caller, now clock.Clock, log *zap.Logger) *Service {
	return &Service{
		self: self, machine: m, replica: r, peers: peers, now: now, log: log, vmTable: membership.NewTable(vmTimeout), rollouts: newRolloutReports(), changed: make(chan struct{}),
		directory: newDirectory(), controlVMs: map[string]reportedControl{},
	}
}

// SetServers sets the servers to publish. Only the leader calls it.
func (s *Service) SetServers(servers []fleet.Server) {
	s.publish() // starts the directory of a new term, if needed, without servers to publish
	s.mu.Lock()
	s.pending = servers
	s.mu.Unlock()
	s.publish()
}

// wake makes held polls check for changes; the caller holds the mutex.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish writes the servers and VMs to the directory on the leader, at most once per
// publishInterval, and wakes held polls if that changes anything.
func (s *Service) publish() {
	term, leads := s.replica.Leading()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !leads {
		s.pending = nil // of a former term
		return
	}
	changed := false
	if s.directory.term != term {
		s.lead(term, now)
		changed = true
	}
	s.directory.asOf = now
	settled := now.Sub(s.termStart) >= settleTime
	if !changed && now.Before(s.nextPublish) && settled == s.directory.settled {
		return
	}
	if s.pending != nil && s.directory.servers.set(s.pending) {
		changed = true
	}
	vms, _ := s.vmTable.VMs(now)
	if !settled {
		vms = membership.Union(vms, s.directory.vms.list())
	}
	before := len(s.directory.vms.items)
	if s.directory.vms.set(vms) {
		changed = true
		s.log.Info("entry VMs changed", zap.Int("before", before), zap.Int("now", len(vms)), zap.Uint64("version", s.directory.vms.version))
	}
	if settled != s.directory.settled || s.updateControl(now) {
		changed = true
	}
	s.directory.settled = settled
	if changed {
		s.nextPublish = now.Add(publishInterval)
		s.wake()
	}
}

// lead starts the directory of a new term. The control VMs that this replica knows stay in it
// until they have had time to report. The caller holds the mutex.
func (s *Service) lead(term uint64, now time.Time) {
	s.directory.lead(term)
	s.pending = nil // of a former term; the next read of the list sets it again
	s.termStart, s.controlVMs = now, map[string]reportedControl{}
	for _, vm := range s.directory.control {
		if vm.Address != s.self.Address {
			s.controlVMs[vm.Address] = reportedControl{vm, now}
		}
	}
}

// updateControl updates the list of control VMs: those that reported lately and this one. It
// reports whether the list has changed. The caller holds the mutex.
func (s *Service) updateControl(now time.Time) bool {
	control := []ControlVM{s.self}
	for address, reported := range s.controlVMs {
		if now.Sub(reported.reportedAt) > vmTimeout {
			delete(s.controlVMs, address)
			continue
		}
		control = append(control, reported.vm)
	}
	sortControl(control)
	if slices.Equal(control, s.directory.control) {
		return false
	}
	s.directory.control = control
	return true
}

// Poll responds once something is newer than what the entry VM has, or after args.Hold. A
// replica without an attested state responds immediately.
func (s *Service) Poll(args *PollArgs, reply *PollReply) error {
	timer := time.NewTimer(min(args.Hold, MaxHold))
	defer timer.Stop()
	arrived := s.now()
	s.recordContact(args.VM)
	s.rollouts.record(VMReport{VM: args.VM.Name, Incarnation: args.VM.Incarnation, Sequence: args.RolloutSequence, Rollouts: args.Rollouts}, arrived)
	for elapsed := false; ; {
		stateChanged := s.machine.Changed()
		directoryChanged, newer := s.fillReply(args, reply)
		if newer || elapsed {
			s.recordContact(args.VM)
			reply.Held = s.now().Sub(arrived)
			return nil
		}
		select {
		case <-stateChanged:
		case <-directoryChanged:
		case <-timer.C:
			elapsed = true
		}
	}
}

// recordContact records the contact of an entry VM. The leader publishes it with the next
// change of the directory, another replica reports it to the leader.
func (s *Service) recordContact(vm membership.VM) {
	s.vmTable.RecordReport(membership.Report{VM: vm}, s.now())
}

// fillReply writes what is newer than args into the reply; newer reports whether there is
// anything. changed is closed when the directory or the leader changes after that. The
// freshness is read before the state, so that the state is at least as new as it claims.
func (s *Service) fillReply(args *PollArgs, reply *PollReply) (changed <-chan struct{}, newer bool) {
	freshAsOf := s.replica.Status().FreshAsOf
	state := s.machine.State()
	var document documentUpdate
	if state.Revision > args.Revision {
		document = state.documentFor(args) // before the lock, as it may pack the document
	}
	leader := s.replica.Leader()
	s.mu.Lock()
	defer s.mu.Unlock()
	*reply = PollReply{Control: s.directory.control, Leader: leader}
	if freshAsOf.IsZero() || s.directory.term == 0 {
		for _, m := range s.replica.Status().Members.Members {
			reply.Control = append(slices.Clone(reply.Control), ControlVM{Address: m.Address})
		}
		return s.changed, true
	}
	if s.directory.asOf.Before(freshAsOf) {
		freshAsOf = s.directory.asOf
	}
	reply.Serves, reply.Age = true, s.now().Sub(freshAsOf)
	has := position{Term: args.Term, Servers: args.Servers, VMs: args.VMs, Settled: args.Settled}
	u := s.directory.sinceWithoutServers(has)
	reply.Term, reply.Servers, reply.VMs, reply.Settled = u.Term, u.Servers, u.VMs, u.Settled
	if reply.Servers.Full {
		reply.FullServers = s.encodedServers()
	}
	reply.Revision = state.Revision
	if state.Revision > args.Revision {
		s.fillState(state, document, reply)
	}
	return s.changed, u.news(has) || reply.Changed || leader != "" && leader != args.Leader
}

// encodedServers returns the whole list of servers, encoded once for each version: after a
// restart all entry VMs read it at the same time. The caller holds the mutex.
func (s *Service) encodedServers() []byte {
	servers := s.directory.servers
	if s.fullServers == nil || s.fullTerm != s.directory.term || s.fullVersion != servers.version {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(servers.list()); err != nil {
			s.log.Error("list of servers not encoded", zap.Error(err))
		}
		s.fullServers, s.fullTerm, s.fullVersion = b.Bytes(), s.directory.term, servers.version
	}
	return s.fullServers
}

// fillState writes the replicated state into the reply, with what the entry VM lacks of the document.
func (s *Service) fillState(state *State, document documentUpdate, reply *PollReply) {
	reply.Changed, reply.Weights = true, state.TargetVersions
	reply.Document, reply.PackedDocument, reply.Changes = document.whole, document.packed, document.changes
	reply.Rollouts = state.latestRollouts()
	reply.Named = map[string][]TargetVersionAge{}
	for model, history := range state.TargetHistory {
		for _, target := range history {
			reply.Named[model] = append(reply.Named[model], TargetVersionAge{Version: target.Version, Age: s.machine.now().Sub(target.At)})
		}
	}
}

// FollowArgs is a replica's report to the leader, and what it has of the leader's directory.
type FollowArgs struct {
	Self     ControlVM
	Position position
	Reports  []membership.Report // of the entry VMs that have polled the replica
	Hold     time.Duration
	Rollouts []VMReport // those that the leader has not got from the replica
}

// FollowReply holds what the replica lacks of the directory.
type FollowReply struct{ Update update }

// Follow records a replica's report and responds once the directory has news for it, or after
// args.Hold. It returns an encoded errkind.NotLeader on a replica that does not lead.
func (s *Service) Follow(args *FollowArgs, reply *FollowReply) error {
	timer := time.NewTimer(min(args.Hold, MaxHold))
	defer timer.Stop()
	now := s.now()
	for _, r := range args.Reports {
		s.vmTable.RecordReport(r, now)
	}
	for _, r := range args.Rollouts {
		s.rollouts.record(r, now)
	}
	s.publish()
	for {
		term, leads := s.replica.Leading()
		s.mu.Lock()
		if !leads || s.directory.term != term {
			s.mu.Unlock()
			return peer.EncodeError(errkind.New(errkind.NotLeader, "this replica does not lead"))
		}
		s.controlVMs[args.Self.Address] = reportedControl{args.Self, now}
		reply.Update = s.directory.since(args.Position)
		changed := s.changed
		s.mu.Unlock()
		if reply.Update.news(args.Position) {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		}
	}
}

// Run maintains the directory on the leader and mirrors it on the other replicas, until ctx
// ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.announceLeader(ctx) })
	wg.Go(func() { s.mirror(ctx) })
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.publish()
		}
	}
}

// announceLeader wakes held polls when the leader changes, until ctx ends.
func (s *Service) announceLeader(ctx context.Context) {
	for {
		changed := s.replica.Changed()
		leader := s.replica.Leader()
		s.mu.Lock()
		if leader != s.leader {
			s.leader = leader
			s.wake()
		}
		s.mu.Unlock()
		s.publish() // a new leader starts its directory immediately
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// mirror reports to the leader and applies its directory while another replica leads, until
// ctx ends.
func (s *Service) mirror(ctx context.Context) {
	for ctx.Err() == nil {
		if s.followLeader(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(followRetryPause):
		}
	}
}

// followLeader makes one report to the leader and applies the reply. It returns false if there
// is no leader to follow.
func (s *Service) followLeader(ctx context.Context) bool {
	leader := s.replica.Leader()
	if leader == "" || leader == s.self.Address {
		return false
	}
	args := &FollowArgs{Self: s.self, Reports: s.vmTable.Reports(s.now()), Hold: reportInterval, Rollouts: s.rollouts.unpassed(leader, s.now())}
	s.mu.Lock()
	d := s.directory
	args.Position = position{Term: d.term, Servers: d.servers.version, VMs: d.vms.version, Settled: d.complete}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportInterval+followTimeout)
	defer cancel()
	go s.cancelOnNewLeader(ctx, cancel, leader)
	sent := s.now()
	var reply FollowReply
	if err := s.peers.Call(ctx, leader, ServiceName+".Follow", args, &reply); err != nil {
		s.log.Debug("report to the leader failed", zap.String("leader", leader), zap.Error(err))
		return false
	}
	s.rollouts.markPassed(args.Rollouts, sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Update.Term < s.directory.term {
		return false
	}
	news := reply.Update.news(args.Position)
	s.directory.apply(reply.Update, sent)
	if news {
		s.wake()
	}
	return true
}

// cancelOnNewLeader calls cancel once another replica than leader leads, or returns when ctx
// ends. A leader that was replaced may not respond at all.
func (s *Service) cancelOnNewLeader(ctx context.Context, cancel context.CancelFunc, leader string) {
	for {
		changed := s.replica.Changed()
		if current := s.replica.Leader(); current != leader && current != "" {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// knownVMs lists the live entry VMs; settled is true if the list is complete.
func (s *Service) knownVMs() (vms []membership.VM, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.vms.list(), s.directory.settled
}

// VMs lists the live entry VMs.
func (s *Service) VMs() []membership.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.vms.list()
}
