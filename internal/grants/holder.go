package grants

import (
	"slices"
	"sort"
	"time"

	"eelgrasshollow/internal/errkind"
)

// HolderOptions are the holder's settings.
type HolderOptions struct {
	Name      string        // unique to this incarnation of the entry VM
	Interval  time.Duration // time between two regular reports
	Horizon   time.Duration // time for which a slice should cover the demand
	QueueTime time.Duration // how long a request may wait for tokens
	OwnerWait time.Duration // how long a request may wait while the owner does not respond
	MaxQueue  int           // largest number of waiting requests of one account
	// FallBack is set if a FallbackLimiter decides while the owner is away: requests then do
	// not wait for an owner that is known not to respond.
	FallBack bool
	// Limit returns an account's grant in the configuration that is in force at this VM, or false if that does not
	// have the account; nil if this VM knows no configuration. What the owner last replied may be of an earlier one.
	Limit func(account string) (Limit, bool)
	// Jitter returns a random number in [0, 1) for each refusal; nil for none.
	Jitter func() float64
}

// Holder admits the requests of one VM from its slices. It is a deterministic state machine:
// its inputs are times, requests and the owner's replies, its outputs are admissions and
// reports. It is not safe for concurrent use.
type Holder struct {
	opt      HolderOptions
	seq      uint64 // of the last report
	term     uint64 // of the last owner that replied
	accounts map[string]*heldAccount
}

// heldAccount is the holder's state of one account.
type heldAccount struct {
	current      *slice
	former       *slice // from the former owner, until its lease ends
	configured   Limit  // as of HolderOptions.Limit at the last request
	burst        int64
	known        bool          // the owner has the account in its configuration
	blockedUntil time.Duration // until then the owner refuses needs like blockedNeed
	// blockedNeed is the need that the owner refused, in tokens. If it is 0, requests of
	// any size are blocked.
	blockedNeed  int64
	ownerWaiting bool          // the owner is waiting for a former owner's slices to expire
	uncommitted  bool          // the owner is waiting for the commit of a bound that allows the need
	demand       float64       // estimate, in tokens per second
	requested    int64         // tokens requested since the last report
	usualSize    float64       // moving average of tokens per request
	longSize     float64       // the same over more requests
	lastReport   time.Duration // time of the last report
	queue        []*waiter

	classes        []*heldClass  // most urgent first
	competingUntil time.Duration // see competing
	divided        bool          // the owner divides the account's tokens by class
}

// waiter is a request that waits for tokens.
type waiter struct {
	account      string
	priority     int // of its class
	tokens       int64
	arrived      time.Duration
	deadline     time.Duration   // applies once the owner has replied
	latest       time.Duration   // end of the request's own time
	ownerReplied bool            // the owner has replied since the request arrived, and decided
	result       chan waitResult // buffered, so that sending the one result never blocks
}

// waitResult holds either a reservation or the error for a refused request.
type waitResult struct {
	reservation *reservation
	err         error
}

// NewHolder returns a holder without slices.
func NewHolder(opt HolderOptions) *Holder {
	return &Holder{opt: opt, accounts: map[string]*heldAccount{}}
}

// Reserve admits a request immediately, refuses it, or returns a waiter for it. Exactly one
// result is not nil. Priority 0 is the most urgent. timeLeft is the request's own time.
func (h *Holder) Reserve(now time.Duration, account string, tokens int64, priority int, timeLeft time.Duration) (*reservation, *waiter, error) {
	r, w, err := h.tryReserve(now, account, tokens, priority, timeLeft)
	return r, w, h.withJitter(now, account, err)
}

// tryReserve is Reserve without jitter.
func (h *Holder) tryReserve(now time.Duration, account string, tokens int64, priority int, timeLeft time.Duration) (*reservation, *waiter, error) {
	a := h.account(now, account)
	h.applyConfiguration(account, a)
	priority = a.observe(now, priority, tokens)
	a.requested += tokens
	if a.usualSize == 0 {
		a.usualSize, a.longSize = float64(tokens), float64(tokens)
	}
	a.usualSize += (float64(tokens) - a.usualSize) / usualSizeRequests
	a.longSize += (float64(tokens) - a.longSize) / longSizeRequests
	if err := a.permanentError(account, tokens); err != nil {
		return nil, nil, err
	}
	if a.mayReserve(now, priority) {
		if r := a.reserve(now, tokens); r != nil {
			return r, nil, nil
		}
	}
	latest := now + timeLeft
	deadline := min(now+h.opt.QueueTime, latest)
	if next := a.earliestAsk(priority, tokens); next > deadline {
		return nil, nil, a.rateLimitError(now, account, next-now)
	}
	w := &waiter{
		account: account, priority: priority, tokens: tokens, arrived: now, deadline: deadline, latest: latest, result: make(chan waitResult, 1),
	}
	if !a.enqueue(now, w, h.opt.MaxQueue) {
		return nil, nil, a.rateLimitError(now, account, h.opt.QueueTime)
	}
	return nil, w, nil
}

// applyConfiguration drops the owner's refusals and its burst if they are of another grant than the one in force. The
// account may have been quiet since, so that no reply has renewed them.
func (h *Holder) applyConfiguration(account string, a *heldAccount) {
	if h.opt.Limit == nil {
		return
	}
	limit, ok := h.opt.Limit(account)
	if !ok || limit == a.configured {
		return
	}
	a.configured, a.burst = limit, limit.Burst
	a.blockedUntil, a.blockedNeed = 0, 0
	for _, c := range a.classes {
		c.blockedUntil, c.blockedNeed = 0, 0
	}
}

// permanentError returns the error for a request that can't be admitted however long it
// waits, else nil. The owner may have a newer grant than the configuration in force here, so
// neither alone is a reason.
func (a *heldAccount) permanentError(account string, tokens int64) error {
	burst := max(a.burst, a.configured.Burst)
	switch {
	case !a.known:
		return nil
	case burst == 0:
		return errkind.New(errkind.PermissionDenied, "client account %s has no grant", account)
	case tokens > burst:
		return errkind.New(errkind.TooLarge, "%d tokens are more than the burst of client account %s (%d)", tokens, account, burst)
	}
	return nil
}

// rateLimitError returns the error for a request that may be retried after a time. While the
// owner waits for a former owner's slices to expire, it can't tell whether the account is
// over its rate. The error is then errkind.Stale instead of errkind.RateLimited.
func (a *heldAccount) rateLimitError(now time.Duration, account string, after time.Duration) error {
	a.noteRefusal(now)
	if a.ownerWaiting {
		return errkind.New(errkind.Stale, "the new owner of the grants is waiting for token slices of the former owner to expire").WithRetryAfter(after)
	}
	return errkind.New(errkind.RateLimited, "client account %s is over its rate", account).WithRetryAfter(after)
}

// account returns the state of an account, and adds it if there is none.
func (h *Holder) account(now time.Duration, account string) *heldAccount {
	a := h.accounts[account]
	if a == nil {
		a = &heldAccount{current: &slice{account: account, term: h.term}, lastReport: now}
		h.accounts[account] = a
	}
	return a
}

// reserve reserves tokens from the former owner's slice if it can, because that lease ends
// earlier, else from the current one. It returns nil if neither has enough.
func (a *heldAccount) reserve(now time.Duration, tokens int64) *reservation {
	if a.former != nil {
		if now >= a.former.leaseEnd {
			a.former = nil
		} else if r := a.former.reserve(now, tokens); r != nil {
			return r
		}
	}
	return a.current.reserve(now, tokens)
}

// Settle ends a reservation with the number of tokens used. It returns true if a report
// should be sent immediately.
func (h *Holder) Settle(now time.Duration, r *reservation, used int64) bool {
	r.settle(now, used)
	a := h.accounts[r.slice.account]
	return a != nil && a.current == r.slice && a.needsEarlyReport(h.opt.Horizon)
}

// WaitDeadline returns the time until which a waiter waits. While the owner has not replied
// since the request arrived, as when the owner is changing, or can't grant the tokens until a bound
// is committed, OwnerWait extends the deadline.
func (h *Holder) WaitDeadline(w *waiter) time.Duration {
	if w.ownerReplied {
		return w.deadline
	}
	return max(w.deadline, min(w.arrived+h.opt.OwnerWait, w.latest))
}

// Cancel removes a waiter from its queue.
func (h *Holder) Cancel(w *waiter) {
	a := h.accounts[w.account]
	if a == nil {
		return
	}
	if i := slices.Index(a.queue, w); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// NeedsRefill reports whether a report should be sent now, because requests would be refused
// or delayed if it waited for the regular one.
func (h *Holder) NeedsRefill(now time.Duration, account string) bool {
	a := h.accounts[account]
	if a == nil {
		return false
	}
	if a.needsEarlyReport(h.opt.Horizon) {
		return true
	}
	if len(a.queue) > 0 {
		return slices.ContainsFunc(a.firstWaiters(), func(w *waiter) bool { return now >= a.earliestAsk(w.priority, w.tokens) })
	}
	if now < a.blockedUntil {
		return false
	}
	low := a.current.unspent() < a.targetTokens(h.opt.Horizon)/lowDivisor
	return low && now-a.lastReport >= h.opt.Interval/lowDivisor
}

// lowDivisor sets when a slice is refilled ahead of the regular report: when it holds less
// than 1/lowDivisor of the target, and 1/lowDivisor of the interval has passed since the
// last report.
const lowDivisor = 4

// Report returns the next report, or nil if no account has anything to report.
func (h *Holder) Report(now time.Duration) *SyncRequest {
	req := &SyncRequest{Holder: h.opt.Name, Term: h.term}
	for _, name := range h.names() {
		a := h.accounts[name]
		a.current.expire(now)
		a.updateDemand(now)
		if a.idle() {
			continue
		}
		req.Entries = append(req.Entries, h.buildEntry(now, name, a))
	}
	if len(req.Entries) == 0 {
		return nil
	}
	h.seq++
	req.Seq = h.seq
	return req
}

// buildEntry returns the report of one account. If no request waits and the slice holds more
// than twice its target, the tokens above the target are returned to the owner.
func (h *Holder) buildEntry(now time.Duration, name string, a *heldAccount) SyncEntry {
	target := a.targetTokens(h.opt.Horizon)
	waiting, need := int64(0), int64(0)
	for _, w := range a.queue {
		waiting += w.tokens
	}
	if len(a.queue) > 0 {
		need = max(0, a.queue[0].tokens-a.current.unspent())
		if a.largeRequests() {
			// A part of what the next request needs would be missing at the other VMs.
			waiting = a.queue[0].tokens
		}
	} else if surplus := a.current.unspent() - 2*target; surplus > 0 {
		a.current.returnTokens(now, a.current.unspent()-target)
	}
	return SyncEntry{
		Account: name, Gone: a.current.gone(), Returned: a.current.returned, Refunds: a.current.report(),
		Want: max(0, target+waiting-a.current.unspent()), Need: need, Classes: a.demandByClass(now),
	}
}

// targetTokens returns the number of tokens that the slice should hold for the demand of the
// horizon. It is 0 if a usual request needs more than that, or needs a large part of the
// burst: tokens held by this VM would then be missing at the other VMs. It is also 0 while the
// owner divides the tokens by class, as it then grants none ahead of requests.
func (a *heldAccount) targetTokens(horizon time.Duration) int64 {
	target := a.demand * horizon.Seconds()
	if a.divided || target < a.usualSize || a.largeRequests() {
		return 0
	}
	return int64(target)
}

// largeRequests reports whether a usual request needs a large part of the burst. Such requests are granted
// one at a time.
func (a *heldAccount) largeRequests() bool {
	return float64(a.burst) < largeRequestDivisor*max(a.usualSize, a.longSize)
}

const (
	// usualSizeRequests and longSizeRequests are the numbers of requests over which usualSize and longSize
	// are averaged. After some small requests in a row, usualSize alone takes an account for one without
	// large ones.
	usualSizeRequests = 8
	longSizeRequests  = 32
	// largeRequestDivisor: no tokens are kept ahead for requests of more than
	// 1/largeRequestDivisor of the burst.
	largeRequestDivisor = 8
)

const (
	// demandDecay is the weight of the former demand estimate when a report covers a second
	// or more.
	demandDecay = 0.8
	// minDemand, in tokens per second, is the estimate below which demand counts as 0.
	minDemand = 1
)

// updateDemand updates the demand estimate with the tokens requested since the last report.
func (a *heldAccount) updateDemand(now time.Duration) {
	elapsed := (now - a.lastReport).Seconds()
	if elapsed <= 0 {
		return
	}
	// A report ahead of the regular one covers a short time, so it has less weight.
	decay := demandDecay
	if elapsed < 1 {
		decay = 1 - (1-demandDecay)*elapsed
	}
	a.demand = a.demand*decay + float64(a.requested)/elapsed*(1-decay)
	a.requested, a.lastReport = 0, now
	if a.demand < minDemand {
		a.demand = 0
	}
}

// idle reports whether the account needs no report: it has no demand and no waiter, and the
// owner has acknowledged the return of all tokens and refunds.
func (a *heldAccount) idle() bool {
	return a.demand == 0 && len(a.queue) == 0 && a.current.unspent() == 0 && a.current.pendingRefunds() == 0 && a.current.acknowledged == a.current.gone()
}

// HandleReply applies the owner's reply to a report sent at the given time, and admits or
// refuses waiting requests. It ignores replies of former owners.
func (h *Holder) HandleReply(now, sent time.Duration, req *SyncRequest, reply *SyncReply) {
	if len(reply.Entries) != len(req.Entries) || reply.Term < h.term {
		return
	}
	if reply.Term > h.term {
		h.changeTerm(reply.Term)
	}
	for i, e := range req.Entries {
		a := h.accounts[e.Account]
		if a == nil {
			continue
		}
		counted := e
		if req.Term != reply.Term {
			counted = SyncEntry{} // a new owner counts totals from zero
		}
		a.current.renew(reply.Entries[i], counted, sent+reply.Lease)
		h.applyGrant(now, e.Account, a, e, reply.Entries[i])
	}
}

// changeTerm starts an empty slice for each account. The slices of the former owner may be
// used until their leases end.
func (h *Holder) changeTerm(term uint64) {
	h.term = term
	for _, a := range h.accounts {
		a.former = a.current
		a.current = &slice{account: a.former.account, term: term}
	}
}

// applyGrant records the owner's reply to the report of an account and serves its queue.
func (h *Holder) applyGrant(now time.Duration, name string, a *heldAccount, sent SyncEntry, g SyncGrant) {
	a.known, a.burst = !g.Unknown, g.Burst
	a.blockedUntil, a.blockedNeed, a.ownerWaiting, a.uncommitted = 0, 0, g.Waiting, g.Uncommitted
	switch {
	case g.Unknown:
		a.blockedUntil = now + unknownRetryDelay
	case g.RetryAfter > 0:
		a.blockedUntil, a.blockedNeed = now+g.RetryAfter, sent.Need
	}
	a.applyClasses(now, sent.Classes, g)
	a.ownerReplied(now, h.opt.QueueTime)
	if a.divided {
		a.serveClasses(now, name, g.Classes, h)
	} else {
		a.serveQueue(now, name, h)
	}
}

// unknownRetryDelay is the time after which an account is reported again that the owner
// doesn't have in its configuration, as when the owner receives the account later.
const unknownRetryDelay = 20 * time.Millisecond

// smallNeedDivisor: requests of at most 1/smallNeedDivisor of a refused need are not blocked
// by the refusal, because the bucket may well hold enough for them.
const smallNeedDivisor = 16

// earliestAsk returns the earliest time at which asking the owner for the tokens may succeed.
// It is 0 or in the past if the owner may be asked now.
func (a *heldAccount) earliestAsk(priority int, tokens int64) time.Duration {
	blockedUntil, blockedNeed := a.blockedUntil, a.blockedNeed
	if a.divided && a.known {
		c := a.class(priority)
		blockedUntil, blockedNeed = c.blockedUntil, c.blockedNeed
	}
	if tokens*smallNeedDivisor <= blockedNeed {
		return 0
	}
	return blockedUntil
}

// timeoutError returns the error for a request whose waiting time has ended.
func (a *heldAccount) timeoutError(now time.Duration, name string, after time.Duration) error {
	if !a.known {
		return errkind.New(errkind.Stale, "client account %s is not in the configuration of the grant owner", name).WithRetryAfter(after)
	}
	return a.rateLimitError(now, name, after)
}

// needsEarlyReport reports whether a large part of the burst has been spent or refunded since
// the last report, or is held by this VM without demand. The owner counts these tokens as
// outstanding or spent until they are reported, so it can't grant them to other VMs.
func (a *heldAccount) needsEarlyReport(horizon time.Duration) bool {
	large := a.burst / earlyReportDivisor
	if a.burst == 0 || len(a.queue) > 0 {
		return false
	}
	return a.current.gone()-a.current.acknowledged > large || a.current.pendingRefunds() > large ||
		a.current.unspent() > large+2*a.targetTokens(horizon)
}

// earlyReportDivisor sets the part of the burst, 1/earlyReportDivisor, above which a change
// is reported ahead of the regular report.
const earlyReportDivisor = 8

// NextReport returns the time at which a report is due ahead of the regular one, or 0 if
// none is. That is the earliest retry time that the owner returned for a waiting request. It
// is 1 ns, a time in the past, if a report is due now: an account needs an early report, the
// owner has not replied since the first waiter arrived, or the owner may be asked now for the
// first waiter's tokens.
func (h *Holder) NextReport() time.Duration {
	next := time.Duration(0)
	for _, a := range h.accounts {
		if a.needsEarlyReport(h.opt.Horizon) || slices.ContainsFunc(a.firstWaiters(), func(w *waiter) bool { return !w.ownerReplied && !a.undecided(w.priority) }) {
			return 1
		}
		if a.blockedUntil == 0 && !a.divided && !a.largeRequests() {
			continue
		}
		for _, w := range a.firstWaiters() {
			ask := a.earliestAsk(w.priority, w.tokens)
			if ask == 0 {
				return 1
			}
			if next == 0 || ask < next {
				next = ask
			}
		}
	}
	return next
}

// ReturnAll marks all unspent tokens as returned, for the last report before a graceful stop.
func (h *Holder) ReturnAll(now time.Duration) {
	for _, a := range h.accounts {
		a.demand, a.requested = 0, 0
		a.current.returnTokens(now, a.current.unspent())
	}
}

// names returns the names of all accounts, sorted.
func (h *Holder) names() []string {
	all := make([]string, 0, len(h.accounts))
	for n := range h.accounts {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}
