package grants

import (
	"slices"
	"time"

	"eelgrasshollow/internal/dryrun"
	"eelgrasshollow/internal/errkind"
)

// DryRunner tells what Reserve would do. HolderModule and FallbackLimiter implement it.
type DryRunner interface {
	// DryRun returns what Reserve would do with a request now that has timeLeft. It changes nothing and calls no
	// owner. err is the error of a request that would be refused at once.
	DryRun(account string, tokens int64, priority int, timeLeft time.Duration) (g dryrun.Grant, err error)
}

// DryRun implements DryRunner.
func (m *HolderModule) DryRun(account string, tokens int64, priority int, timeLeft time.Duration) (dryrun.Grant, error) {
	return m.client.DryRun(account, tokens, priority, timeLeft)
}

// DryRun implements DryRunner.
func (c *Client) DryRun(account string, tokens int64, priority int, timeLeft time.Duration) (dryrun.Grant, error) {
	if timeLeft <= 0 {
		timeLeft = noDeadline
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	g, err := c.holder.DryRun(now, account, tokens, priority, timeLeft)
	if g.Verdict == dryrun.Wait && c.ownerAway(now) {
		g.Verdict = dryrun.Refuse
		return g, errkind.New(errkind.NoQuorum, "the owner of the grants does not respond").WithRetryAfter(c.opt.Interval)
	}
	return g, err
}

// DryRun returns what Reserve would do, and why. It reserves on a copy of the account.
func (h *Holder) DryRun(now time.Duration, account string, tokens int64, priority int, timeLeft time.Duration) (dryrun.Grant, error) {
	shadow := &Holder{opt: h.opt, term: h.term, accounts: map[string]*heldAccount{}}
	shadow.opt.Jitter = nil // the time to retry after is the least one
	if a := h.accounts[account]; a != nil {
		shadow.accounts[account] = a.shadow()
	}
	a := shadow.account(now, account)
	g := dryrun.Grant{Tokens: tokens, Held: a.usableTokens(now), Verdict: dryrun.Send}
	_, w, err := shadow.Reserve(now, account, tokens, priority, timeLeft)
	switch {
	case err != nil:
		g.Verdict, g.Reason = dryrun.Refuse, errkind.Of(err).Text
	case w != nil && len(a.queue) > 1:
		g.Verdict, g.Reason = dryrun.Wait, "other requests of the client account wait for tokens"
	case w != nil:
		g.Verdict, g.Reason = dryrun.Wait, "this VM holds too few tokens of the client account and asks the owner of the grants, which decides"
	}
	return g, err
}

// shadow returns a copy on which a reservation leaves a unchanged.
func (a *heldAccount) shadow() *heldAccount {
	copied := *a
	current := *a.current
	copied.current = &current
	if a.former != nil {
		former := *a.former
		copied.former = &former
	}
	copied.queue, copied.classes = slices.Clone(a.queue), slices.Clone(a.classes)
	for i, w := range copied.queue {
		waiting := *w
		waiting.result = make(chan waitResult, 1)
		copied.queue[i] = &waiting
	}
	for i, c := range copied.classes {
		class := *c
		copied.classes[i] = &class
	}
	return &copied
}

// DryRun implements DryRunner. While the owner is away, it tells what is left of the fallback allowance.
func (f *FallbackLimiter) DryRun(account string, tokens int64, priority int, timeLeft time.Duration) (dryrun.Grant, error) {
	inner, ok := f.limiter.(DryRunner)
	if !ok {
		return dryrun.Grant{Tokens: tokens, Verdict: dryrun.Wait, Reason: "not known before the request"}, nil
	}
	g, err := inner.DryRun(account, tokens, priority, timeLeft)
	if err == nil || !ownerUnreachable(err) {
		return g, err
	}
	g.Held, g.Verdict, g.Reason = f.left(account), dryrun.Send, "the owner of the grants does not respond; the fallback allowance of this VM covers the request"
	if tokens <= g.Held {
		return g, nil
	}
	g.Verdict, g.Reason = dryrun.Refuse, "the owner of the grants is unreachable and the fallback allowance is used up"
	return g, errkind.New(errkind.RateLimited, "%s", g.Reason).WithRetryAfter(f.tolerance.Window / 8)
}

// left returns the tokens of the account's fallback allowance that are left, for all priorities together.
func (f *FallbackLimiter) left(account string) int64 {
	limit, known := f.limit(account)
	vms, counted := f.vmCount()
	if !known || !counted || f.tolerance.Window <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.buckets[account]; b != nil {
		return int64(b.limiter.TokensAt(f.now()))
	}
	return int64(fallbackBurstShare * fallbackShare * f.tolerance.tokens(limit) / float64(max(vms, 1)))
}
