package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/state"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// ClientName is the client's name in the kernel.
const ClientName = "entry.directory"

const (
	callTimeout   = time.Second // for one call, in addition to the hold of a poll
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
)

// Settings is the section of an entry VM's settings for the watch.
type Settings struct {
	Freshness time.Duration `ini:"freshness" default:"3s" min:"1s" max:"10s" doc:"How old the configuration may be under which requests with a key are served. Must equal the control replicas' value."`
	Hold      time.Duration `ini:"hold" default:"500ms" min:"50ms" max:"2s" doc:"How long a control replica holds a poll that has nothing new."`
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// ControlAddresses lists the peer addresses of the control replicas.
	ControlAddresses []string
	VM               membership.VM
	Freshness        time.Duration // maximum age of a view; 0 means DefaultFreshness
	Hold             time.Duration // how long a replica may hold a poll; 0 means DefaultHold
	Log              *zap.Logger
	// Caller, if set, replaces the kernel's peer.pool.
	Caller Caller
}

// Client polls the control replicas and holds the configuration in force on an entry
// VM. It is a kernel module and implements Directory and Fleet.
type Client struct {
	cfg    ClientConfig
	caller Caller
	cancel context.CancelFunc
	done   chan struct{}

	mu             sync.Mutex
	view           *state.View
	currentAt      time.Time // the view contains every revision accepted before this time
	announcedFresh bool      // freshness at the last notification
	changed        chan struct{}
	vms            []membership.VM
	leaving        bool

	replicaIndex int // index in ControlAddresses of the replica in use
	replicaID    uint64
	vmsVersion   uint64
	needsBarrier bool // no poll has been answered yet
}

// NewClient returns a client. Zero durations are replaced by the defaults.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Freshness == 0 {
		cfg.Freshness = DefaultFreshness
	}
	if cfg.Hold == 0 {
		cfg.Hold = DefaultHold
	}
	if cfg.VM.Incarnation == 0 {
		cfg.VM.Incarnation = rand.Uint64() | 1
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Client{cfg: cfg, caller: cfg.Caller, changed: make(chan struct{}), needsBarrier: true, done: make(chan struct{})}
}

// Provision looks up peer.pool unless the configuration sets a Caller.
func (c *Client) Provision(k *kernel.Kernel) error {
	if len(c.cfg.ControlAddresses) == 0 {
		return errors.New("watch: no control addresses")
	}
	if c.caller != nil {
		return nil
	}
	pool, err := kernel.Lookup[*peer.PoolModule](k, peer.PoolName)
	c.caller = pool
	return err
}

// Start starts polling in the background.
func (c *Client) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.replicaIndex = rand.IntN(len(c.cfg.ControlAddresses))
	go c.run(ctx)
	return nil
}

// Stop ends polling and waits for it.
func (c *Client) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
		<-c.done
	}
	return nil
}

// Leave reports to the replica in use that this VM is leaving. Later polls report it too.
func (c *Client) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	args := &PollArgs{Report: c.report(), From: c.revision()}
	replicaIndex := c.replicaIndex
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.caller.Call(ctx, c.cfg.ControlAddresses[replicaIndex], ServiceName+".Poll", args, &PollReply{})
}

// report returns the VM's report with the revision it has in force. The mutex must be held.
func (c *Client) report() membership.Report {
	r := membership.Report{VM: c.cfg.VM, Revision: c.revision()}
	r.Leaving = r.Leaving || c.leaving
	return r
}

// revision returns the view's revision, 0 without a view. The mutex must be held.
func (c *Client) revision() uint64 {
	if c.view == nil {
		return 0
	}
	return c.view.Revision()
}

// Health returns Stale while the view is not fresh.
func (c *Client) Health() error { return c.Fresh() }

// View returns the newest configuration received.
func (c *Client) View() *state.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// VMs lists the entry VMs as of the last reply from a control replica, including VMs
// that are leaving.
func (c *Client) VMs() []VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]VM, len(c.vms))
	for i, v := range c.vms {
		out[i] = VM{Name: v.Name, Address: v.Address, PeerAddress: v.PeerAddress, FailureDomain: v.FailureDomain, Leaving: v.Leaving}
	}
	return out
}

// Incarnation returns this process's incarnation.
func (c *Client) Incarnation() uint64 { return c.cfg.VM.Incarnation }

// Fresh returns nil while the attested age of the view is below the freshness bound.
func (c *Client) Fresh() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFresh(time.Now()) {
		return nil
	}
	return errkind.New(errkind.Stale, "configuration is not known to be current").WithRetryAfter(c.cfg.Hold)
}

// Age returns the time since the view was last attested to be current, or a negative duration without a view.
func (c *Client) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return -1
	}
	return time.Since(c.currentAt)
}

// isFresh reports whether there is a view below the freshness limit. The mutex must be held.
func (c *Client) isFresh(now time.Time) bool {
	return c.view != nil && now.Sub(c.currentAt) < c.freshnessLimit()
}

// freshnessLimit returns the freshness bound shortened by DriftBound, because this VM's
// clock may run slow.
func (c *Client) freshnessLimit() time.Duration {
	return time.Duration(float64(c.cfg.Freshness) * (1 - DriftBound))
}

// Changed returns a channel that is closed when the view or its freshness next changes.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// notifyChanged closes the Changed channel and replaces it. The mutex must be held.
func (c *Client) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	freshnessDone := make(chan struct{})
	go func() {
		defer close(freshnessDone)
		c.watchFreshness(ctx)
	}()
	pause := minRetryPause
	for ctx.Err() == nil {
		err := c.poll(ctx)
		if err == nil {
			pause = minRetryPause
			continue
		}
		c.cfg.Log.Debug("watch poll failed", zap.Error(err))
		c.nextReplica()
		c.sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryPause)
	}
	<-freshnessDone
}

// nextReplica selects the next replica. VMsVersion is reset because it counts per replica.
func (c *Client) nextReplica() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicaIndex = (c.replicaIndex + 1) % len(c.cfg.ControlAddresses)
	c.vmsVersion = 0
}

func (c *Client) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchFreshness closes the Changed channel when the view becomes stale.
func (c *Client) watchFreshness(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		wait := time.Until(c.currentAt.Add(c.freshnessLimit()))
		if wait <= 0 || c.view == nil {
			if c.announcedFresh {
				c.announcedFresh = false
				c.cfg.Log.Warn("configuration is stale")
				c.notifyChanged()
			}
			wait = c.cfg.Hold
		}
		c.mu.Unlock()
		c.sleep(ctx, wait)
	}
}

// poll sends one poll to the replica in use.
func (c *Client) poll(ctx context.Context) error {
	c.mu.Lock()
	replicaIndex := c.replicaIndex
	args := &PollArgs{Report: c.report(), From: c.revision(), Barrier: c.needsBarrier, VMsVersion: c.vmsVersion,
		Replica: c.replicaID, Hold: c.cfg.Hold}
	c.mu.Unlock()
	if args.From == 0 && !args.Barrier {
		c.sleep(ctx, c.cfg.Hold/2) // replicas do not hold polls from revision 0
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Hold+callTimeout)
	defer cancel()
	var reply PollReply
	if err := c.caller.Call(callCtx, c.cfg.ControlAddresses[replicaIndex], ServiceName+".Poll", args, &reply); err != nil {
		return err
	}
	return c.applyReply(args, &reply, sent)
}

// applyReply applies the reply to a poll that was sent at the given time. Its error makes the
// client switch to another replica.
func (c *Client) applyReply(args *PollArgs, reply *PollReply, sent time.Time) error {
	view, err := nextView(c.View(), reply)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if view != c.view {
		c.view = view
		c.notifyChanged()
	}
	c.needsBarrier = false
	c.replicaID, c.vmsVersion = reply.Replica, reply.VMsVersion
	if reply.VMsSet {
		c.vms = reply.VMs
	}
	if !reply.Attested {
		return errkind.New(errkind.Stale, "replica %d can't attest its state", reply.Replica)
	}
	c.recordAttestation(reply, sent)
	if reply.Age > c.cfg.Freshness/2 {
		return errkind.New(errkind.Stale, "replica %d lags by %s", reply.Replica, reply.Age)
	}
	return nil
}

// recordAttestation advances currentAt. The replica sent the reply no earlier than the poll's
// send time plus its hold. Hold and age were measured by the replica's clock, so both are
// adjusted for the drift of the two clocks. The mutex must be held.
func (c *Client) recordAttestation(reply *PollReply, sent time.Time) {
	held := time.Duration(float64(reply.Held) * (1 - DriftBound) / (1 + DriftBound))
	age := time.Duration(float64(reply.Age) * (1 + DriftBound) / (1 - DriftBound))
	if currentAt := sent.Add(held - age); currentAt.After(c.currentAt) {
		c.currentAt = currentAt
	}
	if fresh := c.isFresh(time.Now()); fresh && !c.announcedFresh {
		c.announcedFresh = true
		c.notifyChanged()
	}
}

// nextView returns the view after a reply. Its revision is never lower than that of old.
func nextView(old *state.View, reply *PollReply) (*state.View, error) {
	var oldRevision uint64
	if old != nil {
		oldRevision = old.Revision()
	}
	switch {
	case reply.Snapshot != nil && (old == nil || reply.Revision > oldRevision):
		var c pb.Configuration
		if err := proto.Unmarshal(reply.Snapshot, &c); err != nil {
			return old, errkind.Wrap(err, errkind.Corrupt, "configuration does not decode")
		}
		return state.NewView(&c), nil
	case reply.Delta != nil && old != nil:
		return applyDelta(old, reply.Delta)
	case old == nil:
		return state.NewView(&pb.Configuration{}), nil
	}
	return old, nil
}

// applyDelta returns the view after an encoded delta, or old if the delta does not apply to it.
func applyDelta(old *state.View, data []byte) (*state.View, error) {
	var d pb.Delta
	if err := proto.Unmarshal(data, &d); err != nil {
		return old, errkind.Wrap(err, errkind.Corrupt, "delta does not decode")
	}
	if d.GetFromRevision() > old.Revision() || d.GetToRevision() <= old.Revision() {
		return old, nil
	}
	return old.WithDelta(&d), nil
}
