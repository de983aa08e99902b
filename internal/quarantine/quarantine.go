// Package quarantine finds what crashes endpoints, and keeps requests with it away from them.
//
// Requests have traits: the parts of their prompts, which other requests may share, and their
// fingerprint, which only repeats share. A crash ends all requests in flight at an endpoint, and any
// trait of those that had no answer yet may have caused it. What tells the cause from the others is
// that no request with it is ever answered, and that endpoints go on crashing under it. An answer to
// a request with a trait clears it.
//
// A Table keeps for each trait the crashes under it and the length of the chain that they form: each
// link was suffered by a request that a VM had sent when it knew of the links before. Endpoints that
// end together, as after a loss of power, are one link.
//
// A prompt part, which unrelated requests share, is quarantined when its chain has usualChain links and
// it was in flight at most of the crashes that this VM has heard of meanwhile; a longer chain is needed
// where endpoints crash for other reasons too. A part whose crashes are all those of one quarantined
// request is not held responsible.
//
// A request that comes again is quarantined when requestCrashes endpoints have crashed under it, in a
// chain or not. It is not held responsible if quarantined traits with more crashes explain all of them
// but one. Of requests with the same crashes, those that a VM has seen answered at any time before are not
// held responsible: such a VM tells the others when the request is quarantined.
//
// Requests with a quarantined trait are refused, apart from rare trials, and from early ones that tell
// traits apart which suffered the same crashes.
//
// VMs exchange the records of traits and merge them. Records may be lost, repeated and reordered.
//
// A Table does no I/O and has no clock of its own. It is not safe for concurrent use.
package quarantine

import (
	"container/list"
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
	// requestCrashes is the number of crashes from which on a request that comes again is quarantined.
	requestCrashes = 3
	// answeredRequestCrashes is the same at a VM that has seen an answer to the request before.
	answeredRequestCrashes = 5
	// maxUnexplainedCrashes is the number of crashes of a bystander that nothing else explains: the
	// news that the cause was in flight at the last one may arrive later, or an endpoint may have
	// crashed for a reason of its own.
	maxUnexplainedCrashes = 1
	// maxSeenCrashes bounds the crashes that a VM remembers.
	maxSeenCrashes = 64
	// firstTrialAfter is the time from the quarantine of a trait to the first trial. It grows by
	// trialBackoff with each trial that crashes an endpoint, up to maxTrialAfter. Endpoints that
	// ended together prove little: a request of which no crash followed from another is tried
	// after togetherTrialAfter.
	firstTrialAfter    = 30 * time.Second
	togetherTrialAfter = time.Second
	trialBackoff       = 4
	maxTrialAfter      = time.Hour
	// trialTimeout is the time after which a trial without a result no longer holds up the next.
	trialTimeout = 10 * time.Second
	// maxRecords bounds the traits of a table.
	maxRecords = 4096
	// repeatInterval is the time between two announcements of a quarantined trait, as news may be lost.
	repeatInterval = time.Second
)

// entry is the record of one trait and what this VM alone knows of it.
type entry struct {
	digest.Suspect
	changedAt   time.Time // the last link was added, or the trait was cleared
	suspectedAt time.Time // of the first link
	trialUntil  time.Time // a trial of this VM runs until then at the latest
	announcedAt time.Time
	quarantined bool
	isMark      bool          // the ID is the answerMark of a request that this VM has seen answered
	inOrder     *list.Element // of Table.order; nil while quarantined
}

// crashCount returns the number of crashes at which the trait was in flight, as far as they fit into
// the record.
func (e *entry) crashCount() int { return countCrashes(e.Crashes) }

func countCrashes(crashes [digest.SuspectCrashes]digest.CrashID) int {
	n := 0
	for _, crash := range crashes {
		if crash != 0 {
			n++
		}
	}
	return n
}

// strength is how much speaks for an entry as the cause: the chain of a part, all crashes of a request. An
// answer mark is as strong as the request that it is about, so that it is sent with that.
func (e *entry) strength() int {
	if e.isMark {
		return requestCrashes
	}
	if isRequest(e.Trait) {
		return e.crashCount()
	}
	return int(e.Chain)
}

// seenCrash is a crash under any request, of this VM or another.
type seenCrash struct {
	crash digest.CrashID
	at    time.Time
}

// trialAt returns the time of the next trial of a quarantined trait.
func (e *entry) trialAt() time.Time {
	first := uint16(usualChain)
	if isRequest(e.Trait) {
		if e.Chain <= 1 {
			return e.changedAt.Add(togetherTrialAfter)
		}
		first = 2 // as after the trial of one whose crashes did not follow from each other
	}
	after := firstTrialAfter
	for n := e.Chain; n > first && after < maxTrialAfter; n-- {
		after *= trialBackoff
	}
	return e.changedAt.Add(min(after, maxTrialAfter))
}

// Snapshot holds the records of a request's traits, in their order, as of the time when the request was
// sent. A nil Snapshot means that there were none.
type Snapshot []digest.Suspect

// Table holds the records of one VM.
type Table struct {
	entries     map[prefix.Hash]*entry
	quarantined map[prefix.Hash]*entry // of these, the quarantined ones
	order       *list.List             // the others, the one that has not changed for the longest time first
	unsent      map[prefix.Hash]*entry // of these, those whose records are news for the other VMs
	seen        []seenCrash            // each crash once, the oldest first
	answered    recentSet              // requests to which this VM has seen a complete answer
	// runsTrials reports whether this VM is the one that makes the trials of a trait. At most one
	// of all VMs should be.
	runsTrials func(trait prefix.Hash) bool
}

// NewTable returns an empty table. runsTrials reports whether this VM makes the trials of a trait;
// nil means that it is the only VM.
func NewTable(runsTrials func(trait prefix.Hash) bool) *Table {
	if runsTrials == nil {
		runsTrials = func(prefix.Hash) bool { return true }
	}
	return &Table{
		entries: map[prefix.Hash]*entry{}, order: list.New(), quarantined: map[prefix.Hash]*entry{}, unsent: map[prefix.Hash]*entry{}, runsTrials: runsTrials,
	}
}

// Snapshot returns the current records of the traits.
func (t *Table) Snapshot(traits []Trait) Snapshot {
	var snapshot Snapshot
	for i, trait := range traits {
		if e := t.entries[trait.ID]; e != nil {
			if snapshot == nil {
				snapshot = make(Snapshot, len(traits))
			}
			snapshot[i] = e.Suspect
		}
	}
	return snapshot
}

// RecordCrash records that an incarnation of an endpoint crashed under a request with the traits.
// sentWith is the snapshot of the time when the request was sent. answered reports that the response
// had gone on for a while, so that no part of the prompt is the cause. RecordCrash returns the traits
// that are quarantined because of it.
func (t *Table) RecordCrash(now time.Time, traits []Trait, sentWith Snapshot, answered bool, crash digest.CrashID) (quarantined []Trait) {
	t.see(now, crash)
	before := t.allResponsible(traits)
	for i, trait := range traits {
		if answered && !trait.IsRequest() {
			continue
		}
		var known digest.Suspect
		if sentWith != nil {
			known = sentWith[i]
		}
		e := t.entries[trait.ID]
		if e == nil {
			e = t.add(now, trait.ID)
		}
		if e.Epoch != known.Epoch || slices.Contains(e.Crashes[:], crash) {
			continue // answered since the request was sent, or a crash that is known already
		}
		next := digest.Suspect{Trait: trait.ID, Epoch: e.Epoch, Chain: max(e.Chain, known.Chain+1)}
		next.Crashes[0] = crash
		t.replace(now, e, MergeRecords(e.Suspect, next))
		t.unsent[trait.ID] = e
	}
	return slices.DeleteFunc(t.allResponsible(traits), func(trait Trait) bool { return slices.Contains(before, trait) })
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

// RecordAnswer records that an endpoint has answered a request with the traits. A response that is not
// complete yet says nothing about the request as a whole. RecordAnswer returns the traits that are no
// longer quarantined because of it.
func (t *Table) RecordAnswer(now time.Time, traits []Trait, complete bool) (released []Trait) {
	for _, trait := range traits {
		if trait.IsRequest() && !complete {
			continue
		}
		if trait.IsRequest() {
			t.answered.add(trait.ID)
		}
		e := t.entries[trait.ID]
		if e == nil || e.Chain == 0 {
			continue
		}
		if e.quarantined {
			released = append(released, trait)
		}
		t.replace(now, e, digest.Suspect{Trait: e.Trait, Epoch: e.Epoch + 1})
		t.unsent[trait.ID] = e
	}
	return released
}

// replace sets the record of an entry. A quarantined trait stays so until it is cleared.
func (t *Table) replace(now time.Time, e *entry, next digest.Suspect) {
	if e.Chain == 0 && next.Chain > 0 || next.Epoch != e.Epoch {
		e.suspectedAt = now
	}
	if next.Epoch != e.Epoch || next.Chain != e.Chain {
		e.changedAt, e.trialUntil = now, time.Time{}
		if e.inOrder != nil {
			t.order.MoveToBack(e.inOrder)
		}
	}
	e.quarantined = e.quarantined && next.Epoch == e.Epoch
	e.Suspect = next
	e.quarantined = e.quarantined || t.reachesThreshold(e)
	switch {
	case e.quarantined && e.inOrder != nil:
		t.quarantined[e.Trait] = e
		t.order.Remove(e.inOrder)
		e.inOrder = nil
		if isRequest(e.Trait) {
			t.shareAnswer(now, e.Trait)
		}
	case !e.quarantined && e.inOrder == nil:
		delete(t.quarantined, e.Trait)
		e.inOrder = t.order.PushBack(e)
	}
}

// add adds an entry without crashes. If the table is full, it drops the one that has not changed for the
// longest time; a quarantined one only if all are.
func (t *Table) add(now time.Time, trait prefix.Hash) *entry {
	if len(t.entries) >= maxRecords {
		if first := t.order.Front(); first != nil {
			t.drop(first.Value.(*entry))
		} else {
			t.drop(slices.MinFunc(slices.Collect(maps.Values(t.quarantined)), func(a, b *entry) int { return a.changedAt.Compare(b.changedAt) }))
		}
	}
	e := &entry{Suspect: digest.Suspect{Trait: trait}, changedAt: now}
	e.inOrder = t.order.PushBack(e)
	t.entries[trait] = e
	return e
}

func (t *Table) drop(e *entry) {
	if e.inOrder != nil {
		t.order.Remove(e.inOrder)
	}
	delete(t.entries, e.Trait)
	delete(t.quarantined, e.Trait)
	delete(t.unsent, e.Trait)
}

// Refusal says why a request is not sent.
type Refusal struct {
	Trait Trait
	// Crashes is the number of crashes that speak for the trait as their cause.
	Crashes int
	// RetryAfter is the time until the next trial of the trait.
	RetryAfter time.Duration
}

// Check returns a refusal if a trait is quarantined. answeredAt is when an endpoint of the request's
// service has last answered a request: if none has since the first crash, the service fails as a
// whole, and the crashes are not attributed to a part.
func (t *Table) Check(now time.Time, traits []Trait, answeredAt time.Time) *Refusal {
	if len(t.quarantined) == 0 {
		return nil
	}
	for _, trait := range traits {
		e := t.quarantined[trait.ID]
		if e == nil || t.bystander(e, traits) || t.trialDue(now, e, traits) {
			continue
		}
		if !trait.IsRequest() && answeredAt.Before(e.suspectedAt) {
			continue
		}
		return &Refusal{Trait: trait, Crashes: e.strength(), RetryAfter: max(e.trialAt().Sub(now), e.trialUntil.Sub(now), 0)}
	}
	return nil
}

// RecordSend records that a request with the traits is sent. If Check has let it pass although a trait
// is quarantined, it is a trial.
func (t *Table) RecordSend(now time.Time, traits []Trait) {
	if len(t.quarantined) == 0 {
		return
	}
	for _, trait := range traits {
		if e := t.quarantined[trait.ID]; e != nil {
			e.trialUntil = now.Add(trialTimeout)
		}
	}
}

// Quarantined returns the numbers of parts and requests that are held responsible for crashes.
func (t *Table) Quarantined() (parts, requests int) {
	for id, e := range t.quarantined {
		switch {
		case !t.responsible(e):
		case isRequest(id):
			requests++
		default:
			parts++
		}
	}
	return parts, requests
}
