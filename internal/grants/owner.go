package grants

import (
	"sort"
	"time"
)

// OwnerOptions are the owner's settings.
type OwnerOptions struct {
	Lease time.Duration // how long a holder may use a slice
}

// Owner keeps the buckets of client accounts for one term. It is a plain state
// machine: time and messages in, answers and promises out. It is not safe for
// concurrent use.
//
// Invariant: for each account, level + outstanding slices + what a former owner may
// have outstanding grows by the rate alone, up to the burst; and the level never
// goes below, the outstanding slices never above what is promised in the log.
type Owner struct {
	term     uint64
	opt      OwnerOptions
	accounts map[string]*account
	holders  map[string]*holderState
}

// holderState is the owner's record of one holder's run.
type holderState struct {
	seq    uint64
	seen   time.Duration
	slices map[string]*ownedSlice
}

// ownedSlice is what one holder has of one account.
type ownedSlice struct {
	granted  int64
	gone     int64
	returned int64
	refunded map[int64]int64 // by epoch
	expires  time.Duration
}

func (s *ownedSlice) outstanding() int64 { return s.granted - s.gone }

// account is the bucket of one client account.
type account struct {
	name        string
	limit       Limit
	removed     bool // it is not in the configuration
	fills       fills
	outstanding int64 // over all holders
	unknown     int64 // what a former owner may have outstanding
	unknownEnd  time.Duration
	promises    promises
	largeUntil  time.Duration // a request of more than the usual slices waits
}

// NewOwner returns the owner for a term, without accounts.
func NewOwner(term uint64, opt OwnerOptions) *Owner {
	return &Owner{term: term, opt: opt, accounts: map[string]*account{}, holders: map[string]*holderState{}}
}

// Term returns the owner's term.
func (o *Owner) Term() uint64 { return o.term }

// SetLimit adds an account or changes its grant. For an account that is new to this
// owner, promised is the last promise in the log, or nil if there never was one.
func (o *Owner) SetLimit(now time.Duration, name string, limit Limit, promised *DurableBound) {
	if a := o.accounts[name]; a != nil {
		o.advance(now, a)
		a.limit, a.removed = limit, false
		return
	}
	a := &account{name: name, limit: limit, fills: newFills(now, 0)}
	if promised != nil {
		a.promises.committed = *promised
		a.promises.any = true
		a.unknown = promised.Cap
		a.unknownEnd = now + OwnerLease(o.opt.Lease)
		a.fills = newFills(now, limit.Burst-a.unknown-promised.Floor)
	}
	o.accounts[name] = a
}

// RemoveLimit takes an account's grant away. Its bucket is kept, so that an account
// that comes back finds no fresh burst.
func (o *Owner) RemoveLimit(now time.Duration, name string) {
	if o.accounts[name] != nil {
		o.SetLimit(now, name, Limit{}, nil)
		o.accounts[name].removed = true
	}
}

// Sync takes a holder's report and grants slices.
func (o *Owner) Sync(now time.Duration, req *SyncRequest) *SyncReply {
	reply := &SyncReply{Term: o.term, Lease: o.opt.Lease, Entries: make([]SyncGrant, len(req.Entries))}
	h := o.holder(req.Holder)
	late := req.Seq <= h.seq // repeated or overtaken: nothing is renewed or granted
	h.seq = max(h.seq, req.Seq)
	h.seen = now
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
		reply.Entries[i] = o.syncOne(now, a, h, e, late)
	}
	return reply
}

func (o *Owner) holder(name string) *holderState {
	h := o.holders[name]
	if h == nil {
		h = &holderState{slices: map[string]*ownedSlice{}}
		o.holders[name] = h
	}
	return h
}

func (o *Owner) syncOne(now time.Duration, a *account, h *holderState, e SyncEntry, late bool) SyncGrant {
	s := h.slices[a.name]
	if s == nil {
		// Nothing of an earlier record is outstanding, so its totals start from here.
		s = &ownedSlice{granted: e.Gone, gone: e.Gone, returned: e.Returned}
		h.slices[a.name] = s
	}
	o.expire(now, a, s)
	a.report(s, e)
	a.refund(s, e.Refunds)
	var retry time.Duration
	if !late {
		retry = o.grant(now, a, s, e)
		s.expires = now + OwnerLease(o.opt.Lease)
	}
	return SyncGrant{
		Granted: s.granted, Gone: s.gone, Epoch: a.fills.epoch(), Burst: a.limit.Burst, Unknown: a.removed, RetryAfter: retry,
		Waiting: a.unknown > 0,
	}
}

// report counts what the holder says is gone; what it returned goes back to the
// bucket, unless the slice has run out before and was counted as spent.
func (a *account) report(s *ownedSlice, e SyncEntry) {
	gone := min(max(s.gone, e.Gone), s.granted)
	freed := gone - s.gone
	back := min(max(0, e.Returned-s.returned), freed)
	s.gone, s.returned = gone, max(s.returned, e.Returned)
	a.outstanding -= freed
	a.fills.add(freed - back)
}

// refund takes back what requests did not use. Totals that came before count once.
func (a *account) refund(s *ownedSlice, refunds []Refund) {
	for _, r := range refunds {
		more := r.Total - s.refunded[r.Epoch]
		if more <= 0 {
			continue
		}
		if s.refunded == nil {
			s.refunded = map[int64]int64{}
		}
		s.refunded[r.Epoch] = r.Total
		a.fills.refund(r.Epoch, more)
	}
}

// forget drops totals of refunds that could lower no span any more.
func (a *account) forget(s *ownedSlice) {
	for epoch := range s.refunded {
		if epoch < a.fills.spans[0].epoch {
			delete(s.refunded, epoch)
		}
	}
}

// level is what the bucket has.
func (a *account) level() int64 {
	return a.limit.Burst - a.fills.tokens() - a.outstanding - a.unknown
}

// grant hands out tokens and returns when a need that was not met can be.
func (o *Owner) grant(now time.Duration, a *account, s *ownedSlice, e SyncEntry) time.Duration {
	want := max(e.Want, e.Need)
	if want <= 0 {
		return 0
	}
	free := max(0, a.available())
	if free < e.Need {
		return o.refuse(now, a, e.Need, free)
	}
	// Ahead of need, one holder gets half of what is plentiful at most: the others
	// must find some.
	plenty := min(free, a.level()-a.limit.Burst/reserveShare)
	give := min(want, max(e.Need, plenty/2))
	if give <= 0 {
		return 0
	}
	s.granted += give
	a.outstanding += give
	return 0
}

// reserveShare of the burst is kept for requests that wait.
const reserveShare = 4

// available is what may be granted under every promise that may be in force.
func (a *account) available() int64 {
	p := a.promises.strictest()
	return min(a.level()-p.Floor, p.Cap-a.outstanding-a.unknown)
}

// refuse returns when a need can be met. Where the level is there and only a promise
// is in the way, the promise is changed.
func (o *Owner) refuse(now time.Duration, a *account, need, free int64) time.Duration {
	if a.level() < need {
		return wait(need-a.level(), a.limit.Rate)
	}
	a.largeUntil = now + o.opt.Lease
	if a.promises.strictest() == a.desired(now) {
		return wait(need-free, a.limit.Rate)
	}
	return minWait
}

// advance refills the bucket and counts a former owner's slices as spent at their end.
func (o *Owner) advance(now time.Duration, a *account) {
	a.fills.drain(now, a.limit.Rate)
	if a.unknown > 0 && now >= a.unknownEnd {
		a.fills.add(a.unknown)
		a.unknown = 0
	}
}

func (o *Owner) expire(now time.Duration, a *account, s *ownedSlice) {
	if now < s.expires {
		return
	}
	a.outstanding -= s.outstanding()
	a.fills.add(s.outstanding())
	s.gone = s.granted
}

// Tick ends leases that have run out and forgets holders that are gone for long.
func (o *Owner) Tick(now time.Duration) {
	for _, a := range o.accounts {
		o.advance(now, a)
	}
	for name, h := range o.holders {
		for of, s := range h.slices {
			o.expire(now, o.accounts[of], s)
			o.accounts[of].forget(s)
			if s.outstanding() == 0 && now >= s.expires && len(s.refunded) == 0 {
				delete(h.slices, of)
			}
		}
		if now-h.seen > keepFor && len(h.slices) == 0 {
			delete(o.holders, name)
		}
	}
}

// keepFor is how long a holder that has nothing is remembered.
const keepFor = time.Minute

// names lists the accounts in order.
func (o *Owner) names() []string {
	all := make([]string, 0, len(o.accounts))
	for n := range o.accounts {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}
