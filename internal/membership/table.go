// Package membership knows which entry VMs are there, in which incarnation, which
// configuration each has in force, and which VMs the platform is about to take away.
//
// Invariant: a VM that may still serve under an older configuration is listed as
// lagging, as long as its last report is younger than the freshness bound.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// VM is an entry VM as it describes itself.
type VM struct {
	Name          string
	Address       string // where callers connect
	PeerAddress   string // where other VMs connect
	FailureDomain string
	// Incarnation differs at every start of the VM's process.
	Incarnation uint64
	// Leaving VMs are not named to callers any more.
	Leaving bool
}

// Report is what a VM said last.
type Report struct {
	VM
	// Revision in force on the VM.
	Revision uint64
	// Age of the report when it was sent on.
	Age time.Duration
}

type key struct {
	name        string
	incarnation uint64
}

type row struct {
	Report
	heard time.Time
}

// Table holds the reports of the VMs. It is safe for concurrent use.
type Table struct {
	bound time.Duration

	mu      sync.Mutex
	rows    map[key]row
	leaving map[string]bool // by name or address, as the platform says
	peers   map[uint64]uint64
	version uint64
	// progress counts reports of newer revisions.
	progress uint64
}

// NewTable returns a table that forgets VMs not heard for longer than bound.
func NewTable(bound time.Duration) *Table {
	return &Table{bound: bound, rows: map[key]row{}, leaving: map[string]bool{}, peers: map[uint64]uint64{}}
}

// RecordReport takes a report in that came from the VM itself or through another replica.
func (t *Table) RecordReport(r Report, now time.Time) {
	if r.Name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{r.Name, r.Incarnation}
	old, known := t.rows[k]
	fresh := row{Report: r, heard: now.Add(-r.Age)}
	if known && old.heard.After(fresh.heard) {
		fresh.VM, fresh.heard = old.VM, old.heard
	}
	fresh.Revision = max(fresh.Revision, old.Revision)
	if !known || fresh.Revision > old.Revision {
		t.progress++
	}
	if !known || old.VM != fresh.VM {
		t.version++
	}
	t.rows[k] = fresh
}

// RevisionUpdates counts the VMs' reports of newer revisions.
func (t *Table) RevisionUpdates() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.progress
}

// RecordReplica notes the revision that another control replica has applied.
func (t *Table) RecordReplica(id, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[id] = max(t.peers[id], revision)
}

// SetLeaving takes over which VMs the platform lists as leaving, by name or address.
func (t *Table) SetLeaving(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !maps.Equal(t.leaving, names) {
		t.leaving = names
		t.version++
	}
}

// prune forgets VMs that have been silent for longer than the bound.
func (t *Table) prune(now time.Time) {
	for k, r := range t.rows {
		if now.Sub(r.heard) > t.bound {
			delete(t.rows, k)
			t.version++
		}
	}
}

// VMs lists the newest incarnation of each VM, by name, and the list's version.
func (t *Table) VMs(now time.Time) ([]VM, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	newest := map[string]row{}
	for _, r := range t.rows {
		if old, ok := newest[r.Name]; !ok || r.heard.After(old.heard) {
			newest[r.Name] = r
		}
	}
	out := make([]VM, 0, len(newest))
	for _, r := range newest {
		v := r.VM
		v.Leaving = v.Leaving || t.leaving[v.Name] || t.leaving[v.Address]
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return out, t.version
}

// Reports lists every report with its age, for the other replicas.
func (t *Table) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	out := make([]Report, 0, len(t.rows))
	for _, r := range t.rows {
		r.Age = now.Sub(r.heard)
		out = append(out, r.Report)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Lagging lists the VMs that may serve under an older revision. complete is false
// while one of the other replicas has not told that it has applied the revision:
// then a VM that is not listed may lag too.
func (t *Table) Lagging(revision uint64, others []uint64, now time.Time) (names []string, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	for _, r := range t.rows {
		if r.Revision < revision {
			names = append(names, r.Name)
		}
	}
	slices.Sort(names)
	for _, id := range others {
		if t.peers[id] < revision {
			return slices.Compact(names), false
		}
	}
	return slices.Compact(names), true
}
