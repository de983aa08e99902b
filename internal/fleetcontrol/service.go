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

// ServiceName is the net/rpc name of the control side.
const ServiceName = "Fleet"

const (
	// MaxHold bounds how long a poll is held while nothing is new. It is also how often an
	// idle entry VM is heard.
	MaxHold = time.Second
	// vmSilence is how long an entry VM may be silent before callers are sent elsewhere:
	// a held poll and one round trip that was lost and sent again.
	vmSilence = 2 * time.Second
	// settleTime is how long a new leader listens before it tells which entry VMs there
	// are; every VM that is there polls within that time.
	settleTime = vmSilence
)

// PollArgs is what an entry VM has.
type PollArgs struct {
	VM       membership.VM
	Term     uint64 // of the leader that numbered the lists
	Revision uint64 // of the document and the weights
	Servers  uint64
	VMs      uint64
	Settled  bool // VMs was the whole list
	Hold     time.Duration
}

// PollReply is what is newer; a part that is not set has not changed.
type PollReply struct {
	Term     uint64
	Revision uint64
	// Document and Weights come together. Named is how long ago the last versions of each
	// model were named, as far as the leader has seen.
	Changed    bool
	Document   []byte
	Weights    map[string]int64
	Named      map[string][]TargetVersionAge
	Servers    uint64
	ServersSet bool
	ServerList []fleet.Server
	VMs        uint64
	VMsSet     bool
	VMList     []membership.VM
	// Settled says that VMs which are not listed are gone; a new leader has not heard
	// every VM yet.
	Settled     bool
	ControlList []string // peer addresses of the control replicas
	// Leader is set by a replica that does not lead, which tells nothing else: the peer
	// address of the one that it follows, or "".
	Leader string
	Leads  bool
}

// TargetVersionAge is a version of a model's weights and how long ago it was named.
type TargetVersionAge struct {
	Version int64
	Age     time.Duration
}

// Service answers polls on the leader.
type Service struct {
	machine *Machine
	replica Replica
	table   *membership.Table
	log     *zap.Logger

	mu       sync.Mutex
	changed  chan struct{} // closed when servers or VMs change
	servers  []fleet.Server
	version  uint64 // of servers; 0 before the first list
	term     uint64
	termFrom time.Time
	vmsSeen  uint64
}

// NewService returns a service without a list of servers.
func NewService(m *Machine, r Replica, log *zap.Logger) *Service {
	return &Service{machine: m, replica: r, table: membership.NewTable(vmSilence), log: log, changed: make(chan struct{})}
}

// SetServers publishes the servers that requests may go to.
func (s *Service) SetServers(servers []fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version > 0 && fleet.SameServers(s.servers, servers) {
		return
	}
	s.servers = servers
	s.version++
	s.wake()
}

// wake lets held polls look again; the caller holds the mutex.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Poll answers once something is newer than what the entry VM has, or when the hold is
// over. Another replica than the leader answers at once and names the leader.
func (s *Service) Poll(args *PollArgs, reply *PollReply) error {
	timer := time.NewTimer(min(args.Hold, MaxHold))
	defer timer.Stop()
	s.hear(args.VM)
	for {
		agreed := s.replica.Changed()
		changed, fresh := s.fill(args, reply)
		if fresh {
			s.hear(args.VM)
			return nil
		}
		select {
		case <-agreed:
		case <-changed:
		case <-timer.C:
			s.hear(args.VM)
			s.fill(args, reply)
			return nil
		}
	}
}

// hear notes that an entry VM is there, and wakes the others when that is news.
func (s *Service) hear(vm membership.VM) {
	s.table.Hear(membership.Report{VM: vm}, time.Now())
	_, version := s.table.VMs(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != s.vmsSeen {
		s.vmsSeen = version
		s.wake()
	}
}

// fill writes what is newer into the reply; fresh says that there is something. The
// state is read before the lease is checked, so it was the leader's at that moment.
func (s *Service) fill(args *PollArgs, reply *PollReply) (changed <-chan struct{}, fresh bool) {
	held := s.machine.State()
	vms, vmsVersion := s.table.VMs(time.Now())
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
		s.term, s.termFrom = term, time.Now()
	}
	newTerm := args.Term != term
	*reply = PollReply{Term: term, Revision: held.Revision, Servers: args.Servers, VMs: args.VMs, ControlList: control, Leads: true}
	if newTerm {
		reply.Servers, reply.VMs = 0, 0
	}
	if held.Revision != args.Revision {
		reply.Changed, reply.Document, reply.Weights = true, held.Document, held.TargetVersions
		reply.Named = map[string][]TargetVersionAge{}
		for model, all := range held.TargetHistory {
			for _, n := range all {
				reply.Named[model] = append(reply.Named[model], TargetVersionAge{Version: n.Version, Age: s.machine.now().Sub(n.At)})
			}
		}
	}
	if s.version != reply.Servers && s.version > 0 {
		reply.Servers, reply.ServersSet, reply.ServerList = s.version, true, s.servers
	}
	reply.Settled = time.Since(s.termFrom) >= settleTime
	if vmsVersion != reply.VMs || reply.Settled && !args.Settled {
		reply.VMs, reply.VMsSet, reply.VMList = vmsVersion, true, vms
	}
	fresh = newTerm || reply.Changed || reply.ServersSet || reply.VMsSet
	return s.changed, fresh
}

// VMs lists the entry VMs that are there.
func (s *Service) VMs() []membership.VM {
	vms, _ := s.table.VMs(time.Now())
	return vms
}

// Run drops entry VMs that fell silent, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(vmSilence / 4)
	defer ticker.Stop()
	var last []membership.VM
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		vms, version := s.table.VMs(time.Now())
		if slices.Equal(vms, last) {
			continue
		}
		s.log.Info("entry VMs changed", zap.Int("before", len(last)), zap.Int("now", len(vms)), zap.Uint64("version", version))
		last = vms
		s.mu.Lock()
		s.vmsSeen = version
		s.wake()
		s.mu.Unlock()
	}
}
