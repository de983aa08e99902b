package control

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/errkind"

	"connectrpc.com/connect"
	"go.uber.org/zap"
)

// EntryVMs lists the entry VMs that can be asked.
type EntryVMs func() []dryrun.VM

// explainCalls implements ExplainRoute.
type explainCalls struct {
	vms   EntryVMs
	peers dryrun.Caller
	log   *zap.Logger
}

// ExplainRoute asks entry VMs where they would send a request now. The errors of single VMs are part of the response.
func (c *explainCalls) ExplainRoute(ctx context.Context, r *connect.Request[pb.ExplainRouteRequest]) (*connect.Response[pb.ExplainRouteResponse], error) {
	if c.vms == nil {
		return nil, errkind.New(errkind.Unsupported, "this control replica knows no entry VMs")
	}
	m := r.Msg
	vms, err := chooseVMs(c.vms(), m.GetVms())
	if err != nil {
		return nil, err
	}
	answers := dryrun.Ask(ctx, c.peers, vms, queryOf(m))
	failed := 0
	for _, a := range answers {
		if a.Err != nil {
			failed++
		}
	}
	outcomes := dryrun.Outcomes(answers)
	c.log.Info("routing of a request explained", zap.String("operator", operatorOf(ctx)), zap.String("client_account", m.GetClientAccount()),
		zap.String("route", m.GetRoute()), zap.String("host", m.GetHost()), zap.String("path", m.GetPath()), zap.String("model", m.GetModel()),
		zap.Int("vms", len(answers)), zap.Int("failed", failed), zap.Int("outcomes", len(outcomes)))
	if err := rejected(answers); err != nil {
		return nil, err
	}
	out := &pb.ExplainRouteResponse{}
	for _, a := range answers {
		out.Vms = append(out.Vms, explanationOf(a))
	}
	for _, o := range outcomes {
		out.Outcomes = append(out.Outcomes, &pb.RouteOutcome{Outcome: o.Outcome, Vms: o.VMs})
	}
	return connect.NewResponse(out), nil
}

// chooseVMs returns the VMs with the given names, or all if there are no names.
func chooseVMs(all []dryrun.VM, names []string) ([]dryrun.VM, error) {
	slices.SortFunc(all, func(a, b dryrun.VM) int { return cmp.Compare(a.Name, b.Name) })
	if len(names) == 0 {
		if len(all) == 0 {
			return nil, errkind.New(errkind.NoQuorum, "this control replica knows no entry VM yet")
		}
		return all, nil
	}
	var chosen []dryrun.VM
	for _, name := range names {
		i := slices.IndexFunc(all, func(vm dryrun.VM) bool { return vm.Name == name })
		if i < 0 {
			return nil, errkind.New(errkind.NotFound, "entry VM %q is not known to this control replica", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// rejected returns the error of a request that all VMs that answered reject as invalid.
func rejected(answers []dryrun.Answer) error {
	var invalid error
	for _, a := range answers {
		switch {
		case a.Explanation != nil:
			return nil
		case errkind.Is(a.Err, errkind.InvalidRequest):
			invalid = a.Err
		}
	}
	return invalid
}

func queryOf(m *pb.ExplainRouteRequest) dryrun.Query {
	q := dryrun.Query{
		Account: m.GetClientAccount(), Key: m.GetKey(), Method: strings.ToUpper(m.GetMethod()), Host: m.GetHost(), Path: m.GetPath(), Route: m.GetRoute(),
		Model: m.GetModel(), Prompt: m.GetPrompt(), PromptTokens: int(m.GetPromptTokens()), MaxOutput: int(m.GetMaxOutput()),
	}
	if len(m.GetBody()) > 0 {
		q.Body = m.GetBody()
	}
	for _, p := range m.GetParts() {
		q.Parts = append(q.Parts, dryrun.Part{Name: p.GetId(), Tokens: int(p.GetTokens())})
	}
	return q
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func explanationOf(a dryrun.Answer) *pb.VMExplanation {
	if a.Err != nil {
		e := errkind.Of(a.Err)
		return &pb.VMExplanation{Vm: a.VM, ErrorCode: e.Kind.String(), ErrorText: e.Error()}
	}
	e := a.Explanation
	out := &pb.VMExplanation{
		Vm: a.VM, Verdict: string(e.Verdict), Kind: e.Kind, Reason: e.Reason, RetryAfterMs: milliseconds(e.RetryAfter), Route: e.Route, Service: e.Service,
		Model: e.Model, WeightsVersion: e.Version, ClientAccount: e.Account, PromptTokens: int64(e.PromptTokens), MaxOutput: int64(e.MaxOutput),
		Release: e.Release, Revision: e.Revision, ConfigAgeMs: milliseconds(e.ConfigAge), Notes: e.Notes,
	}
	if g := e.Grant; g != nil {
		out.Grant = &pb.GrantExplanation{Tokens: g.Tokens, Held: g.Held, Verdict: string(g.Verdict), Reason: g.Reason}
	}
	if p := e.Placement; p != nil {
		out.Placement = placementOf(p)
	}
	return out
}

func placementOf(p *dryrun.Placement) *pb.PlacementExplanation {
	out := &pb.PlacementExplanation{
		Verdict: string(p.Verdict), Kind: p.Kind, Reason: p.Reason, RetryAfterMs: milliseconds(p.RetryAfter), Quarantined: p.Quarantined,
		Traits: int64(p.Traits), Endpoint: p.Endpoint, WaitMs: milliseconds(p.Wait), FirstTokenMs: milliseconds(p.FirstToken), ImportFrom: p.ImportFrom,
		Crowded: p.Crowded, Held: int64(p.Held), Vms: int64(p.VMs), Peers: int64(p.Peers), OldestDigestMs: milliseconds(p.OldestDigest),
	}
	for _, x := range p.Candidates {
		candidate := &pb.CandidateExplanation{
			Endpoint: x.Endpoint, Address: x.Address, FailureDomain: x.FailureDomain, Release: x.Release, Weights: x.Weights, TotalMs: x.Total,
			CachedTokens: int64(x.CachedTokens), UncachedTokens: int64(x.UncachedTokens), InFlight: int64(x.InFlight), PeerInFlight: int64(x.PeerInFlight),
			Queued: int64(x.Queued), Slots: int64(x.Slots), PerTokenUs: 1000 * milliseconds(x.PerToken), PermitNeeded: x.Permit.Needed,
			PermitHeld: x.Permit.Held, PermitWaitMs: milliseconds(x.Permit.Wait), PermitRate: x.Permit.Rate, Starting: x.Starting, LoadAgeMs: -1,
		}
		if x.LoadAge >= 0 {
			candidate.LoadAgeMs = milliseconds(x.LoadAge)
		}
		for _, s := range x.Scores {
			candidate.Scores = append(candidate.Scores, &pb.ScoreShare{Name: s.Name, Ms: s.Milliseconds})
		}
		out.Candidates = append(out.Candidates, candidate)
	}
	for _, x := range p.Dropped {
		out.Dropped = append(out.Dropped, &pb.DroppedEndpoint{Endpoint: x.Endpoint, Reason: x.Reason})
	}
	return out
}
