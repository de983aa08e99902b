package fleetcontrol

import (
	"cmp"
	"slices"
	"time"

	"eelgrasshollow/internal/rollout"
)

const (
	// OrderLifetime is the time after which a sender gives an order up and aborts its connection.
	OrderLifetime = time.Second
	// unansweredOrderLifetime is the time after an order was sent until which it may still arrive if it was not
	// answered. It covers a partition of five seconds and the time until TCP repeats the bytes after it, on a network
	// that delivers what a connection had sent before it was reset.
	unansweredOrderLifetime = 7 * time.Second
	// orderLeaseMargin is added to the order lease before a new leader sends its first order.
	orderLeaseMargin = 500 * time.Millisecond
)

// orderID identifies an order that a leader has decided to send.
type orderID struct {
	Term   uint64 // of the leader
	Number uint64 // counts the leader's orders in its term
}

// orderRecord is an order that may be on its way to a server. It is part of snapshots, so fields may be added only.
type orderRecord struct {
	ID      orderID
	Address string // of the server: a server that is started there later may get the order, too
}

// ordersCommand changes the record of orders on their way. A leader records an order before it sends it.
type ordersCommand struct {
	Sent []orderRecord
	// Settled are orders that can't arrive any more. SettledBefore is set if that is true of all orders of
	// lower terms.
	Settled       []orderID
	SettledBefore uint64
}

// empty reports whether the command changes nothing.
func (c *ordersCommand) empty() bool {
	return len(c.Sent) == 0 && len(c.Settled) == 0 && c.SettledBefore == 0
}

// applyOrders applies a command to the record of orders.
func (m *Machine) applyOrders(c *ordersCommand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range c.Settled {
		delete(m.orders, id)
	}
	for id := range m.orders {
		if id.Term < c.SettledBefore {
			delete(m.orders, id)
		}
	}
	for _, o := range c.Sent {
		m.orders[o.ID] = o.Address
	}
}

// orderRecords returns the orders that may be on their way, in the order of their IDs.
func (m *Machine) orderRecords() []orderRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	records := make([]orderRecord, 0, len(m.orders))
	for id, address := range m.orders {
		records = append(records, orderRecord{id, address})
	}
	slices.SortFunc(records, func(a, b orderRecord) int { return a.ID.compare(b.ID) })
	return records
}

// unansweredBefore returns the addresses of the servers to which orders of leaders before a term may be on their way.
func (m *Machine) unansweredBefore(term uint64) map[string]bool {
	addresses := map[string]bool{}
	m.mu.RLock()
	defer m.mu.RUnlock()
	for id, address := range m.orders {
		if id.Term < term {
			addresses[address] = true
		}
	}
	return addresses
}

// restoreOrders replaces the record of orders.
func (m *Machine) restoreOrders(records []orderRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orders = map[orderID]string{}
	for _, o := range records {
		m.orders[o.ID] = o.Address
	}
}

// orderBook holds the orders of one leader's term: those that wait to be recorded, those that were sent, and those
// that were settled and are still recorded. It is not safe for concurrent use.
type orderBook struct {
	term       uint64
	lastNumber uint64
	due        []rollout.Call
	sent       int // orders without a result
	settled    []orderID
	// unanswered are orders that were given up, in the order in which they can't arrive any more.
	unanswered []unansweredOrder
	// recording is set while a command is being committed.
	recording bool
}

// unansweredOrder is an order without an answer, and the time from which on it can't arrive.
type unansweredOrder struct {
	id    orderID
	until time.Time
}

// recordedOrder is an order whose record is being committed.
type recordedOrder struct {
	id   orderID
	call rollout.Call
}

// next returns the command that is to be committed now, and the orders that may be sent once it is. The command is
// empty if there is nothing to record. former is set if orders of former leaders are recorded that can't arrive any more.
func (b *orderBook) next(now time.Time, former bool) (ordersCommand, []recordedOrder) {
	for len(b.unanswered) > 0 && !now.Before(b.unanswered[0].until) {
		b.settled = append(b.settled, b.unanswered[0].id)
		b.unanswered = b.unanswered[1:]
	}
	var c ordersCommand
	if b.recording {
		return c, nil
	}
	if former {
		c.SettledBefore = b.term
	}
	c.Settled, b.settled = b.settled, nil
	orders := make([]recordedOrder, 0, len(b.due))
	for _, call := range b.due {
		b.lastNumber++
		o := recordedOrder{orderID{b.term, b.lastNumber}, call}
		orders = append(orders, o)
		c.Sent = append(c.Sent, orderRecord{o.id, call.Server.Address})
	}
	b.due = nil
	b.recording = !c.empty()
	return c, orders
}

// notRecorded takes back a command that may not have been committed. Its orders are not sent.
func (b *orderBook) notRecorded(c ordersCommand) {
	b.recording = false
	b.settled = append(b.settled, c.Settled...)
	for _, o := range c.Sent {
		b.settled = append(b.settled, o.ID)
	}
}

// finish records the outcome of an order.
func (b *orderBook) finish(now time.Time, id orderID, outcome rollout.Outcome) {
	b.sent--
	if outcome == rollout.Unanswered {
		b.unanswered = append(b.unanswered, unansweredOrder{id, now.Add(unansweredOrderLifetime)})
		return
	}
	b.settled = append(b.settled, id)
}

// idle reports whether the outcome of all orders is known and recorded.
func (b *orderBook) idle() bool {
	return !b.recording && b.sent == 0 && len(b.due) == 0 && len(b.settled) == 0
}

func (id orderID) compare(other orderID) int {
	return cmp.Or(cmp.Compare(id.Term, other.Term), cmp.Compare(id.Number, other.Number))
}
