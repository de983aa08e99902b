package prefix

import (
	"slices"
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

// A piece has the same hash wherever it stands in a prompt.
func TestPieceHashesIgnorePosition(t *testing.T) {
	a, b := make([]byte, pieceBytes), make([]byte, pieceBytes)
	b[0] = 1
	rest := []byte("rest")
	whole := slices.Concat(a, b, rest)
	hashes := PieceHashes(7, whole)
	assert.Equal(t, len(hashes), 3)
	assert.DeepEqual(t, PieceHashes(7, slices.Concat(b, a)), []Hash{hashes[1], hashes[0]})
	assert.DeepEqual(t, PieceHashes(7, rest), hashes[2:])
	assert.Assert(t, PieceHashes(8, rest)[0] != hashes[2])
	assert.Equal(t, hashes[2], PartHash(7, "rest"))
}
