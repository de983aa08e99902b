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

// ServiceName is the net/rpc service that followers send operators' calls to.
const ServiceName = "Control"

const (
	// leaderCallTimeout bounds one try at the leader.
	leaderCallTimeout = 2 * time.Second
	// leaderRetryPause is the wait between two tries.
	leaderRetryPause = 50 * time.Millisecond
)

// Replica is what operators' calls need of agreement.
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

// MemberOp is what to do to the group of replicas.
type MemberOp uint8

// The operations on the group.
const (
	MemberAdd MemberOp = iota
	MemberRemove
	MemberTransfer
)

// MemberArgs is an operation on the group.
type MemberArgs struct {
	Op      MemberOp
	ID      uint64
	Address string
}

// MemberReply names the log index of the change.
type MemberReply struct{ Index uint64 }

// CommandArgs carries an encoded StateCommand.
type CommandArgs struct{ Command []byte }

// CommandReply carries an encoded StateResult.
type CommandReply struct{ Result []byte }

// LeaderService is the net/rpc receiver "Control": what the leader alone can do.
type LeaderService struct{ replica Replica }

// NewLeaderService returns the receiver.
func NewLeaderService(r Replica) *LeaderService { return &LeaderService{replica: r} }

// Command puts a StateCommand in the log.
func (l *LeaderService) Command(args *CommandArgs, reply *CommandReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaderCallTimeout)
	defer cancel()
	res, err := l.replica.Propose(ctx, state.Namespace, args.Command)
	reply.Result = res.Data
	return peer.EncodeError(err)
}

// Member changes the group.
func (l *LeaderService) Member(args *MemberArgs, reply *MemberReply) error {
	return peer.EncodeError(l.member(args, reply))
}

func (l *LeaderService) member(args *MemberArgs, reply *MemberReply) error {
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

// leaderClient carries calls to the leader, here or elsewhere.
type leaderClient struct {
	replica Replica
	local   *LeaderService
	calls   Caller
}

// call tries the leader until ctx ends. again says which failures are tried anew.
func (c *leaderClient) call(ctx context.Context, again func(error) bool, method string, args, reply any, local func() error) error {
	for {
		err := c.once(ctx, method, args, reply, local)
		if err == nil || !again(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaderRetryPause):
		}
	}
}

func (c *leaderClient) once(ctx context.Context, method string, args, reply any, local func() error) error {
	if c.replica.Status().Role == consensus.Leader {
		return local()
	}
	address := c.replica.Leader()
	if address == "" {
		return errkind.New(errkind.NoQuorum, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	go c.whileLeads(ctx, cancel, address)
	return c.calls.Call(ctx, address, ServiceName+"."+method, args, reply)
}

// whileLeads ends a call to a leader that is believed to lead no more, as it may be
// silent for long.
func (c *leaderClient) whileLeads(ctx context.Context, cancel context.CancelFunc, address string) {
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

// notRun says that a call certainly was not carried out.
func notRun(err error) bool {
	e := errkind.Of(err)
	return e.Outcome == errkind.NotRun && (e.Kind == errkind.NotLeader || e.Kind == errkind.NoQuorum)
}

// lost says that a call may be sent again because its operation ID makes it count
// once.
func lost(err error) bool { return notRun(err) || errkind.Is(err, errkind.Timeout) }

// propose carries a command to the leader and returns its result. Once a try may
// have reached the log, a failure says that the outcome is unknown.
func (c *leaderClient) propose(ctx context.Context, cmd *pb.StateCommand) (*pb.StateResult, error) {
	command, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode command")
	}
	args, reply := &CommandArgs{Command: command}, &CommandReply{}
	unsure := false
	again := func(err error) bool {
		unsure = unsure || !notRun(err)
		return lost(err)
	}
	err = c.call(ctx, again, "Command", args, reply, func() error {
		res, err := c.replica.Propose(ctx, state.Namespace, command)
		reply.Result = res.Data
		return err
	})
	if err != nil && unsure {
		return nil, errkind.Wrap(err, errkind.Timeout, "not accepted in time, it may still be; send it again with the same operation ID")
	}
	if err != nil {
		return nil, err
	}
	return state.DecodeResult(reply.Result)
}

func (c *leaderClient) member(ctx context.Context, args *MemberArgs) (*pb.MembershipResponse, error) {
	reply := &MemberReply{}
	err := c.call(ctx, notRun, "Member", args, reply, func() error { return c.local.member(args, reply) })
	return &pb.MembershipResponse{Index: reply.Index}, err
}
