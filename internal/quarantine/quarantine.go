// Package quarantine finds the prompt parts under which endpoints crash, and keeps requests with
// them away from endpoints.
//
// A crash ends all requests in flight at an endpoint, and any part of those that had no answer yet
// may have caused it. What tells the cause from the others is that no request with it is ever
// answered, and that endpoints go on crashing under it. So a Table counts for each part a chain
// of crashes: each was suffered by a request that a VM had sent when it knew of the crashes
// before. Endpoints that end together, as after a loss of power, are one link of a chain. An
// answer to any request with the part clears it. A part is quarantined when its chain has
// usualChain links and it was in flight at most of the crashes that this VM has heard of
// meanwhile; a longer chain is needed where endpoints crash for other reasons too. Requests with a
// quarantined part are refused, apart from rare trials, and from early ones that tell parts apart
// which suffered the same crashes.
//
// VMs exchange the records of parts and merge them. Records may be lost, repeated and reordered.
//
// A Table does no I/O and has no clock of its own. It is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
)

const (
	// A part that was in flight at most crashes is quarantined from a chain of usualChain links on,
	// any part from longChain links on.
	usualChain = 3
	longChain  = 5
	// maxSeenCrashes bounds the crashes that a VM remembers.
	maxSeenCrashes = 64
	// firstTrialAfter is the time from the quarantine of a part to the first trial. It grows by
	// trialBackoff with each trial that crashes an endpoint, up to maxTrialAfter.
	firstTrialAfter = 30 * time.Second
	trialBackoff    = 4
	maxTrialAfter   = time.Hour
	// trialTimeout is the time after which a trial without a result no longer holds up the next.
	trialTimeout = 10 * time.Second
	// recordTTL is the time without a change after which a record is dropped.
	recordTTL = 2 * maxTrialAfter
	// maxRecords bounds the parts of a table.
	maxRecords = 4096
	// repeatInterval is the time between two announcements of a quarantined part, as news may be lost.
	repeatInterval = time.Second
)

// Part is a prompt part that other prompts may share.
type Part struct {
	ID   prefix.Hash // of the model and the part, wherever it stands in a prompt
	Name string
}

// entry is the record of one part and what this VM alone knows of it.
type entry struct {
	digest.Suspect
	changedAt   time.Time // the last link was added, or the part was cleared
	suspectedAt time.Time // of the first link
	trialUntil  time.Time // a trial of this VM runs until then at the latest
	announcedAt time.Time
	quarantined bool
}

// crashCount returns the number of crashes at which the part was in flight, as far as they fit into
// the record.
func (e *entry) crashCount() int {
	n := 0
	for _, crash := range e.Crashes {
		if crash != 0 {
			n++
		}
	}
	return n
}

// seenCrash is a crash under any request, of this VM or another.
type seenCrash struct {
	crash digest.CrashID
	at    time.Time
}

// trialAt returns the time of the next trial of a quarantined part.
func (e *entry) trialAt() time.Time {
	after := firstTrialAfter
	for n := e.Chain; n > usualChain && after < maxTrialAfter; n-- {
		after *= trialBackoff
	}
	return e.changedAt.Add(min(after, maxTrialAfter))
}

// Snapshot holds the records of a request's parts, in their order, as of the time when the request was
// sent. A nil Snapshot means that there were none.
type Snapshot []digest.Suspect

// Table holds the records of one VM.
type Table struct {
	entries     map[prefix.Hash]*entry
	quarantined map[prefix.Hash]*entry // of these, the quarantined ones
	unsent      map[prefix.Hash]*entry // of these, those whose records are news for the other VMs
	seen        []seenCrash            // each crash once, the oldest first
	// runsTrials reports whether this VM is the one that makes the trials of a part. At most one
	// of all VMs should be.
	runsTrials func(part prefix.Hash) bool
}

// NewTable returns an empty table. runsTrials reports whether this VM makes the trials of a part;
// nil means that it is the only VM.
func NewTable(runsTrials func(part prefix.Hash) bool) *Table {
	if runsTrials == nil {
		runsTrials = func(prefix.Hash) bool { return true }
	}
	return &Table{
		entries: map[prefix.Hash]*entry{}, quarantined: map[prefix.Hash]*entry{}, unsent: map[prefix.Hash]*entry{}, runsTrials: runsTrials,
	}
}

// Snapshot returns the current records of the parts.
func (t *Table) Snapshot(parts []Part) Snapshot {
	var snapshot Snapshot
	for i, p := range parts {
		if e := t.entries[p.ID]; e != nil {
			if snapshot == nil {
				snapshot = make(Snapshot, len(parts))
			}
			snapshot[i] = e.Suspect
		}
	}
	return snapshot
}

// RecordCrash records that an incarnation of an endpoint crashed under a request. parts are those
// that may have caused it: none if the request had been answered for a while. sentWith is the
// snapshot of the time when the request was sent. It returns the parts that are quarantined because
// of it.
func (t *Table) RecordCrash(now time.Time, parts []Part, sentWith Snapshot, crash digest.CrashID) (quarantined []Part) {
	t.see(now, crash)
	for i, p := range parts {
		var known digest.Suspect
		if sentWith != nil {
			known = sentWith[i]
		}
		e := t.entries[p.ID]
		if e == nil {
			e = t.add(now, p.ID)
		}
		if e.Epoch != known.Epoch || slices.Contains(e.Crashes[:], crash) {
			continue // answered since the request was sent, or a crash that is known already
		}
		next := digest.Suspect{Part: p.ID, Epoch: e.Epoch, Chain: max(e.Chain, known.Chain+1)}
		next.Crashes[0] = crash
		if t.replace(now, e, merge(e.Suspect, next)) {
			quarantined = append(quarantined, p)
		}
		t.unsent[p.ID] = e
	}
	return quarantined
}

// see remembers a crash, under whatever request and on whatever VM it was.
func (t *Table) see(now time.Time, crash digest.CrashID) {
	if crash != 0 && !slices.ContainsFunc(t.seen, func(c seenCrash) bool { return c.crash == crash }) {
		t.seen = append(t.seen[max(0, len(t.seen)+1-maxSeenCrashes):], seenCrash{crash, now})
	}
}

// seenSince returns the number of crashes that this VM has heard of since a time.
func (t *Table) seenSince(since time.Time) int {
	n := 0
	for _, c := range t.seen {
		if !c.at.Before(since) {
			n++
		}
	}
	return n
}

// RecordAnswer records that an endpoint has answered a request with the parts. It returns those
// that are no longer quarantined because of it.
func (t *Table) RecordAnswer(now time.Time, parts []Part) (released []Part) {
	if len(t.entries) == 0 {
		return nil
	}
	for _, p := range parts {
		if e := t.entries[p.ID]; e != nil && e.Chain > 0 {
			if e.quarantined {
				released = append(released, p)
			}
			t.replace(now, e, digest.Suspect{Part: e.Part, Epoch: e.Epoch + 1})
			t.unsent[p.ID] = e
		}
	}
	return released
}

// Merge applies the records of another VM.
func (t *Table) Merge(now time.Time, records []digest.Suspect) {
	for _, r := range records {
		e := t.entries[r.Part]
		if e == nil {
			e = t.add(now, r.Part)
		}
		for _, crash := range r.Crashes {
			t.see(now, crash)
		}
		next := merge(e.Suspect, r)
		if next.Epoch != r.Epoch || next.Chain != r.Chain {
			t.unsent[r.Part] = e // the other VM has missed something
		}
		t.replace(now, e, next)
	}
}

// merge returns what two records of one part say together: the later epoch holds; within it the
// longest chain, and the crashes of both.
func merge(a, b digest.Suspect) digest.Suspect {
	if a.Epoch != b.Epoch {
		if a.Epoch > b.Epoch {
			return a
		}
		return b
	}
	a.Chain = max(a.Chain, b.Chain)
	crashes := slices.DeleteFunc(slices.Concat(a.Crashes[:], b.Crashes[:]), func(crash digest.CrashID) bool { return crash == 0 })
	slices.Sort(crashes)
	crashes = slices.Compact(crashes)
	a.Crashes = [digest.SuspectCrashes]digest.CrashID{}
	copy(a.Crashes[:], crashes) // those that fit
	return a
}

// replace sets the record of an entry and reports whether the part is quarantined only now. A
// quarantined part stays so until it is cleared.
func (t *Table) replace(now time.Time, e *entry, next digest.Suspect) bool {
	if e.Chain == 0 && next.Chain > 0 || next.Epoch != e.Epoch {
		e.suspectedAt = now
	}
	if next.Epoch != e.Epoch || next.Chain != e.Chain {
		e.changedAt, e.trialUntil = now, time.Time{}
	}
	before := e.quarantined
	e.quarantined = before && next.Epoch == e.Epoch
	e.Suspect = next
	e.quarantined = e.quarantined || t.reachesThreshold(e)
	if e.quarantined {
		t.quarantined[e.Part] = e
	} else {
		delete(t.quarantined, e.Part)
	}
	return !before && e.quarantined
}

// reachesThreshold reports whether the crashes of a part suffice to quarantine it.
func (t *Table) reachesThreshold(e *entry) bool {
	if e.Chain < usualChain || e.Chain >= longChain {
		return e.Chain >= longChain
	}
	crashes := e.crashCount()
	return crashes == len(e.Crashes) || 2*crashes > t.seenSince(e.suspectedAt)
}

func sharesCrash(a, b [digest.SuspectCrashes]digest.CrashID) bool {
	return slices.ContainsFunc(a[:], func(crash digest.CrashID) bool { return crash != 0 && slices.Contains(b[:], crash) })
}

// add adds an entry without crashes. If the table is full, it drops those that have not changed for
// recordTTL, or else the one that is not quarantined and has not changed for the longest time.
func (t *Table) add(now time.Time, part prefix.Hash) *entry {
	if len(t.entries) >= maxRecords {
		for _, e := range t.entries {
			if !e.quarantined && now.Sub(e.changedAt) > recordTTL {
				t.drop(e)
			}
		}
	}
	if len(t.entries) >= maxRecords {
		var oldest *entry
		for _, e := range t.entries {
			if oldest == nil || oldest.quarantined && !e.quarantined ||
				oldest.quarantined == e.quarantined && e.changedAt.Before(oldest.changedAt) {
				oldest = e
			}
		}
		t.drop(oldest)
	}
	e := &entry{Suspect: digest.Suspect{Part: part}, changedAt: now}
	t.entries[part] = e
	return e
}

func (t *Table) drop(e *entry) {
	delete(t.entries, e.Part)
	delete(t.quarantined, e.Part)
	delete(t.unsent, e.Part)
}

// Refusal says why a request is not sent.
type Refusal struct {
	Part Part
	// Crashes is the length of the part's chain.
	Crashes int
	// RetryAfter is the time until the next trial of the part.
	RetryAfter time.Duration
}

// Check returns a refusal if a part is quarantined. answeredAt is when an endpoint of the request's
// service has last answered a request: if none has since the first crash, the service fails as a
// whole, and the crashes are not attributed to a part.
func (t *Table) Check(now time.Time, parts []Part, answeredAt time.Time) *Refusal {
	if len(t.quarantined) == 0 {
		return nil
	}
	for _, p := range parts {
		e := t.entries[p.ID]
		if e == nil || !e.quarantined || answeredAt.Before(e.suspectedAt) || t.trialDue(now, e, parts) {
			continue
		}
		return &Refusal{Part: p, Crashes: int(e.Chain), RetryAfter: max(e.trialAt().Sub(now), e.trialUntil.Sub(now), 0)}
	}
	return nil
}

// trialDue reports whether this VM may send a request whose prompt has the quarantined part. Where
// another part explains the crashes as well, and the prompt does not have that one, each VM may try
// at once: the result tells which of them is the cause.
func (t *Table) trialDue(now time.Time, e *entry, parts []Part) bool {
	if now.Before(e.trialUntil) {
		return false
	}
	return !now.Before(e.trialAt()) && t.runsTrials(e.Part) || t.explained(e, parts)
}

// explained reports whether a quarantined part other than the given ones has a chain that shares
// crashes with that of e and is not shorter.
func (t *Table) explained(e *entry, parts []Part) bool {
	for id, other := range t.quarantined {
		if other != e && other.Chain >= e.Chain && sharesCrash(other.Crashes, e.Crashes) &&
			!slices.ContainsFunc(parts, func(p Part) bool { return p.ID == id }) {
			return true
		}
	}
	return false
}

// RecordSend records that a request with the parts is sent. If Check has let it pass although a part
// is quarantined, it is a trial.
func (t *Table) RecordSend(now time.Time, parts []Part) {
	if len(t.quarantined) == 0 {
		return
	}
	for _, p := range parts {
		if e := t.entries[p.ID]; e != nil && e.quarantined {
			e.trialUntil = now.Add(trialTimeout)
		}
	}
}

// Repeat makes the records of quarantined parts news again, at the VM that makes their trials.
func (t *Table) Repeat(now time.Time) {
	for _, e := range t.quarantined {
		if now.Sub(e.announcedAt) < repeatInterval {
			continue
		}
		e.announcedAt = now
		if t.runsTrials(e.Part) {
			t.unsent[e.Part] = e
		}
	}
}

// News returns up to count records that the other VMs may not have, the longest chains first, and
// counts them as sent.
func (t *Table) News(count int) []digest.Suspect {
	news := list(t.unsent, count)
	for _, r := range news {
		delete(t.unsent, r.Part)
	}
	return news
}

// Recall returns up to count records for a VM that has just started, the longest chains first.
func (t *Table) Recall(count int) []digest.Suspect { return list(t.entries, count) }

func list(entries map[prefix.Hash]*entry, count int) []digest.Suspect {
	all := slices.SortedFunc(maps.Values(entries), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.Chain, a.Chain), a.changedAt.Compare(b.changedAt), cmp.Compare(a.Part, b.Part))
	})
	var records []digest.Suspect
	for _, e := range all[:min(count, len(all))] {
		records = append(records, e.Suspect)
	}
	return records
}

// Quarantined returns the number of quarantined parts.
func (t *Table) Quarantined() int { return len(t.quarantined) }
