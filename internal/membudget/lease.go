package membudget

// Lease is what one holder has of a budget. A few bytes are included in it without being taken, so that large holders never
// keep small ones from going on. It is not safe for concurrent use.
type Lease struct {
	budget   *Budget
	included int64 // bytes that are not taken from the budget
	held     int64
}

// leaseStep is the number of bytes in which a lease grows, so that a buffer that grows rarely changes the budget.
const leaseStep = 64 << 10

// Lease returns a lease that holds nothing yet and includes a number of bytes.
func (b *Budget) Lease(included int64) *Lease { return &Lease{budget: b, included: included} }

// Resize changes the lease to n bytes. It returns false, and changes nothing, if there are not enough left.
func (l *Lease) Resize(n int64) bool {
	wanted := (max(n-l.included, 0) + leaseStep - 1) / leaseStep * leaseStep
	switch {
	case wanted > l.held && !l.budget.TryAcquire(wanted-l.held):
		return false
	case wanted < l.held:
		l.budget.Release(l.held - wanted)
	}
	l.held = wanted
	return true
}

// Release gives all bytes back. The lease may be used again.
func (l *Lease) Release() { l.Resize(0) }
