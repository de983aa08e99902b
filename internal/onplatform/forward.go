package onplatform

import (
	"context"
	"net/http"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/forward"
	"eelgrasshollow/internal/gateway"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/reach"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/watch"
	"eelgrasshollow/platform"
)

// forwardPorts is the number of consecutive internal ports that a VM needs to take forwarded
// requests: for peers, metrics and forwarded requests.
const forwardPorts = 3

// answerProber probes servers by their health path, those without one with connections that must
// stay open.
type answerProber struct{ client *platform.Client }

// Probe implements reach.Prober.
func (p answerProber) Probe(ctx context.Context, e reach.Endpoint) error {
	if e.HealthPath == "" {
		return p.client.ProbeOpen(ctx, e.Address)
	}
	return p.client.ProbeAnswer(ctx, e.Address, e.HealthPath)
}

// newForwarding creates the module that watches this VM's reach of servers, and returns how the
// gateway uses other VMs.
func (e *entry) newForwarding(client *platform.Client) *gateway.Forwarding {
	s := e.settings
	e.reach = reach.New(reach.Deps{
		Endpoints: e.endpoints, VMs: e.view.VMs, Prober: answerProber{client}, FreeSlots: func() int { return e.forwarded.FreeSlots() },
		Self:       watch.VM{Name: s.VM, PeerAddress: s.PeerAddress, FailureDomain: s.FailureDomain},
		OnIsolated: e.view.SetIsolated, Now: clock.Boot, Log: e.log.Named("reach"),
	})
	peers := forward.NewClient()
	e.registry.MustRegister(append(e.reach.Collectors(), peers.Collector())...)
	return &gateway.Forwarding{Reach: e.reach, Peers: peers}
}

// registerForward adds the listener for requests that other VMs forward.
func (e *entry) registerForward(k *kernel.Kernel, core *gateway.Gateway) {
	slots := forward.Slots(e.settings.CPUCores)
	address, err := forward.Address(e.settings.PeerAddress)
	if err != nil || e.settings.InternalPorts < forwardPorts {
		slots = 0 // nothing can be forwarded to this VM
	}
	e.forwarded = forward.NewHandler(core.Serve, e.reach.Isolated, slots, e.log.Named("forward"))
	if slots == 0 {
		return
	}
	e.registry.MustRegister(e.forwarded.Collectors()...)
	k.Register("entry.forward", &listenerModule{process: e.process, name: "forward", address: address,
		handler: func() http.Handler { return e.forwarded }}, routing.ModuleName, reach.ModuleName, "entry.grants")
}

// endpoints returns the servers that may get requests.
func (e *entry) endpoints() []reach.Endpoint {
	view := e.view.View()
	servers := view.Servers
	all := make([]reach.Endpoint, 0, len(servers))
	for _, s := range servers {
		if !s.Draining {
			all = append(all, reach.Endpoint{Address: s.Address, Service: s.Service, HealthPath: view.HealthPath(s.Service)})
		}
	}
	return all
}
