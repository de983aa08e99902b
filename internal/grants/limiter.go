package grants

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"

	"go.uber.org/zap"
)

// syncTimeout bounds one report; whoever waits asks again with the next one.
const syncTimeout = time.Second

// minGap is the least time between two reports.
const minGap = 5 * time.Millisecond

// failGap is the least time from a report that failed to the next.
const failGap = 50 * time.Millisecond

// Client is the Limiter of an entry VM: it holds slices and reports to the owner.
type Client struct {
	opt   HolderOptions
	owner peer.Caller
	log   *zap.Logger
	start time.Time
	clock clock.Clock
	kick  chan struct{}

	mu     sync.Mutex
	holder *Holder
	failed bool // the last report was not answered
}

// NewClient returns a limiter that reports to owner once Run is called. Leases count by
// now, which must go on while the VM is suspended.
func NewClient(opt HolderOptions, owner peer.Caller, log *zap.Logger, now clock.Clock) *Client {
	return &Client{
		opt: opt, owner: owner, log: log, start: now(), clock: now,
		kick: make(chan struct{}, 1), holder: NewHolder(opt),
	}
}

// now is the time since the start.
func (c *Client) now() time.Duration { return c.clock().Sub(c.start) }

// Reserve implements Limiter.
func (c *Client) Reserve(ctx context.Context, account string, tokens int64) (Reservation, error) {
	c.mu.Lock()
	now := c.now()
	r, w, err := c.holder.Reserve(now, account, tokens)
	hungry := c.holder.NeedsRefill(now, account)
	c.mu.Unlock()
	if hungry {
		c.wake()
	}
	switch {
	case err != nil:
		return nil, err
	case r != nil:
		return &held{client: c, reservation: r}, nil
	}
	return c.wait(ctx, w)
}

// wait waits for a waiter's outcome, its deadline or the end of ctx.
func (c *Client) wait(ctx context.Context, w *waiter) (Reservation, error) {
	timer := time.NewTimer(c.opt.QueueTime)
	defer timer.Stop()
	for {
		select {
		case o := <-w.result:
			return c.finish(o)
		case <-ctx.Done():
			return c.giveUp(w, errkind.Wrap(ctx.Err(), errkind.Canceled, "caller left while waiting for tokens").WithOutcome(errkind.NotRun))
		case <-timer.C:
		}
		c.mu.Lock()
		left, answered, late := c.holder.WaitDeadline(w)-c.now(), w.heard, c.holder.TimeoutError(w)
		c.mu.Unlock()
		switch {
		case left > 0:
			timer.Reset(left)
		case answered:
			return c.giveUp(w, late)
		default:
			return c.giveUp(w, errkind.New(errkind.NoQuorum, "the owner of the grants does not answer").WithRetryAfter(c.opt.Interval))
		}
	}
}

// giveUp takes a waiter out of its queue, unless its outcome came in the last moment.
func (c *Client) giveUp(w *waiter, err error) (Reservation, error) {
	c.mu.Lock()
	c.holder.Cancel(w)
	c.mu.Unlock()
	select {
	case o := <-w.result:
		return c.finish(o)
	default:
		return nil, err
	}
}

func (c *Client) finish(o outcome) (Reservation, error) {
	if o.err != nil {
		return nil, o.err
	}
	return &held{client: c, reservation: o.reservation}, nil
}

// held is an admitted request's reservation.
type held struct {
	client      *Client
	reservation *reservation
	once        sync.Once
}

// Settle implements Reservation.
func (h *held) Settle(used int64) {
	h.once.Do(func() {
		h.client.mu.Lock()
		urgent := h.client.holder.Settle(h.client.now(), h.reservation, used)
		h.client.mu.Unlock()
		if urgent {
			h.client.wake()
		}
	})
}

func (c *Client) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run reports until ctx ends.
func (c *Client) Run(ctx context.Context) {
	timer := time.NewTimer(c.opt.Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.kick:
		case <-timer.C:
		}
		c.sync(ctx)
		timer.Reset(c.pause())
		select {
		case <-ctx.Done():
			return
		case <-time.After(minGap):
		}
	}
}

// pause is the time until the next report that nobody asks for.
func (c *Client) pause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next := c.holder.NextReport(); next > 0 {
		gap := minGap
		if c.failed {
			gap = failGap
		}
		return min(max(next-c.now(), gap), c.opt.Interval)
	}
	return c.opt.Interval
}

// sync sends one report and takes the answer.
func (c *Client) sync(ctx context.Context) {
	c.mu.Lock()
	sent := c.now()
	req := c.holder.Report(sent)
	c.mu.Unlock()
	if req == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply SyncReply
	err := c.owner.Call(ctx, "Grants.Sync", req, &reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = err != nil
	if err != nil {
		c.log.Debug("grant report failed", zap.Error(err))
		return
	}
	c.holder.HandleReply(c.now(), sent, req, &reply)
}

// ReturnTokens gives all unspent tokens back, for a graceful stop.
func (c *Client) ReturnTokens(ctx context.Context) {
	c.mu.Lock()
	c.holder.ReturnAll(c.now())
	c.mu.Unlock()
	c.sync(ctx)
}
