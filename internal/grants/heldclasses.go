package grants

import (
	"slices"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/grants/urgency"
)

// heldClass is the holder's state of one priority of an account.
type heldClass struct {
	priority     int
	seen         time.Duration // time of the last request
	requested    int64         // total of tokens requested
	blockedUntil time.Duration // until then the owner refuses needs like blockedNeed of the class
	blockedNeed  int64
	uncommitted  bool // as of heldAccount
}

// classMemory is how long a class is known after its last request. It is long, so that one of
// the VMs that get both few urgent requests and many others tells the owner about both.
const classMemory = time.Minute

// observe counts a request and returns the priority of its class. If all classes are taken,
// the request counts in the nearest one.
func (a *heldAccount) observe(now time.Duration, priority int, tokens int64) int {
	a.classes = slices.DeleteFunc(a.classes, func(c *heldClass) bool {
		return now-c.seen > classMemory && !slices.ContainsFunc(a.queue, func(w *waiter) bool { return w.priority == c.priority })
	})
	i, found := slices.BinarySearchFunc(a.classes, priority, func(c *heldClass, p int) int { return c.priority - p })
	if !found && len(a.classes) < urgency.MaxClasses {
		a.classes = slices.Insert(a.classes, i, &heldClass{priority: priority})
	}
	c := a.class(priority)
	c.seen = now
	c.requested += tokens
	return c.priority
}

// class returns the class with the nearest priority. There must be a class.
func (a *heldAccount) class(priority int) *heldClass {
	return slices.MinFunc(a.classes, func(x, y *heldClass) int {
		return max(x.priority-priority, priority-x.priority) - max(y.priority-priority, priority-y.priority)
	})
}

// competing reports whether requests of several classes compete for tokens, as far as the
// holder or the owner knows. Requests then wait in order of priority.
func (a *heldAccount) competing(now time.Duration) bool { return now < a.competingUntil }

// noteRefusal records that a request was refused because the account is over its rate.
func (a *heldAccount) noteRefusal(now time.Duration) {
	if len(a.classes) > 1 && !a.ownerWaiting {
		a.compete(now)
	}
}

// compete makes requests wait in order of priority for some time.
func (a *heldAccount) compete(now time.Duration) {
	if !a.competing(now) {
		slices.SortStableFunc(a.queue, func(x, y *waiter) int { return x.priority - y.priority })
	}
	a.competingUntil = now + urgency.Memory
}

// enqueue adds a waiter. If the queue is full, it takes the place of the last waiter of a
// lower class, or enqueue returns false.
func (a *heldAccount) enqueue(now time.Duration, w *waiter, maxQueue int) bool {
	if !a.competing(now) {
		if len(a.queue) >= maxQueue {
			return false
		}
		a.queue = append(a.queue, w)
		return true
	}
	if len(a.queue) >= maxQueue {
		last := a.queue[len(a.queue)-1]
		if last.priority <= w.priority {
			return false
		}
		a.queue = a.queue[:len(a.queue)-1]
		last.result <- waitResult{err: a.rateLimitError(now, w.account, last.deadline-last.arrived)}
	}
	i := len(a.queue)
	for i > 0 && a.queue[i-1].priority > w.priority {
		i--
	}
	a.queue = slices.Insert(a.queue, i, w)
	return true
}

// mayReserve reports whether a request of the class may be admitted without waiting. While
// requests wait, those of their class and lower ones wait too.
func (a *heldAccount) mayReserve(now time.Duration, priority int) bool {
	return len(a.queue) == 0 || a.competing(now) && a.queue[0].priority > priority
}

// firstWaiters returns the first waiter of each class if the tokens are divided by class,
// else the first waiter.
func (a *heldAccount) firstWaiters() []*waiter {
	var first []*waiter
	for i, w := range a.queue {
		if i == 0 || a.divided && w.priority != a.queue[i-1].priority {
			first = append(first, w)
		}
	}
	return first
}

// demandByClass returns the demand of all known classes for the report.
func (a *heldAccount) demandByClass(now time.Duration) []ClassDemand {
	if !a.competing(now) {
		return nil
	}
	unspent := a.current.unspent()
	var all []ClassDemand
	for _, c := range a.classes {
		d := ClassDemand{Priority: c.priority, Requested: c.requested}
		for _, w := range a.queue {
			if w.priority != c.priority {
				continue
			}
			if d.Waiting == 0 {
				d.Need = max(0, w.tokens-unspent)
			}
			d.Waiting += w.tokens
		}
		covered := min(unspent, d.Waiting)
		d.Waiting -= covered
		unspent -= covered
		all = append(all, d)
	}
	return all
}

// applyClasses records which classes the owner refused, and when to ask again.
func (a *heldAccount) applyClasses(now time.Duration, sent []ClassDemand, g SyncGrant) {
	if g.ByClass {
		a.compete(now)
	}
	a.divided = g.Divided && len(a.classes) > 0
	if !a.divided {
		for _, c := range a.classes {
			c.blockedUntil, c.blockedNeed, c.uncommitted = 0, 0, false
		}
		return
	}
	for _, cg := range g.Classes {
		c := a.class(cg.Priority)
		c.blockedUntil, c.blockedNeed, c.uncommitted = 0, 0, cg.Uncommitted
		if cg.RetryAfter <= 0 {
			continue
		}
		c.blockedUntil = now + cg.RetryAfter
		for _, d := range sent {
			if d.Priority == cg.Priority {
				c.blockedNeed = d.Need
			}
		}
	}
}

// serveClasses admits the waiting requests of each class from the tokens that the owner
// granted to the class, and from tokens that no higher class needs.
func (a *heldAccount) serveClasses(now time.Duration, name string, granted []ClassGrant, h *Holder) {
	spare := a.usableTokens(now)
	for _, g := range granted {
		spare -= g.Tokens
	}
	spare = max(0, spare)
	waiting := a.queue
	a.queue = nil
	for _, c := range a.classes {
		pool := spare
		for _, g := range granted {
			if g.Priority == c.priority {
				pool += g.Tokens
			}
		}
		spare = 0
		blocked := false
		for _, w := range waiting {
			if w.priority != c.priority {
				continue
			}
			if blocked || !a.serveWaiter(now, name, w, &pool, h) {
				blocked = true
				a.queue = append(a.queue, w)
			}
		}
		if !blocked {
			spare = pool
		}
	}
}

// serveWaiter admits a waiter from the pool, refuses it or returns false if it must wait.
func (a *heldAccount) serveWaiter(now time.Duration, name string, w *waiter, pool *int64, h *Holder) bool {
	err := a.permanentError(name, w.tokens)
	if err == nil {
		if w.tokens <= *pool {
			if r := a.reserve(now, w.tokens); r != nil {
				*pool -= w.tokens
				w.result <- waitResult{reservation: r}
				return true
			}
		}
		var wait bool
		if wait, err = h.waitOrRefuse(now, name, a, w); wait {
			return false
		}
	}
	w.result <- waitResult{err: err}
	return true
}

// jitterShare is the largest part of a retry time that is added to it, so that callers that
// were refused together do not come back together.
const jitterShare = 0.5

// withJitter lengthens the retry time of a refusal of an account whose classes compete.
func (h *Holder) withJitter(now time.Duration, account string, err error) error {
	a := h.accounts[account]
	if a == nil || !a.competing(now) || h.opt.Jitter == nil || !errkind.Is(err, errkind.RateLimited) {
		return err
	}
	e := errkind.Of(err)
	return e.WithRetryAfter(e.RetryAfter + time.Duration(jitterShare*h.opt.Jitter()*float64(e.RetryAfter)))
}
