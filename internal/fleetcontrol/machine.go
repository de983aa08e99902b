// Package fleetcontrol is the control side of a fleet's configuration: the replicated
// document and the named weights, operators' calls, the list of servers, the entry VMs
// that are there, and the poll by which entry VMs follow all of it.
//
// Invariants: the document with the highest version is in force, and the first accepted
// document of a version stays the only one; what entry VMs are told was true on a
// replica that held the leader's lease when it answered.
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
)

// Namespace of the machine in the agreed log.
const Namespace = "fleet"

// Decode reads and checks a document. Errors are errkind InvalidRequest.
type Decode func([]byte) (*fleet.Config, error)

// command is one entry of the log: a document, or new weights.
type command struct {
	Document []byte
	Model    string
	Version  int64 // of the weights
}

func (c command) encode() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(c)
	return b.Bytes(), errors.Wrap(err, "encode command")
}

// Results of an applied command.
var (
	inForce    = []byte{1}
	superseded = []byte{2} // a document or weights of the same or a higher version stand
	refused    = []byte{0}
)

// State is the replicated state at one revision. It is immutable.
type State struct {
	// Revision is the log index of the last change; 0 without any.
	Revision uint64
	// Document is the newest configuration as the operator sent it, or nil.
	Document []byte
	Config   *fleet.Config
	// TargetVersions is the newest version named for each model.
	TargetVersions map[string]int64
	// TargetHistory are the last versions of each model, the newest last, with the time at which
	// this replica first saw them named. It is not replicated: a replica that starts from a
	// snapshot counts from then on.
	TargetHistory map[string][]TargetVersion
}

// TargetVersion is a version of a model's weights and when it was named.
type TargetVersion struct {
	Version int64
	At      time.Time
}

// namingsKept is how many versions of a model are remembered: more than are named within
// the time that servers have for one.
const namingsKept = 16

// Machine keeps the newest document. Apply, Snapshot and Restore are called by one
// goroutine; Held is safe for concurrent use.
type Machine struct {
	decode Decode
	now    clock.Clock
	mu     sync.RWMutex
	held   *State
}

// NewMachine returns an empty machine.
func NewMachine(decode Decode, now clock.Clock) *Machine {
	return &Machine{decode: decode, now: now, held: &State{}}
}

// State returns the present state.
func (m *Machine) State() *State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.held
}

// Apply carries out a committed command.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	var c command
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&c); err != nil {
		return refused
	}
	old := m.State()
	next := *old
	next.Revision = index
	if c.Document == nil {
		if c.Version <= old.TargetVersions[c.Model] {
			return superseded
		}
		next.TargetVersions, next.TargetHistory = maps.Clone(old.TargetVersions), maps.Clone(old.TargetHistory)
		if next.TargetVersions == nil {
			next.TargetVersions, next.TargetHistory = map[string]int64{}, map[string][]TargetVersion{}
		}
		next.TargetVersions[c.Model] = c.Version
		all := append(slices.Clone(old.TargetHistory[c.Model]), TargetVersion{Version: c.Version, At: m.now()})
		next.TargetHistory[c.Model] = all[max(0, len(all)-namingsKept):]
		m.set(&next)
		return inForce
	}
	config, err := m.decode(c.Document)
	if err != nil {
		return refused // it was checked before it was proposed, by another version of this program
	}
	if old.Config != nil && config.Version <= old.Config.Version {
		return superseded
	}
	next.Document, next.Config = c.Document, config
	m.set(&next)
	return inForce
}

func (m *Machine) set(h *State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held = h
}

// image is the machine's form in a snapshot.
type image struct {
	Revision uint64
	Document []byte
	Weights  map[string]int64
}

// Snapshot writes the state.
func (m *Machine) Snapshot(w io.Writer) error {
	h := m.State()
	return errors.Wrap(gob.NewEncoder(w).Encode(image{h.Revision, h.Document, h.TargetVersions}), "encode fleet")
}

// Restore replaces the state.
func (m *Machine) Restore(r io.Reader) error {
	var i image
	if err := gob.NewDecoder(r).Decode(&i); err != nil {
		return errors.Wrap(err, "decode fleet")
	}
	h := &State{Revision: i.Revision, Document: i.Document, TargetVersions: i.Weights, TargetHistory: map[string][]TargetVersion{}}
	for model, version := range i.Weights {
		h.TargetHistory[model] = []TargetVersion{{Version: version, At: m.now()}}
	}
	if i.Document != nil {
		config, err := m.decode(i.Document)
		if err != nil {
			return errkind.Wrap(err, errkind.Corrupt, "document of the snapshot")
		}
		h.Config = config
	}
	m.set(h)
	return nil
}

// Limits implements grants.Limits over the document's client accounts.
func (m *Machine) Limits() (map[string]grants.Limit, uint64, bool) {
	h := m.State()
	if h.Config == nil {
		return nil, 0, false
	}
	limits := map[string]grants.Limit{}
	for _, a := range h.Config.Accounts {
		if a.Rate > 0 {
			limits[a.Name] = grants.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return limits, h.Revision, true
}
