package grants

import (
	"bytes"
	"encoding/gob"
	"io"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"
)

// Namespace is the machine's place in the log.
const Namespace = "grants"

// command is one entry of the log: promises of the owner of a term. An entry without
// changes takes the ownership for the term.
type command struct {
	Term    uint64
	Changes []Change
}

// Machine keeps the last promise for each account. Its methods may be called from
// any goroutine.
//
// Invariant: once an owner has taken a term, no promise of an earlier term is applied.
type Machine struct {
	mu       sync.Mutex
	term     uint64
	promises map[string]DurableBound
}

// NewMachine returns a machine without promises.
func NewMachine() *Machine { return &Machine{promises: map[string]DurableBound{}} }

// Results of an applied command.
var (
	applied = []byte{1}
	refused = []byte{0}
)

// Apply records promises; those of an earlier term than the last seen are refused.
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
		m.promises[ch.Account] = ch.Promise
	}
	return applied
}

// Bound returns the last promise for an account.
func (m *Machine) Bound(account string) (DurableBound, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.promises[account]
	return p, ok
}

// Bounds returns every account's last promise.
func (m *Machine) Bounds() []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Change, 0, len(m.promises))
	for n, p := range m.promises {
		all = append(all, Change{Account: n, Promise: p})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Account < all[j].Account })
	return all
}

// Snapshot writes the state.
func (m *Machine) Snapshot(w io.Writer) error {
	m.mu.Lock()
	term := m.term
	m.mu.Unlock()
	c := command{Term: term, Changes: m.Bounds()}
	return errors.Wrap(gob.NewEncoder(w).Encode(c), "encode promises")
}

// Restore replaces the state.
func (m *Machine) Restore(r io.Reader) error {
	var c command
	if err := gob.NewDecoder(r).Decode(&c); err != nil {
		return errors.Wrap(err, "decode promises")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term, m.promises = c.Term, map[string]DurableBound{}
	for _, ch := range c.Changes {
		m.promises[ch.Account] = ch.Promise
	}
	return nil
}

// encode turns a command into the form of the log.
func (c command) encode() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(c)
	return b.Bytes(), errors.Wrap(err, "encode promises")
}
