package control

import (
	"context"
	"slices"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/state"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// barrier returns once this replica has applied every change accepted before the call.
func (s *Service) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.replica.ReadBarrier(ctx)
}

// Get returns the configuration after a read barrier, without the hashes of keys.
func (s *Service) Get(ctx context.Context, _ *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	if err := s.barrier(ctx); err != nil {
		return nil, err
	}
	c := proto.CloneOf(s.machine.View().Configuration())
	for _, k := range c.GetKeys() {
		k.SecretHash = nil
	}
	return connect.NewResponse(&pb.GetResponse{Configuration: c}), nil
}

// History returns accepted changes, newest first, without the hashes of keys.
func (s *Service) History(ctx context.Context, r *connect.Request[pb.HistoryRequest]) (*connect.Response[pb.HistoryResponse], error) {
	if err := s.barrier(ctx); err != nil {
		return nil, err
	}
	limit := int(r.Msg.GetLimit())
	if limit <= 0 {
		limit = defaultHistory
	}
	out := &pb.HistoryResponse{}
	for _, e := range s.machine.History(r.Msg.GetBeforeRevision(), min(limit, maxHistory)) {
		e = proto.CloneOf(e)
		for _, m := range e.GetMutations() {
			if k := m.GetPutKey(); k != nil {
				k.SecretHash = nil
			}
		}
		out.Entries = append(out.Entries, e)
	}
	return connect.NewResponse(out), nil
}

// Wait returns once a revision is in force on every VM that serves, or after the
// requested timeout with the names of the VMs that it still waits for.
func (s *Service) Wait(ctx context.Context, r *connect.Request[pb.WaitRequest]) (*connect.Response[pb.WaitResponse], error) {
	timeout := time.Duration(r.Msg.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultWait
	}
	ctx, cancel := context.WithTimeout(ctx, min(timeout, maxWait))
	defer cancel()
	ok, names := s.watch.Wait(ctx, r.Msg.GetRevision())
	return connect.NewResponse(&pb.WaitResponse{InForce: ok, WaitingFor: names}), nil
}

// Status returns this replica's view of the group and the VMs, without a read barrier.
func (s *Service) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	status := s.replica.Status()
	out := &pb.StatusResponse{Replica: status.ID, Role: status.Role.String(), Term: status.Term, LeaderAddress: s.replica.Leader(),
		CommitIndex: status.CommitIndex, AppliedIndex: status.Applied, Revision: s.machine.Revision()}
	for _, m := range status.Members.Members {
		out.Replicas = append(out.Replicas, &pb.ReplicaStatus{Id: m.ID, Address: m.Address, Learner: m.Learner, MatchIndex: status.MatchIndex[m.ID]})
	}
	now := time.Now()
	vms, _ := s.watch.Table().VMs(now)
	reports := s.watch.Table().Reports(now)
	for _, v := range vms {
		vm := &pb.VMStatus{Name: v.Name, Address: v.Address, FailureDomain: v.FailureDomain, Incarnation: v.Incarnation, Leaving: v.Leaving}
		for _, r := range reports {
			if r.Name == v.Name && r.Incarnation == v.Incarnation {
				vm.Revision, vm.SilentMs = r.Revision, r.Age.Milliseconds()
			}
		}
		out.Vms = append(out.Vms, vm)
	}
	return connect.NewResponse(out), nil
}

// entryVMs lists the entry VMs that this replica knows.
func (s *Service) entryVMs() []dryrun.VM {
	vms, _ := s.watch.Table().VMs(time.Now())
	out := make([]dryrun.VM, 0, len(vms))
	for _, vm := range vms {
		out = append(out, dryrun.VM{Name: vm.Name, PeerAddress: vm.PeerAddress})
	}
	return out
}

// AddReplica adds a new replica to the group. The replica votes once it has the log.
func (s *Service) AddReplica(ctx context.Context, r *connect.Request[pb.AddReplicaRequest]) (*connect.Response[pb.MembershipResponse], error) {
	if r.Msg.GetId() == 0 || r.Msg.GetAddress() == "" {
		return nil, errkind.New(errkind.InvalidRequest, "a replica needs a number and an address")
	}
	return s.changeMembership(ctx, &MemberArgs{Op: MemberAdd, ID: r.Msg.GetId(), Address: r.Msg.GetAddress()})
}

// RemoveReplica removes a replica from the group.
func (s *Service) RemoveReplica(ctx context.Context, r *connect.Request[pb.RemoveReplicaRequest]) (*connect.Response[pb.MembershipResponse], error) {
	return s.changeMembership(ctx, &MemberArgs{Op: MemberRemove, ID: r.Msg.GetId()})
}

// TransferLeadership transfers leadership to a replica; 0 selects the most suitable one.
func (s *Service) TransferLeadership(ctx context.Context, r *connect.Request[pb.TransferLeadershipRequest]) (*connect.Response[pb.MembershipResponse], error) {
	return s.changeMembership(ctx, &MemberArgs{Op: MemberTransfer, ID: r.Msg.GetTo()})
}

func (s *Service) changeMembership(ctx context.Context, args *MemberArgs) (*connect.Response[pb.MembershipResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return respond(s.leader.changeMembership(ctx, args))
}

// Backup returns the configuration as an image that Restore accepts.
func (s *Service) Backup(ctx context.Context, _ *connect.Request[pb.BackupRequest]) (*connect.Response[pb.BackupResponse], error) {
	if err := s.barrier(ctx); err != nil {
		return nil, err
	}
	c := s.machine.View().Configuration()
	image, err := state.EncodeBackup(c)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode backup")
	}
	return connect.NewResponse(&pb.BackupResponse{Image: slices.Clip(image), Revision: c.GetRevision()}), nil
}

// Restore replaces the configuration by that of a backup, at a new revision.
func (s *Service) Restore(ctx context.Context, r *connect.Request[pb.RestoreRequest]) (*connect.Response[pb.ChangeResponse], error) {
	c, err := state.DecodeBackup(r.Msg.GetImage())
	if err != nil {
		return nil, err
	}
	return respond(s.change(ctx, r.Msg.GetMeta(), c))
}
