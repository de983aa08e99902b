// Package lookup selects the entry VMs that the response to a client's lookup names.
package lookup

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// VM is an entry VM that a client may be sent to.
type VM struct {
	Address string
	// Weight is the VM's capacity in any unit that all VMs share, such as processor cores. If it is
	// not positive, the mean of the others applies.
	Weight float64
}

// Options bound a response.
type Options struct {
	MaxAddresses int
	// MinAddresses is the number of addresses that a response holds at least, as far as there are as
	// many VMs: a client needs others when some fail.
	MinAddresses int
}

// equalWeightRatio is the ratio of the largest to the smallest weight up to which VMs count as
// equal: each is then named as often as any other.
const equalWeightRatio = 1.05

// Select returns the addresses for one client, in random order. Clients choose among them at random,
// so that a VM gets work in proportion to the share of responses that name it. That share is
// proportional to the VM's weight; the VMs with the highest weight are in every response. Which VMs
// a client is sent to depends on the client and the VM alone: the response changes little when a VM
// is added or lost, and clients keep their connections. Between VMs of equal weight the choice is
// random for each response.
func Select(client string, vms []VM, o Options) []string {
	order := rand.Perm(len(vms))
	shares := inclusion(vms)
	if shares == nil {
		return addresses(vms, order[:min(len(order), o.MaxAddresses)])
	}
	// A VM is in the response if its point is below 1, which is so with a probability equal to its
	// share.
	points := make([]float64, len(vms))
	for i, vm := range vms {
		points[i] = hashFraction(client, vm.Address) / shares[i]
	}
	ranked := slices.Clone(order)
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(points[a], points[b]) })
	n := 0
	for n < len(ranked) && points[ranked[n]] < 1 {
		n++
	}
	n = min(max(n, o.MinAddresses), o.MaxAddresses, len(ranked))
	chosen := ranked[:n]
	rand.Shuffle(n, func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return addresses(vms, chosen)
}

// inclusion returns the share of the responses that each VM is in, or nil if all are equal.
func inclusion(vms []VM) []float64 {
	sum, known, highest, lowest := 0.0, 0, 0.0, 0.0
	for _, vm := range vms {
		if vm.Weight <= 0 {
			continue
		}
		if known == 0 || vm.Weight < lowest {
			lowest = vm.Weight
		}
		sum, known, highest = sum+vm.Weight, known+1, max(highest, vm.Weight)
	}
	if known == 0 || highest <= lowest*equalWeightRatio {
		return nil
	}
	shares := make([]float64, len(vms))
	for i, vm := range vms {
		weight := vm.Weight
		if weight <= 0 {
			weight = sum / float64(known)
		}
		shares[i] = weight / highest
	}
	return shares
}

func addresses(vms []VM, chosen []int) []string {
	list := make([]string, len(chosen))
	for i, n := range chosen {
		list[i] = vms[n].Address
	}
	return list
}

// hashFraction maps a client and an address to a number in [0, 1).
func hashFraction(client, address string) float64 {
	const bits = 53 // size of a float64's mantissa
	return float64(xxhash.Sum64String(strconv.Quote(client)+address)>>(64-bits)) / (1 << bits)
}
