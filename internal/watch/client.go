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
	pollSlack  = time.Second // above the hold, before a poll is given up
	retryPause = 50 * time.Millisecond
	retryMax   = time.Second
)

// Settings is the watch's part of an entry VM's settings.
type Settings struct {
	Freshness time.Duration `ini:"freshness" default:"3s" min:"1s" max:"10s" doc:"How old the configuration may be under which requests with a key are served. Must equal the control replicas' value."`
	Hold      time.Duration `ini:"hold" default:"500ms" min:"50ms" max:"2s" doc:"How long a control replica holds a poll that has nothing new."`
}

// ClientConfig of a Client.
type ClientConfig struct {
	// ControlAddresses lists the peer addresses of the control replicas.
	ControlAddresses []string
	VM               membership.VM
	Freshness        time.Duration
	Hold             time.Duration
	Log              *zap.Logger
	// Caller is used instead of the kernel's peer.pool when set.
	Caller Caller
}

// Client keeps the configuration in force on an entry VM. It is a kernel module
// and implements Directory.
type Client struct {
	cfg    ClientConfig
	calls  Caller
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	view    *state.View
	current time.Time // the view held everything accepted before this time
	fresh   bool      // as last announced
	changed chan struct{}
	vms     []membership.VM
	leaving bool

	at         int // index of the replica in use
	replica    uint64
	vmsVersion uint64
	barrier    bool
}

// NewClient returns a client; zero durations take the defaults.
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
	return &Client{cfg: cfg, calls: cfg.Caller, changed: make(chan struct{}), barrier: true, done: make(chan struct{})}
}

// Provision looks up peer.pool.
func (c *Client) Provision(k *kernel.Kernel) error {
	if len(c.cfg.ControlAddresses) == 0 {
		return errors.New("watch: no control addresses")
	}
	if c.calls != nil {
		return nil
	}
	pool, err := kernel.Lookup[*peer.PoolModule](k, peer.PoolName)
	c.calls = pool
	return err
}

// Start begins to watch.
func (c *Client) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.at = rand.IntN(len(c.cfg.ControlAddresses))
	go c.run(ctx)
	return nil
}

// Stop ends the watch.
func (c *Client) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
		<-c.done
	}
	return nil
}

// Leave reports this VM as leaving now and from now on.
func (c *Client) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	args := &PollArgs{Report: c.report(), From: c.revision()}
	at := c.at
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pollSlack)
	defer cancel()
	return c.calls.Call(ctx, c.cfg.ControlAddresses[at], ServiceName+".Poll", args, &PollReply{})
}

// report says what this VM has in force. The mutex is held.
func (c *Client) report() membership.Report {
	r := membership.Report{VM: c.cfg.VM, Revision: c.revision()}
	r.Leaving = r.Leaving || c.leaving
	return r
}

// revision returns the view's. The mutex is held.
func (c *Client) revision() uint64 {
	if c.view == nil {
		return 0
	}
	return c.view.Revision()
}

// Health returns Stale while the view is not fresh.
func (c *Client) Health() error { return c.Fresh() }

// View returns the newest configuration.
func (c *Client) View() *state.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// VMs lists the entry VMs as the control replicas know them, leaving ones included.
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

// Fresh returns nil while the view is attested to be younger than the bound.
func (c *Client) Fresh() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFresh(time.Now()) {
		return nil
	}
	return errkind.New(errkind.Stale, "configuration is not known to be current").WithRetryAfter(c.cfg.Hold)
}

func (c *Client) isFresh(now time.Time) bool {
	return c.view != nil && now.Sub(c.current) < c.limit()
}

// limit is the bound by this VM's clock, which may run slow.
func (c *Client) limit() time.Duration {
	return time.Duration(float64(c.cfg.Freshness) * (1 - DriftBound))
}

// Changed returns a channel that is closed at the next change of view or freshness.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *Client) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	stale := make(chan struct{})
	go func() {
		defer close(stale)
		c.watchFreshness(ctx)
	}()
	pause := retryPause
	for ctx.Err() == nil {
		err := c.poll(ctx)
		if err == nil {
			pause = retryPause
			continue
		}
		c.cfg.Log.Debug("watch poll failed", zap.Error(err))
		c.nextReplica()
		c.sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMax)
	}
	<-stale
}

func (c *Client) nextReplica() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = (c.at + 1) % len(c.cfg.ControlAddresses)
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

// watchFreshness announces when the view goes stale.
func (c *Client) watchFreshness(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		wait := time.Until(c.current.Add(c.limit()))
		if wait <= 0 || c.view == nil {
			if c.fresh {
				c.fresh = false
				c.cfg.Log.Warn("configuration is stale")
				c.wake()
			}
			wait = c.cfg.Hold
		}
		c.mu.Unlock()
		c.sleep(ctx, wait)
	}
}

// poll asks the replica in use once.
func (c *Client) poll(ctx context.Context) error {
	c.mu.Lock()
	at := c.at
	args := &PollArgs{Report: c.report(), From: c.revision(), Barrier: c.barrier, VMsVersion: c.vmsVersion,
		Replica: c.replica, Hold: c.cfg.Hold}
	c.mu.Unlock()
	if args.From == 0 && !args.Barrier {
		c.sleep(ctx, c.cfg.Hold/2) // an empty configuration is asked for again, not held
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Hold+pollSlack)
	defer cancel()
	var reply PollReply
	if err := c.calls.Call(callCtx, c.cfg.ControlAddresses[at], ServiceName+".Poll", args, &reply); err != nil {
		return err
	}
	return c.take(args, &reply, sent)
}

// take puts an answer in force.
func (c *Client) take(args *PollArgs, reply *PollReply, sent time.Time) error {
	view, err := nextView(c.View(), reply)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if view != c.view {
		c.view = view
		c.wake()
	}
	c.barrier = false
	c.replica, c.vmsVersion = reply.Replica, reply.VMsVersion
	if reply.VMsSet {
		c.vms = reply.VMs
	}
	if !reply.Attested {
		return errkind.New(errkind.Stale, "replica %d can't attest its state", reply.Replica)
	}
	c.attest(reply, sent)
	if reply.Age > c.cfg.Freshness/2 {
		return errkind.New(errkind.Stale, "replica %d lags by %s", reply.Replica, reply.Age)
	}
	return nil
}

// attest dates the view: the answer left the replica no earlier than the poll was
// sent plus the time it was held, both by clocks that may drift.
func (c *Client) attest(reply *PollReply, sent time.Time) {
	held := time.Duration(float64(reply.Held) * (1 - DriftBound) / (1 + DriftBound))
	age := time.Duration(float64(reply.Age) * (1 + DriftBound) / (1 - DriftBound))
	if at := sent.Add(held - age); at.After(c.current) {
		c.current = at
	}
	if fresh := c.isFresh(time.Now()); fresh && !c.fresh {
		c.fresh = true
		c.wake()
	}
}

// nextView returns the view after an answer; its revision never goes back.
func nextView(old *state.View, reply *PollReply) (*state.View, error) {
	var have uint64
	if old != nil {
		have = old.Revision()
	}
	switch {
	case reply.Snapshot != nil && (old == nil || reply.Revision > have):
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

func applyDelta(old *state.View, data []byte) (*state.View, error) {
	var d pb.Delta
	if err := proto.Unmarshal(data, &d); err != nil {
		return old, errkind.Wrap(err, errkind.Corrupt, "delta does not decode")
	}
	if d.GetFromRevision() > old.Revision() || d.GetToRevision() <= old.Revision() {
		return old, nil
	}
	return old.After(&d), nil
}
