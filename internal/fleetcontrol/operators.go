package fleetcontrol

import (
	"bytes"
	"context"
	"time"

	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/statemachine"

	"go.uber.org/zap"
)

// Replica is what the control side needs of agreement.
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
	// proposeTimeout bounds one try to put a command in the log; operators give up on a
	// node after a second and ask another one.
	proposeTimeout = 900 * time.Millisecond
	// forwardPause is the wait between two tries to reach a leader.
	forwardPause = 40 * time.Millisecond
)

// OperatorAPI carries out operators' calls on any replica.
type OperatorAPI struct {
	machine *Machine
	replica Replica
	calls   Caller
	log     *zap.Logger
}

// NewOperatorAPI returns the calls of one replica.
func NewOperatorAPI(m *Machine, r Replica, calls Caller, log *zap.Logger) *OperatorAPI {
	return &OperatorAPI{machine: m, replica: r, calls: calls, log: log}
}

// PutConfig puts a document in force and returns once it is committed. A document whose
// version is not above the one in force is accepted and changes nothing. Errors:
// InvalidRequest; NoQuorum and Timeout when there was no clear result.
func (o *OperatorAPI) PutConfig(ctx context.Context, document []byte) error {
	config, err := o.machine.decode(document)
	if err != nil {
		o.log.Info("configuration refused", zap.Int("bytes", len(document)), zap.Error(err))
		return err
	}
	result, err := o.propose(ctx, command{Document: document})
	o.log.Info("configuration sent by an operator", zap.Int64("version", config.Version), zap.Int("routes", len(config.Routes)),
		zap.Bool("in_force", bytes.Equal(result, inForce)), zap.Error(err))
	return err
}

// SetTargetVersion names a new version of a model's weights; an older one changes nothing.
func (o *OperatorAPI) SetTargetVersion(ctx context.Context, model string, version int64) error {
	if model == "" || version <= 0 {
		return errkind.New(errkind.InvalidRequest, "weights need a model and a version above 0")
	}
	_, err := o.propose(ctx, command{Model: model, Version: version})
	o.log.Info("weights named", zap.String("model", model), zap.Int64("version", version), zap.Error(err))
	return err
}

// Config returns the newest document. Errors: NoQuorum before the first one and
// while this replica can't be sure which is the newest.
func (o *OperatorAPI) Config(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := o.replica.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	held := o.machine.State()
	if held.Document == nil {
		return nil, errkind.New(errkind.NoQuorum, "no configuration has been sent yet")
	}
	return held.Document, nil
}

// propose puts a command in the log, here or through the leader. Commands are
// idempotent, so one that may have been accepted is tried again.
func (o *OperatorAPI) propose(ctx context.Context, c command) ([]byte, error) {
	data, err := c.encode()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		result, err := o.proposeOnce(ctx, data)
		if err == nil {
			if bytes.Equal(result, refused) {
				return nil, errkind.New(errkind.Internal, "the leader could not read the command")
			}
			return result, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(forwardPause):
		}
	}
}

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
	err := o.calls.Call(ctx, leader, ServiceName+".Propose", &ProposeArgs{Command: data}, reply)
	return reply.Result, err
}

// ProposeArgs carries a command to the leader.
type ProposeArgs struct{ Command []byte }

// ProposeReply carries its result.
type ProposeReply struct{ Result []byte }

// Propose is the net/rpc method of the leader.
func (s *Service) Propose(args *ProposeArgs, reply *ProposeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	result, err := s.replica.Propose(ctx, Namespace, args.Command)
	reply.Result = result.Data
	return peer.EncodeError(err)
}
