// Package fleetview keeps an entry VM's view of the fleet: the configuration in force,
// the servers, and the other entry VMs, by polling the control leader.
//
// Invariants: the configuration never goes back within one run of the process; without
// control in reach the last one stays in force, and the list of servers is read directly.
package fleetview

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetcontrol"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
)

// ModuleName is the client's name in the kernel; routing finds the entry VMs under it.
const ModuleName = "entry.directory"

const (
	// pollTimeout bounds one poll beyond its hold.
	pollTimeout = 700 * time.Millisecond
	// retryPause is the wait after a poll that failed.
	retryPause = 100 * time.Millisecond
	// controlSilence is how long control may be silent before this VM reads the list of
	// servers itself.
	controlSilence = 2 * time.Second
	// ownListEvery is the time between two such reads, and ownListShare the part of the
	// list's rate that all entry VMs together may use for them.
	ownListEvery = 1500 * time.Millisecond
	ownListShare = 0.5
	// listTimeout bounds one read of the list.
	listTimeout = time.Second
	// leaveTimeout bounds the notice that this VM stops.
	leaveTimeout = 500 * time.Millisecond
)

// Config of a Client.
type Config struct {
	VM     membership.VM
	Decode fleetcontrol.Decode
	Lister fleetcontrol.ServerLister
	// ListCallsPerSecond is how many reads of the list a second all VMs may make together.
	ListCallsPerSecond float64
	// VersionDeadline is how long after new weights were named servers with older ones may
	// still be used; 0 sets no bound.
	VersionDeadline time.Duration
	Seeds           []string
	Now             clock.Clock
	Log             *zap.Logger
}

// Client follows the control leader. It implements routing.Inventory and watch.Fleet.
type Client struct {
	kernel.Background
	cfg    Config
	leader *peer.LeaderClient
	view   atomic.Pointer[View]

	mu      sync.Mutex
	changed chan struct{}
	vm      membership.VM
	term    uint64
	servers uint64
	vms     uint64
	settled bool // vms numbers a whole list
	control []string
	heard   time.Time // when the last answered poll was sent
	silent  bool
}

// NewClient returns a client without a view.
func NewClient(cfg Config) *Client {
	c := &Client{cfg: cfg, vm: cfg.VM, changed: make(chan struct{}), heard: cfg.Now()}
	c.view.Store(&View{})
	return c
}

// Provision looks up the pool of connections to peers.
func (c *Client) Provision(k *kernel.Kernel) error {
	pool, err := kernel.Lookup[*peer.PoolModule](k, peer.PoolName)
	if err != nil {
		return err
	}
	c.leader = pool.LeaderClient()
	c.Run = c.run
	return nil
}

// View returns what is known now; its Config is nil before the first one came.
func (c *Client) View() *View { return c.view.Load() }

// Age is how long ago the view was certainly current.
func (c *Client) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Now().Sub(c.heard)
}

// VMs lists the entry VMs; this one is always among them.
func (c *Client) VMs() []watch.VM {
	self := false
	var all []watch.VM
	for _, vm := range c.View().VMs {
		self = self || vm.Name == c.cfg.VM.Name
		all = append(all, asCallersSee(vm))
	}
	if !self {
		c.mu.Lock()
		all = append(all, asCallersSee(c.vm))
		c.mu.Unlock()
	}
	return all
}

func asCallersSee(vm membership.VM) watch.VM {
	return watch.VM{Name: vm.Name, Address: vm.Address, PeerAddress: vm.PeerAddress, FailureDomain: vm.FailureDomain, Leaving: vm.Leaving}
}

// Leave announces that this VM stops.
func (c *Client) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.vm.Leaving = true
	args := c.args()
	c.mu.Unlock()
	args.Hold = 0
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var reply fleetcontrol.PollReply
	err := c.leader.Call(ctx, fleetcontrol.ServiceName+".Poll", args, &reply)
	if err == nil && !reply.Leads {
		return errkind.New(errkind.NotLeader, "the replica asked does not lead; the next poll tells")
	}
	return err
}

// SetSeeds adds addresses to ask, as when the settings name other seeds.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	c.cfg.Seeds = seeds
	c.mu.Unlock()
	c.setControl(nil)
}

// Revision implements routing.Inventory.
func (c *Client) Revision() (uint64, bool) {
	v := c.View()
	return v.InventoryRevision, v.Servers != nil
}

// Changed implements routing.Inventory.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Snapshot implements routing.Inventory: every server, those that leave or change their
// weights marked.
func (c *Client) Snapshot() routing.Snapshot { return c.View().stock() }

func (c *Client) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.readAlone(ctx) })
	c.setControl(nil)
	for ctx.Err() == nil {
		if c.poll(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// setControl tells the client of the leader whom to ask: the replicas that control named,
// and the seeds, which may be all that is left of them.
func (c *Client) setControl(named []string) {
	c.mu.Lock()
	if named != nil {
		c.control = named
	}
	all := append([]string(nil), c.control...)
	known := map[string]bool{}
	for _, a := range all {
		known[a] = true
	}
	for _, a := range c.cfg.Seeds {
		if !known[a] {
			all = append(all, a)
		}
	}
	c.mu.Unlock()
	c.leader.SetAddresses(all)
}

func (c *Client) args() *fleetcontrol.PollArgs {
	return &fleetcontrol.PollArgs{
		VM: c.vm, Term: c.term, Revision: c.View().Revision, Servers: c.servers, VMs: c.vms, Settled: c.settled, Hold: fleetcontrol.MaxHold,
	}
}

// poll asks the leader once and takes the answer in.
func (c *Client) poll(ctx context.Context) bool {
	c.mu.Lock()
	args := c.args()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, args.Hold+pollTimeout)
	defer cancel()
	sent := c.cfg.Now()
	var reply fleetcontrol.PollReply
	err := c.leader.Call(ctx, fleetcontrol.ServiceName+".Poll", args, &reply)
	if err != nil {
		c.lost(err)
		return false
	}
	if len(reply.ControlList) > 0 {
		c.setControl(reply.ControlList)
	}
	if !reply.Leads {
		// It names the leader as far as it knows; else another replica is asked.
		c.leader.Skip()
		c.leader.Prefer(reply.Leader)
		return false
	}
	c.take(sent, &reply)
	return true
}

func (c *Client) lost(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.cfg.Now().Sub(c.heard)
	if !c.silent && age > controlSilence {
		c.silent = true
		c.cfg.Log.Warn("control lost", zap.Duration("age", age), zap.Uint64("revision", c.View().Revision), zap.Error(err))
	}
}

// take puts an answer in force.
func (c *Client) take(sent time.Time, reply *fleetcontrol.PollReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = sent
	if c.silent {
		c.silent = false
		c.cfg.Log.Info("control regained", zap.Uint64("term", reply.Term))
	}
	next := *c.View()
	if reply.Changed && reply.Revision > next.Revision {
		c.takeConfig(&next, reply)
	}
	if reply.ServersSet {
		c.takeServers(&next, reply.ServerList, "control")
	}
	if reply.VMsSet {
		next.VMs = merge(next.VMs, reply.VMList, reply.Settled)
	}
	c.expire(&next)
	c.term, c.servers, c.vms, c.settled = reply.Term, reply.Servers, reply.VMs, reply.Settled
	c.view.Store(&next)
	c.wake()
}

// merge takes a list of VMs over. One that is not whole only adds VMs or changes them.
func merge(old, told []membership.VM, whole bool) []membership.VM {
	if whole {
		return told
	}
	all := slices.Clone(told)
	for _, vm := range old {
		if !slices.ContainsFunc(told, func(t membership.VM) bool { return t.Name == vm.Name }) {
			all = append(all, vm)
		}
	}
	return all
}

func (c *Client) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Client) takeConfig(next *View, reply *fleetcontrol.PollReply) {
	next.Revision = reply.Revision
	if !maps.Equal(next.TargetVersions, reply.Weights) {
		next.TargetSince = named(next, reply, c.heard)
		next.TargetVersions = reply.Weights
		next.InventoryRevision++ // which servers are outdated has changed
	}
	if reply.Document == nil {
		return
	}
	config, err := c.cfg.Decode(reply.Document)
	if err != nil {
		c.cfg.Log.Error("configuration from control can't be read; the last one stays", zap.Error(err))
		return
	}
	if next.Config == nil || config.Version > next.Config.Version {
		c.cfg.Log.Info("configuration in force", zap.Int64("version", config.Version), zap.Uint64("revision", reply.Revision),
			zap.Int("routes", len(config.Routes)), zap.Int("client_accounts", len(config.Accounts)))
		next.Config = config
		next.InventoryRevision++ // the stores may be others
	}
}

// named tells since when the versions of a reply are named. One that this VM knew keeps its
// time where that is earlier, as a leader may have started later; older ones are kept too.
func named(known *View, reply *fleetcontrol.PollReply, heard time.Time) map[string]map[int64]time.Time {
	all := map[string]map[int64]time.Time{}
	for model := range reply.Weights {
		all[model] = maps.Clone(known.TargetSince[model])
		if all[model] == nil {
			all[model] = map[int64]time.Time{}
		}
		for _, n := range reply.Named[model] {
			at := heard.Add(-n.Age)
			if old, ok := all[model][n.Version]; !ok || at.Before(old) {
				all[model][n.Version] = at
			}
		}
	}
	return all
}

// expire notes the least version of each model that may still be used, and forgets what was
// named before it.
func (c *Client) expire(next *View) {
	if c.cfg.VersionDeadline <= 0 {
		return
	}
	least := map[string]int64{}
	for model, versions := range next.TargetSince {
		for version, at := range versions {
			if c.cfg.Now().Sub(at) >= c.cfg.VersionDeadline {
				least[model] = max(least[model], version)
			}
		}
	}
	if maps.Equal(least, next.MinVersions) {
		return
	}
	next.MinVersions = least
	next.TargetSince = maps.Clone(next.TargetSince)
	for model, versions := range next.TargetSince {
		next.TargetSince[model] = maps.Clone(versions)
		maps.DeleteFunc(next.TargetSince[model], func(version int64, _ time.Time) bool { return version < least[model] })
	}
	next.InventoryRevision++
	c.cfg.Log.Info("older weights are overdue", zap.Any("least", least), zap.Any("weights", next.TargetVersions), zap.Int("out_of_use", next.outOfUse()))
}

func (c *Client) takeServers(next *View, servers []fleet.Server, from string) {
	if next.Servers != nil && fleet.SameServers(next.Servers, servers) {
		return
	}
	next.Servers = servers
	next.InventoryRevision++
	next.byKey = make(map[string]fleet.Server, len(servers))
	for _, s := range servers {
		next.byKey[s.Key()] = s
	}
	c.cfg.Log.Info("servers known", zap.Int("servers", len(servers)), zap.Int("out_of_use", next.outOfUse()), zap.String("from", from))
}

// readAlone reads the list of servers while control is silent.
func (c *Client) readAlone(ctx context.Context) {
	for {
		pause := ownListEvery
		if calls := c.cfg.ListCallsPerSecond * ownListShare; calls > 0 {
			pause = max(pause, time.Duration(float64(len(c.VMs()))/calls*float64(time.Second)))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if c.Age() > controlSilence {
			c.readOnce(ctx)
		}
	}
}

func (c *Client) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	servers, err := c.cfg.Lister.List(ctx)
	if err != nil {
		c.cfg.Log.Warn("list of servers not read", zap.Error(err))
		return
	}
	fleet.SortServers(servers)
	if c.Age() <= controlSilence {
		return // control came back meanwhile and knows more
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.View()
	c.takeServers(&next, servers, "the platform's list")
	c.expire(&next)
	c.servers = 0
	c.view.Store(&next)
	c.wake()
}
