package fleetcontrol

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync"
	"time"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/textpatch"

	"go.uber.org/zap"
)

// DocumentChange is a document as its difference from the one in force. It is stored in the log and sent to entry
// VMs, so fields may be added only.
type DocumentChange struct {
	Base    int64 // version of the document that the patch was made for
	Version int64 // of the document that results
	Patch   *textpatch.Patch
}

const (
	// minPatchDivisor: a document is proposed as a change if the patch has at most 1/minPatchDivisor of its size.
	minPatchDivisor = 2
	// keptChangesDivisor and maxKeptChanges bound the changes that are kept for entry VMs, which may have missed
	// some: by the size of the document, divided, and by their number.
	keptChangesDivisor = 4
	maxKeptChanges     = 64
	// changeWorkDivisor: the work of applying a change is about that of 1/changeWorkDivisor of the whole document.
	changeWorkDivisor = 8
	// maxOutdatedChanges is the number of changes in a row that another one overtook, after which the whole document
	// is proposed.
	maxOutdatedChanges = 3
)

// Config returns the decoded document, or nil if there is none. The first call decodes it.
func (s *State) Config() *fleet.Config {
	if s.config == nil {
		return nil
	}
	return s.config()
}

// setDocument sets the document of a state that is not published yet. It decodes the document only if the version
// is 0, which means that it is unknown: the proposer has checked a document with a version, and few replicas need
// its content.
func (m *Machine) setDocument(s *State, version int64, document []byte) error {
	s.packed = sync.OnceValue(func() []byte { return m.pack(document) })
	if version != 0 {
		s.Document, s.DocumentVersion = document, version
		s.config = sync.OnceValue(func() *fleet.Config {
			config, err := m.decode(document)
			if err != nil {
				m.log.Error("the proposer of the configuration runs another version of this program, which this one can't decode",
					zap.Int64("version", version), zap.Error(err))
				return nil
			}
			return config
		})
		return nil
	}
	config, err := m.decode(document)
	if err != nil {
		return err
	}
	s.Document, s.DocumentVersion, s.config = document, config.Version, func() *fleet.Config { return config }
	return nil
}

// applyDocument puts a document in force if its version is higher than that of the current one.
func (m *Machine) applyDocument(next *State, version int64, document []byte, change *DocumentChange) []byte {
	before := *next
	if err := m.setDocument(next, version, document); err != nil {
		return refused // the proposer accepted it, so it runs another version of this program
	}
	if before.Document != nil && next.DocumentVersion <= before.DocumentVersion {
		return superseded
	}
	next.changes = keepChange(before.changes, change, len(document))
	m.setState(next)
	return inForce
}

// applyChange applies a change of the document in force.
func (m *Machine) applyChange(next *State, change *DocumentChange) []byte {
	switch {
	case next.Document != nil && change.Version <= next.DocumentVersion:
		return superseded
	case next.Document == nil || next.DocumentVersion != change.Base || change.Patch == nil:
		return outdated
	}
	m.work = len(next.Document) / changeWorkDivisor
	document, err := change.Patch.Apply(next.Document)
	if err != nil {
		return outdated // another text than the proposer's has the version; the whole document replaces it
	}
	return m.applyDocument(next, change.Version, document, change)
}

// keepChange returns the changes to keep once change is applied. A nil change means that the whole document was
// replaced.
func keepChange(kept []DocumentChange, change *DocumentChange, documentSize int) []DocumentChange {
	if change == nil {
		return nil
	}
	size, first := change.Patch.EncodedSize(), len(kept)
	for first > 0 && len(kept)-first+1 < maxKeptChanges {
		if size += kept[first-1].Patch.EncodedSize(); size > documentSize/keptChangesDivisor {
			break
		}
		first--
	}
	return append(append(make([]DocumentChange, 0, len(kept)-first+1), kept[first:]...), *change)
}

// documentUpdate is what an entry VM lacks of the document.
type documentUpdate struct {
	whole, packed []byte
	changes       []DocumentChange
}

// documentFor returns what an entry VM lacks of the document: nothing if it has the one in force, the changes since its
// own if they are kept, and else the whole document, packed if the VM unpacks it.
func (s *State) documentFor(args *PollArgs) documentUpdate {
	if s.Document == nil || s.DocumentVersion == args.DocumentVersion {
		return documentUpdate{}
	}
	for i, change := range s.changes {
		if change.Base == args.DocumentVersion {
			return documentUpdate{changes: s.changes[i:]}
		}
	}
	if args.Unpacks {
		if packed := s.packed(); packed != nil {
			return documentUpdate{packed: packed}
		}
	}
	return documentUpdate{whole: s.Document}
}

// minPackedBytes is the size from which on whole documents are packed for entry VMs. Several megabytes would take
// longer than a poll on their links.
const minPackedBytes = 64 << 10

// pack compresses a document, or returns nil if it is small.
func (m *Machine) pack(document []byte) []byte {
	if len(document) < minPackedBytes {
		return nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err == nil {
		_, err = w.Write(document)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil { // can't happen: the writer is a buffer
		m.log.Error("configuration not packed, sending it as it is", zap.Error(err))
		return nil
	}
	return b.Bytes()
}

// unpack returns the document that was packed.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(r)
}

// ApplyChanges returns the document that results from changes, in their order, of the given one.
func ApplyChanges(document []byte, changes []DocumentChange) ([]byte, error) {
	for _, change := range changes {
		var err error
		if document, err = change.Patch.Apply(document); err != nil {
			return nil, err
		}
	}
	return document, nil
}

// documentCommand returns the command that puts a document in force: a change of the current one if that is
// much smaller.
func documentCommand(current *State, version int64, document []byte) command {
	whole := command{Document: document, Version: version}
	if current.Document == nil {
		return whole
	}
	patch := textpatch.Diff(current.Document, document)
	if patch.EncodedSize() > len(document)/minPatchDivisor {
		return whole
	}
	return command{Change: &DocumentChange{Base: current.DocumentVersion, Version: version, Patch: patch}}
}

// proposeDocument puts a document in force and returns once it is committed, or a document of the same or a higher
// version is. It makes a new change when another one overtakes it. proposed is the size of what it proposed last.
func (o *OperatorAPI) proposeDocument(ctx context.Context, version int64, document []byte) (result []byte, proposed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		changed := o.machine.Changed()
		state := o.machine.State()
		if state.Document != nil && version <= state.DocumentVersion {
			return superseded, proposed, nil // what is applied is committed
		}
		c := command{Document: document, Version: version}
		if attempt < maxOutdatedChanges {
			c = documentCommand(state, version, document)
		}
		if proposed = len(c.Document); c.Change != nil {
			proposed = c.Change.Patch.EncodedSize()
		}
		result, err = o.propose(ctx, c)
		if err != nil || !bytes.Equal(result, outdated) {
			return result, proposed, err
		}
		o.log.Info("another document overtook a change of the configuration", zap.Int64("version", version), zap.Int64("base", state.DocumentVersion), zap.Int("attempt", attempt))
		// The leader has applied another document, which this replica may receive later.
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(proposeRetryPause):
		}
	}
}
