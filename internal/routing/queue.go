package routing

import (
	"maps"
	"slices"
	"time"
)

// fairQueue holds the requests that wait for a slot at one endpoint. The order is: higher
// priority first, then the client account that has been served the fewest tokens, then the
// order of arrival. It is not safe for concurrent use.
type fairQueue struct {
	classes []*priorityClass // highest priority first
	length  int
}

type priorityClass struct {
	priority         int
	accounts         map[string]*accountQueue
	lastServedTokens float64            // servedTokens of the account served last, before that request
	idle             map[string]float64 // tokens served to accounts without waiting requests
}

// maxIdleAccounts is the number of idle accounts at which a class drops those that have
// been served no more tokens than the account served last: their counts no longer matter,
// because Push starts an account at lastServedTokens or above.
const maxIdleAccounts = 64

type accountQueue struct {
	waiting       []*Pending
	waitingTokens int
	servedTokens  float64 // tokens served so far
}

// Len returns the number of waiting requests.
func (q *fairQueue) Len() int { return q.length }

// Push appends a request to the queue of its account.
func (q *fairQueue) Push(p *Pending) {
	class := q.class(p.Request.Priority)
	queue := class.accounts[p.Request.Account]
	if queue == nil {
		// An account gains no credit while idle, and keeps the tokens already counted
		// against it.
		queue = &accountQueue{servedTokens: max(class.lastServedTokens, class.idle[p.Request.Account])}
		delete(class.idle, p.Request.Account)
		class.accounts[p.Request.Account] = queue
	}
	queue.waiting = append(queue.waiting, p)
	queue.waitingTokens += p.cost()
	q.length++
}

// Pop removes and returns the next request, or nil if the queue is empty.
func (q *fairQueue) Pop() *Pending {
	for _, class := range q.classes {
		if len(class.accounts) == 0 {
			continue
		}
		name, queue := class.nextAccount()
		p := queue.waiting[0]
		queue.waiting = queue.waiting[1:]
		class.lastServedTokens = queue.servedTokens
		queue.servedTokens += float64(p.cost())
		queue.waitingTokens -= p.cost()
		q.length--
		if len(queue.waiting) == 0 {
			class.markIdle(name, queue)
		}
		return p
	}
	return nil
}

// Peek returns the request that Pop would return, or nil.
func (q *fairQueue) Peek() *Pending {
	for _, c := range q.classes {
		if len(c.accounts) > 0 {
			_, a := c.nextAccount()
			return a.waiting[0]
		}
	}
	return nil
}

// nextAccount returns the account that has been served the fewest tokens; ties go by name.
func (c *priorityClass) nextAccount() (string, *accountQueue) {
	var name string
	var best *accountQueue
	for n, a := range c.accounts {
		if best == nil || a.servedTokens < best.servedTokens || a.servedTokens == best.servedTokens && n < name {
			name, best = n, a
		}
	}
	return name, best
}

// Remove removes one request.
func (q *fairQueue) Remove(p *Pending) {
	class := q.class(p.Request.Priority)
	queue := class.accounts[p.Request.Account]
	if queue == nil {
		return
	}
	i := slices.Index(queue.waiting, p)
	if i < 0 {
		return
	}
	queue.waiting = slices.Delete(queue.waiting, i, i+1)
	queue.waitingTokens -= p.cost()
	q.length--
	if len(queue.waiting) == 0 {
		class.markIdle(p.Request.Account, queue)
	}
}

// markIdle moves an account without waiting requests to the idle accounts.
func (c *priorityClass) markIdle(name string, a *accountQueue) {
	delete(c.accounts, name)
	if len(c.idle) >= maxIdleAccounts {
		maps.DeleteFunc(c.idle, func(_ string, served float64) bool { return served <= c.lastServedTokens })
	}
	c.idle[name] = a.servedTokens
}

// EvictionCandidate returns the request to evict in favor of a new one of the given
// priority: the last request of the account with the most waiting tokens, in the lowest
// non-empty class. It returns nil if that class has a higher priority.
func (q *fairQueue) EvictionCandidate(priority int) *Pending {
	for i := len(q.classes) - 1; i >= 0; i-- {
		class := q.classes[i]
		if len(class.accounts) == 0 {
			continue
		}
		if class.priority > priority {
			return nil
		}
		var name string
		var largest *accountQueue
		for n, a := range class.accounts {
			if largest == nil || a.waitingTokens > largest.waitingTokens || a.waitingTokens == largest.waitingTokens && n < name {
				name, largest = n, a
			}
		}
		return largest.waiting[len(largest.waiting)-1]
	}
	return nil
}

// CountAhead estimates how many requests are served before a new one: all of higher
// priority, and in the same class as many rounds as the account itself has requests
// waiting.
func (q *fairQueue) CountAhead(account string, priority int) int {
	ahead := 0
	for _, class := range q.classes {
		if class.priority > priority {
			for _, a := range class.accounts {
				ahead += len(a.waiting)
			}
		}
		if class.priority != priority {
			continue
		}
		own := 0
		if a := class.accounts[account]; a != nil {
			own = len(a.waiting)
		}
		for _, a := range class.accounts {
			ahead += min(len(a.waiting), own+1)
		}
	}
	return ahead
}

// RemoveSubmittedBefore removes and returns every request submitted before the given time,
// the oldest first.
func (q *fairQueue) RemoveSubmittedBefore(before time.Time) []*Pending {
	var removed []*Pending
	for _, class := range q.classes {
		for _, a := range class.accounts {
			for _, p := range a.waiting {
				if p.submittedAt.Before(before) {
					removed = append(removed, p)
				}
			}
		}
	}
	slices.SortFunc(removed, func(a, b *Pending) int { return a.submittedAt.Compare(b.submittedAt) })
	for _, p := range removed {
		q.Remove(p)
	}
	return removed
}

func (q *fairQueue) class(priority int) *priorityClass {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *priorityClass, want int) int { return want - c.priority })
	if !found {
		q.classes = slices.Insert(q.classes, i, &priorityClass{priority: priority, accounts: map[string]*accountQueue{}, idle: map[string]float64{}})
	}
	return q.classes[i]
}
