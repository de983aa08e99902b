package grants

import (
	"sort"
	"time"
)

// slice holds the tokens of one account that an owner granted to this holder in one term.
//
// Invariant: requests reserve at most granted tokens from the slice, and only before
// leaseEnd. Tokens refunded before they are reported may be reserved again and do not
// count twice.
type slice struct {
	account            string
	term               uint64
	granted            int64
	consumed           int64                  // reserved, less refunds, or forfeited
	returned           int64                  // returned to the owner
	acknowledged       int64                  // gone() in the last report that the owner replied to
	leaseEnd           time.Duration          // end of the lease by this VM's clock
	reportCount        int                    // number of the last report
	expiredSinceReport bool                   // the lease has ended since the last report
	expiredAtReport    bool                   // expiredSinceReport as of the last report
	reportEpochs       []reportEpoch          // reports that the owner replied to, oldest first
	lateRefunds        map[int]int64          // by report; not assigned to an epoch yet
	refunds            map[int64]*epochRefund // by epoch of the owner's bucket
}

// reportEpoch records that the owner counted a report in an epoch of its bucket, or later.
type reportEpoch struct {
	report int
	epoch  int64
}

// epochRefund is the total of tokens refunded in one epoch, and the part of it in reports
// that the owner replied to.
type epochRefund struct {
	total, acknowledged int64
}

// maxReportEpochs is the number of reports whose epochs a slice keeps. Tokens of older
// reports are not refunded.
const maxReportEpochs = 256

// reservation holds the tokens that one admitted request may use.
type reservation struct {
	slice  *slice
	tokens int64
	report int // number of the report that includes the tokens
}

// unspent returns the tokens that may still be reserved.
func (s *slice) unspent() int64 { return s.granted - s.consumed - s.returned }

// gone returns the tokens that the owner must no longer count as outstanding.
func (s *slice) gone() int64 { return s.consumed + s.returned }

// reserve returns a reservation of tokens, or nil if fewer are left.
func (s *slice) reserve(now time.Duration, tokens int64) *reservation {
	s.expire(now)
	if tokens > s.unspent() {
		return nil
	}
	s.consumed += tokens
	return &reservation{slice: s, tokens: tokens, report: s.reportCount + 1}
}

// settle ends a reservation and refunds the unused tokens. They go back to the slice if
// they have not been reported yet and the lease has not ended. Otherwise the next report
// refunds them at the owner.
func (r *reservation) settle(now time.Duration, used int64) {
	s := r.slice
	unused := max(0, r.tokens-used)
	r.tokens = 0
	if unused == 0 {
		return
	}
	s.expire(now)
	if r.report > s.reportCount && !s.expiredSinceReport {
		s.consumed -= unused
		return
	}
	if s.lateRefunds == nil {
		s.lateRefunds = map[int]int64{}
	}
	s.lateRefunds[r.report] += unused
}

// report starts a new report, which includes all tokens reserved so far, and returns the
// refunds that the owner has not acknowledged, ordered by epoch.
func (s *slice) report() []Refund {
	s.assignEpochs()
	s.reportCount++
	s.expiredAtReport, s.expiredSinceReport = s.expiredSinceReport, false
	var all []Refund
	for e, r := range s.refunds {
		if r.total > r.acknowledged {
			all = append(all, Refund{Epoch: e, Total: r.total})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Epoch < all[j].Epoch })
	return all
}

// assignEpochs adds the refunds of past reports to the totals of their epochs. Past
// reports have a reply or will never get one, because only one report is sent at a time.
func (s *slice) assignEpochs() {
	for report, tokens := range s.lateRefunds {
		if report > s.reportCount {
			continue
		}
		delete(s.lateRefunds, report)
		epoch, ok := s.epochOf(report)
		if !ok {
			continue
		}
		if s.refunds == nil {
			s.refunds = map[int64]*epochRefund{}
		}
		if s.refunds[epoch] == nil {
			s.refunds[epoch] = &epochRefund{}
		}
		s.refunds[epoch].total += tokens
	}
	for e := range s.refunds {
		if len(s.reportEpochs) == maxReportEpochs && e < s.reportEpochs[0].epoch {
			delete(s.refunds, e)
		}
	}
}

// epochOf returns the epoch in which the owner counted a report, or an earlier one. It
// returns false if the owner replied to no report up to this one.
func (s *slice) epochOf(report int) (int64, bool) {
	after := sort.Search(len(s.reportEpochs), func(i int) bool { return s.reportEpochs[i].report > report })
	if after == 0 {
		return 0, false
	}
	return s.reportEpochs[after-1].epoch, true
}

// pendingRefunds returns the refunded tokens that the owner has not acknowledged.
func (s *slice) pendingRefunds() int64 {
	sum := int64(0)
	for _, r := range s.refunds {
		sum += r.total - r.acknowledged
	}
	for _, tokens := range s.lateRefunds {
		sum += tokens
	}
	return sum
}

// expire forfeits all unspent tokens once the lease has ended.
func (s *slice) expire(now time.Duration) {
	if now >= s.leaseEnd {
		s.consumed = s.granted - s.returned
		s.expiredSinceReport = true
	}
}

// returnTokens returns unspent tokens to the owner.
func (s *slice) returnTokens(now time.Duration, tokens int64) {
	s.expire(now)
	s.returned += min(max(0, tokens), s.unspent())
}

// renew applies the owner's reply to the last report, sent, and extends the lease to end.
func (s *slice) renew(g SyncGrant, sent SyncEntry, end time.Duration) {
	expired := s.expiredAtReport
	for _, r := range sent.Refunds {
		if refund := s.refunds[r.Epoch]; refund != nil {
			refund.acknowledged = max(refund.acknowledged, r.Total)
		}
	}
	if g.Gone > sent.Gone {
		// The lease has expired at the owner, so it has expired here too: the owner's
		// lease is the longer one. g.Gone may exceed s.granted if the reply with an
		// earlier grant was lost.
		s.consumed = max(s.granted, g.Gone) - s.returned
		expired = true
	}
	if !expired {
		// After an expiry, the owner may have counted the tokens when the lease ended, in
		// an earlier epoch than g.Epoch.
		s.reportEpochs = append(s.reportEpochs, reportEpoch{report: s.reportCount, epoch: g.Epoch})
		s.reportEpochs = s.reportEpochs[max(0, len(s.reportEpochs)-maxReportEpochs):]
	}
	s.granted = max(s.granted, g.Granted)
	s.leaseEnd = max(s.leaseEnd, end)
	s.acknowledged = sent.Gone
}
