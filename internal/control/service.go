package control

import (
	"context"
	"crypto/sha256"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// changeTimeout bounds a change, in addition to the deadline of the call.
	changeTimeout = 5 * time.Second
	// readTimeout bounds the read barrier before a read.
	readTimeout = 3 * time.Second
	// defaultWait and maxWait are the default and the maximum timeout of Wait.
	defaultWait = 10 * time.Second
	maxWait     = time.Minute
	// defaultHistory and maxHistory are the default and the maximum number of entries in
	// one page of the history.
	defaultHistory = 50
	maxHistory     = 1000
)

// Service implements the operator API on one control replica.
type Service struct {
	replica Replica
	machine *state.Machine
	watch   *watch.Server
	leader  *leaderClient
	keys    keys.Deriver
	log     *zap.Logger
	rolloutCalls
	explainCalls
}

// NewService returns a service that calls the other replicas through peers.
func NewService(r Replica, m *state.Machine, w *watch.Server, peers Caller, deriver keys.Deriver, log *zap.Logger) *Service {
	s := &Service{replica: r, machine: m, watch: w, keys: deriver, log: log,
		leader: &leaderClient{replica: r, local: NewLeaderService(r), peers: peers}}
	s.explainCalls = explainCalls{vms: s.entryVMs, peers: peers, log: log}
	return s
}

// newCommand returns the command of a change. Its body hash covers the mutations, the
// replacing configuration and the reason: a resend under the same operation ID must
// match in all of them.
func newCommand(ctx context.Context, meta *pb.ChangeMeta, replace *pb.Configuration, mutations []*pb.Mutation) (*pb.StateCommand, error) {
	if meta.GetOperationId() == "" && !meta.GetDryRun() {
		return nil, errkind.New(errkind.InvalidRequest, "a change needs an operation ID")
	}
	cmd := &pb.StateCommand{Operator: operatorOf(ctx), OperationId: meta.GetOperationId(), Reason: meta.GetReason(),
		Mutations: mutations, Replace: replace}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.StateCommand{Mutations: mutations, Replace: replace, Reason: meta.GetReason()})
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "change can't be encoded")
	}
	hash := sha256.Sum256(body)
	cmd.BodyHash, cmd.AcceptedUnixMs = hash[:], time.Now().UnixMilli()
	return cmd, nil
}

// change executes a change, or checks it on a dry run.
func (s *Service) change(ctx context.Context, meta *pb.ChangeMeta, replace *pb.Configuration, mutations ...*pb.Mutation) (*pb.ChangeResponse, error) {
	cmd, err := newCommand(ctx, meta, replace, mutations)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if meta.GetDryRun() {
		return s.dryRun(ctx, cmd)
	}
	result, err := s.leader.propose(ctx, cmd)
	s.log.Info("configuration change proposed", zap.String("operator", cmd.GetOperator()), zap.String("operation", cmd.GetOperationId()),
		zap.Uint64("revision", result.GetRevision()), zap.Bool("repeated", result.GetRepeated()), zap.Error(err))
	if err != nil {
		return nil, err
	}
	return &pb.ChangeResponse{Revision: result.GetRevision(), Repeated: result.GetRepeated()}, nil
}

// dryRun returns the result that a command would have, without executing it.
func (s *Service) dryRun(ctx context.Context, cmd *pb.StateCommand) (*pb.ChangeResponse, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	result, err := s.machine.DryRun(cmd)
	if err != nil {
		return nil, err
	}
	return &pb.ChangeResponse{Revision: result.GetRevision(), Repeated: result.GetRepeated(), DryRun: true}, nil
}

// respond wraps a message in a response unless err is set.
func respond[T any](msg *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(msg), nil
}

// Change executes mutations atomically.
func (s *Service) Change(ctx context.Context, r *connect.Request[pb.ChangeRequest]) (*connect.Response[pb.ChangeResponse], error) {
	for _, m := range r.Msg.GetMutations() {
		if m.GetPutKey() != nil {
			return nil, errkind.New(errkind.InvalidRequest, "keys are issued by IssueKey")
		}
	}
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, r.Msg.GetMutations()...))
}

// CreateClientAccount creates a client account.
func (s *Service) CreateClientAccount(ctx context.Context, r *connect.Request[pb.CreateClientAccountRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return respond(s.change(ctx, r.Msg.GetMeta(), nil,
		&pb.Mutation{Change: &pb.Mutation_PutClientAccount{PutClientAccount: r.Msg.GetClientAccount()}}))
}

// UpdateClientAccount changes a client account that is at the expected revision.
func (s *Service) UpdateClientAccount(ctx context.Context, r *connect.Request[pb.UpdateClientAccountRequest]) (*connect.Response[pb.ChangeResponse], error) {
	if r.Msg.GetExpectedRevision() == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "an update needs the expected revision")
	}
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{ExpectedRevision: r.Msg.GetExpectedRevision(),
		Change: &pb.Mutation_PutClientAccount{PutClientAccount: r.Msg.GetClientAccount()}}))
}

// DeleteClientAccount deletes a client account and withdraws its keys.
func (s *Service) DeleteClientAccount(ctx context.Context, r *connect.Request[pb.DeleteClientAccountRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{ExpectedRevision: r.Msg.GetExpectedRevision(),
		Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: r.Msg.GetName()}}))
}

// IssueKey creates a key. The secret is not stored: it is derived from the fleet's hash
// key and the operation ID, so that a resend after a lost response returns the same
// secret.
func (s *Service) IssueKey(ctx context.Context, r *connect.Request[pb.IssueKeyRequest]) (*connect.Response[pb.IssueKeyResponse], error) {
	token := s.keys.Derive(operatorOf(ctx), r.Msg.GetMeta().GetOperationId(), r.Msg.GetClientAccount())
	key := &pb.Key{Id: token.ID, ClientAccount: r.Msg.GetClientAccount(), SecretHash: s.keys.Hash(token.Secret)}
	done, err := s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{Change: &pb.Mutation_PutKey{PutKey: key}})
	if err != nil {
		return nil, err
	}
	out := &pb.IssueKeyResponse{Id: token.ID, Revision: done.GetRevision()}
	if !done.GetDryRun() {
		out.Token = token.Text()
	}
	return connect.NewResponse(out), nil
}

// WithdrawKey withdraws a key permanently.
func (s *Service) WithdrawKey(ctx context.Context, r *connect.Request[pb.WithdrawKeyRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{Change: &pb.Mutation_WithdrawKey{WithdrawKey: r.Msg.GetId()}}))
}

// PutRoute creates or changes a route.
func (s *Service) PutRoute(ctx context.Context, r *connect.Request[pb.PutRouteRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{ExpectedRevision: r.Msg.GetExpectedRevision(),
		Change: &pb.Mutation_PutRoute{PutRoute: r.Msg.GetRoute()}}))
}

// DeleteRoute deletes a route.
func (s *Service) DeleteRoute(ctx context.Context, r *connect.Request[pb.DeleteRouteRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{ExpectedRevision: r.Msg.GetExpectedRevision(),
		Change: &pb.Mutation_DeleteRoute{DeleteRoute: r.Msg.GetName()}}))
}

// PutModel creates or changes a model.
func (s *Service) PutModel(ctx context.Context, r *connect.Request[pb.PutModelRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{ExpectedRevision: r.Msg.GetExpectedRevision(),
		Change: &pb.Mutation_PutModel{PutModel: r.Msg.GetModel()}}))
}

// DeleteModel deletes a model.
func (s *Service) DeleteModel(ctx context.Context, r *connect.Request[pb.DeleteModelRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{ExpectedRevision: r.Msg.GetExpectedRevision(),
		Change: &pb.Mutation_DeleteModel{DeleteModel: r.Msg.GetName()}}))
}

// PutEndpoint creates or changes an endpoint.
func (s *Service) PutEndpoint(ctx context.Context, r *connect.Request[pb.PutEndpointRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{ExpectedRevision: r.Msg.GetExpectedRevision(),
		Change: &pb.Mutation_PutEndpoint{PutEndpoint: r.Msg.GetEndpoint()}}))
}

// DeleteEndpoint deletes an endpoint.
func (s *Service) DeleteEndpoint(ctx context.Context, r *connect.Request[pb.DeleteEndpointRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return respond(s.change(ctx, r.Msg.GetMeta(), nil, &pb.Mutation{ExpectedRevision: r.Msg.GetExpectedRevision(),
		Change: &pb.Mutation_DeleteEndpoint{DeleteEndpoint: r.Msg.GetName()}}))
}
