package grants

import "time"

// DurableBound is what an owner keeps to until another promise is committed: the bucket's
// level stays at or above Floor, and the outstanding slices at or below Cap. A new
// owner starts from the last promise.
type DurableBound struct {
	Floor int64
	Cap   int64
}

// promises are those that a new owner may find. While a change is in flight, both
// the committed one and those proposed since bind.
type promises struct {
	committed DurableBound
	any       bool // one was ever committed
	proposed  []DurableBound
	lastRaise time.Duration
}

// strictest is the promise that keeps all that may be in force. Without any
// committed promise nothing may be granted.
func (p *promises) strictest() DurableBound {
	if !p.any {
		return DurableBound{}
	}
	s := p.committed
	for _, q := range p.proposed {
		s.Floor = max(s.Floor, q.Floor)
		s.Cap = min(s.Cap, q.Cap)
	}
	return s
}

// Change is a promise about to be put in the log.
type Change struct {
	Account string
	Promise DurableBound
}

// raiseEvery is the least time between two promises that only raise the floor.
const raiseEvery = 250 * time.Millisecond

// ProposeBounds returns the changes that should be committed now. They bind the owner from
// this moment on; Committed or Failed must follow.
func (o *Owner) ProposeBounds(now time.Duration) []Change {
	var changes []Change
	for _, name := range o.names() {
		a := o.accounts[name]
		o.advance(now, a)
		want := a.desired(now)
		if a.promises.any && want == a.promises.committed && len(a.promises.proposed) == 0 {
			continue
		}
		loosens := !a.promises.any || want.Floor < a.promises.committed.Floor || want.Cap > a.promises.committed.Cap
		if !loosens && now-a.promises.lastRaise < raiseEvery {
			continue
		}
		a.promises.lastRaise = now
		a.promises.proposed = append(a.promises.proposed, want)
		changes = append(changes, Change{Account: name, Promise: want})
	}
	return changes
}

// Committed says that the changes are in the log. Those proposed before them can't
// come into force any more.
func (o *Owner) Committed(changes []Change) {
	for _, c := range changes {
		a := o.accounts[c.Account]
		a.promises.committed, a.promises.any = c.Promise, true
		a.promises.proposed = nil
	}
}

// normalCap bounds the outstanding slices as long as no large request waits.
func (a *account) normalCap() int64 { return a.limit.Burst / 2 }

// desired is the promise that fits the account now. The floor follows the level in
// steps of an eighth of the burst, so that an account with steady demand changes it
// seldom; floor and cap together never pass the burst.
func (a *account) desired(now time.Duration) DurableBound {
	burst := a.limit.Burst
	if now < a.largeUntil {
		return DurableBound{Cap: max(burst, a.outstanding+a.unknown)}
	}
	// Slices of a former owner count too: a third owner must wait them out as well.
	limit := max(min(burst, a.normalCap()+a.unknown), a.outstanding+a.unknown)
	top := max(0, burst-limit)
	floor := min(a.promises.committed.Floor, top)
	step := burst / 8
	if spare := a.level() - floor; spare < step || spare > 4*step {
		floor = min(top, max(0, a.level()-2*step))
	}
	return DurableBound{Floor: floor, Cap: limit}
}
