// Package prefix turns prompts into chains of hashes over pieces, seeded by what
// may share cache: client account, model, adapter and weights version.
package prefix

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	// PieceTokens is the length of a piece, in tokens.
	PieceTokens = 1000
	// BytesPerToken is the estimate that turns text into tokens.
	BytesPerToken = 4
	pieceBytes    = PieceTokens * BytesPerToken
)

// Hash names a prefix: every piece up to and including one, under a seed.
type Hash uint64

// Seed is the cache namespace.
type Seed uint64

// Namespace says what may share cache entries.
type Namespace struct {
	Account, Model, Adapter, Version string
}

// Seed hashes the namespace; parts are length-framed, so no two namespaces join alike.
func (n Namespace) Seed() Seed {
	d := xxhash.New()
	for _, part := range []string{n.Account, n.Model, n.Adapter, n.Version} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = d.Write(size[:]) // a hash.Hash never fails
		_, _ = d.WriteString(part)
	}
	return Seed(d.Sum64())
}

// Salt is the seed as engines get it.
func (s Seed) Salt() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(s))
	return hex.EncodeToString(b[:])
}

// Chain returns one hash per whole piece of the prompt; an unfinished last piece has none.
func Chain(seed Seed, prompt []byte) []Hash {
	chain := make([]Hash, 0, len(prompt)/pieceBytes)
	last := uint64(seed)
	var frame [8]byte
	for len(prompt) >= pieceBytes {
		binary.LittleEndian.PutUint64(frame[:], last)
		d := xxhash.New()
		_, _ = d.Write(frame[:])
		_, _ = d.Write(prompt[:pieceBytes])
		last = d.Sum64()
		chain = append(chain, Hash(last))
		prompt = prompt[pieceBytes:]
	}
	return chain
}

// ChainOfParts returns one hash per part of a prompt whose parts have names of their own.
func ChainOfParts(seed Seed, parts []string) []Hash {
	chain := make([]Hash, 0, len(parts))
	last := uint64(seed)
	var frame [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(frame[:], last)
		d := xxhash.New()
		_, _ = d.Write(frame[:]) // a hash.Hash never fails
		_, _ = d.WriteString(part)
		last = d.Sum64()
		chain = append(chain, Hash(last))
	}
	return chain
}

// Tokens estimates the tokens of a text of n bytes.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
