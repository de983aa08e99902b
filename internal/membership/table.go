// Package membership tracks the running entry VMs: the incarnation of each, the
// configuration revision that it has in force, and whether the platform is about to
// remove it.
//
// Invariant: a VM that may still serve under an older configuration is listed as
// lagging until its last report is older than the freshness bound.
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
	Address       string // for clients
	PeerAddress   string // for other VMs
	FailureDomain string
	// Incarnation differs at every start of the VM's process.
	Incarnation uint64
	// Weight is the VM's capacity relative to the other VMs, in processor cores; 0 if unknown.
	Weight float64
	// Leaving is set once the VM must no longer be announced to clients.
	Leaving bool
	// Isolated is set while the VM reaches no endpoint and forwards its requests to other VMs.
	Isolated bool
}

// Report is the last report of a VM.
type Report struct {
	VM
	// Revision is the configuration revision in force on the VM.
	Revision uint64
	// Age is the age of the report when a replica forwarded it.
	Age time.Duration
}

// key identifies one process of a VM.
type key struct {
	name        string
	incarnation uint64
}

// row is a report and the time at which the VM sent it.
type row struct {
	Report
	lastContact time.Time
}

// Table holds the last report of each VM. It is safe for concurrent use.
type Table struct {
	expiry time.Duration

	mu               sync.Mutex
	rows             map[key]row
	leaving          map[string]bool   // by name or address, from the platform's list
	appliedRevisions map[uint64]uint64 // by ID of the other control replica
	version          uint64            // of the list that VMs returns
	// revisionUpdates counts the reports that contained a newer revision.
	revisionUpdates uint64
}

// NewTable returns a table that drops a VM once its last report is older than expiry.
func NewTable(expiry time.Duration) *Table {
	return &Table{expiry: expiry, rows: map[key]row{}, leaving: map[string]bool{}, appliedRevisions: map[uint64]uint64{}}
}

// RecordReport stores a report received from the VM itself or forwarded by another
// replica. A report without a name is ignored. An older report never replaces the VM's
// description, and the stored revision never decreases.
func (t *Table) RecordReport(r Report, now time.Time) {
	if r.Name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{r.Name, r.Incarnation}
	old, known := t.rows[k]
	next := row{Report: r, lastContact: now.Add(-r.Age)}
	if known && old.lastContact.After(next.lastContact) {
		next.VM, next.lastContact = old.VM, old.lastContact
	}
	next.Revision = max(next.Revision, old.Revision)
	if !known || next.Revision > old.Revision {
		t.revisionUpdates++
	}
	if !known || old.VM != next.VM {
		t.version++
	}
	t.rows[k] = next
}

// RevisionUpdates returns how many reports have contained a newer revision.
func (t *Table) RevisionUpdates() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revisionUpdates
}

// RecordReplica records the revision that another control replica has applied.
func (t *Table) RecordReplica(id, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appliedRevisions[id] = max(t.appliedRevisions[id], revision)
}

// SetLeaving replaces the set of VMs that the platform lists as leaving. Its keys are
// names and addresses.
func (t *Table) SetLeaving(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !maps.Equal(t.leaving, names) {
		t.leaving = names
		t.version++
	}
}

// prune drops VMs whose last report is older than the expiry. The mutex is held.
func (t *Table) prune(now time.Time) {
	for k, r := range t.rows {
		if now.Sub(r.lastContact) > t.expiry {
			delete(t.rows, k)
			t.version++
		}
	}
}

// VMs returns the newest incarnation of each VM, sorted by name, and the version of the
// list.
func (t *Table) VMs(now time.Time) ([]VM, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	newest := map[string]row{}
	for _, r := range t.rows {
		if old, ok := newest[r.Name]; !ok || r.lastContact.After(old.lastContact) {
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

// Reports returns every report with its current age, sorted by name, to be sent to the
// other replicas.
func (t *Table) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	out := make([]Report, 0, len(t.rows))
	for _, r := range t.rows {
		r.Age = now.Sub(r.lastContact)
		out = append(out, r.Report)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Lagging returns the names of the VMs that may serve under an older revision. complete
// is false while one of the replicas in others has not reported that it applied the
// revision: until then a VM that is not listed may lag too.
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
		if t.appliedRevisions[id] < revision {
			return slices.Compact(names), false
		}
	}
	return slices.Compact(names), true
}

// Union returns the VMs of newer, and those of older whose names are not among them.
func Union(newer, older []VM) []VM {
	names := make(map[string]bool, len(newer))
	for _, vm := range newer {
		names[vm.Name] = true
	}
	all := slices.Clone(newer)
	for _, vm := range older {
		if !names[vm.Name] {
			all = append(all, vm)
		}
	}
	return all
}
