// Package fleetview maintains an entry VM's view of the fleet: the configuration in force, the
// servers, and the other entry VMs. It polls one of the control replicas for them.
//
// Invariants:
//   - The version of the configuration never decreases while the process runs.
//   - While control is unreachable the last configuration stays in force, and the list of
//     servers is read from the platform directly.
package fleetview

import (
	"context"
	"maps"
	"math/rand/v2"
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
	"eelgrasshollow/internal/releasetraffic"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
)

// ModuleName is the client's name in the kernel, by which routing looks up its inventory.
const ModuleName = "entry.directory"

const (
	// pollTimeout limits one poll, in addition to its hold. The first one, which carries whole
	// lists while all other VMs may read them too, has longer.
	pollTimeout      = 700 * time.Millisecond
	firstPollTimeout = 4 * time.Second
	// retryPause is the mean wait after a failed poll.
	retryPause = 100 * time.Millisecond
	// maxReplicaAge is the age of a replica's state from which on this VM polls another one:
	// the replica has lost the leader. It is longer than an election.
	maxReplicaAge = 1500 * time.Millisecond
	// preferInterval is the time after which a VM that had to leave its first replica returns
	// to it.
	preferInterval = 10 * time.Second
	// controlTimeout is the time since the last contact with control after which control is
	// unreachable and this VM reads the list of servers itself.
	controlTimeout = 2 * time.Second
	// minListInterval is the minimum time between two such reads, and listCallsShare the
	// share of the list's rate that all entry VMs together use for them.
	minListInterval = 1500 * time.Millisecond
	listCallsShare  = 0.5
	// listTimeout limits one read of the list.
	listTimeout = time.Second
	// leaveTimeout limits the call that announces that this VM stops.
	leaveTimeout = 500 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	VM     membership.VM
	Decode fleetcontrol.Decode
	Lister fleetcontrol.ServerLister
	// ListCallsPerSecond limits the reads of the list by all VMs together.
	ListCallsPerSecond float64
	// VersionDeadline is how long after a new target weights version servers with previous
	// versions may still be used; 0 sets no limit.
	VersionDeadline time.Duration
	// Rollouts is set in deployments with rollouts of software versions: servers of a release to which no
	// rollout is known get no requests if others are available.
	Rollouts bool
	// Releases counts the results during rollouts; nil counts nothing.
	Releases *releasetraffic.Traffic
	// Seeds are the peer addresses of control replicas in the settings.
	Seeds []string
	Now   clock.Clock
	Log   *zap.Logger
}

// Client polls a control replica and holds the view. It implements routing.Inventory and
// watch.Fleet.
type Client struct {
	kernel.Background
	cfg    Config
	peers  fleetcontrol.Caller
	leader *peer.LeaderClient // for the grants, which only the leader has
	view   atomic.Pointer[View]

	mu             sync.Mutex
	changed        chan struct{}
	vm             membership.VM
	term           uint64
	serversVersion uint64
	vmsVersion     uint64
	settled        bool // vmsVersion is that of a complete list
	control        []fleetcontrol.ControlVM
	leaderAddress  string // peer address of the leader that a replica named last
	replicas       replicaChoice
	lastReplica    string    // peer address of the replica that served the last poll
	leftFirst      time.Time // when this VM left its first replica
	document       []byte    // the configuration in force as the operator sent it
	controlLost    bool      // "control lost" was logged
	releases       releaseState
}

// NewClient returns a client with an empty view.
func NewClient(cfg Config) *Client {
	c := &Client{cfg: cfg, vm: cfg.VM, changed: make(chan struct{}), replicas: replicaChoice{vm: cfg.VM}}
	if cfg.Rollouts {
		c.releases.history = releasetraffic.NewHistory()
	}
	c.view.Store(&View{AsOf: cfg.Now()})
	return c
}

// Provision looks up the pool of peer connections.
func (c *Client) Provision(k *kernel.Kernel) error {
	pool, err := kernel.Lookup[*peer.PoolModule](k, peer.PoolName)
	if err != nil {
		return err
	}
	c.peers, c.leader = pool, pool.LeaderClient()
	c.Run = c.run
	return nil
}

// View returns the current view. Its Config is nil until the first configuration is received.
func (c *Client) View() *View { return c.view.Load() }

// Age returns the time since the view was certainly the leader's.
func (c *Client) Age() time.Duration {
	_, age := c.ViewWithAge()
	return age
}

// ViewWithAge returns the current view and the time since this view was certainly the leader's. A later
// call of Age may return the age of a newer view.
func (c *Client) ViewWithAge() (*View, time.Duration) {
	v := c.view.Load()
	return v, c.cfg.Now().Sub(v.AsOf)
}

// VMs lists the entry VMs, always including this one.
func (c *Client) VMs() []watch.VM {
	self := false
	var all []watch.VM
	for _, vm := range c.View().VMs {
		self = self || vm.Name == c.cfg.VM.Name
		all = append(all, watchVM(vm))
	}
	if !self {
		c.mu.Lock()
		all = append(all, watchVM(c.vm))
		c.mu.Unlock()
	}
	return all
}

// VMCount returns the number of entry VMs; complete is false until this VM has once received
// the list of all of them.
func (c *Client) VMCount() (count int, complete bool) {
	v := c.View()
	return len(v.VMs), v.VMsComplete
}

// watchVM returns an entry VM in the form of package watch.
func watchVM(vm membership.VM) watch.VM {
	return watch.VM{
		Name: vm.Name, Address: vm.Address, PeerAddress: vm.PeerAddress, FailureDomain: vm.FailureDomain, Weight: vm.Weight,
		Leaving: vm.Leaving, Isolated: vm.Isolated,
	}
}

// Leave announces that this VM stops.
func (c *Client) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.vm.Leaving = true
	args, address := c.args(), c.replicas.current()
	c.mu.Unlock()
	args.Hold = 0
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return c.peers.Call(ctx, address, fleetcontrol.ServiceName+".Poll", args, &fleetcontrol.PollReply{})
}

// SetIsolated sets whether this VM reaches no endpoint. The next poll tells control.
func (c *Client) SetIsolated(isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vm.Isolated = isolated
}

// SetSeeds replaces the seeds, after a change of the settings.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	c.cfg.Seeds = seeds
	c.setControl(nil, "")
	c.mu.Unlock()
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

// Snapshot implements routing.Inventory. It returns every server; servers that get no requests are
// marked as leaving.
func (c *Client) Snapshot() routing.Snapshot { return c.View().snapshot() }

// run polls control until ctx ends.
func (c *Client) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.readListWhileLost(ctx) })
	c.mu.Lock()
	c.setControl(nil, "")
	c.mu.Unlock()
	for ctx.Err() == nil {
		if c.poll(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause/2 + rand.N(retryPause)):
		}
	}
}

// setControl sets the control VMs, or keeps the last ones if nil, and the leader's address if
// it is known. The caller holds the mutex.
func (c *Client) setControl(control []fleetcontrol.ControlVM, leader string) {
	if len(control) > 0 {
		c.control = control
	}
	leaderChanged := leader != "" && leader != c.leaderAddress
	if leaderChanged {
		c.leaderAddress = leader
	}
	c.replicas.update(c.control, c.leaderAddress, c.cfg.Seeds)
	c.leader.SetAddresses(c.replicas.ranked)
	if leaderChanged {
		c.leader.Prefer(leader)
	}
}

// args returns the arguments of the next poll; the caller holds the mutex.
func (c *Client) args() *fleetcontrol.PollArgs {
	args := &fleetcontrol.PollArgs{
		VM: c.vm, Term: c.term, Revision: c.View().Revision, Servers: c.serversVersion, VMs: c.vmsVersion, Settled: c.settled,
		Leader: c.leaderAddress, Hold: fleetcontrol.MaxHold, Unpacks: true,
	}
	if config := c.View().Config; config != nil && c.document != nil {
		args.DocumentVersion = config.Version
	}
	c.addReleaseCounts(args)
	return args
}

// poll polls a replica once and applies the reply. It returns false if the replica did not
// respond or has no state.
func (c *Client) poll(ctx context.Context) bool {
	c.mu.Lock()
	if !c.replicas.first() && c.cfg.Now().Sub(c.leftFirst) > preferInterval {
		c.replicas.reset()
	}
	args, address := c.args(), c.replicas.current()
	c.mu.Unlock()
	timeout := args.Hold + pollTimeout
	if args.Servers == 0 {
		timeout = args.Hold + firstPollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := c.cfg.Now()
	var reply fleetcontrol.PollReply
	err := c.peers.Call(ctx, address, fleetcontrol.ServiceName+".Poll", args, &reply)
	if err == nil {
		err = reply.Unpack()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.skipReplica()
		c.logLoss(err)
		return false
	}
	if address != c.lastReplica && reply.Serves {
		c.cfg.Log.Info("control replica changed", zap.String("from", c.lastReplica), zap.String("to", address), zap.Duration("age", reply.Age),
			zap.String("leader", reply.Leader))
		c.lastReplica = address
	}
	c.setControl(reply.Control, reply.Leader)
	if !reply.Serves {
		c.skipReplica()
		c.logLoss(errkind.New(errkind.NoQuorum, "control VM %s has no attested state", address))
		return false
	}
	c.apply(sent.Add(reply.Held-reply.Age), &reply)
	if reply.Age > maxReplicaAge {
		c.skipReplica()
		if c.replicas.current() == c.leaderAddress {
			c.replicas.reset() // if no replica has a current state, the leader is down
		}
	}
	return true
}

// skipReplica makes the next poll go to another replica; the caller holds the mutex.
func (c *Client) skipReplica() {
	if c.replicas.first() {
		c.leftFirst = c.cfg.Now()
	}
	c.replicas.skip()
}

// logLoss logs the loss of control once the timeout has passed; the caller holds the mutex.
func (c *Client) logLoss(err error) {
	age := c.Age()
	if !c.controlLost && age > controlTimeout {
		c.controlLost = true
		c.cfg.Log.Warn("control lost", zap.Duration("age", age), zap.Uint64("revision", c.View().Revision), zap.Error(err))
	}
}

// apply applies a replica's reply to the view. The reply was the leader's state at asOf. The
// caller holds the mutex.
func (c *Client) apply(asOf time.Time, reply *fleetcontrol.PollReply) {
	next := *c.View()
	if asOf.After(next.AsOf) {
		next.AsOf = asOf
	}
	if c.controlLost && c.cfg.Now().Sub(next.AsOf) <= controlTimeout {
		c.controlLost = false
		c.cfg.Log.Info("control regained", zap.Uint64("term", reply.Term))
	}
	if reply.Changed && reply.Revision > next.Revision {
		c.applyConfig(&next, reply)
	}
	if reply.Servers.Changes() {
		servers := fleetcontrol.ApplyDelta(next.Servers, reply.Servers, fleet.Server.Key)
		fleet.SortServers(servers)
		c.applyServers(&next, servers, "control")
	}
	if reply.VMs.Changes() {
		// VMs that a new leader has not heard of yet are kept until its list is complete.
		received := fleetcontrol.ApplyDelta(next.VMs, reply.VMs, fleetcontrol.VMKey)
		if reply.VMs.Full && !reply.Settled {
			received = membership.Union(received, next.VMs)
		}
		next.VMs = received
	}
	c.expire(&next)
	c.applyReleases(&next, reply)
	c.term, c.serversVersion, c.vmsVersion = reply.Term, reply.Servers.Version, reply.VMs.Version
	c.settled = reply.Settled || c.settled && !reply.VMs.Full // deltas keep a complete list complete
	next.VMsComplete = next.VMsComplete || c.settled
	c.view.Store(&next)
	c.wake()
}

// wake closes the channel that Changed returned; the caller holds the mutex.
func (c *Client) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// applyConfig applies the configuration and the target weights versions of a reply to next.
func (c *Client) applyConfig(next *View, reply *fleetcontrol.PollReply) {
	document := reply.Document
	if len(reply.Changes) > 0 {
		var err error
		if document, err = fleetcontrol.ApplyChanges(c.document, reply.Changes); err != nil {
			c.cfg.Log.Error("changes of the configuration do not fit the one in force; asking for all of it", zap.Error(err))
			c.document = nil
			return
		}
	}
	next.Revision = reply.Revision
	if !maps.Equal(next.TargetVersions, reply.Weights) {
		next.TargetSince = targetSince(next, reply, c.cfg.Now())
		next.TargetVersions = reply.Weights
		next.InventoryRevision++ // other servers are outdated now
	}
	if document == nil {
		return
	}
	config, err := c.cfg.Decode(document)
	if err != nil {
		c.cfg.Log.Error("configuration from control can't be decoded; the last one stays in force", zap.Error(err))
		return
	}
	if next.Config == nil || config.Version > next.Config.Version {
		c.cfg.Log.Info("configuration in force", zap.Int64("version", config.Version), zap.Uint64("revision", reply.Revision),
			zap.Int("routes", len(config.Routes)), zap.Int("client_accounts", len(config.Accounts)), zap.Int("changes", len(reply.Changes)))
		next.Config, c.document = config, document
		next.InventoryRevision++ // the stores may have changed
	}
}

// targetSince returns the times since which the target versions of a reply and of the last view
// are the target. If both have a version, the earlier time applies, as the replica may have
// started after the version became the target.
func targetSince(last *View, reply *fleetcontrol.PollReply, received time.Time) map[string]map[int64]time.Time {
	all := map[string]map[int64]time.Time{}
	for model := range reply.Weights {
		all[model] = maps.Clone(last.TargetSince[model])
		if all[model] == nil {
			all[model] = map[int64]time.Time{}
		}
		for _, target := range reply.Named[model] {
			at := received.Add(-target.Age)
			if old, ok := all[model][target.Version]; !ok || at.Before(old) {
				all[model][target.Version] = at
			}
		}
	}
	return all
}

// expire updates the minimum version of each model that may be used, and drops the times of the
// versions below that.
func (c *Client) expire(next *View) {
	if c.cfg.VersionDeadline <= 0 {
		return
	}
	minVersions := map[string]int64{}
	for model, versions := range next.TargetSince {
		for version, at := range versions {
			if c.cfg.Now().Sub(at) >= c.cfg.VersionDeadline {
				minVersions[model] = max(minVersions[model], version)
			}
		}
	}
	if maps.Equal(minVersions, next.MinVersions) {
		return
	}
	next.MinVersions = minVersions
	next.TargetSince = maps.Clone(next.TargetSince)
	for model, versions := range next.TargetSince {
		next.TargetSince[model] = maps.Clone(versions)
		maps.DeleteFunc(next.TargetSince[model], func(version int64, _ time.Time) bool { return version < minVersions[model] })
	}
	next.InventoryRevision++
	c.cfg.Log.Info("previous weights versions are past the deadline", zap.Any("least", minVersions), zap.Any("weights", next.TargetVersions), zap.Int("out_of_use", next.outOfUse()))
}

// applyServers sets the servers of next; from names the source of the list in the log line.
func (c *Client) applyServers(next *View, servers []fleet.Server, from string) {
	if next.Servers != nil && fleet.SameServers(next.Servers, servers) {
		return
	}
	next.setServers(servers)
	next.InventoryRevision++
	c.cfg.Log.Info("servers known", zap.Int("servers", len(servers)), zap.Int("out_of_use", next.outOfUse()), zap.Strings("model_servers_without_weights", next.modelServersWithoutWeights()), zap.String("from", from))
}

// readListWhileLost reads the list of servers while control is unreachable.
func (c *Client) readListWhileLost(ctx context.Context) {
	for {
		pause := minListInterval
		if callsPerSecond := c.cfg.ListCallsPerSecond * listCallsShare; callsPerSecond > 0 {
			pause = max(pause, time.Duration(float64(len(c.VMs()))/callsPerSecond*float64(time.Second)))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if c.Age() > controlTimeout {
			c.readList(ctx)
		}
	}
}

// readList reads the list of servers once and puts it into the view.
func (c *Client) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	servers, err := c.cfg.Lister.List(ctx)
	if err != nil {
		c.cfg.Log.Warn("reading the list of servers failed", zap.Error(err))
		return
	}
	fleet.SortServers(servers)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Age() <= controlTimeout {
		return // control is reachable again and its list is newer
	}
	next := *c.View()
	c.applyServers(&next, servers, "the platform's list")
	c.expire(&next)
	c.updateReleases(&next)
	c.serversVersion = 0
	c.view.Store(&next)
	c.wake()
}
