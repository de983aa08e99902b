// Package fleetcontrol is the control side of a fleet. It replicates the configuration document
// and the target weights versions, executes operator requests, reads the list of servers,
// rolls weights out to them, tracks the live entry VMs, and serves the long poll by which
// entry VMs follow these.
//
// Invariants:
//   - The document with the highest version is in force, and the first accepted document of a
//     version is the only one of that version.
//   - The state in a poll's reply is that of a replica that held the leader lease when it
//     responded.
package fleetcontrol

import (
	"bytes"
	"encoding/gob"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/grants"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Namespace is the namespace of the Machine in the replicated log.
const Namespace = "fleet"

// Decode decodes and checks a document. Errors are errkind InvalidRequest.
type Decode func([]byte) (*fleet.Config, error)

// command is one entry of the log: a document or a change of it, a new target weights version of a model, a step of a
// rollout of a release, or a change of the record of orders.
type command struct {
	Document []byte
	// Change is set alone. Builds without it take such a command for one that has been superseded.
	Change *DocumentChange
	Model  string
	// Version is that of the weights or of Document. Builds before set it for weights only.
	Version int64
	// Rollout is set alone. Builds without it take such a command for one that has been superseded.
	Rollout *rolloutCommand
	// Orders is set alone. Builds without it take such a command for one that has been superseded.
	Orders *ordersCommand
}

func (c command) encode() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(c)
	return b.Bytes(), errors.Wrap(err, "encode command")
}

// Results of an applied command: the command took effect, was superseded, or was refused.
var (
	inForce    = []byte{1}
	superseded = []byte{2} // a document or target of the same or a higher version is in force
	refused    = []byte{0}
	conflicts  = []byte{3} // another rollout of the service is running
	outdated   = []byte{4} // the change was made for another document than the one in force
)

// State is the replicated state at one revision. It is immutable.
type State struct {
	// Revision is the log index of the last change; 0 before the first one.
	Revision uint64
	// Document is the newest configuration as the operator sent it, or nil, and DocumentVersion its version.
	Document        []byte
	DocumentVersion int64
	// TargetVersions is the target weights version of each model.
	TargetVersions map[string]int64
	// TargetHistory is the recent target versions of each model, the newest last, with the
	// times at which this replica applied them. The times are not replicated: after a restore
	// from a snapshot, the time of a version is that of the restore.
	TargetHistory map[string][]TargetVersion
	// Rollouts holds the recent rollouts of each service, the newest last.
	Rollouts map[string][]Rollout
	// changes are the last changes that led to Document, each made for the result of the one before.
	changes []DocumentChange
	// config decodes Document when it is first called, and packed compresses it; nil if there is no document.
	config func() *fleet.Config
	packed func() []byte
}

// TargetVersion is a target weights version and the time from which on it is the target.
type TargetVersion struct {
	Version int64
	At      time.Time
}

// maxTargetHistory is the length of a model's history: more versions than become the target
// within the time that servers have to load one.
const maxTargetHistory = 16

// Machine is the replicated state machine of the document and the target weights versions.
// Apply, Snapshot and Restore are called by one goroutine; State is safe for concurrent use.
type Machine struct {
	decode    Decode
	now       clock.Clock
	startedAt time.Time
	// freshAsOf returns the time as of which the state is known to be complete, or zero; nil if unknown.
	freshAsOf func() time.Time
	log       *zap.Logger

	mu      sync.RWMutex
	state   *State
	changed chan struct{} // closed when the state changes
	// orders holds the server's address of each order that may be on its way. Entry VMs don't need it, so it is no
	// part of the state that they follow.
	orders map[orderID]string
	// work is what the last command cost beyond its own size; see AppliedWork.
	work int
}

// NewMachine returns an empty machine.
func NewMachine(decode Decode, now clock.Clock) *Machine {
	return &Machine{decode: decode, now: now, startedAt: now(), log: zap.NewNop(), state: &State{}, changed: make(chan struct{}), orders: map[orderID]string{}}
}

// State returns the current state.
func (m *Machine) State() *State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state
}

// Changed returns a channel that is closed when the state changes after the call.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// AppliedWork implements statemachine.Worker: applying a change takes a part of the whole document's time, though the
// command is small.
func (m *Machine) AppliedWork() int { return m.work }

// Apply executes a committed command and returns inForce, superseded, outdated or refused.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	m.work = 0
	var c command
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&c); err != nil {
		return refused
	}
	if c.Orders != nil {
		m.applyOrders(c.Orders)
		return inForce
	}
	old := m.State()
	next := *old
	next.Revision = index
	if c.Rollout != nil {
		result := m.applyRollout(&next, c.Rollout)
		if next.Rollouts != nil && !sameRollouts(old.Rollouts, next.Rollouts) {
			m.setState(&next)
		}
		return result
	}
	if c.Change != nil {
		return m.applyChange(&next, c.Change)
	}
	if c.Document == nil {
		if c.Version <= old.TargetVersions[c.Model] {
			return superseded
		}
		next.TargetVersions, next.TargetHistory = maps.Clone(old.TargetVersions), maps.Clone(old.TargetHistory)
		if next.TargetVersions == nil {
			next.TargetVersions, next.TargetHistory = map[string]int64{}, map[string][]TargetVersion{}
		}
		next.TargetVersions[c.Model] = c.Version
		history := append(slices.Clone(old.TargetHistory[c.Model]), TargetVersion{Version: c.Version, At: m.now()})
		next.TargetHistory[c.Model] = history[max(0, len(history)-maxTargetHistory):]
		m.setState(&next)
		return inForce
	}
	return m.applyDocument(&next, c.Version, c.Document, nil)
}

func (m *Machine) setState(s *State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	close(m.changed)
	m.changed = make(chan struct{})
}

// image is the encoded form of a snapshot.
type image struct {
	Revision uint64
	Document []byte
	// DocumentVersion is not set by builds before.
	DocumentVersion int64
	Weights         map[string]int64
	Rollouts        map[string][]Rollout
	Orders          []orderRecord
}

// Snapshot writes the state.
func (m *Machine) Snapshot(w io.Writer) error {
	s := m.State()
	return errors.Wrap(gob.NewEncoder(w).Encode(image{Revision: s.Revision, Document: s.Document, DocumentVersion: s.DocumentVersion, Weights: s.TargetVersions, Rollouts: s.Rollouts, Orders: m.orderRecords()}), "encode fleet snapshot")
}

// Restore replaces the state.
func (m *Machine) Restore(r io.Reader) error {
	var i image
	if err := gob.NewDecoder(r).Decode(&i); err != nil {
		return errors.Wrap(err, "decode fleet snapshot")
	}
	s := &State{Revision: i.Revision, Document: i.Document, TargetVersions: i.Weights, TargetHistory: map[string][]TargetVersion{}, Rollouts: m.restoreRollouts(i.Rollouts)}
	for model, version := range i.Weights {
		s.TargetHistory[model] = []TargetVersion{{Version: version, At: m.now()}}
	}
	if i.Document != nil {
		if err := m.setDocument(s, i.DocumentVersion, i.Document); err != nil {
			return errkind.Wrap(err, errkind.Corrupt, "decode document of the snapshot")
		}
	}
	m.restoreOrders(i.Orders)
	m.setState(s)
	return nil
}

// Limits implements grants.Limits with the rates of the document's client accounts.
func (m *Machine) Limits() (map[string]grants.Limit, uint64, bool) {
	s := m.State()
	config := s.Config()
	if config == nil {
		return nil, 0, false
	}
	limits := map[string]grants.Limit{}
	for _, a := range config.Accounts {
		if a.Rate > 0 {
			limits[a.Name] = grants.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return limits, s.Revision, true
}
