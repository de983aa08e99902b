package control

import (
	"context"
	"net/http"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/gen/eelgrass/v1/eelgrassv1connect"
	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleetcontrol"

	"connectrpc.com/connect"
	"go.uber.org/zap"
)

// RolloutAPI executes the calls for rollouts of releases; see fleetcontrol.OperatorAPI.
type RolloutAPI interface {
	StartRollout(ctx context.Context, service, release string, duration time.Duration) error
	Rollouts(ctx context.Context, service string) ([]fleetcontrol.Rollout, error)
}

// rolloutCalls implements the calls for rollouts. api is nil on replicas without servers that have
// releases, which are those that the platform does not run.
type rolloutCalls struct {
	api RolloutAPI
	log *zap.Logger
}

// unimplementedCalls is embedded at a greater depth than the calls that a handler has.
type unimplementedCalls struct {
	eelgrassv1connect.UnimplementedOperatorHandler
}

// platformService serves only the calls for rollouts and ExplainRoute; the others are errkind Unsupported.
type platformService struct {
	unimplementedCalls
	rolloutCalls
	explainCalls
}

// PlatformHandler returns an HTTP handler that serves the calls for rollouts and ExplainRoute with authentication,
// and the path prefix that it is to be mounted at. It calls the entry VMs through peers.
func PlatformHandler(api RolloutAPI, vms EntryVMs, peers dryrun.Caller, operators *OperatorTokens, log *zap.Logger) (path string, handler http.Handler) {
	service := &platformService{rolloutCalls: rolloutCalls{api: api, log: log}, explainCalls: explainCalls{vms: vms, peers: peers, log: log}}
	return eelgrassv1connect.NewOperatorHandler(service,
		connect.WithInterceptors(authenticate(operators)), connect.WithReadMaxBytes(maxMessageBytes), uncompressed)
}

// check returns an error if rollouts are not available here or the service has no name.
func (c *rolloutCalls) check(service string) error {
	switch {
	case c.api == nil:
		return errkind.New(errkind.Unsupported, "rollouts of releases are only available on the platform, where servers have releases")
	case service == "":
		return errkind.New(errkind.InvalidRequest, "rollout needs a service")
	}
	return nil
}

// StartRollout orders that a service's traffic move to servers of a release.
func (c *rolloutCalls) StartRollout(ctx context.Context, r *connect.Request[pb.StartRolloutRequest]) (*connect.Response[pb.StartRolloutResponse], error) {
	m := r.Msg
	if err := c.check(m.GetService()); err != nil {
		return nil, err
	}
	// A duration that overflows must not become a valid one.
	if limit := int64(fleetcontrol.MaxRolloutDuration / time.Millisecond); m.GetDurationMs() <= 0 || m.GetDurationMs() > limit {
		return nil, errkind.New(errkind.InvalidRequest, "duration of a rollout must be above 0 and at most %v", fleetcontrol.MaxRolloutDuration)
	}
	duration := time.Duration(m.GetDurationMs()) * time.Millisecond
	err := c.api.StartRollout(ctx, m.GetService(), m.GetRelease(), duration)
	c.log.Info("rollout ordered by an operator", zap.String("operator", operatorOf(ctx)), zap.String("service", m.GetService()),
		zap.String("to", m.GetRelease()), zap.Duration("duration", duration), zap.Error(err))
	return respond(&pb.StartRolloutResponse{}, err)
}

// GetRollout returns the latest rollout of a service.
func (c *rolloutCalls) GetRollout(ctx context.Context, r *connect.Request[pb.GetRolloutRequest]) (*connect.Response[pb.GetRolloutResponse], error) {
	all, err := c.list(ctx, r.Msg.GetService())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.GetRolloutResponse{Rollout: all[0]}), nil
}

// ListRollouts returns the recent rollouts of a service, the newest first.
func (c *rolloutCalls) ListRollouts(ctx context.Context, r *connect.Request[pb.ListRolloutsRequest]) (*connect.Response[pb.ListRolloutsResponse], error) {
	all, err := c.list(ctx, r.Msg.GetService())
	return respond(&pb.ListRolloutsResponse{Rollouts: all}, err)
}

// list returns at least one rollout, or an error.
func (c *rolloutCalls) list(ctx context.Context, service string) ([]*pb.Rollout, error) {
	if err := c.check(service); err != nil {
		return nil, err
	}
	rollouts, err := c.api.Rollouts(ctx, service)
	if err != nil {
		return nil, err
	}
	all := make([]*pb.Rollout, 0, len(rollouts))
	for _, x := range rollouts {
		all = append(all, &pb.Rollout{
			Service: x.Service, Number: x.Number, Release: x.Release, DurationMs: x.Duration.Milliseconds(), OrderedUnixMs: x.OrderedAt,
			Phase: x.Stage.Phase.String(), Stage: x.StageNumber, RouteShares: x.Stage.Shares, DefaultShare: x.Stage.Default, Reason: x.Stage.Reason,
		})
	}
	return all, nil
}
