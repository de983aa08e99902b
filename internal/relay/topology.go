package relay

import (
	"math"
	"time"

	"eelgrasshollow/internal/rendezvous"
	"eelgrasshollow/internal/watch"
)

// MinCellSize is the number of VMs that share one relay in a small fleet. In a large one it
// grows with the square root of the number of VMs, as the number of relays does.
const MinCellSize = 16

// Topology says with which other entry VMs a VM exchanges digests.
//
// In a small fleet every VM sends its digests to every other one. The messages of that grow
// with the square of the number of VMs, so a large fleet is divided into cells within the
// failure domains, and one VM of each cell is its relay. The others exchange digests with
// their relay only, and the relays with each other. All VMs with the same list of VMs agree
// on cells and relays without a message.
type Topology struct {
	VMs     int      // number of entry VMs, including this one
	Relayed bool     // digests go over relays
	Direct  []string // peer addresses that get every digest, if not relayed
	Relay   string   // peer address of this VM's relay, or "" on a relay
	Relays  []string // on a relay: peer addresses of the other relays
	// Interval is the time between two exchanges over relays. In it, a relay stays within its
	// share of digest calls while it serves its cell and calls the other relays.
	Interval time.Duration
}

// cellOf returns the number of a VM's cell within its failure domain.
func cellOf(vm watch.VM, cells int) int {
	best, cell := uint64(0), 0
	for i := range cells {
		if weight := rendezvous.Weight(uint64(i), rendezvous.Name(vm.PeerAddress)); weight >= best {
			best, cell = weight, i
		}
	}
	return cell
}

// NewTopology returns the topology for the VM with the peer address self. A VM that sends
// digestCalls digests per second at most uses relays if a round to all others would take
// longer than longestRound.
func NewTopology(self string, vms []watch.VM, digestCalls float64, longestRound time.Duration) Topology {
	t := Topology{VMs: len(vms)}
	domains := map[string]int{}
	for _, vm := range vms {
		if vm.PeerAddress != "" && vm.PeerAddress != self {
			t.Direct = append(t.Direct, vm.PeerAddress)
		}
		domains[vm.FailureDomain]++
	}
	round := time.Duration(float64(len(t.Direct)) / digestCalls * float64(time.Second))
	if digestCalls <= 0 || round <= longestRound {
		return t
	}
	t.Relayed, t.Direct = true, nil
	type cell struct {
		domain string
		number int
	}
	cellSize := max(MinCellSize, int(math.Sqrt(float64(len(vms)))))
	cells := 0
	for _, count := range domains {
		cells += (count + cellSize - 1) / cellSize
	}
	calls := time.Duration(float64(cellSize+cells) / digestCalls * float64(time.Second))
	t.Interval = min(max(calls, MinInterval), MaxInterval)
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
		t.Relay = relay
		return t
	}
	for c, relay := range relays {
		if c != own {
			t.Relays = append(t.Relays, relay)
		}
	}
	return t
}

// relaySeed makes the choice of relays independent of other uses of rendezvous.
const relaySeed uint64 = 0x72656c61

func relayWeight(address string) uint64 {
	return rendezvous.Weight(relaySeed, rendezvous.Name(address))
}
