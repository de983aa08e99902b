package grants

import (
	"sort"
	"time"

	"eelgrasshollow/internal/grants/urgency"
)

// OwnerOptions are the owner's settings.
type OwnerOptions struct {
	Lease time.Duration // how long a holder may use a slice
	// Tolerance is what accounts may get beyond their grants; see advance.go. With the zero
	// value, no account ever exceeds its grant.
	Tolerance Tolerance
}

// Owner keeps the buckets of client accounts for one term. It is a deterministic state
// machine: its inputs are times and messages, its outputs are replies and durable bounds.
// It is not safe for concurrent use.
//
// Invariants, for each account:
//   - The sum of the balance, the outstanding slices and the slices that a former owner
//     may have outstanding grows only by the rate and by refunds, up to the burst.
//   - The balance never falls below the Floor, and the outstanding slices never exceed
//     the Cap, of any durable bound that may be in force.
type Owner struct {
	term     uint64
	opt      OwnerOptions
	accounts map[string]*account
	holders  map[string]*holderState
}

// holderState is the owner's record of one incarnation of a holder.
type holderState struct {
	seq         uint64                 // highest sequence number received
	lastContact time.Duration          // time of the last report
	slices      map[string]*ownedSlice // by account
}

// ownedSlice is the owner's record of the tokens of one account that it granted to one
// holder. The counts are totals in tokens.
type ownedSlice struct {
	granted  int64
	gone     int64 // spent, returned or forfeited
	returned int64
	refunded map[int64]int64 // by epoch
	// requested is the reported total of requested tokens by priority.
	requested map[int]int64
	expires   time.Duration // end of the lease as the owner counts it
}

// outstanding returns the tokens that the holder may still admit or has not reported yet.
func (s *ownedSlice) outstanding() int64 { return s.granted - s.gone }

// account is the bucket of one client account.
type account struct {
	name         string
	limit        Limit
	removed      bool // the account is not in the configuration
	window       windowBucket
	outstanding  int64         // tokens in slices of all holders
	inherited    int64         // tokens that a former owner may have outstanding
	inheritedEnd time.Duration // time by which their leases have ended
	bounds       accountBounds
	largeUntil   time.Duration // until then the cap is raised for a large request that waits
	classes      urgency.Allocator
}

// NewOwner returns the owner for a term, without accounts.
func NewOwner(term uint64, opt OwnerOptions) *Owner {
	return &Owner{term: term, opt: opt, accounts: map[string]*account{}, holders: map[string]*holderState{}}
}

// Term returns the owner's term.
func (o *Owner) Term() uint64 { return o.term }

// SetLimit adds an account or changes its grant. For an account that is new to this
// owner, bound is the last durable bound in the log, or nil if there is none, and advance
// the durable advance to the account. They are ignored for other accounts.
func (o *Owner) SetLimit(now time.Duration, name string, limit Limit, bound *DurableBound, advance int64) {
	if a := o.accounts[name]; a != nil {
		o.advance(now, a)
		a.limit, a.removed = limit, false
		return
	}
	a := &account{name: name, limit: limit, window: newWindowBucket(now, 0)}
	if bound != nil {
		a.bounds.committed = *bound
		a.bounds.hasCommitted = true
		a.inherited = bound.Cap - advance
		a.inheritedEnd = now + OwnerLease(o.opt.Lease)
		a.window = newWindowBucket(now, limit.Burst-bound.Cap-bound.Floor)
	}
	o.accounts[name] = a
}

// RemoveLimit removes an account's grant. The bucket is kept, so that an account that is
// removed and added again doesn't get a full burst.
func (o *Owner) RemoveLimit(now time.Duration, name string) {
	if o.accounts[name] != nil {
		o.SetLimit(now, name, Limit{}, nil, 0)
		o.accounts[name].removed = true
	}
}

// Sync counts a holder's report and grants tokens.
func (o *Owner) Sync(now time.Duration, req *SyncRequest) *SyncReply {
	reply := &SyncReply{Term: o.term, Lease: o.opt.Lease, Entries: make([]SyncGrant, len(req.Entries))}
	h := o.holder(req.Holder)
	outdated := req.Seq <= h.seq // repeated or reordered: no lease is renewed, no token granted
	h.seq = max(h.seq, req.Seq)
	h.lastContact = now
	for i, e := range req.Entries {
		if req.Term != o.term {
			e.Gone, e.Returned = 0, 0
		}
		a := o.accounts[e.Account]
		if a == nil {
			reply.Entries[i] = SyncGrant{Unknown: true}
			continue
		}
		o.advance(now, a)
		reply.Entries[i] = o.syncAccount(now, a, h, e, outdated)
	}
	return reply
}

// holder returns the record of a holder, and adds it if there is none.
func (o *Owner) holder(name string) *holderState {
	h := o.holders[name]
	if h == nil {
		h = &holderState{slices: map[string]*ownedSlice{}}
		o.holders[name] = h
	}
	return h
}

// syncAccount counts the report of one account. Unless the report is outdated, it also
// grants tokens and renews the lease.
func (o *Owner) syncAccount(now time.Duration, a *account, h *holderState, e SyncEntry, outdated bool) SyncGrant {
	s := h.slices[a.name]
	if s == nil {
		// A record that Tick removed had no outstanding tokens, so the totals continue from
		// the reported ones.
		s = &ownedSlice{granted: e.Gone, gone: e.Gone, returned: e.Returned}
		h.slices[a.name] = s
	}
	o.expire(now, a, s)
	a.countReport(s, e)
	a.countRefunds(s, e.Refunds)
	if !outdated {
		a.observeClasses(now, s, e)
	}
	reply := SyncGrant{Epoch: a.window.currentEpoch(), Burst: a.limit.Burst, Unknown: a.removed, Waiting: a.inherited > 0}
	if !outdated {
		if a.classes.Active(now) {
			o.grantClasses(now, a, s, e, &reply)
		} else {
			reply.RetryAfter, reply.Uncommitted = o.grant(now, a, s, e)
		}
		s.expires = now + OwnerLease(o.opt.Lease)
	}
	reply.Granted, reply.Gone, reply.ByClass = s.granted, s.gone, a.classes.Pressed(now)
	return reply
}

// countReport removes the tokens that the holder reports as gone from the outstanding ones.
// Returned tokens go back to the bucket, unless the slice expired before: its tokens have
// then been counted as spent.
func (a *account) countReport(s *ownedSlice, e SyncEntry) {
	gone := min(max(s.gone, e.Gone), s.granted)
	freed := gone - s.gone
	returned := min(max(0, e.Returned-s.returned), freed)
	s.gone, s.returned = gone, max(s.returned, e.Returned)
	a.outstanding -= freed
	a.window.add(freed - returned)
}

// countRefunds refunds tokens that requests did not use. Only the part of each total that
// has not been counted before is refunded, so a repeated report does no harm.
func (a *account) countRefunds(s *ownedSlice, refunds []Refund) {
	for _, r := range refunds {
		more := r.Total - s.refunded[r.Epoch]
		if more <= 0 {
			continue
		}
		if s.refunded == nil {
			s.refunded = map[int64]int64{}
		}
		s.refunded[r.Epoch] = r.Total
		a.window.refund(r.Epoch, more)
	}
}

// pruneRefunds drops refund totals of epochs older than every interval of the bucket. A
// refund in them has no effect any more.
func (a *account) pruneRefunds(s *ownedSlice) {
	for epoch := range s.refunded {
		if epoch < a.window.intervals[0].epoch {
			delete(s.refunded, epoch)
		}
	}
}

// balance returns the tokens that are neither counted as spent nor in any slice. It may be
// negative after the burst was lowered.
func (a *account) balance() int64 {
	return a.limit.Burst - a.window.maxLevel() - a.outstanding - a.inherited
}

// grant adds tokens to a slice. It grants at least e.Need or nothing. If it can't
// meet the need, it returns the results of refuse, else 0.
func (o *Owner) grant(now time.Duration, a *account, s *ownedSlice, e SyncEntry) (retryAfter time.Duration, uncommitted bool) {
	want := max(e.Want, e.Need)
	if want <= 0 {
		return 0, false
	}
	free := max(0, a.grantable())
	if free < e.Need {
		return o.refuse(now, a, e.Need, free)
	}
	// Beyond its need, a holder gets at most half of the surplus, so that tokens remain
	// for the other holders.
	surplus := min(free, a.balance()-a.limit.Burst/waitingReserveDivisor)
	granted := min(want, max(e.Need, surplus/2))
	if granted <= 0 {
		return 0, false
	}
	s.granted += granted
	a.outstanding += granted
	return 0, false
}

// waitingReserveDivisor sets the part of the burst, 1/waitingReserveDivisor, that is
// reserved for waiting requests.
const waitingReserveDivisor = 4

// grantable returns the tokens that may be granted under every durable bound that may be in
// force. It may be negative.
func (a *account) grantable() int64 {
	bound := a.bounds.strictest()
	return min(a.balance()-bound.Floor, bound.Cap-a.outstanding-a.inherited)
}

// refuse returns the time after which a need can be met. If the balance covers the need
// and only a durable bound prevents the grant, refuse makes desiredBound raise the cap for
// the length of a lease, and reports that the bound is not committed yet.
func (o *Owner) refuse(now time.Duration, a *account, need, free int64) (retryAfter time.Duration, uncommitted bool) {
	if a.balance() < need {
		a.classes.Short(now)
		return refillTime(need-a.balance(), a.limit.Rate), false
	}
	a.largeUntil = now + o.opt.Lease
	if a.bounds.strictest() == a.desiredBound(now) {
		return refillTime(need-free, a.limit.Rate), false
	}
	if len(a.bounds.proposed) == 0 {
		return minRetryAfter, true
	}
	inFlight := now - a.bounds.lastProposal
	return min(max(inFlight/commitRetryDivisor, minRetryAfter), maxCommitRetryAfter), true
}

const (
	// While a commit takes long, holders ask again after 1/commitRetryDivisor of the time that it has
	// taken, and after maxCommitRetryAfter at most, instead of every minRetryAfter.
	commitRetryDivisor  = 4
	maxCommitRetryAfter = 100 * time.Millisecond
)

// advance refills the bucket for the time that has passed, and counts the slices of a former
// owner as spent once their leases have ended.
func (o *Owner) advance(now time.Duration, a *account) {
	a.window.drain(now, a.limit.Rate)
	if a.inherited > 0 && now >= a.inheritedEnd {
		a.window.add(a.inherited)
		a.inherited = 0
	}
}

// expire counts the outstanding tokens of a slice as spent once its lease has ended.
func (o *Owner) expire(now time.Duration, a *account, s *ownedSlice) {
	if now < s.expires {
		return
	}
	a.outstanding -= s.outstanding()
	a.window.add(s.outstanding())
	s.gone = s.granted
}

// Tick expires slices whose lease has ended, and removes holders that have no slices and
// have not reported for holderRetention.
func (o *Owner) Tick(now time.Duration) {
	for _, a := range o.accounts {
		o.advance(now, a)
	}
	for name, h := range o.holders {
		for accountName, s := range h.slices {
			o.expire(now, o.accounts[accountName], s)
			o.accounts[accountName].pruneRefunds(s)
			if s.outstanding() == 0 && now >= s.expires && len(s.refunded) == 0 {
				delete(h.slices, accountName)
			}
		}
		if now-h.lastContact > holderRetention && len(h.slices) == 0 {
			delete(o.holders, name)
		}
	}
}

// holderRetention is how long the record of a holder without slices is kept.
const holderRetention = time.Minute

// names returns the names of all accounts, sorted.
func (o *Owner) names() []string {
	all := make([]string, 0, len(o.accounts))
	for n := range o.accounts {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}
