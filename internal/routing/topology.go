package routing

import (
	"math"
	"time"

	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/watch"
)

// minCellSize is the number of VMs that share one relay in a small fleet. In a large one it
// grows with the square root of the number of VMs, as the number of relays does.
const minCellSize = 16

// topology says with which other entry VMs a VM exchanges digests.
//
// In a small fleet every VM sends its digests to every other one. The messages of that grow
// with the square of the number of VMs, so a large fleet is divided into cells within the
// failure domains, and one VM of each cell is its relay. The others exchange digests with
// their relay only, and the relays with each other. All VMs with the same list of VMs agree
// on cells and relays without a message.
type topology struct {
	vms     int      // number of entry VMs, including this one
	relayed bool     // digests go over relays
	direct  []string // peer addresses that get every digest, if not relayed
	relay   string   // peer address of this VM's relay, or "" on a relay
	relays  []string // on a relay: peer addresses of the other relays
	// interval is the time between two exchanges over relays. In it, a relay stays within its
	// share of digest calls while it serves its cell and calls the other relays.
	interval time.Duration
}

// cellOf returns the number of a VM's cell within its failure domain.
func cellOf(vm watch.VM, cells int) int {
	best, cell := uint64(0), 0
	for i := range cells {
		if weight := rendezvous(prefix.Hash(i), nameHash(vm.PeerAddress)); weight >= best {
			best, cell = weight, i
		}
	}
	return cell
}

// newTopology returns the topology for the VM with the peer address self. A VM that sends
// digestCalls digests per second at most uses relays if a round to all others would take
// longer than staleDigestInterval.
func newTopology(self string, vms []watch.VM, digestCalls float64) topology {
	t := topology{vms: len(vms)}
	domains := map[string]int{}
	for _, vm := range vms {
		if vm.PeerAddress != "" && vm.PeerAddress != self {
			t.direct = append(t.direct, vm.PeerAddress)
		}
		domains[vm.FailureDomain]++
	}
	round := time.Duration(float64(len(t.direct)) / digestCalls * float64(time.Second))
	if digestCalls <= 0 || round <= staleDigestInterval {
		return t
	}
	t.relayed, t.direct = true, nil
	type cell struct {
		domain string
		number int
	}
	cellSize := max(minCellSize, int(math.Sqrt(float64(len(vms)))))
	cells := 0
	for _, count := range domains {
		cells += (count + cellSize - 1) / cellSize
	}
	calls := time.Duration(float64(cellSize+cells) / digestCalls * float64(time.Second))
	t.interval = min(max(calls, minRelayInterval), maxRelayInterval)
	relays, own := map[cell]string{}, cell{}
	for _, vm := range vms {
		count := domains[vm.FailureDomain]
		c := cell{vm.FailureDomain, cellOf(vm, (count+cellSize-1)/cellSize)}
		if vm.PeerAddress == self {
			own = c
		}
		if vm.PeerAddress == "" || vm.Leaving {
			continue
		}
		if relay, known := relays[c]; !known || relayWeight(vm.PeerAddress) > relayWeight(relay) {
			relays[c] = vm.PeerAddress
		}
	}
	if relay := relays[own]; relay != self {
		t.relay = relay
		return t
	}
	for c, relay := range relays {
		if c != own {
			t.relays = append(t.relays, relay)
		}
	}
	return t
}

// relaySeed makes the choice of relays independent of other uses of rendezvous.
const relaySeed = prefix.Hash(0x72656c61)

func relayWeight(address string) uint64 { return rendezvous(relaySeed, nameHash(address)) }
