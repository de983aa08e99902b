package state

import (
	"bytes"
	"io"
	"sync"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
)

// Namespace of the machine in the agreed log.
const Namespace = "state"

const (
	// maxHistory bounds the accepted changes that are kept for operators.
	maxHistory = 20_000
	// maxOperations bounds the first answers kept for resends.
	maxOperations = 250_000
	// OperationRetention is how long a first answer is kept at least, unless more
	// than maxOperations come in that time. An operation ID that shows an older time
	// is refused.
	OperationRetention = 24 * time.Hour
	// maxDeletions bounds the deleted names kept for watchers.
	maxDeletions = 10_000
)

type operationKey struct{ operator, id string }

// Machine is the replicated configuration. Apply, Snapshot and Restore are called
// by one goroutine; the other methods are safe for concurrent use.
type Machine struct {
	mu         sync.RWMutex
	objects    objects
	history    []*pb.HistoryEntry
	operations map[operationKey]*pb.OperationRecord
	order      []operationKey // of operations, oldest first
	deletions  []*pb.DeletionRecord
	floor      uint64 // deletions up to here are no longer known
	view       *View  // as last asked for, or nil
}

// NewMachine returns an empty configuration at revision 0.
func NewMachine() *Machine {
	return &Machine{objects: newObjects(), operations: map[operationKey]*pb.OperationRecord{}}
}

// Apply carries out a committed StateCommand and returns its StateResult.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var cmd pb.StateCommand
	if err := proto.Unmarshal(command, &cmd); err != nil {
		return encodeResult(refused(errkind.Wrap(err, errkind.Corrupt, "command does not decode")))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return encodeResult(m.apply(&cmd))
}

func encodeResult(r *pb.StateResult) []byte {
	b, _ := proto.Marshal(r) // valid messages always encode
	return b
}

func (m *Machine) apply(cmd *pb.StateCommand) *pb.StateResult {
	if first := m.repeated(cmd); first != nil {
		return first
	}
	changed, err := m.evaluate(cmd)
	result := &pb.StateResult{Revision: m.objects.revision + 1}
	if err != nil {
		result = refused(err)
	} else {
		m.accept(cmd, changed)
	}
	m.record(cmd, result)
	return result
}

// repeated returns the first answer of an operation, or a refusal when its ID was
// used for something else, or nil when it is new.
func (m *Machine) repeated(cmd *pb.StateCommand) *pb.StateResult {
	rec := m.operations[operationKey{cmd.GetOperator(), cmd.GetOperationId()}]
	if rec == nil {
		if expired(cmd) {
			return refused(errkind.New(errkind.RequestExpired, "operation ID is older than %s; its outcome is no longer known", OperationRetention))
		}
		return nil
	}
	if !bytes.Equal(rec.GetBodyHash(), cmd.GetBodyHash()) {
		return refused(errkind.New(errkind.OperationMismatch, "operation ID %q was used for another change", cmd.GetOperationId()))
	}
	first := proto.CloneOf(rec.GetResult())
	first.Repeated = true
	return first
}

// expired reports whether the operation ID carries a time before the retention.
func expired(cmd *pb.StateCommand) bool {
	id, err := uuid.Parse(cmd.GetOperationId())
	if err != nil || id.Version() != 7 {
		return false
	}
	sec, nsec := id.Time().UnixTime()
	made := time.Unix(sec, nsec).UnixMilli()
	return made < cmd.GetAcceptedUnixMs()-OperationRetention.Milliseconds()
}

// evaluate works out the objects after a command, without changing anything.
func (m *Machine) evaluate(cmd *pb.StateCommand) (*draft, error) {
	d := newDraft(&m.objects, cmd.GetAcceptedUnixMs())
	if cmd.GetReplace() != nil {
		d.replace(cmd.GetReplace())
		return d, d.check()
	}
	if len(cmd.GetMutations()) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "a change needs at least one mutation")
	}
	for i, mut := range cmd.GetMutations() {
		if err := d.mutate(mut); err != nil {
			e := errkind.Of(err)
			if len(cmd.GetMutations()) > 1 {
				e = errkind.New(e.Kind, "mutation %d: %s", i+1, e.Text)
				e.Revision = errkind.Of(err).Revision
			}
			return nil, e
		}
	}
	return d, d.check()
}

func (m *Machine) accept(cmd *pb.StateCommand, d *draft) {
	m.deletions = append(m.deletions, d.commit()...)
	if n := len(m.deletions) - maxDeletions; n > 0 {
		m.floor = m.deletions[n-1].GetRevision()
		m.deletions = append([]*pb.DeletionRecord(nil), m.deletions[n:]...)
	}
	m.history = append(m.history, &pb.HistoryEntry{
		Revision: m.objects.revision, OperationId: cmd.GetOperationId(), Operator: cmd.GetOperator(),
		Reason: cmd.GetReason(), Mutations: cmd.GetMutations(), AcceptedUnixMs: cmd.GetAcceptedUnixMs(),
	})
	if n := len(m.history) - maxHistory; n > maxHistory/4 {
		m.history = append([]*pb.HistoryEntry(nil), m.history[n:]...)
	}
}

func (m *Machine) record(cmd *pb.StateCommand, result *pb.StateResult) {
	key := operationKey{cmd.GetOperator(), cmd.GetOperationId()}
	m.operations[key] = &pb.OperationRecord{
		Operator: cmd.GetOperator(), OperationId: cmd.GetOperationId(), BodyHash: cmd.GetBodyHash(),
		Result: result, AcceptedUnixMs: cmd.GetAcceptedUnixMs(),
	}
	m.order = append(m.order, key)
	horizon := cmd.GetAcceptedUnixMs() - OperationRetention.Milliseconds()
	drop := 0
	for drop < len(m.order) && (len(m.order)-drop > maxOperations || m.operations[m.order[drop]].GetAcceptedUnixMs() < horizon) {
		delete(m.operations, m.order[drop])
		drop++
	}
	m.order = m.order[drop:]
}

func refused(err error) *pb.StateResult {
	e := errkind.Of(err)
	return &pb.StateResult{ErrorCode: e.Kind.String(), ErrorText: e.Text, ErrorRevision: e.Revision}
}

// DecodeResult turns the machine's answer into a result or an error with its kind.
func DecodeResult(data []byte) (*pb.StateResult, error) {
	var r pb.StateResult
	if err := proto.Unmarshal(data, &r); err != nil {
		return nil, errkind.Wrap(err, errkind.Corrupt, "answer does not decode")
	}
	if r.GetErrorCode() == "" {
		return &r, nil
	}
	kind, _ := errkind.FromCode(r.GetErrorCode())
	e := errkind.New(kind, "%s", r.GetErrorText())
	e.Revision = r.GetErrorRevision()
	return &r, e
}

// DryRun tells what a command would come to, without carrying it out.
func (m *Machine) DryRun(cmd *pb.StateCommand) (*pb.StateResult, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if first := m.repeated(cmd); first != nil {
		return DecodeResult(encodeResult(first))
	}
	if _, err := m.evaluate(cmd); err != nil {
		return nil, err
	}
	return &pb.StateResult{Revision: m.objects.revision + 1}, nil
}

// View returns the configuration at the newest revision.
func (m *Machine) View() *View {
	m.mu.RLock()
	v, revision := m.view, m.objects.revision
	m.mu.RUnlock()
	if v != nil && v.Revision() == revision {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshView()
	return m.view
}

// refreshView brings the view up to the objects. The mutex is held.
func (m *Machine) refreshView() {
	if m.view != nil && m.view.Revision() == m.objects.revision {
		return
	}
	if m.view != nil {
		if d, ok := m.delta(m.view.Revision()); ok {
			m.view = m.view.WithDelta(d)
			return
		}
	}
	m.view = NewView(m.objects.configuration(0))
}

// Revision returns the newest revision.
func (m *Machine) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.objects.revision
}

// History lists accepted changes before a revision (0: all), newest first.
func (m *Machine) History(before uint64, limit int) []*pb.HistoryEntry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []*pb.HistoryEntry
	for i := len(m.history) - 1; i >= 0 && len(out) < limit; i-- {
		if before == 0 || m.history[i].GetRevision() < before {
			out = append(out, m.history[i])
		}
	}
	return out
}

// Delta returns what changed after a revision; ok is false when that is no longer
// known and the whole configuration is needed.
func (m *Machine) Delta(from uint64) (d *pb.Delta, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.delta(from)
}

func (m *Machine) delta(from uint64) (d *pb.Delta, ok bool) {
	if from < m.floor || from > m.objects.revision {
		return nil, false
	}
	d = &pb.Delta{FromRevision: from, ToRevision: m.objects.revision, Changed: m.objects.configuration(from)}
	for _, x := range m.deletions {
		if x.GetRevision() <= from {
			continue
		}
		d.DeletedClientAccounts = appendName(d.DeletedClientAccounts, x.GetClientAccount())
		d.DeletedRoutes = appendName(d.DeletedRoutes, x.GetRoute())
		d.DeletedModels = appendName(d.DeletedModels, x.GetModel())
		d.DeletedEndpoints = appendName(d.DeletedEndpoints, x.GetEndpoint())
	}
	return d, true
}

func appendName(names []string, name string) []string {
	if name == "" {
		return names
	}
	return append(names, name)
}

// Snapshot writes the whole state.
func (m *Machine) Snapshot(w io.Writer) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	img := &pb.StateImage{Format: ImageFormat, Configuration: m.objects.configuration(0), History: m.history,
		Deletions: m.deletions, DeletionsFloor: m.floor}
	for _, key := range m.order {
		img.Operations = append(img.Operations, m.operations[key])
	}
	return writeImage(w, img)
}

// Restore replaces the whole state.
func (m *Machine) Restore(r io.Reader) error {
	img, err := readImage(r)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects = objectsOf(img.GetConfiguration())
	m.history, m.deletions, m.floor, m.view = img.GetHistory(), img.GetDeletions(), img.GetDeletionsFloor(), nil
	m.operations, m.order = map[operationKey]*pb.OperationRecord{}, nil
	for _, rec := range img.GetOperations() {
		key := operationKey{rec.GetOperator(), rec.GetOperationId()}
		m.operations[key] = rec
		m.order = append(m.order, key)
	}
	return nil
}
