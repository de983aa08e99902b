package fleetview

import (
	"cmp"
	"slices"

	"eelgrasshollow/internal/fleetcontrol"
	"eelgrasshollow/internal/membership"

	"github.com/cespare/xxhash/v2"
)

// replicaChoice is the order in which an entry VM polls the control replicas: first those in
// its own failure domain, in rendezvous order, so that the polls of all VMs are spread over
// the replicas and few move when a replica is added or lost. The leader comes last, because
// all other replicas depend on it. It is not safe for concurrent use.
type replicaChoice struct {
	vm     membership.VM
	ranked []string // peer addresses
	at     int      // index in ranked of the replica to poll
}

// update ranks the replicas anew. Seeds that are not among them come after them: they may be
// the only addresses that are still valid.
func (r *replicaChoice) update(control []fleetcontrol.ControlVM, leader string, seeds []string) {
	weight := func(c fleetcontrol.ControlVM) uint64 { return xxhash.Sum64String(r.vm.Name + "\x00" + c.Address) }
	ordered := slices.Clone(control)
	slices.SortFunc(ordered, func(a, b fleetcontrol.ControlVM) int {
		return cmp.Or(
			compareBool(a.Address == leader, b.Address == leader),
			compareBool(a.FailureDomain != r.vm.FailureDomain, b.FailureDomain != r.vm.FailureDomain),
			cmp.Compare(weight(b), weight(a)),
		)
	})
	var ranked []string
	for _, c := range ordered {
		ranked = append(ranked, c.Address)
	}
	for _, seed := range seeds {
		if !slices.Contains(ranked, seed) {
			ranked = append(ranked, seed)
		}
	}
	if !slices.Equal(ranked, r.ranked) {
		r.ranked, r.at = ranked, 0
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// current returns the peer address of the replica to poll, or "" if none is known.
func (r *replicaChoice) current() string {
	if len(r.ranked) == 0 {
		return ""
	}
	return r.ranked[r.at%len(r.ranked)]
}

// skip moves on to the next replica.
func (r *replicaChoice) skip() { r.at++ }

// reset returns to the first replica.
func (r *replicaChoice) reset() { r.at = 0 }

// first reports whether the current replica is the first one.
func (r *replicaChoice) first() bool { return len(r.ranked) == 0 || r.at%len(r.ranked) == 0 }
