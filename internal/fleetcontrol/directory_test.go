package fleetcontrol

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"eelgrasshollow/internal/membership"

	"gotest.tools/v3/assert"
)

// reader is an entry VM that follows the directory at one replica after another.
type reader struct {
	has position
	vms map[string]membership.VM
}

func (r *reader) read(d *directory) {
	u := d.since(r.has)
	if u.VMs.Full && u.Settled {
		r.vms = map[string]membership.VM{}
	}
	for _, vm := range u.VMs.Set {
		r.vms[vm.Name] = vm
	}
	for _, name := range u.VMs.Removed {
		delete(r.vms, name)
	}
	r.has = position{Term: u.Term, Servers: u.Servers.Version, VMs: u.VMs.Version, Settled: u.Settled || r.has.Settled && !u.VMs.Full}
}

// TestReadersOfAnyReplicaAgreeWithLeader changes VMs at the leader, lets replicas mirror it
// sometimes, changes the leader, and lets readers continue at random replicas. A reader with
// a complete list and the leader's position must have the leader's list.
func TestReadersOfAnyReplicaAgreeWithLeader(t *testing.T) {
	agreed := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		replicas := []*directory{newDirectory(), newDirectory(), newDirectory()}
		leader, term := 0, uint64(1)
		replicas[leader].lead(term)
		readers := make([]reader, 4)
		for i := range readers {
			readers[i].vms = map[string]membership.VM{}
		}
		truth := map[string]membership.VM{}
		for range 400 {
			d := replicas[leader]
			switch rng.IntN(10) {
			case 0, 1, 2:
				name := fmt.Sprint("vm", rng.IntN(6))
				if rng.IntN(3) == 0 {
					delete(truth, name)
				} else {
					truth[name] = membership.VM{Name: name, Incarnation: uint64(rng.IntN(3))}
				}
				d.vms.set(mapValues(truth))
			case 3, 4:
				if mirror := replicas[rng.IntN(3)]; mirror != d {
					has := position{Term: mirror.term, Servers: mirror.servers.version, VMs: mirror.vms.version, Settled: mirror.complete}
					mirror.apply(d.since(has), time.Time{})
				}
			case 5:
				d.settled, d.complete = true, true
			case 6:
				if rng.IntN(6) == 0 {
					term++
					leader = rng.IntN(3)
					replicas[leader].lead(term)
					truth = map[string]membership.VM{} // it continues what it has mirrored
					for _, vm := range replicas[leader].vms.list() {
						truth[vm.Name] = vm
					}
				}
			default:
				r := &readers[rng.IntN(len(readers))]
				r.read(replicas[rng.IntN(3)])
				if r.has.Settled && r.has.Term == term && r.has.VMs == replicas[leader].vms.version {
					agreed++
					assert.DeepEqual(t, r.vms, listed(replicas[leader]))
				}
			}
		}
	}
	assert.Assert(t, agreed > 1000, "readers were up to date %d times", agreed)
}

func listed(d *directory) map[string]membership.VM {
	all := map[string]membership.VM{}
	for _, vm := range d.vms.list() {
		all[vm.Name] = vm
	}
	return all
}

func mapValues(m map[string]membership.VM) []membership.VM {
	var all []membership.VM
	for v := range maps.Values(m) {
		all = append(all, v)
	}
	return all
}
