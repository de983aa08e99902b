package cachespace

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Namespaces that differ in who shares them, in the model or in the weights must never be the same.
func TestSpacesOfDifferentOwnersAndWeightsDiffer(t *testing.T) {
	owners := []Owner{Account("a"), Account("b"), Account(""), Pool(nil), Pool([]string{"a"}), Pool([]string{"b"}), Pool([]string{"a", "b"}), Pool([]string{"ab"}), Account(Pool(nil).id)}
	seen, seeds := map[string]bool{}, map[uint64]bool{}
	for _, o := range owners {
		for _, model := range []string{"", "m", "m1"} {
			assert.Assert(t, !seeds[uint64(o.Seed(model))])
			seeds[uint64(o.Seed(model))] = true
			for _, version := range []int64{1, 11, 2} {
				salt := New(o, model, version).Salt()
				assert.Assert(t, salt != "" && !seen[salt], "%v %q %d", o, model, version)
				seen[salt] = true
			}
		}
	}
	assert.Equal(t, New(Pool([]string{"b", "a"}), "m", 1), New(Pool([]string{"a", "b"}), "m", 1), "the order of accounts is of no matter")
}

// Without an owner or known weights a request must share nothing, whoever builds the namespace.
func TestSpaceWithoutOwnerOrWeightsIsUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range []Space{{}, {}, New(Owner{}, "m", 1), New(Account("a"), "m", 0), New(Account("a"), "m", 0), New(Pool(nil), "m", -1)} {
		assert.Assert(t, !s.Shared())
		salt := s.Salt()
		assert.Assert(t, salt != "" && !seen[salt])
		seen[salt] = true
	}
}
