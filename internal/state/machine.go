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

// Namespace is the machine's namespace in the replicated log.
const Namespace = "state"

const (
	// maxHistory bounds the number of accepted changes kept for operators.
	maxHistory = 20_000
	// maxOperations bounds the number of operation results kept for resends.
	maxOperations = 250_000
	// OperationRetention is the minimum time for which an operation's result is kept,
	// unless more than maxOperations arrive in that time. An operation ID whose own
	// timestamp is older is refused.
	OperationRetention = 24 * time.Hour
	// maxDeletions bounds the number of deletion records kept for watchers.
	maxDeletions = 10_000
)

// operationKey identifies an operation of an operator.
type operationKey struct{ operator, id string }

// Machine is the state machine of the replicated configuration. Apply, Snapshot and
// Restore must be called by one goroutine; the other methods are safe for concurrent use.
type Machine struct {
	mu             sync.RWMutex
	objects        objects
	history        []*pb.HistoryEntry
	operations     map[operationKey]*pb.OperationRecord
	operationOrder []operationKey // keys of operations, oldest first
	deletions      []*pb.DeletionRecord
	deletionsFloor uint64 // deletions up to this revision are no longer recorded
	cachedView     *View  // of the last View call, or nil
}

// NewMachine returns a machine with an empty configuration at revision 0.
func NewMachine() *Machine {
	return &Machine{objects: newObjects(), operations: map[operationKey]*pb.OperationRecord{}}
}

// Apply executes a committed StateCommand and returns its encoded StateResult. The error
// texts of refusals stay as they are: they are stored in replicated results, and replicas of
// different versions must store the same bytes.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var cmd pb.StateCommand
	if err := proto.Unmarshal(command, &cmd); err != nil {
		return encodeResult(refusal(errkind.Wrap(err, errkind.Corrupt, "command does not decode")))
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
	if first := m.recordedResult(cmd); first != nil {
		return first
	}
	changed, err := m.evaluate(cmd)
	result := &pb.StateResult{Revision: m.objects.revision + 1}
	if err != nil {
		result = refusal(err)
	} else {
		m.accept(cmd, changed)
	}
	m.record(cmd, result)
	return result
}

// recordedResult returns the recorded result of an operation, a refusal if its ID was
// used for another change or has expired, or nil for a new operation.
func (m *Machine) recordedResult(cmd *pb.StateCommand) *pb.StateResult {
	rec := m.operations[operationKey{cmd.GetOperator(), cmd.GetOperationId()}]
	if rec == nil {
		if operationExpired(cmd) {
			return refusal(errkind.New(errkind.RequestExpired, "operation ID is older than %s; its outcome is no longer known", OperationRetention))
		}
		return nil
	}
	if !bytes.Equal(rec.GetBodyHash(), cmd.GetBodyHash()) {
		return refusal(errkind.New(errkind.OperationMismatch, "operation ID %q was used for another change", cmd.GetOperationId()))
	}
	first := proto.CloneOf(rec.GetResult())
	first.Repeated = true
	return first
}

// operationExpired reports whether a command's operation ID is a UUIDv7 whose timestamp is
// older than OperationRetention.
func operationExpired(cmd *pb.StateCommand) bool {
	id, err := uuid.Parse(cmd.GetOperationId())
	if err != nil || id.Version() != 7 {
		return false
	}
	sec, nsec := id.Time().UnixTime()
	issuedMs := time.Unix(sec, nsec).UnixMilli()
	return issuedMs < cmd.GetAcceptedUnixMs()-OperationRetention.Milliseconds()
}

// evaluate returns the draft of a command's changes. It does not modify the machine.
func (m *Machine) evaluate(cmd *pb.StateCommand) (*draft, error) {
	d := newDraft(&m.objects, cmd.GetAcceptedUnixMs())
	if cmd.GetReplace() != nil {
		d.replace(cmd.GetReplace())
		return d, d.check()
	}
	if len(cmd.GetMutations()) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "a change needs at least one mutation")
	}
	for i, mutation := range cmd.GetMutations() {
		if err := d.mutate(mutation); err != nil {
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

// accept commits the draft of a command and records its deletions and its history entry.
func (m *Machine) accept(cmd *pb.StateCommand, d *draft) {
	m.deletions = append(m.deletions, d.commit()...)
	if n := len(m.deletions) - maxDeletions; n > 0 {
		m.deletionsFloor = m.deletions[n-1].GetRevision()
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

// record stores the result of an operation for resends and drops results that are beyond
// the retention or the maximum number.
func (m *Machine) record(cmd *pb.StateCommand, result *pb.StateResult) {
	key := operationKey{cmd.GetOperator(), cmd.GetOperationId()}
	m.operations[key] = &pb.OperationRecord{
		Operator: cmd.GetOperator(), OperationId: cmd.GetOperationId(), BodyHash: cmd.GetBodyHash(),
		Result: result, AcceptedUnixMs: cmd.GetAcceptedUnixMs(),
	}
	m.operationOrder = append(m.operationOrder, key)
	cutoffMs := cmd.GetAcceptedUnixMs() - OperationRetention.Milliseconds()
	expired := 0
	for expired < len(m.operationOrder) && (len(m.operationOrder)-expired > maxOperations || m.operations[m.operationOrder[expired]].GetAcceptedUnixMs() < cutoffMs) {
		delete(m.operations, m.operationOrder[expired])
		expired++
	}
	m.operationOrder = m.operationOrder[expired:]
}

// refusal encodes an error as a result.
func refusal(err error) *pb.StateResult {
	e := errkind.Of(err)
	return &pb.StateResult{ErrorCode: e.Kind.String(), ErrorText: e.Text, ErrorRevision: e.Revision}
}

// DecodeResult decodes a result returned by Apply. For a refusal it returns the result
// and an error of the refusal's kind and revision.
func DecodeResult(data []byte) (*pb.StateResult, error) {
	var r pb.StateResult
	if err := proto.Unmarshal(data, &r); err != nil {
		return nil, errkind.Wrap(err, errkind.Corrupt, "result can't be decoded")
	}
	if r.GetErrorCode() == "" {
		return &r, nil
	}
	kind, _ := errkind.FromCode(r.GetErrorCode())
	e := errkind.New(kind, "%s", r.GetErrorText())
	e.Revision = r.GetErrorRevision()
	return &r, e
}

// DryRun returns the result that a command would have now, without executing it.
func (m *Machine) DryRun(cmd *pb.StateCommand) (*pb.StateResult, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if first := m.recordedResult(cmd); first != nil {
		return DecodeResult(encodeResult(first))
	}
	if _, err := m.evaluate(cmd); err != nil {
		return nil, err
	}
	return &pb.StateResult{Revision: m.objects.revision + 1}, nil
}

// View returns a view of the configuration at the newest revision.
func (m *Machine) View() *View {
	m.mu.RLock()
	v, revision := m.cachedView, m.objects.revision
	m.mu.RUnlock()
	if v != nil && v.Revision() == revision {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshView()
	return m.cachedView
}

// refreshView updates the cached view to the newest revision. The mutex is held.
func (m *Machine) refreshView() {
	if m.cachedView != nil && m.cachedView.Revision() == m.objects.revision {
		return
	}
	if m.cachedView != nil {
		if d, ok := m.delta(m.cachedView.Revision()); ok {
			m.cachedView = m.cachedView.WithDelta(d)
			return
		}
	}
	m.cachedView = NewView(m.objects.configuration(0))
}

// Revision returns the newest revision.
func (m *Machine) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.objects.revision
}

// History returns up to limit accepted changes, newest first. If before is not 0, it
// returns only changes before that revision.
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

// Delta returns the changes after revision from. ok is false if they are no longer
// recorded, or if from is newer than the machine; the whole configuration is needed then.
func (m *Machine) Delta(from uint64) (d *pb.Delta, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.delta(from)
}

// delta implements Delta. The mutex is held.
func (m *Machine) delta(from uint64) (d *pb.Delta, ok bool) {
	if from < m.deletionsFloor || from > m.objects.revision {
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

// appendName appends a name that is not empty.
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
		Deletions: m.deletions, DeletionsFloor: m.deletionsFloor}
	for _, key := range m.operationOrder {
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
	m.history, m.deletions, m.deletionsFloor, m.cachedView = img.GetHistory(), img.GetDeletions(), img.GetDeletionsFloor(), nil
	m.operations, m.operationOrder = map[operationKey]*pb.OperationRecord{}, nil
	for _, rec := range img.GetOperations() {
		key := operationKey{rec.GetOperator(), rec.GetOperationId()}
		m.operations[key] = rec
		m.operationOrder = append(m.operationOrder, key)
	}
	return nil
}
