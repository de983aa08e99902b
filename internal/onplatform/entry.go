package onplatform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/connguard"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetview"
	"eelgrasshollow/internal/forward"
	"eelgrasshollow/internal/gateway"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/lookup"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/reach"
	"eelgrasshollow/internal/releasetraffic"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/watch"
	"eelgrasshollow/platform"

	"go.uber.org/zap"
)

const (
	// lookupTTL is how long clients may cache the addresses of a lookup, unless the platform's
	// bound is shorter.
	lookupTTL = 2 * time.Second
	// maxLookupAddresses limits the addresses in the response to a lookup.
	maxLookupAddresses = 64
	// minLookupAddresses is the least number, as far as there are as many VMs: a client whose
	// attempts at some fail needs others.
	minLookupAddresses = 12
	// acceptShare is the share of the grace period during which a stopping VM still accepts
	// requests. Accepted requests must end within the rest of the grace period, and a long
	// stream lasts several seconds.
	acceptShare = 0.35
	// drainShare is the share of the grace period during which a stopping VM still responds;
	// after acceptShare it refuses requests. Clients may use an address for up to three times
	// the lookup's TTL.
	drainShare = 0.65
	// endShare is the share of the grace period after which requests that have no response get an error in its place,
	// so that no connection is closed without one.
	endShare = 0.9
	// stopShare is the share of the grace period within which all modules must have stopped.
	stopShare = 0.95
	// failClosedShare is the share of the platform's FailClosedAfter from which on a VM that
	// can't reach control refuses requests. The rest is for requests that have been sent to a
	// server but have not reached it.
	failClosedShare = 0.8
	// versionDeadlineShare is the share of the platform's version deadline for which servers
	// with previous weights may be used. The rest is for requests that wait at a server, and
	// for a leader that received the new target weights version late.
	versionDeadlineShare = 0.9
	// grantQueueTime is how long a request may wait for tokens. grantOwnerWait is how long it
	// may wait while the owner of the grants does not respond.
	grantQueueTime = 200 * time.Millisecond
	grantOwnerWait = 300 * time.Millisecond
	// digestCPUShare limits the share of the VM's processor time spent on digests.
	// digestCallCost is the processor time of one call, both sides together: 32 us in
	// BenchmarkDigestCall. minDigestCallsPerSecond lets the smallest VM reach its peers too.
	digestCPUShare          = 0.04
	digestCallCost          = 40 * time.Microsecond
	minDigestCallsPerSecond = 20
)

// entry is a running entry VM.
type entry struct {
	*process
	view  *fleetview.Client
	reach *reach.Module
	// forwarded serves requests that other VMs forward.
	forwarded *forward.Handler
	leaving   atomic.Bool // set when drain starts
	closing   atomic.Bool // refuses new requests
	// ending ends when the last responses of a stopping VM are due; end ends it.
	ending context.Context
	end    context.CancelFunc
}

// RunEntry runs an entry VM until ctx ends. An empty metricsPort serves no metrics.
func RunEntry(ctx context.Context, settingsPath, metricsPort string) error {
	p, err := newProcess(settingsPath, "eelgrass-entry")
	if err != nil {
		return err
	}
	p.serveMetrics(ctx, metricsPort)
	e := &entry{process: p}
	e.ending, e.end = context.WithCancel(context.Background())
	defer e.end()
	k := kernel.New(p.log)
	e.register(k)
	go p.watchSettings(ctx, func(s *platform.Settings) { e.view.SetSeeds(s.Seeds) })
	err = k.Run(ctx, time.Duration(stopShare*float64(p.settings.Bounds.GracePeriod)))
	p.close(err)
	return err
}

// register adds the modules of an entry VM to the kernel.
func (e *entry) register(k *kernel.Kernel) {
	s := e.settings
	client := platform.NewClient(s.ListAddress, s.VM, membudget.LimitsFor(s.MemoryBytes).SocketBuffer, e.log.Named("servers"))
	bounds := membudget.LimitsFor(s.MemoryBytes)
	requestMemory, responseMemory := membudget.New(bounds.Requests, "requests"), membudget.New(bounds.Responses, "responses")
	e.registry.MustRegister(append(requestMemory.Collectors(), responseMemory.Collectors()...)...)
	requestMemory.ReclaimWith(e.guard.CloseStalled)
	releases := newReleaseTraffic(s.Bounds.Rollouts)
	if releases != nil {
		e.registry.MustRegister(releases.Collector())
	}
	e.view = fleetview.NewClient(fleetview.Config{
		VM: membership.VM{
			Name: s.VM, Address: s.ClientAddress, PeerAddress: s.PeerAddress, FailureDomain: s.FailureDomain, Incarnation: rand.Uint64(),
			Weight: s.CPUCores,
		},
		Decode: new(platform.ConfigDecoder).Decode, Lister: client, ListCallsPerSecond: s.ListCallsPerSecond,
		VersionDeadline: time.Duration(versionDeadlineShare * float64(s.Bounds.VersionDeadline)), Seeds: s.Seeds, Now: clock.Boot, Log: e.log.Named("view"),
		Rollouts: s.Bounds.Rollouts.Enabled(), Releases: releases,
	})
	k.Register(peer.ServerName, peer.NewServerModule(e.log.Named("peer"), s.PeerAddress, nil, e.guard))
	k.Register(peer.PoolName, peer.NewPoolModule(peer.Options{}, s.Seeds))
	k.Register(fleetview.ModuleName, e.view, peer.PoolName)
	holder := grants.NewHolderModule(grants.HolderSettings{
		Interval: time.Second, Horizon: 2500 * time.Millisecond, QueueTime: grantQueueTime, OwnerWait: grantOwnerWait, MaxQueue: 64,
	}, true, e.grant, clock.Boot)
	k.Register("entry.grants", holder, peer.PoolName, fleetview.ModuleName)
	router := routing.NewModule(routing.Settings{
		QueuePerEndpoint: 64, LongestWait: 5 * time.Second, TrackedPrefixes: 20_000, DigestEvery: 250 * time.Millisecond,
		DigestBytes: 1024, DigestCalls: digestCallsPerSecond(s.CPUCores), LoadEvery: 500 * time.Millisecond, RetryShare: 1, PeerImports: true,
		PaceEndpoints: paceEndpoints(s, paceByContract), WeighSpeeds: true,
	}, e.view, client, clock.Boot)
	k.Register(routing.ModuleName, router, fleetview.ModuleName, peer.ServerName, peer.PoolName)
	retries := gateway.NewRetryBudgets(gateway.RetryLimits{Share: s.Bounds.RetryShare, Burst: s.Bounds.RetryExtra, Window: s.Bounds.RetryWindow, VMs: e.view.VMCount})
	e.registry.MustRegister(holder, retries)
	e.registry.MustRegister(e.view.Collectors()...)
	e.registry.MustRegister(router.Collectors()...)
	e.registry.MustRegister(append(client.Collectors(), client.CallCollectors()...)...)
	limiter := grants.NewFallbackLimiter(holder, e.grant, grantTolerance(s), e.view.VMCount, clock.Boot)
	e.registry.MustRegister(limiter)
	forwarding := e.newForwarding(client)
	k.Register(reach.ModuleName, e.reach, peer.ServerName, peer.PoolName, fleetview.ModuleName)
	core := gateway.New(gateway.Deps{
		Directory: e.view, Router: router, Upstream: client, Log: e.log.Named("gateway"), Metrics: gateway.NewMetrics(e.registry),
		Closing: e.closing.Load, Ending: e.ending, MaxViewAge: e.maxViewAge(), MaxSharingAge: e.settings.Bounds.ConfigApply,
		Limiter: limiter,
		Retries: retries, Forwarding: forwarding, Releases: releases, Memory: responseMemory,
	})
	e.registerForward(k, core)
	k.Register("entry.dryrun", dryRunModule{core}, peer.ServerName, routing.ModuleName, reach.ModuleName, "entry.grants")
	front := platform.NewRequestHandler(core.Serve, e.limits, e.leaving.Load, requestMemory, e.log.Named("front"))
	k.Register("entry.http", &listenerModule{process: e.process, name: "callers", address: s.ClientAddress,
		handler: func() http.Handler { return front }, options: listenerOptions{limits: e.connectionLimits}, drain: e.drain}, routing.ModuleName, reach.ModuleName, "entry.grants")
	short := listenerOptions{limits: e.connectionLimits, writeTimeout: writeTimeout, shortMessages: true}
	k.Register("entry.ready", &listenerModule{process: e.process, name: "ready", address: s.ReadyAddress,
		handler: func() http.Handler { return platform.ReadyHandler(e.checkReady) }, options: short}, "entry.http")
	if s.LookupAddress != "" {
		ttl := lookupTTL
		if s.Bounds.MaxLookupTTL > 0 {
			ttl = min(ttl, s.Bounds.MaxLookupTTL)
		}
		k.Register("entry.lookup", &listenerModule{process: e.process, name: "lookup", address: s.LookupAddress,
			handler: func() http.Handler { return platform.LookupHandler(e.lookupAddresses, ttl) }, options: short}, fleetview.ModuleName)
	}
}

// newReleaseTraffic returns the counts of results during rollouts, or nil in deployments without
// rollouts, whose requests should not pay for the counts.
func newReleaseTraffic(b platform.RolloutBounds) *releasetraffic.Traffic {
	if !b.Enabled() {
		return nil
	}
	return releasetraffic.NewTraffic(clock.Boot)
}

// digestCallsPerSecond returns how many digests a VM with that many cores may send per second.
func digestCallsPerSecond(cores float64) float64 {
	if cores <= 0 {
		cores = 1
	}
	return max(minDigestCallsPerSecond, digestCPUShare*cores/digestCallCost.Seconds())
}

// maxViewAge returns the age of the view from which on this VM refuses requests, or 0 for no
// limit. It is shorter than the platform's bound, see failClosedShare.
func (e *entry) maxViewAge() time.Duration {
	return time.Duration(failClosedShare * float64(e.settings.Bounds.FailClosedAfter))
}

// grant returns an account's grant under the configuration in force, or false without a
// configuration or if it does not contain the account.
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

// limits returns the client limits of the configuration in force.
func (e *entry) limits() fleet.Limits {
	if c := e.view.View().Config; c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// connectionLimits returns the limits of the configuration in force for connections of clients. Without a configuration, the
// defaults apply.
func (e *entry) connectionLimits() connguard.HTTPLimits {
	c := e.view.View().Config
	if c == nil {
		return connguard.HTTPLimits{}
	}
	l := connguard.HTTPLimits{HeadBytes: int64(c.Limits.MaxHeaderBytes), HeadTime: c.Limits.HeaderTimeout, IdleTime: c.Limits.IdleTimeout}
	if l.HeadBytes == 0 {
		l.HeadBytes = http.DefaultMaxHeaderBytes // the configuration sets no limit
	}
	return l
}

// checkReady returns nil if this VM can serve clients, otherwise the reason why not.
func (e *entry) checkReady() error {
	switch {
	case e.leaving.Load():
		return errkind.New(errkind.Draining, "this VM is stopping")
	case e.view.View().Config == nil:
		return errkind.New(errkind.Stale, "no configuration has been received yet")
	case e.maxViewAge() > 0 && e.view.Age() >= e.maxViewAge():
		return errkind.New(errkind.Stale, "control is unreachable")
	}
	return nil
}

// lookupAddresses returns addresses of entry VMs for a client, from all failure domains and in
// random order.
func (e *entry) lookupAddresses(client string) []string {
	vms := slices.DeleteFunc(e.view.VMs(), func(vm watch.VM) bool { return vm.Name == e.settings.VM && e.checkReady() != nil })
	for i := range vms {
		if vms[i].Name == e.settings.VM {
			vms[i].Isolated = e.reach.Isolated() // control learns it with the next poll
		}
	}
	return lookup.Select(client, announced(vms), lookup.Options{MaxAddresses: maxLookupAddresses, MinAddresses: minLookupAddresses})
}

// minAnnouncedShare is the share of the VMs that are not leaving that a lookup must be able to
// return without isolated ones. With fewer, the rest would be overloaded by their clients, while
// isolated VMs serve through all others.
const minAnnouncedShare = 0.5

// announced returns the VMs that lookups may return: those that are not leaving, without isolated
// ones if enough remain.
func announced(vms []watch.VM) []lookup.VM {
	var connected, all []lookup.VM
	for _, vm := range vms {
		if vm.Leaving {
			continue
		}
		candidate := lookup.VM{Address: vm.Address, Weight: vm.Weight}
		all = append(all, candidate)
		if !vm.Isolated {
			connected = append(connected, candidate)
		}
	}
	if float64(len(connected)) < minAnnouncedShare*float64(len(all)) {
		return all
	}
	return connected
}

// drain announces that this VM is leaving and keeps serving while clients may still have its
// address cached.
func (e *entry) drain(ctx context.Context) {
	began, gracePeriod := time.Now(), float64(e.settings.Bounds.GracePeriod)
	at := func(share float64) time.Time { return began.Add(time.Duration(share * gracePeriod)) }
	time.AfterFunc(time.Until(at(endShare)), func() {
		e.log.Info("requests without a response are ended")
		e.end()
	})
	e.leaving.Store(true)
	if err := e.view.Leave(ctx); err != nil {
		e.log.Warn("leaving could not be announced; the other VMs will detect the stop by timeout", zap.Error(err))
	}
	sleepUntil(ctx, at(acceptShare))
	e.closing.Store(true)
	e.log.Info("no further requests are taken")
	sleepUntil(ctx, at(drainShare))
}

// sleepUntil waits until t or until ctx ends.
func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}
