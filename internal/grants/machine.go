package grants

import (
	"bytes"
	"encoding/gob"
	"io"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Namespace is the machine's namespace in the replicated log.
const Namespace = "grants"

// command is an entry of the log with durable bounds from the owner of a term. An entry
// without changes starts the ownership of the term.
type command struct {
	Term     uint64
	Changes  []Change
	Advances []Advance
	Served   ServiceTime
}

// Machine is the replicated state machine that keeps the last durable bound of each
// account. Its methods may be called from any goroutine.
//
// Invariant: once a command of a term is applied, no command of an earlier term is.
type Machine struct {
	mu       sync.Mutex
	term     uint64
	bounds   map[string]DurableBound
	served   ServiceTime
	advances []Advance // oldest first
}

// advanceRetention is the service time for which the machine keeps an advance: longer than
// any advanceHorizon.
const advanceRetention = time.Minute

// NewMachine returns a machine without durable bounds.
func NewMachine() *Machine { return &Machine{bounds: map[string]DurableBound{}} }

// Results of an applied command.
var (
	applied = []byte{1}
	refused = []byte{0}
)

// Apply records the bounds of an encoded command. It refuses commands that can't be decoded
// or are of an earlier term than the last one applied.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var c command
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&c); err != nil {
		return refused
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Term < m.term {
		return refused
	}
	m.term = c.Term
	for _, ch := range c.Changes {
		m.bounds[ch.Account] = ch.Promise
	}
	m.served = max(m.served, c.Served)
	m.advances = append(m.advances, c.Advances...)
	m.advances = slices.DeleteFunc(m.advances, func(a Advance) bool { return m.served-a.At > advanceRetention })
	return applied
}

// Served returns the durable service time.
func (m *Machine) Served() ServiceTime {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.served
}

// Advanced returns the tokens that were advanced to an account within the horizon, and
// whether any account has such an advance.
func (m *Machine) Advanced(account string, horizon ServiceTime) (tokens int64, some bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.advances {
		if m.served-a.At > horizon {
			continue
		}
		some = true
		if a.Account == account {
			tokens += a.Tokens
		}
	}
	return tokens, some
}

// Bound returns the last durable bound of an account, or false if there is none.
func (m *Machine) Bound(account string) (DurableBound, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.bounds[account]
	return b, ok
}

// Bounds returns the last durable bounds of all accounts, ordered by account.
func (m *Machine) Bounds() []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Change, 0, len(m.bounds))
	for n, b := range m.bounds {
		all = append(all, Change{Account: n, Promise: b})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Account < all[j].Account })
	return all
}

// Snapshot writes the state as one encoded command.
func (m *Machine) Snapshot(w io.Writer) error {
	m.mu.Lock()
	c := command{Term: m.term, Advances: slices.Clone(m.advances), Served: m.served}
	m.mu.Unlock()
	c.Changes = m.Bounds()
	return errors.Wrap(gob.NewEncoder(w).Encode(c), "encode durable bounds")
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(r io.Reader) error {
	var c command
	if err := gob.NewDecoder(r).Decode(&c); err != nil {
		return errors.Wrap(err, "decode durable bounds")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term, m.bounds, m.served, m.advances = c.Term, map[string]DurableBound{}, c.Served, c.Advances
	for _, ch := range c.Changes {
		m.bounds[ch.Account] = ch.Promise
	}
	return nil
}

// encode returns the command as it is stored in the log.
func (c command) encode() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(c)
	return b.Bytes(), errors.Wrap(err, "encode durable bounds")
}
