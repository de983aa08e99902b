package grants

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// syncTimeout bounds one report. The next report covers the requests that still wait.
const syncTimeout = time.Second

// minReportGap is the least time from the end of one report to the next.
const minReportGap = 5 * time.Millisecond

// failedReportGap is the least time from a failed report to the next, unless a request asks
// for a report.
const failedReportGap = 50 * time.Millisecond

// noDeadline is the time left of a request without a deadline.
const noDeadline = 24 * time.Hour

// Client is the Limiter of an entry VM. It holds slices and reports to the owner.
type Client struct {
	opt    HolderOptions
	owner  peer.Caller
	log    *zap.Logger
	start  time.Time
	clock  clock.Clock
	wakeup chan struct{}

	mu               sync.Mutex
	holder           *Holder
	lastReportFailed bool
	reporting        bool          // a report is in progress
	reportedAt       time.Duration // when it was sent
	dividedLog       rate.Sometimes
}

// NewClient returns a limiter that reports to owner once Run is called. Leases are measured
// with now, which must advance while the VM is suspended.
func NewClient(opt HolderOptions, owner peer.Caller, log *zap.Logger, now clock.Clock) *Client {
	return &Client{
		opt: opt, owner: owner, log: log, start: now(), clock: now,
		wakeup: make(chan struct{}, 1), holder: NewHolder(opt),
		dividedLog: rate.Sometimes{Interval: dividedLogInterval},
	}
}

// now returns the time since NewClient.
func (c *Client) now() time.Duration { return c.clock().Sub(c.start) }

// Reserve implements Limiter.
func (c *Client) Reserve(ctx context.Context, account string, tokens int64, priority int) (Reservation, error) {
	timeLeft := noDeadline
	if end, ok := ctx.Deadline(); ok {
		timeLeft = time.Until(end)
	}
	c.mu.Lock()
	now := c.now()
	r, w, err := c.holder.Reserve(now, account, tokens, priority, timeLeft)
	refill := c.holder.NeedsRefill(now, account)
	away := w != nil && c.ownerAway(now)
	if away {
		c.holder.Cancel(w)
	}
	c.mu.Unlock()
	if refill {
		c.wake()
	}
	switch {
	case away:
		return nil, errkind.New(errkind.NoQuorum, "the owner of the grants does not respond").WithRetryAfter(c.opt.Interval)
	case err != nil:
		return nil, err
	case r != nil:
		return &clientReservation{client: c, reservation: r}, nil
	}
	return c.wait(ctx, w)
}

// ownerAway reports whether a request need not wait for the owner, because the last report
// failed or got no reply for as long as a request would wait. The caller must hold c.mu.
func (c *Client) ownerAway(now time.Duration) bool {
	return c.opt.FallBack && (c.lastReportFailed || c.reporting && now-c.reportedAt > c.opt.OwnerWait)
}

// wait waits for a waiter's result, its deadline or the end of ctx.
func (c *Client) wait(ctx context.Context, w *waiter) (Reservation, error) {
	timer := time.NewTimer(c.opt.QueueTime)
	defer timer.Stop()
	for {
		select {
		case result := <-w.result:
			return c.resolve(result)
		case <-ctx.Done():
			return c.abandon(w, errkind.Wrap(ctx.Err(), errkind.Canceled, "request canceled while waiting for tokens").WithOutcome(errkind.NotRun))
		case <-timer.C:
		}
		c.mu.Lock()
		left, ownerReplied, undecided := c.holder.WaitDeadline(w)-c.now(), w.ownerReplied, c.holder.accounts[w.account].undecided(w.priority)
		timeoutErr := c.holder.TimeoutError(c.now(), w)
		c.mu.Unlock()
		switch {
		case left > 0:
			timer.Reset(left)
		case ownerReplied || undecided:
			return c.abandon(w, timeoutErr)
		default:
			return c.abandon(w, errkind.New(errkind.NoQuorum, "the owner of the grants did not respond").WithRetryAfter(c.opt.Interval))
		}
	}
}

// abandon removes a waiter from its queue and returns err, or the waiter's result if it has
// arrived in the meantime.
func (c *Client) abandon(w *waiter, err error) (Reservation, error) {
	c.mu.Lock()
	c.holder.Cancel(w)
	c.mu.Unlock()
	select {
	case result := <-w.result:
		return c.resolve(result)
	default:
		return nil, err
	}
}

// resolve returns a waiter's result as the result of Reserve.
func (c *Client) resolve(result waitResult) (Reservation, error) {
	if result.err != nil {
		return nil, result.err
	}
	return &clientReservation{client: c, reservation: result.reservation}, nil
}

// clientReservation implements Reservation for an admitted request.
type clientReservation struct {
	client      *Client
	reservation *reservation
	once        sync.Once
}

// Settle implements Reservation.
func (r *clientReservation) Settle(used int64) {
	r.once.Do(func() {
		r.client.mu.Lock()
		reportNow := r.client.holder.Settle(r.client.now(), r.reservation, used)
		r.client.mu.Unlock()
		if reportNow {
			r.client.wake()
		}
	})
}

// wake makes Run send a report now.
func (c *Client) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Run sends reports until ctx ends.
func (c *Client) Run(ctx context.Context) {
	timer := time.NewTimer(c.opt.Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wakeup:
		case <-timer.C:
		}
		c.sendReport(ctx)
		timer.Reset(c.untilNextReport())
		select {
		case <-ctx.Done():
			return
		case <-time.After(minReportGap):
		}
	}
}

// untilNextReport returns the time until the next report if wake is not called before.
func (c *Client) untilNextReport() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next := c.holder.NextReport(); next > 0 {
		gap := minReportGap
		if c.lastReportFailed {
			gap = failedReportGap
		}
		return min(max(next-c.now(), gap), c.opt.Interval)
	}
	return c.opt.Interval
}

// sendReport sends one report and applies the reply.
func (c *Client) sendReport(ctx context.Context) {
	c.mu.Lock()
	sent := c.now()
	req := c.holder.Report(sent)
	c.reporting, c.reportedAt = req != nil, sent
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
	c.lastReportFailed, c.reporting = err != nil, false
	if err != nil {
		c.log.Debug("grant report failed", zap.Error(err))
		return
	}
	c.holder.HandleReply(c.now(), sent, req, &reply)
	c.logDivided(&reply, req)
}

// dividedLogInterval is the least time between two log lines about accounts whose tokens are
// divided by priority.
const dividedLogInterval = 10 * time.Second

// logDivided logs which accounts' tokens the owner divides by priority. The caller must hold
// c.mu.
func (c *Client) logDivided(reply *SyncReply, req *SyncRequest) {
	divided, first := 0, ""
	for i, g := range reply.Entries {
		if g.Divided && i < len(req.Entries) {
			if divided == 0 {
				first = req.Entries[i].Account
			}
			divided++
		}
	}
	if divided == 0 {
		return
	}
	c.dividedLog.Do(func() {
		c.log.Info("tokens of client accounts over their rate are divided by priority", zap.Int("accounts", divided), zap.String("first", first))
	})
}

// ReturnTokens returns all unspent tokens to the owner, for a graceful stop.
func (c *Client) ReturnTokens(ctx context.Context) {
	c.mu.Lock()
	c.holder.ReturnAll(c.now())
	c.mu.Unlock()
	c.sendReport(ctx)
}
