package watch

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/state"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	maxHold        = 2 * time.Second
	barrierTimeout = time.Second
	// maxConcurrentBarriers limits the concurrent read barriers for starting watchers, so
	// that many simultaneous restarts share a few rounds.
	maxConcurrentBarriers = 8
)

// Replica is the consensus replica that a Server reads from.
type Replica interface {
	Status() *consensus.ReplicaStatus
	Changed() <-chan struct{}
	ReadBarrier(ctx context.Context) error
}

// Server answers the polls of watchers on one control replica.
type Server struct {
	replica          Replica
	machine          *state.Machine
	table            *membership.Table
	log              *zap.Logger
	freshness        time.Duration
	ctx              context.Context
	cancel           context.CancelFunc
	barrierSemaphore chan struct{}

	mu               sync.Mutex
	deltas           map[uint64][]byte // encoded deltas to encodedRevision, by their first revision
	fullSnapshot     []byte            // encoded configuration at encodedRevision, nil until needed
	encodedRevision  uint64
	lastRevision     uint64            // newest revision in appliedRevisions
	appliedRevisions []appliedRevision // oldest first
}

// appliedRevision is a revision and the time when this replica saw it applied.
type appliedRevision struct {
	revision  uint64
	appliedAt time.Time
}

// NewServer returns a server; freshness is the freshness bound of the entry VMs.
func NewServer(replica Replica, machine *state.Machine, table *membership.Table, freshness time.Duration, log *zap.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{replica: replica, machine: machine, table: table, log: log, freshness: freshness, ctx: ctx, cancel: cancel,
		barrierSemaphore: make(chan struct{}, maxConcurrentBarriers), deltas: map[uint64][]byte{}}
}

// Close answers every held poll.
func (s *Server) Close() { s.cancel() }

// Poll replies as soon as there is a newer revision than the watcher's, or when the
// hold has elapsed.
func (s *Server) Poll(args *PollArgs, reply *PollReply) error {
	arrived := time.Now()
	s.table.RecordReport(args.Report, arrived)
	if args.Barrier {
		if err := s.readBarrier(); err != nil {
			return err
		}
	}
	s.hold(args)
	return s.fillReply(args, reply, arrived)
}

// readBarrier runs a read barrier, with at most maxConcurrentBarriers at a time.
func (s *Server) readBarrier() error {
	select {
	case s.barrierSemaphore <- struct{}{}:
	case <-s.ctx.Done():
		return errkind.New(errkind.Draining, "replica is stopping")
	case <-time.After(barrierTimeout):
		return errkind.New(errkind.Overloaded, "too many watchers are starting").WithRetryAfter(barrierTimeout)
	}
	defer func() { <-s.barrierSemaphore }()
	ctx, cancel := context.WithTimeout(s.ctx, barrierTimeout)
	defer cancel()
	return s.replica.ReadBarrier(ctx)
}

// hold waits for a newer revision, at most for the hold that the watcher asked for.
func (s *Server) hold(args *PollArgs) {
	if args.From == 0 || args.Barrier || args.Hold <= 0 {
		return
	}
	timer := time.NewTimer(min(args.Hold, maxHold))
	defer timer.Stop()
	for {
		changed := s.replica.Changed()
		if s.machine.Revision() > args.From {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// fillReply fills in the reply. It reads the attested age before the state, so that the
// state is at least as new as the age claims.
func (s *Server) fillReply(args *PollArgs, reply *PollReply, arrived time.Time) error {
	freshAsOf := s.replica.Status().FreshAsOf
	reply.Replica = s.replica.Status().ID
	if err := s.setConfiguration(args, reply); err != nil {
		return err
	}
	now := time.Now()
	s.table.RecordReport(args.Report, now) // the VM may serve for a freshness bound from now
	vms, version := s.table.VMs(now)
	reply.VMsVersion = version
	if args.Replica != reply.Replica || args.VMsVersion != version {
		reply.VMs, reply.VMsSet = vms, true
	}
	reply.Attested, reply.Age = !freshAsOf.IsZero(), now.Sub(freshAsOf)
	reply.Held = now.Sub(arrived)
	return nil
}

// setConfiguration sets the reply's revision, and a delta or snapshot if the watcher's
// revision is older.
func (s *Server) setConfiguration(args *PollArgs, reply *PollReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Revision = s.machine.Revision()
	if args.From != 0 && reply.Revision <= args.From {
		return nil
	}
	if s.encodedRevision != reply.Revision {
		s.deltas, s.fullSnapshot, s.encodedRevision = map[uint64][]byte{}, nil, reply.Revision
	}
	if args.From != 0 {
		if delta := s.encodedDelta(args.From); delta != nil {
			reply.Delta = delta
			return nil
		}
	}
	return s.setSnapshot(reply)
}

// encodedDelta returns the encoded delta to the current revision, or nil if a snapshot
// is needed. The mutex must be held.
func (s *Server) encodedDelta(from uint64) []byte {
	if b := s.deltas[from]; b != nil {
		return b
	}
	d, ok := s.machine.Delta(from)
	if !ok {
		return nil
	}
	b, err := proto.Marshal(d)
	if err != nil {
		return nil
	}
	if d.GetToRevision() == s.encodedRevision {
		s.deltas[from] = b
	}
	return b
}

// setSnapshot sets the reply's snapshot and revision. The mutex must be held.
func (s *Server) setSnapshot(reply *PollReply) error {
	if s.fullSnapshot == nil {
		c := s.machine.View().Configuration()
		b, err := proto.Marshal(c)
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "encode configuration")
		}
		s.fullSnapshot, s.encodedRevision = b, c.GetRevision()
	}
	reply.Snapshot, reply.Revision = s.fullSnapshot, s.encodedRevision
	return nil
}

// recordRevision records the time of the newest revision if it is new. Entries older than
// twice MaxStaleness are dropped.
func (s *Server) recordRevision(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision := s.machine.Revision(); revision != s.lastRevision || len(s.appliedRevisions) == 0 {
		s.lastRevision = revision
		s.appliedRevisions = append(s.appliedRevisions, appliedRevision{revision, now})
	}
	for len(s.appliedRevisions) > 1 && now.Sub(s.appliedRevisions[0].appliedAt) > 2*MaxStaleness(s.freshness) {
		s.appliedRevisions = s.appliedRevisions[1:]
	}
}

// MaxStaleness returns the time after the acceptance of a revision from which on no VM
// serves an older one, by any clock within DriftBound.
func MaxStaleness(freshness time.Duration) time.Duration {
	return time.Duration(float64(freshness) * (1 + DriftBound) / (1 - DriftBound))
}

// Table returns the table of VM reports.
func (s *Server) Table() *membership.Table { return s.table }

// Receiver is the net/rpc receiver of the service "Watch".
type Receiver struct{ server *Server }

// NewReceiver returns the net/rpc receiver for s.
func NewReceiver(s *Server) *Receiver { return &Receiver{server: s} }

// Poll calls Server.Poll and encodes its error for net/rpc.
func (r *Receiver) Poll(args *PollArgs, reply *PollReply) error {
	return peer.EncodeError(r.server.Poll(args, reply))
}

// olderRevisionsExpired reports whether a revision was applied here long enough ago that no
// VM can serve under an older one.
func (s *Server) olderRevisionsExpired(revision uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, applied := range s.appliedRevisions {
		if applied.revision >= revision {
			return now.Sub(applied.appliedAt) > MaxStaleness(s.freshness)
		}
	}
	return false
}
