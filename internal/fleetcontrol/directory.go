package fleetcontrol

import (
	"slices"
	"strings"
	"time"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/membership"
)

// ControlVM is a control VM as the entry VMs know it.
type ControlVM struct {
	Address       string // peer address
	FailureDomain string
}

// directory is the leader's knowledge of servers and VMs, which is not in the replicated
// log. The leader writes it; the other replicas mirror it under the leader's term and
// versions, so that an entry VM may continue at another replica. It is not safe for
// concurrent use.
type directory struct {
	term    uint64 // of the leader that wrote it; 0 before the first one
	servers *feed[fleet.Server]
	vms     *feed[membership.VM]
	// settled is true if vms is complete, so that VMs not listed are down.
	settled bool
	// complete is true on a mirror if its list of VMs was complete once and has been kept up
	// to date by deltas since.
	complete bool
	control  []ControlVM
	// former is the position in the former leader's numbering up to which this directory
	// continues it. Readers that are not beyond it need no new lists.
	former position
	// asOf is a time, by this replica's clock, at which the directory was the leader's.
	asOf time.Time
}

func newDirectory() *directory {
	return &directory{
		servers: newFeed(fleet.Server.Key, fleet.Server.Equal),
		vms:     newFeed(VMKey, func(a, b membership.VM) bool { return a == b }),
	}
}

// VMKey identifies an entry VM in deltas.
func VMKey(vm membership.VM) string { return vm.Name }

// position holds the versions of a directory that a reader has.
type position struct {
	Term    uint64 // of the leader whose versions they are
	Servers uint64
	VMs     uint64
	Settled bool // VMs is the version of a complete list
}

// update holds what a reader of a directory lacks.
type update struct {
	Term    uint64
	Servers Delta[fleet.Server]
	VMs     Delta[membership.VM]
	// Settled is true if the list of VMs is complete, so that VMs not listed are down. A new
	// leader has not heard of every VM yet.
	Settled bool
	Control []ControlVM
	Former  position // see directory
}

// news reports whether the update changes anything for the reader. A reader whose list is
// complete keeps it complete by deltas, whether or not a new leader has heard of every VM.
func (u *update) news(has position) bool {
	return u.Term != has.Term || u.Servers.Changes() || u.VMs.Changes() || u.Settled && !has.Settled
}

// since returns what a reader lacks. A reader whose term is newer has newer knowledge.
func (d *directory) since(has position) update {
	u := d.sinceWithoutServers(has)
	if u.Servers.Full {
		u.Servers.Set = d.servers.list()
	}
	return u
}

// sinceWithoutServers is since without the items of a whole list of servers.
func (d *directory) sinceWithoutServers(has position) update {
	if d.term < has.Term {
		return update{Term: has.Term, Settled: has.Settled,
			Servers: Delta[fleet.Server]{Version: has.Servers}, VMs: Delta[membership.VM]{Version: has.VMs}}
	}
	servers, vms := has.Servers, has.VMs
	if d.term != has.Term {
		if has.Term != d.former.Term || has.Servers > d.former.Servers {
			servers = 0
		}
		if has.Term != d.former.Term || has.VMs > d.former.VMs {
			vms = 0
		}
	}
	if d.settled && !has.Settled {
		vms = 0
	}
	u := update{Term: d.term, Settled: d.settled, Servers: d.servers.since(servers), VMs: d.vms.since(vms), Control: d.control, Former: d.former}
	if u.VMs.Full {
		u.VMs.Set = d.vms.list()
	}
	return u
}

// apply applies an update from the leader.
func (d *directory) apply(u update, asOf time.Time) {
	d.term, d.settled, d.asOf, d.former = u.Term, u.Settled, asOf, u.Former
	d.complete = u.Settled || d.complete && !u.VMs.Full
	if u.Servers.Changes() || u.Servers.Version != d.servers.version {
		d.servers.apply(u.Servers)
	}
	if u.VMs.Changes() || u.VMs.Version != d.vms.version {
		d.vms.apply(u.VMs)
	}
	if u.Control != nil {
		d.control = u.Control
	}
}

// lead makes this replica the author of the directory in a term. It continues what it has
// mirrored until it knows better.
func (d *directory) lead(term uint64) {
	d.former = position{Term: d.term, Servers: d.servers.version, VMs: d.vms.version}
	d.term, d.settled = term, false
	if d.vms.version == 0 {
		d.vms.set(nil)
	}
}

func sortControl(control []ControlVM) {
	slices.SortFunc(control, func(a, b ControlVM) int { return strings.Compare(a.Address, b.Address) })
}
