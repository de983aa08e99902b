package quarantine

import (
	"cmp"
	"slices"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
)

// reachesThreshold reports whether the crashes of a trait suffice to quarantine it.
func (t *Table) reachesThreshold(e *entry) bool {
	crashes := e.crashCount()
	if isRequest(e.Trait) {
		return crashes >= requestCrashes
	}
	if e.Chain < usualChain || e.Chain >= longChain {
		return e.Chain >= longChain
	}
	return crashes == len(e.Crashes) || 2*crashes > t.seenSince(e.suspectedAt)
}

// bystander reports whether a quarantined trait that a request with the traits does not have explains
// the crashes of e. A request is a bystander if traits that speak more for themselves as the cause were in
// flight at each of its crashes but one. If this VM has seen an answer to it before, traits with as many
// crashes suffice, and it takes more crashes that nothing explains.
func (t *Table) bystander(e *entry, traits []Trait) bool {
	if !isRequest(e.Trait) {
		return t.partOfRepeatedRequest(e, traits)
	}
	if t.answered.contains(e.Trait) {
		return t.unexplained(e, traits, true) < answeredRequestCrashes
	}
	return t.unexplained(e, traits, false) <= maxUnexplainedCrashes
}

// responsible reports whether a request with the quarantined trait e alone is refused, apart from trials.
func (t *Table) responsible(e *entry) bool { return !t.bystander(e, []Trait{{ID: e.Trait}}) }

// allResponsible returns those of the traits that are responsible.
func (t *Table) allResponsible(traits []Trait) []Trait {
	var found []Trait
	for _, trait := range traits {
		if e := t.quarantined[trait.ID]; e != nil && t.responsible(e) {
			found = append(found, trait)
		}
	}
	return found
}

// partOfRepeatedRequest reports whether a single quarantined request was in flight at all crashes of a
// part. The request is none with the given traits.
func (t *Table) partOfRepeatedRequest(e *entry, traits []Trait) bool {
	for id, other := range t.quarantined {
		if isRequest(id) && !hasTrait(traits, id) && containsAll(other.Crashes, e.Crashes) {
			return true
		}
	}
	return false
}

// unexplained returns the number of crashes of e at which no quarantined trait was in flight that
// is none of the given ones and a likelier cause than e. With ties, one that is as likely suffices.
func (t *Table) unexplained(e *entry, traits []Trait, ties bool) int {
	rest := e.Crashes
	for id, other := range t.quarantined {
		if other == e || hasTrait(traits, id) || t.answered.contains(id) {
			continue
		}
		if order := t.compareAsCause(other, e); order < 0 || order == 0 && !ties {
			continue
		}
		for i, crash := range rest {
			if slices.Contains(other.Crashes[:], crash) {
				rest[i] = 0
			}
		}
	}
	return countCrashes(rest)
}

// compareAsCause orders traits by how likely they are the cause of crashes that both suffered: by the number
// of crashes, and with as many, one that no VM has seen answered comes after one that was answered.
func (t *Table) compareAsCause(a, b *entry) int {
	if order := cmp.Compare(a.crashCount(), b.crashCount()); order != 0 {
		return order
	}
	answeredA, answeredB := t.answeredBefore(a), t.answeredBefore(b)
	switch {
	case answeredA == answeredB:
		return 0
	case answeredA:
		return -1
	default:
		return 1
	}
}

// answeredBefore reports whether any VM is known to have seen an answer to the trait, at whatever time.
func (t *Table) answeredBefore(e *entry) bool {
	if e.Epoch > 0 || t.answered.contains(e.Trait) {
		return true
	}
	mark := t.entries[answerMark(e.Trait)]
	return mark != nil && mark.Epoch > 0
}

// shareAnswer makes it news for the other VMs that this one has seen an answer to a request that is now
// quarantined. Its record can't say so: a new epoch would drop the crashes.
func (t *Table) shareAnswer(now time.Time, request prefix.Hash) {
	if !t.answered.contains(request) {
		return
	}
	id := answerMark(request)
	mark := t.entries[id]
	if mark == nil {
		if len(t.entries) >= maxRecords && t.order.Len() == 0 {
			return // a quarantined trait would have to give way
		}
		mark = t.add(now, id)
	}
	if mark.Epoch == 0 {
		mark.Epoch = 1
		t.unsent[id] = mark
	}
	mark.isMark = true
}

// containsAll reports whether all crashes of b are among those of a.
func containsAll(a, b [digest.SuspectCrashes]digest.CrashID) bool {
	return !slices.ContainsFunc(b[:], func(crash digest.CrashID) bool { return crash != 0 && !slices.Contains(a[:], crash) })
}

func sharesCrash(a, b [digest.SuspectCrashes]digest.CrashID) bool {
	return slices.ContainsFunc(a[:], func(crash digest.CrashID) bool { return crash != 0 && slices.Contains(b[:], crash) })
}

// trialDue reports whether this VM may send a request that has the traits, one of which is the
// quarantined e. Where another trait explains the crashes as well, and the request does not have that
// one, a part is tried at once by each VM, and a request by the VM that makes its trials: the result
// tells which of them is the cause.
func (t *Table) trialDue(now time.Time, e *entry, traits []Trait) bool {
	if now.Before(e.trialUntil) {
		return false
	}
	if isRequest(e.Trait) {
		return (!now.Before(e.trialAt()) || t.unexplained(e, traits, true) == 0) && t.runsTrials(e.Trait)
	}
	return !now.Before(e.trialAt()) && t.runsTrials(e.Trait) || t.explained(e, traits)
}

// explained reports whether a quarantined trait other than the given ones shares crashes with a part
// and is not weaker.
func (t *Table) explained(e *entry, traits []Trait) bool {
	for id, other := range t.quarantined {
		if other != e && other.strength() >= e.strength() && sharesCrash(other.Crashes, e.Crashes) && !hasTrait(traits, id) {
			return true
		}
	}
	return false
}
