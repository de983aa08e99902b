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
	claimAttemptTimeout  = time.Second     // one attempt to claim
	claimTimeout         = 2 * time.Second // all attempts to claim; the request itself is not sent meanwhile
	settleAttemptTimeout = 2 * time.Second // one attempt to settle
	settleRetryInterval  = 100 * time.Millisecond
	settleTimeout        = 30 * time.Second // no further attempt to settle after this time
	maxSettleWait        = 2 * time.Second  // maximum time for which a caller waits for a settlement
)

// Client is the Journal of an entry VM.
type Client struct {
	lease      time.Duration // maximum time from sending a claim to its Begin
	leader     peer.Caller
	log        *zap.Logger
	background sync.WaitGroup // settlements
}

// NewClient returns a client whose claims must begin within lease after they were sent.
func NewClient(lease time.Duration, leader peer.Caller, log *zap.Logger) *Client {
	return &Client{lease: lease, leader: leader, log: log}
}

// Claim implements Journal.
func (c *Client) Claim(ctx context.Context, r Request) (Claim, *Answer, error) {
	o := op{Op: opClaim, Account: r.Account, ID: r.ID, Claim: uuid.NewString(), Body: r.Body}
	sentAt := time.Now()
	res, err := c.sendClaim(ctx, o)
	if err != nil {
		if !errkind.Is(err, errkind.Overloaded) {
			// The claim may be recorded already, or later by a delayed message. It is released,
			// because the request was not sent.
			c.releaseUnanswered(op{Op: opRelease, Account: o.Account, ID: o.ID, Claim: o.Claim})
		}
		return nil, nil, errkind.Of(err).WithOutcome(errkind.NotRun)
	}
	if res.Verdict == granted {
		return &claim{client: c, op: o, beginBy: sentAt.Add(c.lease)}, nil, nil
	}
	if res.Verdict == stored && res.Answer != nil {
		return nil, res.Answer, nil
	}
	return nil, nil, verdictError(res)
}

// sendClaim sends a claim until the journal responds, or until claimTimeout. Retries are
// idempotent because they carry the same claim.
func (c *Client) sendClaim(ctx context.Context, o op) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		attempt, cancel := context.WithTimeout(ctx, claimAttemptTimeout)
		var reply DoReply
		err := c.leader.Call(attempt, "Journal.Do", &DoArgs{Op: o}, &reply)
		cancel()
		if err == nil {
			return reply.Result, nil
		}
		retryable := errkind.Is(err, errkind.Timeout) || errkind.Is(err, errkind.NoQuorum)
		if !retryable || ctx.Err() != nil {
			return result{}, err
		}
	}
}

// verdictError returns the error for a verdict that neither grants a claim nor has an answer.
func verdictError(r result) error {
	switch r.Verdict {
	case inProgress:
		return errkind.New(errkind.InProgress, "the request is still running").WithRetryAfter(time.Duration(r.RetryMS) * time.Millisecond)
	case outcomeUnknown:
		return errkind.New(errkind.OutcomeUnknown, "the request may have run; its answer was lost")
	case bodyMismatch:
		return errkind.New(errkind.BodyMismatch, "the request ID was used for another request")
	case expired:
		return errkind.New(errkind.RequestExpired, "the request ID is older than the journal's retention")
	case idAhead:
		return errkind.New(errkind.InvalidRequest, "the time in the request ID is in the future")
	case full:
		return errkind.New(errkind.JournalFull, "the journal is full").WithRetryAfter(retryAfterFull)
	case tooLarge:
		return errkind.New(errkind.TooLarge, "the request ran; its answer was too large to be stored").WithOutcome(errkind.Completed)
	}
	return errkind.New(errkind.Internal, "unexpected journal verdict %d", r.Verdict)
}

// retryAfterFull is the Retry-After of a request that a full journal refuses.
const retryAfterFull = 10 * time.Second

// settle sends a settlement until the journal has recorded it. If that takes longer than ctx
// or maxSettleWait, settle returns a Timeout error and the attempts continue in the
// background.
func (c *Client) settle(ctx context.Context, o op) error {
	done := make(chan error, 1)
	c.background.Go(func() { done <- c.settleWithRetry(o) })
	timer := time.NewTimer(maxSettleWait)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "settlement continues in the background")
	case <-timer.C:
		return errkind.New(errkind.Timeout, "settlement continues in the background")
	}
}

// releaseUnanswered releases, in the background, a claim whose attempts got no response. It
// releases the claim twice: a delayed claim message that arrives after the first release claims
// the ID again. The second release follows claimAttemptTimeout later, when no such message can
// be in flight any more.
func (c *Client) releaseUnanswered(release op) {
	c.background.Go(func() {
		_ = c.settleWithRetry(release) // fails with notHeld if the claim never arrived
		time.Sleep(claimAttemptTimeout)
		_ = c.settleWithRetry(release) // fails with notHeld if no claim message was delayed
	})
}

// settleWithRetry sends a settlement until the journal responds, an Internal error occurs or
// settleTimeout has passed.
func (c *Client) settleWithRetry(o op) error {
	startedAt := time.Now()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), settleAttemptTimeout)
		var reply DoReply
		err := c.leader.Call(ctx, "Journal.Do", &DoArgs{Op: o}, &reply)
		cancel()
		switch {
		case err == nil && reply.Result.Verdict == settled:
			return nil
		case err == nil:
			return errkind.New(errkind.OutcomeUnknown, "the claim is no longer held")
		case errkind.Is(err, errkind.Internal) || time.Since(startedAt) > settleTimeout:
			c.log.Error("journal record not settled", zap.Uint8("op", uint8(o.Op)), zap.Error(err))
			return err
		}
		time.Sleep(settleRetryInterval)
	}
}

// Wait waits until the settlements in the background have ended. It is called for a graceful
// stop.
func (c *Client) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "settlements are still in progress")
	}
}

// claim is the Claim of a Client.
type claim struct {
	client  *Client
	op      op
	beginBy time.Time // last time for Begin, by the monotonic clock

	mu     sync.Mutex
	begun  bool
	closed bool // settled, or not begun by beginBy
}

// Begin implements Claim.
func (c *claim) Begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun || c.closed {
		return errkind.New(errkind.Internal, "claim was already begun or settled")
	}
	c.closed = true // stays true if the lease has expired
	if !time.Now().Before(c.beginBy) {
		return errkind.New(errkind.Timeout, "claim has expired").WithOutcome(errkind.NotRun)
	}
	c.begun, c.closed = true, false
	return nil
}

// closeIf closes the claim if it is open and its begun state equals the argument. It reports
// whether it did so.
func (c *claim) closeIf(begun bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.begun != begun {
		return false
	}
	c.closed = true
	return true
}

// settlement returns the op that settles this claim.
func (c *claim) settlement(o operation) op {
	return op{Op: o, Account: c.op.Account, ID: c.op.ID, Claim: c.op.Claim}
}

// errClaimState returns the error of a settlement that the claim's state does not allow.
func errClaimState() error {
	return errkind.New(errkind.Internal, "settlement is invalid in the claim's state")
}

// Complete implements Claim.
func (c *claim) Complete(ctx context.Context, a Answer) error {
	if !c.closeIf(true) {
		return errClaimState()
	}
	o := c.settlement(opComplete)
	o.Answer = a
	return c.client.settle(ctx, o)
}

// Release implements Claim.
func (c *claim) Release(ctx context.Context) error {
	if !c.closeIf(false) {
		return errClaimState()
	}
	return c.client.settle(ctx, c.settlement(opRelease))
}

// MarkLost implements Claim.
func (c *claim) MarkLost(ctx context.Context) error {
	if !c.closeIf(true) {
		return errClaimState()
	}
	return c.client.settle(ctx, c.settlement(opLost))
}
