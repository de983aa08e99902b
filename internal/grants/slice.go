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
	lapsed   bool          // the lease ended since the last report
	told     bool          // it had when the last report was made
	epochs   []counted     // answered reports, oldest first
	late     map[int]int64 // refunds by the report that told of their tokens, not yet in refunds
	refunds  map[int64]*refund
}

// counted says in which of the owner's epochs a report was counted, or after.
type counted struct {
	report int
	epoch  int64
}

// refund is the total of one epoch.
type refund struct {
	total, known int64 // known to the owner
}

// maxEpochs bounds the epochs that a holder remembers; what is older is not refunded.
const maxEpochs = 256

// reservation is what one admitted request may use.
type reservation struct {
	slice  *slice
	tokens int64
	report int // the report that tells of it
}

// unspent is what may still be reserved.
func (s *slice) unspent() int64 { return s.granted - s.taken - s.returned }

// gone is what is reported as not to be counted any more.
func (s *slice) gone() int64 { return s.taken + s.returned }

// reserve takes tokens if they are there.
func (s *slice) reserve(now time.Duration, tokens int64) *reservation {
	s.expire(now)
	if tokens > s.unspent() {
		return nil
	}
	s.taken += tokens
	return &reservation{slice: s, tokens: tokens, report: s.reports + 1}
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
	s.expire(now)
	if r.report > s.reports && !s.lapsed {
		s.taken -= back
		return
	}
	if s.late == nil {
		s.late = map[int]int64{}
	}
	s.late[r.report] += back
}

// report closes the report that tells of what was reserved so far, and lists the refunds
// that the owner does not know of.
func (s *slice) report() []Refund {
	s.sort()
	s.reports++
	s.told, s.lapsed = s.lapsed, false
	var all []Refund
	for e, r := range s.refunds {
		if r.total > r.known {
			all = append(all, Refund{Epoch: e, Total: r.total})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Epoch < all[j].Epoch })
	return all
}

// sort moves refunds of reports that were answered, or never will be, to their epochs.
func (s *slice) sort() {
	for report, tokens := range s.late {
		if report > s.reports {
			continue
		}
		delete(s.late, report)
		epoch, ok := s.epochOf(report)
		if !ok {
			continue
		}
		if s.refunds == nil {
			s.refunds = map[int64]*refund{}
		}
		if s.refunds[epoch] == nil {
			s.refunds[epoch] = &refund{}
		}
		s.refunds[epoch].total += tokens
	}
	for e := range s.refunds {
		if len(s.epochs) == maxEpochs && e < s.epochs[0].epoch {
			delete(s.refunds, e)
		}
	}
}

// epochOf returns the epoch in which a report was counted, or an earlier one.
func (s *slice) epochOf(report int) (int64, bool) {
	after := sort.Search(len(s.epochs), func(i int) bool { return s.epochs[i].report > report })
	if after == 0 {
		return 0, false
	}
	return s.epochs[after-1].epoch, true
}

// pending is what is to be refunded and not known to the owner.
func (s *slice) pending() int64 {
	sum := int64(0)
	for _, r := range s.refunds {
		sum += r.total - r.known
	}
	for _, tokens := range s.late {
		sum += tokens
	}
	return sum
}

// expire forfeits everything once the lease has ended.
func (s *slice) expire(now time.Duration) {
	if now >= s.end {
		s.taken = s.granted - s.returned
		s.lapsed = true
	}
}

// giveBack returns unspent tokens to the owner.
func (s *slice) giveBack(now time.Duration, tokens int64) {
	s.expire(now)
	s.returned += min(max(0, tokens), s.unspent())
}

// renew takes the owner's answer to the last report until end.
func (s *slice) renew(g SyncGrant, sent SyncEntry, end time.Duration) {
	lapsed := s.told
	for _, r := range sent.Refunds {
		if known := s.refunds[r.Epoch]; known != nil {
			known.known = max(known.known, r.Total)
		}
	}
	if g.Gone > sent.Gone {
		// The owner's count of the lease has ended, so that of this VM has too. An
		// answer that was lost may have granted what is not known here.
		s.taken = max(s.granted, g.Gone) - s.returned
		lapsed = true
	}
	if !lapsed {
		// Else the owner may have counted the tokens when the lease ended, in an earlier epoch.
		s.epochs = append(s.epochs, counted{report: s.reports, epoch: g.Epoch})
		s.epochs = s.epochs[max(0, len(s.epochs)-maxEpochs):]
	}
	s.granted = max(s.granted, g.Granted)
	s.end = max(s.end, end)
	s.reported = sent.Gone
}
