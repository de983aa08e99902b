package prefix

import (
	"testing"

	_ "eelgrasshollow/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestNamespacePartsAreDelimited(t *testing.T) {
	a := Namespace{Account: "ab", Model: "c"}.Seed()
	b := Namespace{Account: "a", Model: "bc"}.Seed()
	assert.Assert(t, a != b)
}

func TestChainsShareExactlyCommonPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.IntRange(0, 4).Draw(t, "common")
		tail := rapid.IntRange(1, 3).Draw(t, "tail")
		a := make([]byte, (common+tail)*pieceBytes+rapid.IntRange(0, pieceBytes-1).Draw(t, "rest"))
		b := append([]byte(nil), a...)
		b[common*pieceBytes+rapid.IntRange(0, pieceBytes-1).Draw(t, "at")] ^= 1
		chainA, chainB := Chain(7, a), Chain(7, b)
		assert.Equal(t, len(chainA), common+tail)
		for i := range chainA {
			assert.Equal(t, chainA[i] == chainB[i], i < common)
		}
		otherSeed := Chain(8, a)
		for i := range chainA {
			assert.Assert(t, chainA[i] != otherSeed[i])
		}
	})
}
