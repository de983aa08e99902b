package control

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// PlatformName is the platform reader's name in the kernel.
const PlatformName = "control.platform"

// platformOperator is named in the history for changes that follow the platform.
const platformOperator = "system:platform"

// PlatformModule follows the platform's list of VMs: entry VMs that leave are no longer
// named to callers, endpoints that leave are marked so in the configuration.
type PlatformModule struct {
	source  *membership.PlatformClient
	every   time.Duration
	log     *zap.Logger
	replica Replica
	machine *state.Machine
	table   *membership.Table
	kernel.Background
}

// NewPlatformModule returns a module that reads the list at address.
func NewPlatformModule(address string, every time.Duration, log *zap.Logger) *PlatformModule {
	return &PlatformModule{source: membership.NewPlatformClient(address), every: every, log: log}
}

// Provision looks up agreement, state and watch.
func (p *PlatformModule) Provision(k *kernel.Kernel) error {
	var (
		replica *consensus.Module
		machine *state.Module
		w       *watch.Module
	)
	err := k.Find(kernel.As(consensus.ModuleName, &replica), kernel.As(state.ModuleName, &machine), kernel.As(watch.ModuleName, &w))
	if err != nil {
		return err
	}
	p.replica, p.machine, p.table = replica, machine.Machine, w.Table()
	p.Run = p.run
	return nil
}

func (p *PlatformModule) run(ctx context.Context) {
	ticker := time.NewTicker(p.every)
	defer ticker.Stop()
	for {
		if err := p.follow(ctx); err != nil {
			p.log.Warn("platform's VM list", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *PlatformModule) follow(ctx context.Context) error {
	list, err := p.source.List(ctx)
	if err != nil {
		return err
	}
	leaving := membership.LeavingNames(list)
	p.table.SetLeaving(leaving)
	if _, ok := p.replica.Leading(); !ok {
		return nil
	}
	for _, m := range leavingEndpoints(p.machine.View(), leaving) {
		if err := p.mark(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// leavingEndpoints lists the mutations that mark endpoints on leaving VMs.
func leavingEndpoints(v *state.View, leaving map[string]bool) []*pb.Mutation {
	var out []*pb.Mutation
	for _, e := range v.Configuration().GetEndpoints() {
		if e.GetLeaving() || !leaving[e.GetName()] && !leaving[e.GetAddress()] && !leaving[hostOf(e.GetAddress())] {
			continue
		}
		own := proto.CloneOf(e)
		own.Leaving = true
		out = append(out, &pb.Mutation{ExpectedRevision: e.GetRevision(), Change: &pb.Mutation_PutEndpoint{PutEndpoint: own}})
	}
	return out
}

func hostOf(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return a.Addr().String()
}

// mark proposes one endpoint's marking. The operation ID names the endpoint's
// revision, so that two leaders mark it once.
func (p *PlatformModule) mark(ctx context.Context, m *pb.Mutation) error {
	e := m.GetPutEndpoint()
	ctx = context.WithValue(ctx, operatorKey{}, platformOperator)
	meta := &pb.ChangeMeta{OperationId: "leaving/" + e.GetName() + "/" + strconv.FormatUint(e.GetRevision(), 10),
		Reason: "the platform lists the VM as leaving"}
	cmd, err := command(ctx, meta, nil, []*pb.Mutation{m})
	if err != nil {
		return err
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	res, err := p.replica.Propose(ctx, state.Namespace, data)
	if err != nil {
		return err
	}
	_, err = state.DecodeResult(res.Data)
	p.log.Info("endpoint leaves with its VM", zap.String("endpoint", e.GetName()), zap.Error(err))
	return err
}
