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
	// barrierSlots bounds the read barriers under way for starting watchers, so that
	// a herd of restarts shares a few rounds.
	barrierSlots = 8
)

// Replica is what the watch needs of agreement.
type Replica interface {
	Status() *consensus.ReplicaStatus
	Changed() <-chan struct{}
	ReadBarrier(ctx context.Context) error
}

// Server answers watchers on one control replica.
type Server struct {
	replica   Replica
	machine   *state.Machine
	table     *membership.Table
	log       *zap.Logger
	freshness time.Duration
	ctx       context.Context
	cancel    context.CancelFunc
	barriers  chan struct{}

	mu       sync.Mutex
	encoded  map[uint64][]byte // deltas to revision encodedTo, by the revision they begin at
	full     []byte
	to       uint64
	appliedN uint64 // newest revision seen
	marks    []mark
}

// mark dates a revision at this replica.
type mark struct {
	revision uint64
	at       time.Time
}

// NewServer returns a server; freshness is the bound that the watchers keep.
func NewServer(r Replica, m *state.Machine, t *membership.Table, freshness time.Duration, log *zap.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{replica: r, machine: m, table: t, log: log, freshness: freshness, ctx: ctx, cancel: cancel,
		barriers: make(chan struct{}, barrierSlots), encoded: map[uint64][]byte{}}
}

// Close answers every held poll.
func (s *Server) Close() { s.cancel() }

// Poll answers once there is something newer than the watcher has, or when the
// hold is over.
func (s *Server) Poll(args *PollArgs, reply *PollReply) error {
	arrived := time.Now()
	s.table.Hear(args.Report, arrived)
	if args.Barrier {
		if err := s.barrier(); err != nil {
			return err
		}
	}
	s.hold(args)
	return s.answer(args, reply, arrived)
}

func (s *Server) barrier() error {
	select {
	case s.barriers <- struct{}{}:
	case <-s.ctx.Done():
		return errkind.New(errkind.Draining, "replica is stopping")
	case <-time.After(barrierTimeout):
		return errkind.New(errkind.Overloaded, "too many watchers start at once").WithRetryAfter(barrierTimeout)
	}
	defer func() { <-s.barriers }()
	ctx, cancel := context.WithTimeout(s.ctx, barrierTimeout)
	defer cancel()
	return s.replica.ReadBarrier(ctx)
}

// hold waits for a newer revision.
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

// answer reads the attested age first and the state after it, so that the state is
// at least as new as the age says.
func (s *Server) answer(args *PollArgs, reply *PollReply, arrived time.Time) error {
	current := s.replica.Status().FreshAsOf
	reply.Replica = s.replica.Status().ID
	if err := s.fill(args, reply); err != nil {
		return err
	}
	now := time.Now()
	s.table.Hear(args.Report, now) // it may serve for a freshness bound from now
	vms, version := s.table.VMs(now)
	reply.VMsVersion = version
	if args.Replica != reply.Replica || args.VMsVersion != version {
		reply.VMs, reply.VMsSet = vms, true
	}
	reply.Attested, reply.Age = !current.IsZero(), now.Sub(current)
	reply.Held = now.Sub(arrived)
	return nil
}

func (s *Server) fill(args *PollArgs, reply *PollReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Revision = s.machine.Revision()
	if args.From != 0 && reply.Revision <= args.From {
		return nil
	}
	if s.to != reply.Revision {
		s.encoded, s.full, s.to = map[uint64][]byte{}, nil, reply.Revision
	}
	if args.From != 0 {
		if delta := s.delta(args.From); delta != nil {
			reply.Delta = delta
			return nil
		}
	}
	return s.snapshot(reply)
}

// delta returns the encoded delta to the present revision, or nil when a snapshot
// is needed. The mutex is held.
func (s *Server) delta(from uint64) []byte {
	if b := s.encoded[from]; b != nil {
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
	if d.GetToRevision() == s.to {
		s.encoded[from] = b
	}
	return b
}

func (s *Server) snapshot(reply *PollReply) error {
	if s.full == nil {
		c := s.machine.View().Configuration()
		b, err := proto.Marshal(c)
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "encode configuration")
		}
		s.full, s.to = b, c.GetRevision()
	}
	reply.Snapshot, reply.Revision = s.full, s.to
	return nil
}

// markRevision dates the newest revision. Marks older than the bound are dropped.
func (s *Server) markRevision(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.machine.Revision(); n != s.appliedN || len(s.marks) == 0 {
		s.appliedN = n
		s.marks = append(s.marks, mark{n, now})
	}
	for len(s.marks) > 1 && now.Sub(s.marks[0].at) > 2*MaxStaleness(s.freshness) {
		s.marks = s.marks[1:]
	}
}

// MaxStaleness is how long after a revision is accepted no VM can serve an older one any
// more, by any clock.
func MaxStaleness(freshness time.Duration) time.Duration {
	return time.Duration(float64(freshness) * (1 + DriftBound) / (1 - DriftBound))
}

// Table returns what is known of the VMs.
func (s *Server) Table() *membership.Table { return s.table }

// Receiver is the net/rpc receiver "Watch".
type Receiver struct{ server *Server }

// NewReceiver returns the receiver of s.
func NewReceiver(s *Server) *Receiver { return &Receiver{server: s} }

// Poll answers a watcher.
func (r *Receiver) Poll(args *PollArgs, reply *PollReply) error {
	return peer.EncodeError(r.server.Poll(args, reply))
}

// agedOut reports whether so much time has passed since a revision was applied here
// that no VM can serve under an older one.
func (s *Server) agedOut(revision uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.marks {
		if m.revision >= revision {
			return now.Sub(m.at) > MaxStaleness(s.freshness)
		}
	}
	return false
}
