package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
)

// Merge applies the records of another VM.
func (t *Table) Merge(now time.Time, records []digest.Suspect) {
	for _, r := range records {
		e := t.entries[r.Trait]
		if e == nil {
			e = t.add(now, r.Trait)
		}
		for _, crash := range r.Crashes {
			t.see(now, crash)
		}
		next := MergeRecords(e.Suspect, r)
		if next.Epoch != r.Epoch || next.Chain != r.Chain {
			t.unsent[r.Trait] = e // the other VM has missed something
		}
		t.replace(now, e, next)
	}
}

// MergeRecords returns what two records of one trait say together: the later epoch holds; within it the
// longest chain, and the crashes of both.
func MergeRecords(a, b digest.Suspect) digest.Suspect {
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

// Repeat makes the records of quarantined traits news again, at the VM that makes their trials, and those
// of answers to them.
func (t *Table) Repeat(now time.Time) {
	for _, e := range t.quarantined {
		if now.Sub(e.announcedAt) < repeatInterval {
			continue
		}
		e.announcedAt = now
		if t.runsTrials(e.Trait) {
			t.unsent[e.Trait] = e
			if mark := t.entries[answerMark(e.Trait)]; isRequest(e.Trait) && mark != nil {
				t.unsent[mark.Trait] = mark
			}
		}
	}
}

// News returns up to count records that the other VMs may not have, the strongest first, and
// counts them as sent.
func (t *Table) News(count int) []digest.Suspect {
	news := strongest(t.unsent, count)
	for _, r := range news {
		delete(t.unsent, r.Trait)
	}
	return news
}

// ReturnNews makes records from News that were not delivered news again.
func (t *Table) ReturnNews(records []digest.Suspect) {
	for _, r := range records {
		if e := t.entries[r.Trait]; e != nil {
			t.unsent[r.Trait] = e
		}
	}
}

// Recall returns up to count records for a VM that has just started, the strongest first.
func (t *Table) Recall(count int) []digest.Suspect { return strongest(t.entries, count) }

func strongest(entries map[prefix.Hash]*entry, count int) []digest.Suspect {
	all := slices.SortedFunc(maps.Values(entries), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.strength(), a.strength()), a.changedAt.Compare(b.changedAt), cmp.Compare(a.Trait, b.Trait))
	})
	var records []digest.Suspect
	for _, e := range all[:min(count, len(all))] {
		records = append(records, e.Suspect)
	}
	return records
}
