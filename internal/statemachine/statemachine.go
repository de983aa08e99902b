// Package statemachine defines the interfaces between consensus and the state that
// it replicates.
//
// Consensus orders opaque commands; a Machine applies them deterministically. A
// Mux gives each service a namespace in one log, so that client accounts, the
// request journal and grant checkpoints share one order and one snapshot.
package statemachine

import (
	"context"
	"encoding/binary"
	"encoding/gob"
	"io"
	"sort"

	"github.com/cockroachdb/errors"
)

// Machine is a deterministic state machine. Apply depends only on the state and
// its arguments: no clock, no randomness, no map order.
type Machine interface {
	// Apply executes a committed command and returns its encoded result.
	Apply(index uint64, command []byte) []byte
	// Snapshot writes the whole state.
	Snapshot(w io.Writer) error
	// Restore replaces the whole state.
	Restore(r io.Reader) error
}

// Worker is implemented by machines with commands that cost more to apply than their size tells.
type Worker interface {
	// AppliedWork returns the work of the last Apply in bytes of commands that would cost as much.
	AppliedWork() int
}

// Proposer appends commands to the replicated log.
type Proposer interface {
	// Propose appends a command to the log and returns its result once this replica
	// has committed and applied it. Errors are errkind NotLeader, NoQuorum or Timeout;
	// after NoQuorum and Timeout the command may still be committed later.
	Propose(ctx context.Context, namespace string, command []byte) (Result, error)
	// ReadBarrier returns once this replica has applied every entry that any replica
	// had committed before the call.
	ReadBarrier(ctx context.Context) error
}

// Leadership reports which replica leads, for services that run only on the leader.
type Leadership interface {
	// Leading reports whether this replica holds the leader lease now, and in which term.
	Leading() (term uint64, ok bool)
	// Leader returns the peer address of the last known leader, or "".
	Leader() string
}

// Result is the outcome of a committed command.
type Result struct {
	Index uint64 // of the command in the log
	Data  []byte // as Machine.Apply returned it
}

// Mux routes commands to machines by namespace.
type Mux struct {
	machines map[string]Machine
	applied  uint64 // log index of the last applied command
	work     int    // see AppliedWork
}

// NewMux returns a mux without machines.
func NewMux() *Mux { return &Mux{machines: map[string]Machine{}} }

// Add registers a machine under a namespace before the log is replayed.
func (m *Mux) Add(namespace string, machine Machine) { m.machines[namespace] = machine }

// EncodeCommand prefixes a command with its namespace.
func EncodeCommand(namespace string, command []byte) []byte {
	out := binary.AppendUvarint(nil, uint64(len(namespace)))
	out = append(out, namespace...)
	return append(out, command...)
}

// Apply routes a command framed by EncodeCommand. A command for an unknown namespace
// has no effect.
func (m *Mux) Apply(index uint64, framed []byte) []byte {
	m.applied, m.work = index, len(framed)
	length, used := binary.Uvarint(framed)
	if used <= 0 || length > uint64(len(framed)-used) {
		return nil
	}
	end := used + int(length)
	machine := m.machines[string(framed[used:end])]
	if machine == nil {
		return nil
	}
	result := machine.Apply(index, framed[end:])
	if worker, ok := machine.(Worker); ok {
		m.work = max(m.work, worker.AppliedWork())
	}
	return result
}

// AppliedWork returns the work of the last Apply in bytes: the size of the command, or more for a Worker.
func (m *Mux) AppliedWork() int { return m.work }

// section is the snapshot of one machine.
type section struct {
	Namespace string
	Data      []byte
}

// image is the encoded form of a snapshot.
type image struct {
	Format   int
	Applied  uint64
	Sections []section
}

const imageFormat = 1

// Snapshot writes the state of every machine, sorted by namespace.
func (m *Mux) Snapshot(w io.Writer) error {
	names := make([]string, 0, len(m.machines))
	for n := range m.machines {
		names = append(names, n)
	}
	sort.Strings(names)
	img := image{Format: imageFormat, Applied: m.applied}
	for _, n := range names {
		var b buffer
		if err := m.machines[n].Snapshot(&b); err != nil {
			return errors.Wrapf(err, "snapshot %s", n)
		}
		img.Sections = append(img.Sections, section{Namespace: n, Data: b})
	}
	return gob.NewEncoder(w).Encode(img)
}

// Restore replaces the state of every machine. It refuses a snapshot that has an
// unknown format or contains an unknown namespace.
func (m *Mux) Restore(r io.Reader) error {
	var img image
	if err := gob.NewDecoder(r).Decode(&img); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if img.Format != imageFormat {
		return errors.Newf("snapshot has format %d, this version reads %d", img.Format, imageFormat)
	}
	for _, s := range img.Sections {
		machine := m.machines[s.Namespace]
		if machine == nil {
			return errors.Newf("snapshot contains the unknown namespace %q", s.Namespace)
		}
		if err := machine.Restore(newReader(s.Data)); err != nil {
			return errors.Wrapf(err, "restore %s", s.Namespace)
		}
	}
	m.applied = img.Applied
	return nil
}
