package routing

import (
	"maps"
	"slices"
	"time"
)

// fairQueue holds requests that wait for a place at one endpoint: higher priority
// first, then the client account that has had the fewest tokens, then first come.
// It is not safe for concurrent use.
type fairQueue struct {
	classes []*priorityClass // highest priority first
	length  int
}

type priorityClass struct {
	priority int
	accounts map[string]*accountQueue
	virtual  float64            // tokens had by the account served last
	idle     map[string]float64 // tokens had by accounts that wait for nothing now
}

// idleAccounts bounds how many idle accounts a class remembers before it drops those
// whose past no longer counts.
const idleAccounts = 64

type accountQueue struct {
	waiting []*Pending
	tokens  int
	virtual float64 // tokens had so far
}

// Len is the number of waiting requests.
func (q *fairQueue) Len() int { return q.length }

// Push adds a request at the end of its account's line.
func (q *fairQueue) Push(p *Pending) {
	c := q.class(p.Request.Priority)
	a := c.accounts[p.Request.Account]
	if a == nil {
		// An idle account saves nothing up, and does not shed what it had.
		a = &accountQueue{virtual: max(c.virtual, c.idle[p.Request.Account])}
		delete(c.idle, p.Request.Account)
		c.accounts[p.Request.Account] = a
	}
	a.waiting = append(a.waiting, p)
	a.tokens += p.cost()
	q.length++
}

// Pop takes the next request, or nil.
func (q *fairQueue) Pop() *Pending {
	for _, c := range q.classes {
		if len(c.accounts) == 0 {
			continue
		}
		name, a := c.next()
		p := a.waiting[0]
		a.waiting = a.waiting[1:]
		c.virtual = a.virtual
		a.virtual += float64(p.cost())
		a.tokens -= p.cost()
		q.length--
		if len(a.waiting) == 0 {
			c.rest(name, a)
		}
		return p
	}
	return nil
}

// Peek returns what Pop would take, or nil.
func (q *fairQueue) Peek() *Pending {
	for _, c := range q.classes {
		if len(c.accounts) > 0 {
			_, a := c.next()
			return a.waiting[0]
		}
	}
	return nil
}

// next finds the account with the fewest tokens had; ties go by name.
func (c *priorityClass) next() (string, *accountQueue) {
	var name string
	var best *accountQueue
	for n, a := range c.accounts {
		if best == nil || a.virtual < best.virtual || a.virtual == best.virtual && n < name {
			name, best = n, a
		}
	}
	return name, best
}

// Remove takes out one request.
func (q *fairQueue) Remove(p *Pending) {
	c := q.class(p.Request.Priority)
	a := c.accounts[p.Request.Account]
	if a == nil {
		return
	}
	i := slices.Index(a.waiting, p)
	if i < 0 {
		return
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.tokens -= p.cost()
	q.length--
	if len(a.waiting) == 0 {
		c.rest(p.Request.Account, a)
	}
}

// rest moves an account without waiting requests to the idle ones.
func (c *priorityClass) rest(name string, a *accountQueue) {
	delete(c.accounts, name)
	if len(c.idle) >= idleAccounts {
		maps.DeleteFunc(c.idle, func(_ string, had float64) bool { return had <= c.virtual })
	}
	c.idle[name] = a.virtual
}

// Longest returns the request to give up for a newcomer of the priority: the last of
// the account that waits with the most tokens, in the lowest class not above it.
func (q *fairQueue) Longest(priority int) *Pending {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if len(c.accounts) == 0 {
			continue
		}
		if c.priority > priority {
			return nil
		}
		var name string
		var most *accountQueue
		for n, a := range c.accounts {
			if most == nil || a.tokens > most.tokens || a.tokens == most.tokens && n < name {
				name, most = n, a
			}
		}
		return most.waiting[len(most.waiting)-1]
	}
	return nil
}

// Ahead estimates how many requests are served before a newcomer: all of higher
// priority, and in its class as many rounds as its own account has waiting.
func (q *fairQueue) Ahead(account string, priority int) int {
	ahead := 0
	for _, c := range q.classes {
		if c.priority > priority {
			for _, a := range c.accounts {
				ahead += len(a.waiting)
			}
		}
		if c.priority != priority {
			continue
		}
		own := 0
		if a := c.accounts[account]; a != nil {
			own = len(a.waiting)
		}
		for _, a := range c.accounts {
			ahead += min(len(a.waiting), own+1)
		}
	}
	return ahead
}

// Overdue takes out every request that waits since before the time.
func (q *fairQueue) Overdue(before time.Time) []*Pending {
	var late []*Pending
	for _, c := range q.classes {
		for _, a := range c.accounts {
			for _, p := range a.waiting {
				if p.submitted.Before(before) {
					late = append(late, p)
				}
			}
		}
	}
	slices.SortFunc(late, func(a, b *Pending) int { return a.submitted.Compare(b.submitted) })
	for _, p := range late {
		q.Remove(p)
	}
	return late
}

func (q *fairQueue) class(priority int) *priorityClass {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *priorityClass, want int) int { return want - c.priority })
	if !found {
		q.classes = slices.Insert(q.classes, i, &priorityClass{priority: priority, accounts: map[string]*accountQueue{}, idle: map[string]float64{}})
	}
	return q.classes[i]
}
