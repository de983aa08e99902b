package control

import (
	"context"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/statemachine"

	"google.golang.org/protobuf/proto"
)

// ServiceName is the net/rpc service to which followers forward operators' calls.
const ServiceName = "Control"

const (
	// leaderCallTimeout bounds one attempt to call the leader.
	leaderCallTimeout = 2 * time.Second
	// leaderRetryPause is the delay between two attempts.
	leaderRetryPause = 50 * time.Millisecond
)

// Replica is the part of a consensus replica that the operator API uses.
type Replica interface {
	statemachine.Proposer
	statemachine.Leadership
	Status() *consensus.ReplicaStatus
	Changed() <-chan struct{}
	AddReplica(ctx context.Context, id uint64, address string) (uint64, error)
	RemoveReplica(ctx context.Context, id uint64) (uint64, error)
	TransferLeadership(ctx context.Context, to uint64) error
}

// Caller calls peers by address.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// MemberOp is an operation on the membership of the replica group.
type MemberOp uint8

// Operations on the replica group.
const (
	MemberAdd MemberOp = iota
	MemberRemove
	MemberTransfer
)

// MemberArgs describes an operation on the replica group. Only MemberAdd uses Address. For
// MemberTransfer, ID 0 selects the most suitable replica.
type MemberArgs struct {
	Op      MemberOp
	ID      uint64
	Address string
}

// MemberReply carries the log index of the membership change.
type MemberReply struct{ Index uint64 }

// CommandArgs carries an encoded StateCommand.
type CommandArgs struct{ Command []byte }

// CommandReply carries an encoded StateResult.
type CommandReply struct{ Result []byte }

// LeaderService is the net/rpc receiver "Control". It executes the operations that only
// the leader can execute.
type LeaderService struct{ replica Replica }

// NewLeaderService returns a receiver that executes calls on r.
func NewLeaderService(r Replica) *LeaderService { return &LeaderService{replica: r} }

// Command appends a StateCommand to the log and waits for its result.
func (l *LeaderService) Command(args *CommandArgs, reply *CommandReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaderCallTimeout)
	defer cancel()
	result, err := l.replica.Propose(ctx, state.Namespace, args.Command)
	reply.Result = result.Data
	return peer.EncodeError(err)
}

// Member changes the membership of the replica group or transfers leadership.
func (l *LeaderService) Member(args *MemberArgs, reply *MemberReply) error {
	return peer.EncodeError(l.changeMembership(args, reply))
}

func (l *LeaderService) changeMembership(args *MemberArgs, reply *MemberReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaderCallTimeout)
	defer cancel()
	var err error
	switch args.Op {
	case MemberAdd:
		reply.Index, err = l.replica.AddReplica(ctx, args.ID, args.Address)
	case MemberRemove:
		reply.Index, err = l.replica.RemoveReplica(ctx, args.ID)
	case MemberTransfer:
		err = l.replica.TransferLeadership(ctx, args.ID)
	}
	return err
}

// leaderClient calls the leader, which may be the local replica.
type leaderClient struct {
	replica Replica
	local   *LeaderService
	peers   Caller
}

// call calls the leader, and retries until ctx ends while retryable reports true for the
// error. local executes the call if this replica is the leader.
func (c *leaderClient) call(ctx context.Context, retryable func(error) bool, method string, args, reply any, local func() error) error {
	for {
		err := c.attempt(ctx, method, args, reply, local)
		if err == nil || !retryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaderRetryPause):
		}
	}
}

// attempt calls the last known leader once.
func (c *leaderClient) attempt(ctx context.Context, method string, args, reply any, local func() error) error {
	if c.replica.Status().Role == consensus.Leader {
		return local()
	}
	address := c.replica.Leader()
	if address == "" {
		return errkind.New(errkind.NoQuorum, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	go c.cancelOnLeaderChange(ctx, cancel, address)
	return c.peers.Call(ctx, address, ServiceName+"."+method, args, reply)
}

// cancelOnLeaderChange cancels a call once address is no longer that of the last known
// leader, as a former leader may not respond for a long time.
func (c *leaderClient) cancelOnLeaderChange(ctx context.Context, cancel context.CancelFunc, address string) {
	for {
		changed := c.replica.Changed()
		if c.replica.Leader() != address {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// notRun reports whether a call was certainly not executed and may be retried.
func notRun(err error) bool {
	e := errkind.Of(err)
	return e.Outcome == errkind.NotRun && (e.Kind == errkind.NotLeader || e.Kind == errkind.NoQuorum)
}

// resendable reports whether a failed change may be sent again. This includes calls that
// may have been executed, as the operation ID prevents a second execution.
func resendable(err error) bool { return notRun(err) || errkind.Is(err, errkind.Timeout) }

// propose sends a command to the leader and returns its result. If any attempt may have
// reached the log, a failure is errkind Timeout, whose outcome is unknown.
func (c *leaderClient) propose(ctx context.Context, cmd *pb.StateCommand) (*pb.StateResult, error) {
	command, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode command")
	}
	args, reply := &CommandArgs{Command: command}, &CommandReply{}
	mayHaveRun := false
	retryable := func(err error) bool {
		mayHaveRun = mayHaveRun || !notRun(err)
		return resendable(err)
	}
	err = c.call(ctx, retryable, "Command", args, reply, func() error {
		result, err := c.replica.Propose(ctx, state.Namespace, command)
		reply.Result = result.Data
		return err
	})
	if err != nil && mayHaveRun {
		return nil, errkind.Wrap(err, errkind.Timeout, "timed out waiting for acceptance; the change may still be accepted, send it again with the same operation ID")
	}
	if err != nil {
		return nil, err
	}
	return state.DecodeResult(reply.Result)
}

func (c *leaderClient) changeMembership(ctx context.Context, args *MemberArgs) (*pb.MembershipResponse, error) {
	reply := &MemberReply{}
	err := c.call(ctx, notRun, "Member", args, reply, func() error { return c.local.changeMembership(args, reply) })
	return &pb.MembershipResponse{Index: reply.Index}, err
}
