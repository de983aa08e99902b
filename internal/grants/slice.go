package grants

import "time"

// slice is a holder's part of one account's tokens under one owner's term.
//
// Invariant: granted − gone(now) tokens at most are admitted from it or kept open for
// refunds, and only before end.
type slice struct {
	account  string
	term     uint64
	granted  int64
	taken    int64 // reserved, less refunds, or forfeited
	returned int64
	held     int64         // open for refunds, part of taken
	reported int64         // gone as the owner knows it
	end      time.Duration // the lease's end by this VM's clock
	open     []*reservation
}

// reservation is what one admitted request may use.
type reservation struct {
	slice  *slice
	tokens int64
	refund int64 // at most this comes back at the settlement
	since  time.Duration
}

// unspent is what may still be reserved.
func (s *slice) unspent() int64 { return s.granted - s.taken - s.returned }

// gone is what is reported as not to be counted any more.
func (s *slice) gone() int64 { return s.taken + s.returned - s.held }

// reserve takes tokens if they are there. refundCap bounds what stays open for refunds.
func (s *slice) reserve(now time.Duration, tokens, refundCap int64) *reservation {
	s.expire(now)
	if tokens > s.unspent() {
		return nil
	}
	r := &reservation{slice: s, tokens: tokens, refund: min(tokens, refundCap), since: now}
	s.taken += tokens
	s.held += r.refund
	s.open = append(s.open, r)
	s.trim(refundCap)
	return r
}

// settle ends a reservation and gives back what was not used, as far as it is open.
func (r *reservation) settle(now time.Duration, used int64) {
	s := r.slice
	s.expire(now)
	back := min(max(0, r.tokens-used), r.refund)
	s.taken -= back
	s.held -= r.refund
	r.tokens, r.refund = 0, 0
}

// trim closes the oldest reservations to refunds until at most refundCap is open.
func (s *slice) trim(refundCap int64) {
	drop := 0
	for _, r := range s.open {
		if s.held <= refundCap && r.refund > 0 {
			break
		}
		s.held -= r.refund
		r.refund = 0
		drop++
	}
	s.open = s.open[drop:]
}

// close closes reservations to refunds that have been open for as long as the rate needs
// for their tokens. While they are open, a full bucket gets no refill; past that time
// they would cost more than they can bring back.
func (s *slice) close(now time.Duration, rate int64) {
	for _, r := range s.open {
		if now-r.since > wait(r.refund, rate) {
			s.held -= r.refund
			r.refund = 0
		}
	}
}

// expire forfeits everything once the lease has ended.
func (s *slice) expire(now time.Duration) {
	if now < s.end {
		return
	}
	s.trim(0)
	s.taken = s.granted - s.returned
}

// giveBack returns unspent tokens to the owner.
func (s *slice) giveBack(now time.Duration, tokens int64) {
	s.expire(now)
	s.returned += min(max(0, tokens), s.unspent())
}

// renew takes the owner's answer to a report. reported is the gone of the report.
func (s *slice) renew(g SyncGrant, reported int64, end time.Duration) {
	if g.Gone > reported {
		// The owner's count of the lease has ended, so that of this VM has too. An
		// answer that was lost may have granted what is not known here.
		s.trim(0)
		s.taken = max(s.granted, g.Gone) - s.returned
	}
	s.granted = max(s.granted, g.Granted)
	s.end = max(s.end, end)
}
