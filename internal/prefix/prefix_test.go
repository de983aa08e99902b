package prefix

import (
	"testing"

	_ "eelgrasshollow/internal/fixedseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestPartsOfANamespaceDoNotRunTogether(t *testing.T) {
	a := Namespace{Account: "ab", Model: "c"}.Seed()
	b := Namespace{Account: "a", Model: "bc"}.Seed()
	assert.Assert(t, a != b)
}

func TestChainsShareExactlyTheCommonPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.IntRange(0, 4).Draw(t, "common")
		tail := rapid.IntRange(1, 3).Draw(t, "tail")
		a := make([]byte, (common+tail)*pieceBytes+rapid.IntRange(0, pieceBytes-1).Draw(t, "rest"))
		b := append([]byte(nil), a...)
		b[common*pieceBytes+rapid.IntRange(0, pieceBytes-1).Draw(t, "at")] ^= 1
		one, two := Chain(7, a), Chain(7, b)
		assert.Equal(t, len(one), common+tail)
		for i := range one {
			assert.Equal(t, one[i] == two[i], i < common)
		}
		other := Chain(8, a)
		for i := range one {
			assert.Assert(t, one[i] != other[i])
		}
	})
}
