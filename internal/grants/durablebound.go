package grants

import "time"

// DurableBound is a replicated bound on one account's bucket, in tokens. Until another
// bound is committed, the owner keeps the balance at or above Floor and the outstanding
// slices at or below Cap.
//
// A new owner starts with a balance of Floor and counts Cap as outstanding at the former
// owner's holders. Floor and Cap together don't exceed the burst, unless the outstanding
// slices alone do. Balance and slices therefore don't exceed the burst across a change of
// owner.
type DurableBound struct {
	Floor int64
	Cap   int64
}

// accountBounds holds the bounds that a new owner may find in the log. While a change is
// in flight, the committed bound and all proposed since then apply together.
type accountBounds struct {
	committed    DurableBound
	hasCommitted bool           // a bound has been committed for this account
	proposed     []DurableBound // since the committed one
	lastProposal time.Duration  // time of the last proposal
}

// strictest returns the bound that satisfies every bound that may be in force. It is zero,
// so that nothing can be granted, until a bound has been committed.
func (b *accountBounds) strictest() DurableBound {
	if !b.hasCommitted {
		return DurableBound{}
	}
	bound := b.committed
	for _, p := range b.proposed {
		bound.Floor = max(bound.Floor, p.Floor)
		bound.Cap = min(bound.Cap, p.Cap)
	}
	return bound
}

// Change sets the durable bound of an account. It is an entry of a command in the log.
type Change struct {
	Account string
	Promise DurableBound // the field's name is part of the gob encoding
}

// minRaiseInterval is the least time between two bounds of an account if the later one
// only raises the floor or lowers the cap.
const minRaiseInterval = 250 * time.Millisecond

// ProposeBounds returns the changes that should be committed now. They apply to the owner
// from now on, whether or not they are committed. Committed must be called once they are.
func (o *Owner) ProposeBounds(now time.Duration) []Change {
	var changes []Change
	for _, name := range o.names() {
		a := o.accounts[name]
		o.advance(now, a)
		desired := a.desiredBound(now)
		if a.bounds.hasCommitted && desired == a.bounds.committed && len(a.bounds.proposed) == 0 {
			continue
		}
		loosens := !a.bounds.hasCommitted || desired.Floor < a.bounds.committed.Floor || desired.Cap > a.bounds.committed.Cap
		if !loosens && now-a.bounds.lastProposal < minRaiseInterval {
			continue
		}
		a.bounds.lastProposal = now
		a.bounds.proposed = append(a.bounds.proposed, desired)
		changes = append(changes, Change{Account: name, Promise: desired})
	}
	return changes
}

// Committed records that the changes are in the log. Bounds that were proposed before them
// can't come into force any more, so they are dropped.
func (o *Owner) Committed(changes []Change) {
	for _, c := range changes {
		a := o.accounts[c.Account]
		a.bounds.committed, a.bounds.hasCommitted = c.Promise, true
		a.bounds.proposed = nil
	}
}

// normalCap returns the cap on outstanding slices while no large request waits.
func (a *account) normalCap() int64 { return a.limit.Burst / 2 }

// desiredBound returns the bound that fits the account now. The floor follows the balance
// in steps of an eighth of the burst, so that it rarely changes for an account with steady
// demand. Floor and Cap together don't exceed the burst, unless the outstanding slices
// alone do.
func (a *account) desiredBound(now time.Duration) DurableBound {
	burst := a.limit.Burst
	if now < a.largeUntil {
		return DurableBound{Cap: max(burst, a.outstanding+a.inherited)}
	}
	// The cap includes slices of a former owner, because the next owner must also wait for
	// their leases to end.
	maxOutstanding := max(min(burst, a.normalCap()+a.inherited), a.outstanding+a.inherited)
	maxFloor := max(0, burst-maxOutstanding)
	floor := min(a.bounds.committed.Floor, maxFloor)
	step := burst / 8
	if margin := a.balance() - floor; margin < step || margin > 4*step {
		floor = min(maxFloor, max(0, a.balance()-2*step))
	}
	return DurableBound{Floor: floor, Cap: maxOutstanding}
}
