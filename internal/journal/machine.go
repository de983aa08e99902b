package journal

import (
	"container/heap"
	"encoding/gob"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Namespace is the namespace of the journal's commands in the replicated log.
const Namespace = "journal"

// maxClockSkew limits how far the time in an ID may be ahead of the journal's clock.
const maxClockSkew = 5 * time.Minute

// retryAfterInProgress is the Retry-After of a request that is still running.
const retryAfterInProgress = 500 * time.Millisecond

// Machine is the replicated state machine of the journal.
//
// Invariant: of all claims ever granted for a request ID, at most one is not released by its
// holder before Begin. To this end an ID is kept permanently, unless the time in the ID shows
// that it is older than the retention.
type Machine struct {
	mu           sync.Mutex
	now          int64 // Unix milliseconds, never decreases
	records      map[key]*record
	expiredIDs   map[key]struct{} // IDs without a time whose records have expired
	due          dueQueue
	droppedUntil int64 // newest time in an ID whose record was dropped, in Unix milliseconds
	answerBytes  int64 // total size of all stored answers
	openClaims   int64 // number of records in state claimed
}

// NewMachine returns an empty journal.
func NewMachine() *Machine {
	return &Machine{records: map[key]*record{}, expiredIDs: map[key]struct{}{}}
}

// Apply executes a batch and returns its encoded results, or nil if the batch cannot be
// decoded or the results cannot be encoded.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var b batch
	if decode(command, &b) != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = max(m.now, b.Now)
	m.expire(b.Limits)
	results := make([]result, len(b.Ops))
	for i := range b.Ops {
		results[i] = m.apply(&b.Ops[i], b.Limits)
	}
	data, err := encode(results)
	if err != nil {
		return nil
	}
	return data
}

func (m *Machine) apply(o *op, l Limits) result {
	switch o.Op {
	case opClaim:
		return m.claim(o, l)
	case opComplete:
		return m.complete(o, l)
	case opRelease:
		return m.release(o)
	case opLost:
		return m.lost(o, l)
	}
	return result{}
}

func (m *Machine) claim(o *op, l Limits) result {
	k := keyOf(o.Account, o.ID)
	if r := m.records[k]; r != nil {
		return m.repeatClaim(r, o)
	}
	if _, ok := m.expiredIDs[k]; ok {
		return result{Verdict: expired}
	}
	idTimeMS := idTime(o.ID)
	switch {
	case idTimeMS == 0:
	case idTimeMS <= m.droppedUntil || m.now-idTimeMS >= l.Retention.Milliseconds():
		return result{Verdict: expired}
	case idTimeMS-m.now > maxClockSkew.Milliseconds():
		return result{Verdict: idAhead}
	}
	if m.isFull(l) {
		return result{Verdict: full}
	}
	r := &record{Key: k, Body: o.Body, State: claimed, Claim: o.Claim, Born: idTimeMS}
	r.Due = m.now + (l.BeginLease + l.BeginLease/beginMarginDivisor + l.RunTime).Milliseconds()
	m.records[k] = r
	m.openClaims++
	heap.Push(&m.due, dueEntry{r.Due, k})
	return result{Verdict: granted}
}

// beginMarginDivisor sets the margin that the journal adds to the begin lease, because a claim
// holder's clock may run slow: BeginLease / beginMarginDivisor.
const beginMarginDivisor = 100

// isFull reports whether a new claim must be refused: the number of records and expired IDs is
// at its limit, or the answers of the new and all open claims could exceed the size limit.
func (m *Machine) isFull(l Limits) bool {
	return len(m.records)+len(m.expiredIDs) >= l.Records || m.answerBytes+(m.openClaims+1)*l.AnswerSize > l.Bytes
}

// repeatClaim returns the result of a claim whose ID has a record.
func (m *Machine) repeatClaim(r *record, o *op) result {
	switch {
	case r.Body != o.Body:
		return result{Verdict: bodyMismatch}
	case r.State == claimed && r.Claim == o.Claim:
		return result{Verdict: granted} // a retry whose earlier response was lost
	case r.State == claimed:
		return result{Verdict: inProgress, RetryMS: retryAfterInProgress.Milliseconds()}
	case r.State == unknown:
		return result{Verdict: outcomeUnknown}
	case r.Dropped:
		return result{Verdict: tooLarge}
	}
	answer := r.Answer
	return result{Verdict: stored, Answer: &answer}
}

// complete stores the answer, also if the record has become unknown meanwhile.
func (m *Machine) complete(o *op, l Limits) result {
	r := m.heldRecord(o)
	if r == nil {
		return result{Verdict: notHeld}
	}
	if r.State == answered {
		return result{Verdict: settled} // a retry
	}
	m.settle(r, answered, l)
	if int64(len(o.Answer.Body)) > l.AnswerSize {
		r.Dropped = true
		return result{Verdict: settled}
	}
	r.Answer = o.Answer
	m.answerBytes += int64(len(o.Answer.Body))
	return result{Verdict: settled}
}

// release removes a claim that was not begun, so that the ID can be claimed again.
func (m *Machine) release(o *op) result {
	r := m.heldRecord(o)
	if r == nil || r.State != claimed {
		return result{Verdict: notHeld}
	}
	m.openClaims--
	delete(m.records, r.Key)
	return result{Verdict: settled}
}

// lost marks the record of a claim as unknown.
func (m *Machine) lost(o *op, l Limits) result {
	r := m.heldRecord(o)
	if r == nil {
		return result{Verdict: notHeld}
	}
	if r.State == claimed {
		m.settle(r, unknown, l)
	}
	return result{Verdict: settled}
}

// heldRecord returns the op's record, or nil if the op's claim does not hold it.
func (m *Machine) heldRecord(o *op) *record {
	r := m.records[keyOf(o.Account, o.ID)]
	if r == nil || r.Claim != o.Claim {
		return nil
	}
	return r
}

// settle changes the state of a record and schedules its expiry.
func (m *Machine) settle(r *record, s recordState, l Limits) {
	if r.State == claimed {
		m.openClaims--
	}
	r.State = s
	r.Due = max(m.now, r.Born) + l.Retention.Milliseconds()
	heap.Push(&m.due, dueEntry{r.Due, r.Key})
}

// expire marks overdue claims as unknown and drops records older than the retention. The ID
// of a dropped record is kept, unless its age can be read from the time in the ID.
func (m *Machine) expire(l Limits) {
	for len(m.due) > 0 && m.due[0].dueAt <= m.now {
		entry := heap.Pop(&m.due).(dueEntry)
		r := m.records[entry.key]
		if r == nil || r.Due != entry.dueAt {
			continue
		}
		if r.State == claimed {
			m.settle(r, unknown, l)
			continue
		}
		m.answerBytes -= int64(len(r.Answer.Body))
		delete(m.records, r.Key)
		if r.Born == 0 {
			m.expiredIDs[r.Key] = struct{}{}
		}
		m.droppedUntil = max(m.droppedUntil, r.Born)
	}
}

// image is the encoded form of a snapshot.
type image struct {
	Now     int64
	Dropped int64 // Machine.droppedUntil
	Records []record
	Spent   []key // Machine.expiredIDs
}

// Snapshot writes the state to w.
func (m *Machine) Snapshot(w io.Writer) error {
	m.mu.Lock()
	img := image{Now: m.now, Dropped: m.droppedUntil}
	for _, r := range m.records {
		img.Records = append(img.Records, *r)
	}
	for k := range m.expiredIDs {
		img.Spent = append(img.Spent, k)
	}
	m.mu.Unlock()
	sort.Slice(img.Records, func(i, j int) bool { return lessKey(img.Records[i].Key, img.Records[j].Key) })
	sort.Slice(img.Spent, func(i, j int) bool { return lessKey(img.Spent[i], img.Spent[j]) })
	return errors.Wrap(gob.NewEncoder(w).Encode(img), "encode journal")
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(r io.Reader) error {
	var img image
	if err := gob.NewDecoder(r).Decode(&img); err != nil {
		return errors.Wrap(err, "decode journal")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.droppedUntil = img.Now, img.Dropped
	m.answerBytes, m.openClaims, m.due = 0, 0, nil
	m.records = make(map[key]*record, len(img.Records))
	m.expiredIDs = make(map[key]struct{}, len(img.Spent))
	for i := range img.Records {
		m.addRecord(&img.Records[i])
	}
	for _, k := range img.Spent {
		m.expiredIDs[k] = struct{}{}
	}
	return nil
}

// addRecord adds a record of a snapshot.
func (m *Machine) addRecord(r *record) {
	m.records[r.Key] = r
	m.answerBytes += int64(len(r.Answer.Body))
	if r.State == claimed {
		m.openClaims++
	}
	heap.Push(&m.due, dueEntry{r.Due, r.Key})
}

// Stats has the numbers of records, expired IDs and open claims, and the size of all stored
// answers in bytes.
type Stats struct {
	Records, Expired, Claims int
	AnswerBytes              int64
}

// Stats returns the current counts.
func (m *Machine) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{Records: len(m.records), Expired: len(m.expiredIDs), Claims: int(m.openClaims), AnswerBytes: m.answerBytes}
}
