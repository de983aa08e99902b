package onplatform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"
	"eelgrasshollow/internal/gateway"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/liveness"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/platform"

	"go.uber.org/zap"
)

const (
	// lookupKeep is how long callers are told to keep the list of addresses, at most the
	// platform's bound.
	lookupKeep = 2 * time.Second
	// lookupMost is how many addresses callers are told of.
	lookupMost = 64
	// takeShare is the part of the grace in which a stopping VM still takes requests: what it
	// has taken must end within the rest, and a long stream lasts several seconds.
	takeShare = 0.35
	// leaveShare is the part in which it still answers, with refusals from takeShare on, as
	// callers keep an address for up to three times what they were told.
	leaveShare = 0.65
	// stopShare is the part of the grace in which everything has ended.
	stopShare = 0.95
	// oldestShare is the part of the platform's bound on the age of a configuration that is
	// used, where cut-off VMs have to refuse.
	oldestShare = 0.8
	// weightsShare is the part of the platform's bound on older weights that is used. The rest
	// is for requests that wait at a server, and for a leader that saw the weights named late.
	weightsShare = 0.9
	// grantQueue is how long a request may wait for tokens, and grantOutage how long while
	// the owner of the grants does not answer.
	grantQueue  = 200 * time.Millisecond
	grantOutage = 300 * time.Millisecond
	// digestShare of the processor goes into digests. digestCost is one call, both sides
	// together: 32 us by BenchmarkDigestCall. leastDigestCalls keeps the smallest VM in touch.
	digestShare      = 0.01
	digestCost       = 40 * time.Microsecond
	leastDigestCalls = 20
)

// entry is a running entry VM.
type entry struct {
	*process
	view    *fleetview.Client
	leaving atomic.Bool
	closing atomic.Bool // takes no further requests
}

// RunEntry serves as an entry VM until ctx ends. metricsPort is "" for none.
func RunEntry(ctx context.Context, settingsPath, metricsPort string) error {
	p, err := begin(settingsPath, "eelgrass-entry")
	if err != nil {
		return err
	}
	p.openMetrics(ctx, metricsPort)
	e := &entry{process: p}
	k := kernel.New(p.log)
	e.register(k)
	go p.watchSettings(ctx, func(s *platform.Settings) { e.view.SetSeeds(s.Seeds) })
	err = k.Run(ctx, time.Duration(stopShare*float64(p.settings.Bounds.GracePeriod)))
	p.end(err)
	return err
}

func (e *entry) register(k *kernel.Kernel) {
	s := e.settings
	client := platform.NewClient(s.ListAddress, s.VM, e.log.Named("servers"))
	e.view = fleetview.NewClient(fleetview.Config{
		VM: membership.VM{
			Name: s.VM, Address: s.ClientAddress, PeerAddress: s.PeerAddress, FailureDomain: s.FailureDomain, Incarnation: rand.Uint64(),
		},
		Decode: platform.DecodeConfig, Lister: client, ListCallsPerSecond: s.ListCallsPerSecond,
		VersionDeadline: time.Duration(weightsShare * float64(s.Bounds.VersionDeadline)), Seeds: s.Seeds, Now: clock.Boot, Log: e.log.Named("view"),
	})
	k.Register(peer.ServerName, peer.NewServerModule(e.log.Named("peer"), s.PeerAddress, nil))
	k.Register(peer.PoolName, peer.NewPoolModule(peer.Options{}, s.Seeds))
	k.Register(fleetview.ModuleName, e.view, peer.PoolName)
	holder := grants.NewHolderModule(grants.HolderSettings{
		Interval: time.Second, Horizon: 2500 * time.Millisecond, QueueTime: grantQueue, OwnerWait: grantOutage, MaxQueue: 64,
	}, clock.Boot)
	k.Register("entry.grants", holder, peer.PoolName, fleetview.ModuleName)
	router := routing.NewModule(routing.Settings{
		QueuePerEndpoint: 64, LongestWait: 5 * time.Second, TrackedPrefixes: 20_000, DigestEvery: 250 * time.Millisecond,
		DigestBytes: 1024, DigestCalls: digestCalls(s.CPUCores), LoadEvery: 500 * time.Millisecond, RetryShare: 1, PeerImports: true,
	}, e.view)
	k.Register(routing.ModuleName, router, fleetview.ModuleName, peer.ServerName, peer.PoolName)
	vms := func() int { return len(e.view.VMs()) }
	retries := gateway.NewRetryBudgets(gateway.RetryLimits{Share: s.Bounds.RetryShare, Burst: s.Bounds.RetryExtra, VMs: vms})
	e.registry.MustRegister(holder, retries)
	e.registry.MustRegister(e.view.Collectors()...)
	core := gateway.New(gateway.Deps{
		Directory: e.view, Router: router, Upstream: client, Log: e.log.Named("gateway"), Metrics: gateway.NewMetrics(e.registry),
		Closing: e.closing.Load, MaxViewAge: e.oldestView(),
		Limiter: grants.NewFallbackLimiter(holder, e.grant, grants.Tolerance{
			Overshoot: s.Bounds.GrantOvershoot, Slack: s.Bounds.GrantSlack, Window: s.Bounds.GrantWindow,
		}, vms, clock.Boot),
		Retries: retries,
	})
	front := platform.NewRequestHandler(core.Serve, e.limits, e.leaving.Load, e.log.Named("front"))
	k.Register("entry.http", &doorModule{process: e.process, name: "callers", address: s.ClientAddress,
		handler: func() http.Handler { return front }, patience: e.patience, drain: e.drain}, routing.ModuleName, "entry.grants")
	k.Register("entry.ready", &doorModule{process: e.process, name: "ready", address: s.ReadyAddress,
		handler: func() http.Handler { return platform.ReadyHandler(e.ready) }}, "entry.http")
	if s.LookupAddress != "" {
		keep := lookupKeep
		if s.Bounds.MaxLookupTTL > 0 {
			keep = min(keep, s.Bounds.MaxLookupTTL)
		}
		k.Register("entry.lookup", &doorModule{process: e.process, name: "lookup", address: s.LookupAddress,
			handler: func() http.Handler { return platform.LookupHandler(e.addresses, keep) }}, fleetview.ModuleName)
	}
}

// digestCalls is how many digests a second a VM may send that gets so many cores.
func digestCalls(cores float64) float64 {
	if cores <= 0 {
		cores = 1
	}
	return max(leastDigestCalls, digestShare*cores/digestCost.Seconds())
}

// oldestView is the age from which on this VM must not act on its view, or 0. The rest of
// the platform's bound is for requests that are on their way to a server.
func (e *entry) oldestView() time.Duration {
	return time.Duration(oldestShare * float64(e.settings.Bounds.FailClosedAfter))
}

// grant returns an account's grant as last known.
func (e *entry) grant(account string) (grants.Limit, bool) {
	c := e.view.View().Config
	if c == nil {
		return grants.Limit{}, false
	}
	a := c.AccountByName(account)
	if a == nil {
		return grants.Limit{}, false
	}
	return grants.Limit{Rate: a.Rate, Burst: a.Burst}, true
}

// limits are those that the configuration in force sets for callers.
func (e *entry) limits() fleet.Limits {
	if c := e.view.View().Config; c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// patience is the part of the limits that concerns connections.
func (e *entry) patience() liveness.ReadTimeouts {
	l := e.limits()
	return liveness.ReadTimeouts{Header: l.HeaderTimeout, Idle: l.IdleTimeout}
}

// ready says why this VM takes no callers, or nil.
func (e *entry) ready() error {
	switch {
	case e.leaving.Load():
		return errkind.New(errkind.Draining, "this VM is stopping")
	case e.view.View().Config == nil:
		return errkind.New(errkind.Stale, "no configuration is known yet")
	case e.oldestView() > 0 && e.view.Age() >= e.oldestView():
		return errkind.New(errkind.Stale, "control is out of reach")
	}
	return nil
}

// addresses lists the entry VMs for a caller.
func (e *entry) addresses(string) []string {
	var all []string
	for _, vm := range e.view.VMs() {
		self := vm.Name == e.settings.VM
		if vm.Leaving || self && e.ready() != nil {
			continue
		}
		all = append(all, vm.Address)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), lookupMost)]
}

// drain announces that this VM stops and serves on while callers still hold its address.
func (e *entry) drain(ctx context.Context) {
	e.leaving.Store(true)
	if err := e.view.Leave(ctx); err != nil {
		e.log.Warn("leaving was not announced; the other VMs will notice the silence", zap.Error(err))
	}
	grace := float64(e.settings.Bounds.GracePeriod)
	pause(ctx, time.Duration(takeShare*grace))
	e.closing.Store(true)
	e.log.Info("no further requests are taken")
	pause(ctx, time.Duration((leaveShare-takeShare)*grace))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
