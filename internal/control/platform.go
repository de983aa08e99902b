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

// PlatformName is the name of PlatformModule in the kernel.
const PlatformName = "control.platform"

// platformOperator is the operator recorded in the history for changes that the
// platform's list caused.
const platformOperator = "system:platform"

// PlatformModule polls the platform's list of VMs. Entry VMs that the list marks as
// leaving are no longer announced to clients, and endpoints on leaving VMs are marked as
// leaving in the configuration.
type PlatformModule struct {
	client       *membership.PlatformClient
	pollInterval time.Duration
	log          *zap.Logger
	replica      Replica
	machine      *state.Machine
	table        *membership.Table
	kernel.Background
}

// NewPlatformModule returns a module that reads the list at address every pollInterval.
func NewPlatformModule(address string, pollInterval time.Duration, log *zap.Logger) *PlatformModule {
	return &PlatformModule{client: membership.NewPlatformClient(address), pollInterval: pollInterval, log: log}
}

// Provision looks up the consensus, state and watch modules.
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

// run polls the list until ctx ends.
func (p *PlatformModule) run(ctx context.Context) {
	ticker := time.NewTicker(p.pollInterval)
	defer ticker.Stop()
	for {
		if err := p.poll(ctx); err != nil {
			p.log.Warn("processing the platform's VM list failed", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reads the list once. Only the leader marks endpoints.
func (p *PlatformModule) poll(ctx context.Context) error {
	list, err := p.client.List(ctx)
	if err != nil {
		return err
	}
	leaving := membership.LeavingNames(list)
	p.table.SetLeaving(leaving)
	if _, ok := p.replica.Leading(); !ok {
		return nil
	}
	for _, m := range leavingMutations(p.machine.View(), leaving) {
		if err := p.markLeaving(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// leavingMutations returns the mutations that mark the endpoints on leaving VMs. The keys
// of leaving are names, addresses and hosts of addresses.
func leavingMutations(v *state.View, leaving map[string]bool) []*pb.Mutation {
	var out []*pb.Mutation
	for _, e := range v.Configuration().GetEndpoints() {
		if e.GetLeaving() || !leaving[e.GetName()] && !leaving[e.GetAddress()] && !leaving[hostOf(e.GetAddress())] {
			continue
		}
		marked := proto.CloneOf(e)
		marked.Leaving = true
		out = append(out, &pb.Mutation{ExpectedRevision: e.GetRevision(), Change: &pb.Mutation_PutEndpoint{PutEndpoint: marked}})
	}
	return out
}

// hostOf returns the IP address of an address with a port, or "".
func hostOf(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return a.Addr().String()
}

// markLeaving proposes the mutation that marks an endpoint. The operation ID contains the
// endpoint's revision, so that the change takes effect once even if two leaders propose
// it.
func (p *PlatformModule) markLeaving(ctx context.Context, mutation *pb.Mutation) error {
	endpoint := mutation.GetPutEndpoint()
	ctx = context.WithValue(ctx, operatorKey{}, platformOperator)
	meta := &pb.ChangeMeta{OperationId: "leaving/" + endpoint.GetName() + "/" + strconv.FormatUint(endpoint.GetRevision(), 10),
		Reason: "the platform lists the VM as leaving"}
	cmd, err := newCommand(ctx, meta, nil, []*pb.Mutation{mutation})
	if err != nil {
		return err
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	result, err := p.replica.Propose(ctx, state.Namespace, data)
	if err != nil {
		return err
	}
	_, err = state.DecodeResult(result.Data)
	p.log.Info("proposed marking an endpoint on a leaving VM as leaving", zap.String("endpoint", endpoint.GetName()), zap.Error(err))
	return err
}
