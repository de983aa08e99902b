package journal

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"

	"github.com/google/uuid"
	"go.uber.org/zap"
)

// Timing of the client's calls.
const (
	claimTry      = time.Second            // one try of a claim
	claimFor      = 2 * time.Second        // all tries; nothing is sent meanwhile
	settleTry     = 2 * time.Second        // one try of a settlement
	settlePause   = 100 * time.Millisecond // between two tries
	settleFor     = 30 * time.Second       // a settlement is tried for that long
	maxSettleWait = 2 * time.Second        // a caller waits at most that long for a settlement
)

// Client is the Journal of an entry VM.
type Client struct {
	lease  time.Duration
	leader peer.Caller
	log    *zap.Logger
	wg     sync.WaitGroup
}

// NewClient returns a client whose claims may begin within lease.
func NewClient(lease time.Duration, leader peer.Caller, log *zap.Logger) *Client {
	return &Client{lease: lease, leader: leader, log: log}
}

// Claim implements Journal.
func (c *Client) Claim(ctx context.Context, r Request) (Claim, *Answer, error) {
	o := op{Op: opClaim, Account: r.Account, ID: r.ID, Claim: uuid.NewString(), Body: r.Body}
	sent := time.Now()
	res, err := c.claim(ctx, o)
	if err != nil {
		if !errkind.Is(err, errkind.Overloaded) {
			// The claim may be in the journal, or come in yet. Nothing was sent, so it goes back.
			c.takeBack(op{Op: opRelease, Account: o.Account, ID: o.ID, Claim: o.Claim})
		}
		return nil, nil, errkind.Of(err).WithOutcome(errkind.NotRun)
	}
	if res.Verdict == granted {
		return &claim{client: c, op: o, end: sent.Add(c.lease)}, nil, nil
	}
	if res.Verdict == stored && res.Answer != nil {
		return nil, res.Answer, nil
	}
	return nil, nil, verdictError(res)
}

// claim tries until the journal answers; a repeat names the same claim and does no
// harm. It gives up after claimFor.
func (c *Client) claim(ctx context.Context, o op) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimFor)
	defer cancel()
	for {
		try, cancel := context.WithTimeout(ctx, claimTry)
		var out DoReply
		err := c.leader.Call(try, "Journal.Do", &DoArgs{Op: o}, &out)
		cancel()
		if err == nil {
			return out.Result, nil
		}
		again := errkind.Is(err, errkind.Timeout) || errkind.Is(err, errkind.NoQuorum)
		if !again || ctx.Err() != nil {
			return result{}, err
		}
	}
}

// verdictError turns a refusal into its error.
func verdictError(r result) error {
	switch r.Verdict {
	case inProgress:
		return errkind.New(errkind.InProgress, "the request runs").WithRetryAfter(time.Duration(r.RetryMS) * time.Millisecond)
	case outcomeUnknown:
		return errkind.New(errkind.OutcomeUnknown, "the request may have run; its answer was lost")
	case bodyMismatch:
		return errkind.New(errkind.BodyMismatch, "the request ID was used for another request")
	case expired:
		return errkind.New(errkind.RequestExpired, "the request ID is older than the journal's retention")
	case idAhead:
		return errkind.New(errkind.InvalidRequest, "the request ID carries a time in the future")
	case full:
		return errkind.New(errkind.JournalFull, "the journal is full").WithRetryAfter(retryFull)
	case tooLarge:
		return errkind.New(errkind.TooLarge, "the request ran; its answer was too large to be kept").WithOutcome(errkind.Completed)
	}
	return errkind.New(errkind.Internal, "journal verdict %d", r.Verdict)
}

// retryFull is when to come back to a full journal.
const retryFull = 10 * time.Second

// settle records an op until the journal has it. The caller waits for it within ctx
// and maxSettleWait; after that it goes on in the background.
func (c *Client) settle(ctx context.Context, o op) error {
	done := make(chan error, 1)
	c.wg.Go(func() { done <- c.retrySettle(o) })
	timer := time.NewTimer(maxSettleWait)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "settlement goes on in the background")
	case <-timer.C:
		return errkind.New(errkind.Timeout, "settlement goes on in the background")
	}
}

// takeBack releases a claim that got no answer, and once more when no message of it can
// be under way any more: one that comes in after the release claims the ID again.
func (c *Client) takeBack(release op) {
	c.wg.Go(func() {
		_ = c.retrySettle(release) // not held where the claim never came in
		time.Sleep(claimTry)
		_ = c.retrySettle(release) // not held where no message was late
	})
}

func (c *Client) retrySettle(o op) error {
	started := time.Now()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), settleTry)
		var out DoReply
		err := c.leader.Call(ctx, "Journal.Do", &DoArgs{Op: o}, &out)
		cancel()
		switch {
		case err == nil && out.Result.Verdict == settled:
			return nil
		case err == nil:
			return errkind.New(errkind.OutcomeUnknown, "the claim is not held any more")
		case errkind.Is(err, errkind.Internal) || time.Since(started) > settleFor:
			c.log.Error("journal record not settled", zap.Uint8("op", uint8(o.Op)), zap.Error(err))
			return err
		}
		time.Sleep(settlePause)
	}
}

// Wait waits for settlements in the background, for a graceful stop.
func (c *Client) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "settlements are not done")
	}
}

// claim is a claim that this VM holds.
type claim struct {
	client *Client
	op     op
	end    time.Time // monotonic

	mu    sync.Mutex
	begun bool
	over  bool
}

// Begin implements Claim.
func (c *claim) Begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun || c.over {
		return errkind.New(errkind.Internal, "claim was begun or settled before")
	}
	c.over = true // for good if the lease has ended
	if !time.Now().Before(c.end) {
		return errkind.New(errkind.Timeout, "claim has run out").WithOutcome(errkind.NotRun)
	}
	c.begun, c.over = true, false
	return nil
}

// finish marks the claim as settled and reports whether it was the first time.
func (c *claim) finish(begun bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over || c.begun != begun {
		return false
	}
	c.over = true
	return true
}

func (c *claim) settlement(o operation) op {
	return op{Op: o, Account: c.op.Account, ID: c.op.ID, Claim: c.op.Claim}
}

// errSettled says that a claim was settled in another way before.
func errSettled() error { return errkind.New(errkind.Internal, "claim can't be settled this way now") }

// Complete implements Claim.
func (c *claim) Complete(ctx context.Context, a Answer) error {
	if !c.finish(true) {
		return errSettled()
	}
	o := c.settlement(opComplete)
	o.Answer = a
	return c.client.settle(ctx, o)
}

// Release implements Claim.
func (c *claim) Release(ctx context.Context) error {
	if !c.finish(false) {
		return errSettled()
	}
	return c.client.settle(ctx, c.settlement(opRelease))
}

// MarkLost implements Claim.
func (c *claim) MarkLost(ctx context.Context) error {
	if !c.finish(true) {
		return errSettled()
	}
	return c.client.settle(ctx, c.settlement(opLost))
}
