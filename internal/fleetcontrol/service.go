package fleetcontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/membership"

	"go.uber.org/zap"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Fleet"

const (
	// MaxHold limits how long a poll waits for a change. It is also the time between two polls
	// of an entry VM while nothing changes.
	MaxHold = time.Second
	// vmTimeout is the time since an entry VM's last contact after which clients are sent to
	// other VMs. It allows for a held poll and one lost and resent round trip.
	vmTimeout = 2 * time.Second
	// settleTime is the time after which a new leader's list of entry VMs is complete: every
	// live VM polls within that time.
	settleTime = vmTimeout
)

// PollArgs holds the versions that an entry VM has.
type PollArgs struct {
	VM       membership.VM
	Term     uint64 // of the leader whose numbering Servers and VMs use
	Revision uint64 // of the document and the target weights versions
	Servers  uint64
	VMs      uint64
	Settled  bool          // VMs is the version of a complete list
	Hold     time.Duration // longest wait for a change; limited by MaxHold
}

// PollReply holds what is newer than the versions in PollArgs.
type PollReply struct {
	Term     uint64
	Revision uint64
	// Document, Weights and Named are set together, if Changed is. Weights is the target
	// version of each model. Named is the age of the recent target versions of each model, as
	// far back as the leader has applied them.
	Changed  bool
	Document []byte
	Weights  map[string]int64
	Named    map[string][]TargetVersionAge
	// Servers and VMs are the versions of ServerList and VMList. The lists themselves are set
	// only if ServersSet and VMsSet are.
	Servers    uint64
	ServersSet bool
	ServerList []fleet.Server
	VMs        uint64
	VMsSet     bool
	VMList     []membership.VM
	// Settled is true if VMList is complete, so that VMs not listed are down. A new leader has
	// not been polled by every VM yet.
	Settled     bool
	ControlList []string // peer addresses of the control replicas
	// Leader is the peer address of the leader, or "" if unknown. It is set by a replica that
	// does not lead, which sets nothing else but ControlList.
	Leader string
	Leads  bool
}

// TargetVersionAge is a target weights version and the time since it became the target.
type TargetVersionAge struct {
	Version int64
	Age     time.Duration
}

// Service serves the polls of entry VMs on the leader.
type Service struct {
	machine *Machine
	replica Replica
	vmTable *membership.Table
	log     *zap.Logger

	mu             sync.Mutex
	changed        chan struct{} // closed when servers or VMs change
	servers        []fleet.Server
	serversVersion uint64 // 0 before the first list
	term           uint64
	termStart      time.Time // when this replica first responded as the leader of term
	vmsVersion     uint64    // version of the list of VMs of which held polls were last notified
}

// NewService returns a service without a list of servers.
func NewService(m *Machine, r Replica, log *zap.Logger) *Service {
	return &Service{machine: m, replica: r, vmTable: membership.NewTable(vmTimeout), log: log, changed: make(chan struct{})}
}

// SetServers publishes the list of servers.
func (s *Service) SetServers(servers []fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serversVersion > 0 && fleet.SameServers(s.servers, servers) {
		return
	}
	s.servers = servers
	s.serversVersion++
	s.wake()
}

// wake makes held polls check for changes; the caller holds the mutex.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Poll responds once something is newer than what the entry VM has, or after args.Hold. A
// replica that does not lead responds immediately with the leader's address.
func (s *Service) Poll(args *PollArgs, reply *PollReply) error {
	timer := time.NewTimer(min(args.Hold, MaxHold))
	defer timer.Stop()
	s.recordContact(args.VM)
	for {
		stateChanged := s.replica.Changed()
		listsChanged, newer := s.fillReply(args, reply)
		if newer {
			s.recordContact(args.VM)
			return nil
		}
		select {
		case <-stateChanged:
		case <-listsChanged:
		case <-timer.C:
			s.recordContact(args.VM)
			s.fillReply(args, reply)
			return nil
		}
	}
}

// recordContact records the contact of an entry VM and wakes held polls if that changes the
// list of VMs.
func (s *Service) recordContact(vm membership.VM) {
	s.vmTable.RecordReport(membership.Report{VM: vm}, time.Now())
	_, version := s.vmTable.VMs(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != s.vmsVersion {
		s.vmsVersion = version
		s.wake()
	}
}

// fillReply writes what is newer than args into the reply; newer reports whether there is
// anything. changed is closed when the servers or VMs change after that. The state is read
// before the lease is checked, so it is the leader's state at the time of the check.
func (s *Service) fillReply(args *PollArgs, reply *PollReply) (changed <-chan struct{}, newer bool) {
	state := s.machine.State()
	vms, vmsVersion := s.vmTable.VMs(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	term, leads := s.replica.Leading()
	var control []string
	for _, m := range s.replica.Status().Members.Members {
		control = append(control, m.Address)
	}
	if !leads {
		*reply = PollReply{ControlList: control, Leader: s.replica.Leader()}
		return nil, true
	}
	if term != s.term {
		s.term, s.termStart = term, time.Now()
	}
	newTerm := args.Term != term
	*reply = PollReply{Term: term, Revision: state.Revision, Servers: args.Servers, VMs: args.VMs, ControlList: control, Leads: true}
	if newTerm {
		reply.Servers, reply.VMs = 0, 0
	}
	if state.Revision != args.Revision {
		reply.Changed, reply.Document, reply.Weights = true, state.Document, state.TargetVersions
		reply.Named = map[string][]TargetVersionAge{}
		for model, history := range state.TargetHistory {
			for _, target := range history {
				reply.Named[model] = append(reply.Named[model], TargetVersionAge{Version: target.Version, Age: s.machine.now().Sub(target.At)})
			}
		}
	}
	if s.serversVersion != reply.Servers && s.serversVersion > 0 {
		reply.Servers, reply.ServersSet, reply.ServerList = s.serversVersion, true, s.servers
	}
	reply.Settled = time.Since(s.termStart) >= settleTime
	if vmsVersion != reply.VMs || reply.Settled && !args.Settled {
		reply.VMs, reply.VMsSet, reply.VMList = vmsVersion, true, vms
	}
	newer = newTerm || reply.Changed || reply.ServersSet || reply.VMsSet
	return s.changed, newer
}

// VMs lists the live entry VMs.
func (s *Service) VMs() []membership.VM {
	vms, _ := s.vmTable.VMs(time.Now())
	return vms
}

// Run removes entry VMs that have timed out and wakes held polls, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(vmTimeout / 4)
	defer ticker.Stop()
	var last []membership.VM
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		vms, version := s.vmTable.VMs(time.Now())
		if slices.Equal(vms, last) {
			continue
		}
		s.log.Info("entry VMs changed", zap.Int("before", len(last)), zap.Int("now", len(vms)), zap.Uint64("version", version))
		last = vms
		s.mu.Lock()
		s.vmsVersion = version
		s.wake()
		s.mu.Unlock()
	}
}
