package grants

import (
	"sort"
	"time"
)

// slice is a holder's part of one account's tokens under one owner's term.
//
// Invariant: granted tokens at most are admitted from it, less what is refunded before
// it is reported, and only before end.
type slice struct {
	account  string
	term     uint64
	granted  int64
	taken    int64         // reserved, less refunds, or forfeited
	returned int64         // given back
	reported int64         // gone as the owner knows it
	end      time.Duration // the lease's end by this VM's clock
	reports  int           // reports made
	refunds  map[int64]*refund
}

// refund is the total of one epoch.
type refund struct {
	total, known int64 // known to the owner
}

// reservation is what one admitted request may use.
type reservation struct {
	slice  *slice
	tokens int64
	epoch  int64 // of the owner, when it was admitted or earlier
	report int   // reports made of the slice when it was admitted
}

// unspent is what may still be reserved.
func (s *slice) unspent() int64 { return s.granted - s.taken - s.returned }

// gone is what is reported as not to be counted any more.
func (s *slice) gone() int64 { return s.taken + s.returned }

// reserve takes tokens if they are there.
func (s *slice) reserve(now time.Duration, tokens, epoch int64) *reservation {
	s.expire(now)
	if tokens > s.unspent() {
		return nil
	}
	s.taken += tokens
	return &reservation{slice: s, tokens: tokens, epoch: epoch, report: s.reports}
}

// settle ends a reservation and gives back what was not used: to the slice as long as
// the owner has not been told, else to the owner.
func (r *reservation) settle(now time.Duration, used int64) {
	s := r.slice
	back := max(0, r.tokens-used)
	r.tokens = 0
	if back == 0 {
		return
	}
	if r.report == s.reports && now < s.end {
		s.taken -= back
		return
	}
	if s.refunds == nil {
		s.refunds = map[int64]*refund{}
	}
	if s.refunds[r.epoch] == nil {
		s.refunds[r.epoch] = &refund{}
	}
	s.refunds[r.epoch].total += back
}

// report lists the refunds that the owner does not know of, and marks what was reserved
// so far as told. Epochs that are too old are dropped.
func (s *slice) report(epoch int64) []Refund {
	s.reports++
	var all []Refund
	for e, r := range s.refunds {
		switch {
		case e < epoch-refundEpochs:
			delete(s.refunds, e)
		case r.total > r.known:
			all = append(all, Refund{Epoch: e, Total: r.total})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Epoch < all[j].Epoch })
	return all
}

// pending is what is to be refunded and not known to the owner.
func (s *slice) pending() int64 {
	sum := int64(0)
	for _, r := range s.refunds {
		sum += r.total - r.known
	}
	return sum
}

// expire forfeits everything once the lease has ended.
func (s *slice) expire(now time.Duration) {
	if now >= s.end {
		s.taken = s.granted - s.returned
	}
}

// giveBack returns unspent tokens to the owner.
func (s *slice) giveBack(now time.Duration, tokens int64) {
	s.expire(now)
	s.returned += min(max(0, tokens), s.unspent())
}

// renew takes the owner's answer to a report until end.
func (s *slice) renew(g SyncGrant, sent SyncEntry, end time.Duration) {
	for _, r := range sent.Refunds {
		if known := s.refunds[r.Epoch]; known != nil {
			known.known = max(known.known, r.Total)
		}
	}
	if g.Gone > sent.Gone {
		// The owner's count of the lease has ended, so that of this VM has too. An
		// answer that was lost may have granted what is not known here.
		s.taken = max(s.granted, g.Gone) - s.returned
	}
	s.granted = max(s.granted, g.Granted)
	s.end = max(s.end, end)
	s.reported = sent.Gone
}
