package grants

import (
	"slices"
	"sort"
	"time"

	"eelgrasshollow/internal/errkind"
)

// HolderOptions are the holder's settings.
type HolderOptions struct {
	Name      string        // VM and run, never used twice
	Interval  time.Duration // between two reports
	Horizon   time.Duration // demand that a slice should last for
	QueueTime time.Duration // how long a request may wait for tokens
	OwnerWait time.Duration // how long it may wait while the owner does not answer
	MaxQueue  int           // requests of one account that may wait
}

// Holder admits requests of one VM from its slices. It is a plain state machine: time,
// requests and the owner's answers in, admissions and reports out. It is not safe for
// concurrent use.
type Holder struct {
	opt      HolderOptions
	seq      uint64
	term     uint64
	accounts map[string]*holding
}

// holding is what the holder has of one account.
type holding struct {
	current *slice
	former  *slice // of the last owner, until its lease ends
	burst   int64
	known   bool          // the owner has answered for this account
	blocked time.Duration // the owner has nothing before then
	// blockedNeed is the need that the owner refused; 0 blocks whatever it is.
	blockedNeed int64
	waiting     bool          // the owner waits a former owner's slices out
	demand      float64       // tokens a second
	asked       int64         // tokens asked for since the last report
	size        float64       // tokens of a usual request
	since       time.Duration // the last report
	queue       []*waiter
}

// waiter is a request that waits for tokens.
type waiter struct {
	account  string
	tokens   int64
	since    time.Duration
	deadline time.Duration // with an owner that answers
	heard    bool          // the owner answered since it came
	result   chan outcome  // takes one outcome without blocking
}

type outcome struct {
	reservation *reservation
	err         error
}

// NewHolder returns a holder without slices.
func NewHolder(opt HolderOptions) *Holder {
	return &Holder{opt: opt, accounts: map[string]*holding{}}
}

// Reserve admits a request at once, or refuses it, or returns a waiter for it.
func (h *Holder) Reserve(now time.Duration, account string, tokens int64) (*reservation, *waiter, error) {
	a := h.holding(now, account)
	a.asked += tokens
	if a.size == 0 {
		a.size = float64(tokens)
	}
	a.size += (float64(tokens) - a.size) / sizeMemory
	if err := a.check(account, tokens); err != nil {
		return nil, nil, err
	}
	if len(a.queue) == 0 {
		if r := a.reserve(now, tokens); r != nil {
			return r, nil, nil
		}
	}
	deadline := now + h.opt.QueueTime
	if until := a.blockedFor(tokens); until > deadline {
		return nil, nil, a.limited(account, until-now)
	}
	if len(a.queue) >= h.opt.MaxQueue {
		return nil, nil, a.limited(account, h.opt.QueueTime)
	}
	w := &waiter{account: account, tokens: tokens, since: now, deadline: deadline, result: make(chan outcome, 1)}
	a.queue = append(a.queue, w)
	return nil, w, nil
}

// check refuses what can't be admitted however long it waits.
func (a *holding) check(account string, tokens int64) error {
	switch {
	case !a.known:
		return nil
	case a.burst == 0:
		return errkind.New(errkind.PermissionDenied, "client account %s has no grant", account)
	case tokens > a.burst:
		return errkind.New(errkind.TooLarge, "%d tokens are more than the burst of client account %s (%d)", tokens, account, a.burst)
	}
	return nil
}

// limited refuses for now. While a former owner's slices are waited out nobody knows
// whether the account is over its rate, so that is not said.
func (a *holding) limited(account string, after time.Duration) error {
	if a.waiting {
		return errkind.New(errkind.Stale, "the new owner of the grants waits for slices of the former one").WithRetryAfter(after)
	}
	return errkind.New(errkind.RateLimited, "client account %s is over its rate", account).WithRetryAfter(after)
}

func (h *Holder) holding(now time.Duration, account string) *holding {
	a := h.accounts[account]
	if a == nil {
		a = &holding{current: &slice{account: account, term: h.term}, since: now}
		h.accounts[account] = a
	}
	return a
}

// reserve takes tokens from the former owner's slice first, as that ends earlier.
func (a *holding) reserve(now time.Duration, tokens int64) *reservation {
	if a.former != nil {
		if now >= a.former.end {
			a.former = nil
		} else if r := a.former.reserve(now, tokens); r != nil {
			return r
		}
	}
	return a.current.reserve(now, tokens)
}

// Settle ends a reservation with the tokens used, and reports whether that is worth a
// report at once.
func (h *Holder) Settle(now time.Duration, r *reservation, used int64) bool {
	r.settle(now, used)
	a := h.accounts[r.slice.account]
	return a != nil && a.current == r.slice && a.urgent(h.opt.Horizon)
}

// WaitDeadline returns how long a waiter waits: beyond its deadline while the owner, which may
// be changing, has not answered since it came.
func (h *Holder) WaitDeadline(w *waiter) time.Duration {
	if w.heard {
		return w.deadline
	}
	return max(w.deadline, w.since+h.opt.OwnerWait)
}

// Cancel takes a waiter out of its queue.
func (h *Holder) Cancel(w *waiter) {
	a := h.accounts[w.account]
	if a == nil {
		return
	}
	if i := slices.Index(a.queue, w); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// NeedsRefill reports whether waiting for the next regular report would cost requests.
func (h *Holder) NeedsRefill(now time.Duration, account string) bool {
	a := h.accounts[account]
	if a == nil {
		return false
	}
	if a.urgent(h.opt.Horizon) {
		return true
	}
	if len(a.queue) > 0 {
		return now >= a.blockedFor(a.queue[0].tokens)
	}
	if now < a.blocked {
		return false
	}
	low := a.current.unspent() < a.target(h.opt.Horizon)/lowShare
	return low && now-a.since >= h.opt.Interval/lowShare
}

// lowShare: below this part of what the horizon asks for, a slice is filled up ahead of the next report.
const lowShare = 4

// Report builds the next message, or nil when no account is in use.
func (h *Holder) Report(now time.Duration) *SyncRequest {
	req := &SyncRequest{Holder: h.opt.Name, Term: h.term}
	for _, name := range h.names() {
		a := h.accounts[name]
		a.current.expire(now)
		a.measure(now)
		if a.idle() {
			continue
		}
		req.Entries = append(req.Entries, h.entry(now, name, a))
	}
	if len(req.Entries) == 0 {
		return nil
	}
	h.seq++
	req.Seq = h.seq
	return req
}

// entry reports one account and gives back what demand does not ask for.
func (h *Holder) entry(now time.Duration, name string, a *holding) SyncEntry {
	target := a.target(h.opt.Horizon)
	waiting, need := int64(0), int64(0)
	for _, w := range a.queue {
		waiting += w.tokens
	}
	if len(a.queue) > 0 {
		need = max(0, a.queue[0].tokens-a.current.unspent())
	} else if spare := a.current.unspent() - 2*target; spare > 0 {
		a.current.giveBack(now, a.current.unspent()-target)
	}
	return SyncEntry{
		Account: name, Gone: a.current.gone(), Returned: a.current.returned, Refunds: a.current.report(),
		Want: max(0, target+waiting-a.current.unspent()), Need: need,
	}
}

// target is what the slice should hold ahead of need. Where a usual request takes more
// than that, or a large part of the burst, tokens held here would only be missed
// elsewhere.
func (a *holding) target(horizon time.Duration) int64 {
	t := a.demand * horizon.Seconds()
	if t < a.size || float64(a.burst) < largeShare*a.size {
		return 0
	}
	return int64(t)
}

const (
	sizeMemory = 8 // requests that the usual size is taken over
	largeShare = 8 // a request of more than this part of the burst is not provided for
)

// Weights of the demand's estimate: it rises at once and falls slowly.
const (
	fall     = 0.8
	noDemand = 1 // tokens a second
)

func (a *holding) measure(now time.Duration) {
	elapsed := (now - a.since).Seconds()
	if elapsed <= 0 {
		return
	}
	// A report ahead of the regular one measures over a short time; weigh it so.
	keep := fall
	if elapsed < 1 {
		keep = 1 - (1-fall)*elapsed
	}
	a.demand = a.demand*keep + float64(a.asked)/elapsed*(1-keep)
	a.asked, a.since = 0, now
	if a.demand < noDemand {
		a.demand = 0
	}
}

// idle says that nothing is left to report for the account: all is given back and
// the owner knows.
func (a *holding) idle() bool {
	return a.demand == 0 && len(a.queue) == 0 && a.current.unspent() == 0 && a.current.pending() == 0 && a.current.reported == a.current.gone()
}

// HandleReply takes the owner's answer to a report sent at the given time, and serves or
// refuses those who wait.
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
		told := e
		if req.Term != reply.Term {
			told = SyncEntry{} // this owner counts from zero
		}
		a.current.renew(reply.Entries[i], told, sent+reply.Lease)
		h.take(now, e.Account, a, e.Need, reply.Entries[i])
	}
}

// changeTerm sets the slices of the former owner aside; they end with their leases.
func (h *Holder) changeTerm(term uint64) {
	h.term = term
	for _, a := range h.accounts {
		a.former = a.current
		a.current = &slice{account: a.former.account, term: term}
	}
}

func (h *Holder) take(now time.Duration, name string, a *holding, need int64, g SyncGrant) {
	a.known, a.burst = !g.Unknown, g.Burst
	a.blocked, a.blockedNeed, a.waiting = 0, 0, g.Waiting
	switch {
	case g.Unknown:
		a.blocked = now + askUnknown
	case g.RetryAfter > 0:
		a.blocked, a.blockedNeed = now+g.RetryAfter, need
	}
	a.serve(now, name, h.opt.QueueTime)
}

// askUnknown is when to ask again for an account that the owner does not know.
const askUnknown = 20 * time.Millisecond

// smallShare: a request of this part of a refused need, or less, is asked for all the
// same, as the bucket may well hold so little.
const smallShare = 16

// blockedFor is the time before which the owner need not be asked for the tokens.
func (a *holding) blockedFor(tokens int64) time.Duration {
	if tokens*smallShare <= a.blockedNeed {
		return 0
	}
	return a.blocked
}

// late is the refusal of a request whose time to wait is over.
func (a *holding) late(name string, after time.Duration) error {
	if !a.known {
		return errkind.New(errkind.Stale, "the owner of the grants does not know client account %s", name).WithRetryAfter(after)
	}
	return a.limited(name, after)
}

// TimeoutError is the refusal of a waiter whose deadline has passed.
func (h *Holder) TimeoutError(w *waiter) error {
	return h.accounts[w.account].late(w.account, h.opt.QueueTime)
}

// serve admits those who wait in their order, and refuses those for whom waiting is
// in vain. Who waited for an owner that changed has the usual time from its first answer on.
func (a *holding) serve(now time.Duration, name string, queue time.Duration) {
	for _, w := range a.queue {
		if !w.heard {
			w.heard, w.deadline = true, now+queue
		}
	}
	for len(a.queue) > 0 {
		w := a.queue[0]
		err := a.check(name, w.tokens)
		if err == nil {
			if r := a.reserve(now, w.tokens); r != nil {
				a.pop(outcome{reservation: r})
				continue
			}
			until := a.blockedFor(w.tokens)
			if until <= w.deadline && now < w.deadline {
				return
			}
			err = a.late(name, max(until-now, minWait))
		}
		a.pop(outcome{err: err})
	}
}

func (a *holding) pop(o outcome) {
	a.queue[0].result <- o
	a.queue = a.queue[1:]
}

// urgent says that a large part of the burst was spent since the last report, or was
// refunded and is not needed here. The owner counts both as outstanding, which keeps the
// bucket from its refill.
func (a *holding) urgent(horizon time.Duration) bool {
	large := a.burst / reportShare
	if a.burst == 0 || len(a.queue) > 0 {
		return false
	}
	return a.current.gone()-a.current.reported > large || a.current.pending() > large ||
		a.current.unspent() > large+2*a.target(horizon)
}

// reportShare of the burst is reported ahead of the regular report once it is spent.
const reportShare = 8

// NextReport returns the earliest time at which the owner said to come back for
// someone who waits, or 0. It is in the past when much
// was spent unreported, or someone waits who has no answer yet.
func (h *Holder) NextReport() time.Duration {
	next := time.Duration(0)
	for _, a := range h.accounts {
		if a.urgent(h.opt.Horizon) || len(a.queue) > 0 && !a.queue[0].heard {
			return 1
		}
		if len(a.queue) == 0 || a.blocked == 0 {
			continue
		}
		until := a.blockedFor(a.queue[0].tokens)
		if until == 0 {
			return 1
		}
		if next == 0 || until < next {
			next = until
		}
	}
	return next
}

// ReturnAll returns every unspent token, for a graceful stop.
func (h *Holder) ReturnAll(now time.Duration) {
	for _, a := range h.accounts {
		a.demand, a.asked = 0, 0
		a.current.giveBack(now, a.current.unspent())
	}
}

func (h *Holder) names() []string {
	all := make([]string, 0, len(h.accounts))
	for n := range h.accounts {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}
