package grants

import (
	"time"

	"eelgrasshollow/internal/errkind"
)

// TimeoutError returns the error for a waiter whose deadline has passed.
func (h *Holder) TimeoutError(now time.Duration, w *waiter) error {
	a := h.accounts[w.account]
	if a.undecided(w.priority) {
		return h.uncommittedError()
	}
	after := h.opt.QueueTime
	if a.divided {
		after = max(after, a.class(w.priority).blockedUntil-now)
	}
	return h.withJitter(now, w.account, a.timeoutError(now, w.account, after))
}

// uncommittedError returns the error for a request that the owner could not decide on in time. It must
// not be errkind.RateLimited, as the account is not over its rate.
func (h *Holder) uncommittedError() error {
	return errkind.New(errkind.NoQuorum, "the owner of the grants could not commit a bound for the tokens in time").WithRetryAfter(h.opt.Interval)
}

// undecided reports whether the owner has not decided on requests of a class, because the bound that
// allows them is not committed yet.
func (a *heldAccount) undecided(priority int) bool {
	if a.divided && a.known {
		return a.class(priority).uncommitted
	}
	return a.uncommitted
}

// ownerReplied marks all waiters as ones that the owner has replied to, unless it is undecided. A
// request that has waited for an owner to reply may wait another queueTime from the first reply.
func (a *heldAccount) ownerReplied(now, queueTime time.Duration) {
	for _, w := range a.queue {
		if a.undecided(w.priority) {
			w.ownerReplied = false
		} else if !w.ownerReplied {
			w.ownerReplied, w.deadline = true, min(now+queueTime, w.latest)
		}
	}
}

// serveQueue admits waiting requests in order, and refuses those that can't be admitted
// before their deadline. It stops at the first request that must wait longer.
func (a *heldAccount) serveQueue(now time.Duration, name string, h *Holder) {
	for len(a.queue) > 0 {
		w := a.queue[0]
		err := a.permanentError(name, w.tokens)
		if err == nil {
			if r := a.reserve(now, w.tokens); r != nil {
				a.pop(waitResult{reservation: r})
				continue
			}
			var wait bool
			if wait, err = h.waitOrRefuse(now, name, a, w); wait {
				return
			}
		}
		a.pop(waitResult{err: err})
	}
}

// waitOrRefuse reports whether a waiter that can't be admitted now may be before its deadline. If not, it
// returns the error for it.
func (h *Holder) waitOrRefuse(now time.Duration, name string, a *heldAccount, w *waiter) (wait bool, err error) {
	next, deadline := a.earliestAsk(w.priority, w.tokens), h.WaitDeadline(w)
	switch {
	case next <= deadline && now < deadline:
		return true, nil
	case a.undecided(w.priority):
		return false, h.uncommittedError()
	}
	return false, h.withJitter(now, name, a.timeoutError(now, name, max(next-now, minRetryAfter)))
}

// pop removes the first waiter from the queue and sends it the result.
func (a *heldAccount) pop(result waitResult) {
	a.queue[0].result <- result
	a.queue = a.queue[1:]
}
