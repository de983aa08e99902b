package fleetcontrol

import (
	"bytes"
	"context"
	"time"

	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/statemachine"

	"go.uber.org/zap"
)

// Replica is the part of a consensus replica that this package uses.
type Replica interface {
	statemachine.Proposer
	statemachine.Leadership
	Status() *consensus.ReplicaStatus
	Changed() <-chan struct{}
}

// Caller calls peers by address.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// proposeTimeout limits an operator request with its retries; the operators' client
	// abandons a request after one second and tries another VM.
	proposeTimeout = 900 * time.Millisecond
	// proposeRetryPause is the wait between two attempts to reach the leader.
	proposeRetryPause = 40 * time.Millisecond
)

// OperatorAPI executes operator requests on any replica, through the leader where needed.
type OperatorAPI struct {
	machine *Machine
	replica Replica
	peers   Caller
	log     *zap.Logger
	// servers lists the known servers; nil if there is no list. ackTime is the time for which operators
	// resend an order for a rollout; 0 stands for the default.
	servers func() []fleet.Server
	ackTime time.Duration
	// serversKnown reports whether the list of servers has been read since the processes of control started;
	// nil if it always is.
	serversKnown func() bool
	// rolloutsDisabled is set if the settings hold no exposure bounds: entry VMs count nothing then, so a
	// rollout could not be judged.
	rolloutsDisabled bool
}

// NewOperatorAPI returns the OperatorAPI of one replica.
func NewOperatorAPI(m *Machine, r Replica, peers Caller, log *zap.Logger) *OperatorAPI {
	return &OperatorAPI{machine: m, replica: r, peers: peers, log: log}
}

// PutConfig puts a document in force and returns once it is committed. A document whose
// version is not above the one in force is accepted and has no effect. Errors are errkind
// InvalidRequest, or NoQuorum and Timeout when the outcome is unknown.
func (o *OperatorAPI) PutConfig(ctx context.Context, document []byte) error {
	config, err := o.machine.decode(document)
	if err != nil {
		o.log.Info("configuration refused", zap.Int("bytes", len(document)), zap.Error(err))
		return err
	}
	result, proposed, err := o.proposeDocument(ctx, config.Version, document)
	o.log.Info("configuration sent by an operator", zap.Int64("version", config.Version), zap.Int("routes", len(config.Routes)),
		zap.Int("bytes", len(document)), zap.Int("proposed_bytes", proposed),
		zap.Bool("in_force", bytes.Equal(result, inForce)), zap.Error(err))
	return err
}

// SetTargetVersion sets the target weights version of a model and returns once it is
// committed. A version that is not above the current target has no effect.
func (o *OperatorAPI) SetTargetVersion(ctx context.Context, model string, version int64) error {
	if model == "" || version <= 0 {
		return errkind.New(errkind.InvalidRequest, "weights need a model and a version above 0")
	}
	_, err := o.propose(ctx, command{Model: model, Version: version})
	o.log.Info("weights named", zap.String("model", model), zap.Int64("version", version), zap.Error(err))
	return err
}

// Config returns the document in force. Errors are errkind NoQuorum before the first document
// and while this replica can't confirm that it has the newest one.
func (o *OperatorAPI) Config(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := o.replica.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	state := o.machine.State()
	if state.Document == nil {
		return nil, errkind.New(errkind.NoQuorum, "no configuration has been sent yet")
	}
	return state.Document, nil
}

// propose proposes a command on this replica or through the leader until it succeeds or
// proposeTimeout has passed. Commands are idempotent, so one whose outcome is unknown is
// proposed again. A command that can't be held is refused at once if no attempt may have run.
func (o *OperatorAPI) propose(ctx context.Context, c command) ([]byte, error) {
	data, err := c.encode()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for mayHaveRun := false; ; {
		result, err := o.proposeOnce(ctx, data)
		if err == nil {
			if bytes.Equal(result, refused) {
				return nil, errkind.New(errkind.Internal, "the replicated state machine could not decode the command")
			}
			return result, nil
		}
		mayHaveRun = mayHaveRun || errkind.Of(err).Outcome != errkind.NotRun
		if !mayHaveRun && (errkind.Is(err, errkind.TooLarge) || errkind.Is(err, errkind.Overloaded)) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(proposeRetryPause):
		}
	}
}

// proposeOnce makes one attempt to propose a command.
func (o *OperatorAPI) proposeOnce(ctx context.Context, data []byte) ([]byte, error) {
	if o.replica.Status().Role == consensus.Leader {
		result, err := o.replica.Propose(ctx, Namespace, data)
		return result.Data, err
	}
	leader := o.replica.Leader()
	if leader == "" {
		return nil, errkind.New(errkind.NoQuorum, "no leader is known")
	}
	reply := &ProposeReply{}
	err := o.peers.Call(ctx, leader, ServiceName+".Propose", &ProposeArgs{Command: data}, reply)
	return reply.Result, err
}

// ProposeArgs carries a command to the leader.
type ProposeArgs struct{ Command []byte }

// ProposeReply carries the result of the command.
type ProposeReply struct{ Result []byte }

// Propose is the net/rpc method by which other replicas propose commands on the leader.
func (s *Service) Propose(args *ProposeArgs, reply *ProposeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	result, err := s.replica.Propose(ctx, Namespace, args.Command)
	reply.Result = result.Data
	return peer.EncodeError(err)
}
