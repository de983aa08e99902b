// Package urgency divides the tokens of one client account among the priority classes of its
// requests. It decides without network and clock: time and demand by class in, tokens by
// class out.
//
// While the account is short of tokens, the most urgent class may take everything except what
// the lower classes have saved. A lower class saves tokens at a rate, its share: at least
// FloorShare of the account's rate, and in order of priority what the higher classes leave. It
// takes tokens only from its savings, so that the bucket can fill up for a large request of a
// higher class.
package urgency

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxClasses is the number of classes that are told apart. A request of a further
	// priority counts in the class with the nearest one.
	MaxClasses = 4
	// FloorShare is the share of the account's rate that each lower class gets if it asks
	// for it.
	FloorShare = 0.1
	// Memory is how long a class is known after its last request.
	Memory = 10 * time.Second

	// demandTime is the time constant of the demand estimate.
	demandTime = 2 * time.Second
	// shortageTime is how long an account counts as short of tokens after a refusal.
	shortageTime = 2 * time.Second
	// sizeTime is the time constant with which the largest request of a class is forgotten.
	sizeTime = 10 * time.Second
	// savingsTime is the time for which an unused share is saved.
	savingsTime = 250 * time.Millisecond
	// headroom multiplies the demand that is set aside for a higher class. Without it, the
	// balance would have no tendency to grow, and bursts of the higher class would be
	// refused.
	headroom = 1.2
	// sizeMargin multiplies the size of a class's largest request where tokens are saved or
	// kept for it. Without it, the decay of the size between two attempts would leave the
	// class just below what it needs.
	sizeMargin = 1.25
)

// Grant is what the classes share.
type Grant struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Allocator divides one account's tokens. The zero value is ready for use. It is a
// deterministic state machine and not safe for concurrent use.
type Allocator struct {
	classes    []class       // most urgent first
	last       time.Duration // to which the estimates and savings were advanced
	short      bool          // there was a refusal for lack of tokens
	shortSince time.Duration // time of the last such refusal
}

// class is the state of one priority class.
type class struct {
	priority int
	seen     time.Duration // time of the last request
	demand   float64       // estimate, in tokens per second
	size     float64       // tokens of the largest request, decaying
	savings  float64       // tokens that a lower class may take
}

// Observe counts tokens that requests of a priority ask for. A request that is sent again
// counts again.
func (a *Allocator) Observe(now time.Duration, g Grant, priority int, tokens int64) {
	a.advance(now, g)
	if tokens <= 0 {
		return
	}
	c := a.add(priority)
	c.seen = now
	c.demand += float64(tokens) / demandTime.Seconds()
}

// Short records that the account had too few tokens for a request.
func (a *Allocator) Short(now time.Duration) { a.short, a.shortSince = true, now }

// Several reports whether requests of several classes are known.
func (a *Allocator) Several() bool { return len(a.classes) > 1 }

// Active reports whether the tokens are divided now: the account is short of tokens, and
// several classes compete for them.
func (a *Allocator) Active(now time.Duration) bool {
	return a.Several() && a.short && now-a.shortSince < shortageTime
}

// Pressed reports whether the account has been short of tokens lately, so that the demand of
// its classes should be known.
func (a *Allocator) Pressed(now time.Duration) bool {
	return a.Several() && a.short && now-a.shortSince < Memory
}

// Demand returns the estimated demand of a priority, in tokens per second.
func (a *Allocator) Demand(priority int) float64 {
	for _, c := range a.classes {
		if c.priority == priority {
			return c.demand
		}
	}
	return 0
}

// Lowest returns the least urgent priority known.
func (a *Allocator) Lowest() int {
	if len(a.classes) == 0 {
		return 0
	}
	return a.classes[len(a.classes)-1].priority
}

// Available returns how many tokens of the bucket's balance a request of a priority may take
// that needs the given number.
func (a *Allocator) Available(now time.Duration, g Grant, balance int64, priority int, need int64) int64 {
	a.advance(now, g)
	c := a.add(priority)
	c.seen = now
	c.size = max(c.size, float64(need))
	if !a.Active(now) {
		return balance
	}
	return min(balance, int64(max(0, a.allowance(g, float64(balance), a.index(priority)))))
}

// allowance returns the tokens that the class with index i may take of a balance.
func (a *Allocator) allowance(g Grant, balance float64, i int) float64 {
	if i == 0 {
		return balance - a.savedBelow(0)
	}
	return a.classes[i].savings + max(0, balance-a.reserve(g, i)-a.savedBelow(i))
}

// savedBelow returns the savings of the classes below the one with index i.
func (a *Allocator) savedBelow(i int) float64 {
	sum := 0.0
	for _, c := range a.classes[i+1:] {
		sum += c.savings
	}
	return sum
}

// reserve returns the balance that is kept for bursts of the classes above the one with index
// i. It is higher for lower classes, so that the highest class with unmet demand gets what is
// above it.
func (a *Allocator) reserve(g Grant, i int) float64 {
	largest := 0.0
	for _, c := range a.classes[:i] {
		largest = max(largest, c.size)
	}
	return min(g.Burst, max(g.Burst*float64(i)/float64(i+1), sizeMargin*largest))
}

// Take records that requests of a priority got tokens.
func (a *Allocator) Take(priority int, tokens int64) {
	if len(a.classes) == 0 {
		return
	}
	c := &a.classes[a.index(priority)]
	c.savings = max(0, c.savings-float64(tokens))
}

// Wait returns the time after which a request of a priority finds the tokens that it needs,
// as far as the grant's rate and the shares of the classes determine it.
func (a *Allocator) Wait(now time.Duration, g Grant, balance int64, priority int, need int64) time.Duration {
	if g.Rate <= 0 || len(a.classes) == 0 {
		return math.MaxInt64
	}
	i := a.index(priority)
	refill := (float64(need) - float64(balance)) / g.Rate
	if a.Active(now) {
		rate := a.shares(g)[i]
		if i == 0 {
			rate = g.Rate
			for _, share := range a.shares(g)[1:] {
				rate -= min(share, FloorShare*g.Rate)
			}
		}
		refill = max(refill, (float64(need)-a.allowance(g, float64(balance), i))/max(rate, 1))
	}
	return time.Duration(max(0, refill) * float64(time.Second))
}

// shares returns the tokens per second that each class may save or, if it is the most urgent
// one, is expected to take.
func (a *Allocator) shares(g Grant) []float64 {
	shares := make([]float64, len(a.classes))
	left := g.Rate
	for i, c := range a.classes {
		if i > 0 {
			shares[i] = min(FloorShare*g.Rate, headroom*c.demand)
			left -= shares[i]
		}
	}
	for i, c := range a.classes {
		more := min(max(0, headroom*c.demand-shares[i]), left)
		shares[i] += more
		left -= more
	}
	for i := 1; i < len(shares); i++ {
		shares[i] += left
	}
	return shares
}

// advance ages the estimates, forgets classes without requests and adds to the savings.
func (a *Allocator) advance(now time.Duration, g Grant) {
	elapsed := (now - a.last).Seconds()
	if elapsed <= 0 {
		return
	}
	a.last = now
	a.classes = slices.DeleteFunc(a.classes, func(c class) bool { return now-c.seen > Memory })
	shares := a.shares(g)
	for i := range a.classes {
		c := &a.classes[i]
		c.demand *= math.Exp(-elapsed / demandTime.Seconds())
		c.size *= math.Exp(-elapsed / sizeTime.Seconds())
		c.savings += shares[i] * elapsed
		// A class must be able to save for its largest request.
		c.savings = min(c.savings, max(shares[i]*savingsTime.Seconds(), sizeMargin*c.size))
		if i == 0 {
			c.savings = 0
		}
	}
}

// add returns the class of a priority, and adds it if there is room.
func (a *Allocator) add(priority int) *class {
	i, found := slices.BinarySearchFunc(a.classes, priority, func(c class, p int) int { return c.priority - p })
	if !found && len(a.classes) < MaxClasses {
		a.classes = slices.Insert(a.classes, i, class{priority: priority})
		return &a.classes[i]
	}
	return &a.classes[a.index(priority)]
}

// index returns the index of the class with the nearest priority, the more urgent one if two
// are equally near. There must be a class.
func (a *Allocator) index(priority int) int {
	nearest := 0
	for i, c := range a.classes {
		if distance(c.priority, priority) < distance(a.classes[nearest].priority, priority) {
			nearest = i
		}
	}
	return nearest
}

func distance(a, b int) int { return max(a-b, b-a) }
