package routing

import (
	"fmt"
	"testing"

	"eelgrasshollow/internal/digest"

	"gotest.tools/v3/assert"
)

// Two owners of one endpoint would give twice its limit.
func TestVMsAgreeOnOwner(t *testing.T) {
	vms := fleetOf(9, 3)
	vms[4].Leaving = true
	owned := map[string]int{}
	for n := range 90 {
		s := &State{Endpoint: Endpoint{Name: fmt.Sprint("e", n)}, id: digest.EndpointIDOf(fmt.Sprint("e", n))}
		owners := map[string]bool{}
		for _, vm := range vms {
			m := &Module{entryVMs: &vmDirectory{vms: vms}, server: &memoryServer{address: vm.PeerAddress}}
			owner, count := m.permitOwner(s)
			assert.Equal(t, count, len(vms))
			owners[owner] = true
			owned[owner]++
		}
		assert.Equal(t, len(owners), 1, "%v", owners)
	}
	assert.Equal(t, owned[vms[4].PeerAddress], 0, "a VM that stops")
	assert.Equal(t, len(owned), len(vms)-1, "%v", owned)
	alone, count := (&Module{}).permitOwner(&State{})
	assert.Equal(t, alone, "")
	assert.Equal(t, count, 1)
}
