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

// Namespace is the machine's place in the log.
const Namespace = "journal"

// maxSkew bounds how far the time in an ID may be ahead of the journal's clock.
const maxSkew = 5 * time.Minute

// retryInProgress is when to ask again for a request that runs.
const retryInProgress = 500 * time.Millisecond

// Machine is the replicated journal.
//
// Invariant: for each request ID at most one claim is ever granted that was not
// released by its holder before Begin. Records are never forgotten but for IDs whose
// own time says that they are older than the retention.
type Machine struct {
	mu      sync.Mutex
	now     int64 // Unix milliseconds, never goes back
	records map[key]*record
	spent   map[key]struct{} // IDs whose records have expired
	due     dueQueue
	dropped int64 // newest time carried by an ID whose record was dropped
	bytes   int64 // stored answers
	claims  int64 // records in state claimed
}

// NewMachine returns an empty journal.
func NewMachine() *Machine {
	return &Machine{records: map[key]*record{}, spent: map[key]struct{}{}}
}

// Apply carries out a batch.
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
		return m.repeat(r, o)
	}
	if _, gone := m.spent[k]; gone {
		return result{Verdict: expired}
	}
	born := idTime(o.ID)
	switch {
	case born == 0:
	case born <= m.dropped || m.now-born >= l.Retention.Milliseconds():
		return result{Verdict: expired}
	case born-m.now > maxSkew.Milliseconds():
		return result{Verdict: idAhead}
	}
	if m.full(l) {
		return result{Verdict: full}
	}
	r := &record{Key: k, Body: o.Body, State: claimed, Claim: o.Claim, Born: born}
	r.Due = m.now + (l.BeginLease + l.BeginLease/beginMargin + l.RunTime).Milliseconds()
	m.records[k] = r
	m.claims++
	heap.Push(&m.due, dueAt{r.Due, k})
	return result{Verdict: granted}
}

// beginMargin is the part of the begin lease by which the journal waits longer than
// a holder on a slow clock.
const beginMargin = 100

// full says that neither another record nor another answer is sure to find room.
func (m *Machine) full(l Limits) bool {
	return len(m.records)+len(m.spent) >= l.Records || m.bytes+(m.claims+1)*l.AnswerSize > l.Bytes
}

// repeat answers a claim of an ID that is known.
func (m *Machine) repeat(r *record, o *op) result {
	switch {
	case r.Body != o.Body:
		return result{Verdict: bodyMismatch}
	case r.State == claimed && r.Claim == o.Claim:
		return result{Verdict: granted} // the answer to the first message was lost
	case r.State == claimed:
		return result{Verdict: inProgress, RetryMS: retryInProgress.Milliseconds()}
	case r.State == unknown:
		return result{Verdict: outcomeUnknown}
	case r.Dropped:
		return result{Verdict: tooLarge}
	}
	answer := r.Answer
	return result{Verdict: stored, Answer: &answer}
}

// complete stores the answer; it also resolves a record that was unknown meanwhile.
func (m *Machine) complete(o *op, l Limits) result {
	r := m.held(o)
	if r == nil {
		return result{Verdict: notHeld}
	}
	if r.State == answered {
		return result{Verdict: settled} // a repeat
	}
	m.settle(r, answered, l)
	if int64(len(o.Answer.Body)) > l.AnswerSize {
		r.Dropped = true
		return result{Verdict: settled}
	}
	r.Answer = o.Answer
	m.bytes += int64(len(o.Answer.Body))
	return result{Verdict: settled}
}

// release takes back a claim that was not begun; the ID may be claimed again.
func (m *Machine) release(o *op) result {
	r := m.held(o)
	if r == nil || r.State != claimed {
		return result{Verdict: notHeld}
	}
	m.claims--
	delete(m.records, r.Key)
	return result{Verdict: settled}
}

func (m *Machine) lost(o *op, l Limits) result {
	r := m.held(o)
	if r == nil {
		return result{Verdict: notHeld}
	}
	if r.State == claimed {
		m.settle(r, unknown, l)
	}
	return result{Verdict: settled}
}

// held finds the record of a claim.
func (m *Machine) held(o *op) *record {
	r := m.records[keyOf(o.Account, o.ID)]
	if r == nil || r.Claim != o.Claim {
		return nil
	}
	return r
}

func (m *Machine) settle(r *record, s recordState, l Limits) {
	if r.State == claimed {
		m.claims--
	}
	r.State = s
	r.Due = max(m.now, r.Born) + l.Retention.Milliseconds()
	heap.Push(&m.due, dueAt{r.Due, r.Key})
}

// expire turns overdue claims to unknown, and drops what is older than the
// retention. The ID itself is kept, unless its own time tells its age.
func (m *Machine) expire(l Limits) {
	for len(m.due) > 0 && m.due[0].at <= m.now {
		d := heap.Pop(&m.due).(dueAt)
		r := m.records[d.key]
		if r == nil || r.Due != d.at {
			continue
		}
		if r.State == claimed {
			m.settle(r, unknown, l)
			continue
		}
		m.bytes -= int64(len(r.Answer.Body))
		delete(m.records, r.Key)
		if r.Born == 0 {
			m.spent[r.Key] = struct{}{}
		}
		m.dropped = max(m.dropped, r.Born)
	}
}

// image is the machine's snapshot.
type image struct {
	Now     int64
	Dropped int64
	Records []record
	Spent   []key
}

// Snapshot writes the state.
func (m *Machine) Snapshot(w io.Writer) error {
	m.mu.Lock()
	img := image{Now: m.now, Dropped: m.dropped}
	for _, r := range m.records {
		img.Records = append(img.Records, *r)
	}
	for k := range m.spent {
		img.Spent = append(img.Spent, k)
	}
	m.mu.Unlock()
	sort.Slice(img.Records, func(i, j int) bool { return less(img.Records[i].Key, img.Records[j].Key) })
	sort.Slice(img.Spent, func(i, j int) bool { return less(img.Spent[i], img.Spent[j]) })
	return errors.Wrap(gob.NewEncoder(w).Encode(img), "encode journal")
}

// Restore replaces the state.
func (m *Machine) Restore(r io.Reader) error {
	var img image
	if err := gob.NewDecoder(r).Decode(&img); err != nil {
		return errors.Wrap(err, "decode journal")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.dropped = img.Now, img.Dropped
	m.bytes, m.claims, m.due = 0, 0, nil
	m.records = make(map[key]*record, len(img.Records))
	m.spent = make(map[key]struct{}, len(img.Spent))
	for i := range img.Records {
		m.load(&img.Records[i])
	}
	for _, k := range img.Spent {
		m.spent[k] = struct{}{}
	}
	return nil
}

func (m *Machine) load(r *record) {
	m.records[r.Key] = r
	m.bytes += int64(len(r.Answer.Body))
	if r.State == claimed {
		m.claims++
	}
	heap.Push(&m.due, dueAt{r.Due, r.Key})
}

// Stats counts what the journal holds.
type Stats struct {
	Records, Expired, Claims int
	AnswerBytes              int64
}

// Stats returns the counts.
func (m *Machine) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{Records: len(m.records), Expired: len(m.spent), Claims: int(m.claims), AnswerBytes: m.bytes}
}
