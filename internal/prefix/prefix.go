// Package prefix splits prompts into pieces of equal length and hashes them into chains, in
// which each hash identifies a prefix of the prompt. The seed of a chain is a hash of what
// separates cache entries: client account, model, adapter and weights version.
package prefix

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// PieceTokens is the length of a piece, in tokens.
	PieceTokens = 1000
	// BytesPerToken is the estimated average length of a token, in bytes.
	BytesPerToken = 4
	pieceBytes    = PieceTokens * BytesPerToken
)

// Hash identifies a prefix: all pieces of a prompt up to and including one, under a seed.
type Hash uint64

// String returns the hash in hexadecimal, as logs show it.
func (h Hash) String() string { return strconv.FormatUint(uint64(h), 16) }

// Seed is the hash of a Namespace.
type Seed uint64

// Namespace identifies a cache namespace. Only requests of the same namespace share cache
// entries. Version is the weights version.
type Namespace struct {
	Account, Model, Adapter, Version string
}

// Seed returns the hash of the namespace.
func (n Namespace) Seed() Seed { return Seed(HashFields(n.Account, n.Model, n.Adapter, n.Version)) }

// HashFields returns a hash of the fields. Each field is preceded by its length, so that different
// fields never hash the same bytes.
func HashFields(fields ...string) uint64 {
	d := xxhash.New()
	for _, field := range fields {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = d.Write(size[:]) // hash.Hash.Write never returns an error
		_, _ = d.WriteString(field)
	}
	return d.Sum64()
}

// Salt returns the seed in the form that engines receive as cache_salt.
func (s Seed) Salt() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(s))
	return hex.EncodeToString(b[:])
}

// Chain returns one hash for each whole piece of the prompt. A shorter last piece has no hash.
func Chain(seed Seed, prompt []byte) []Hash {
	chain := make([]Hash, 0, len(prompt)/pieceBytes)
	previous := uint64(seed)
	var frame [8]byte
	for len(prompt) >= pieceBytes {
		binary.LittleEndian.PutUint64(frame[:], previous)
		d := xxhash.New()
		_, _ = d.Write(frame[:])
		_, _ = d.Write(prompt[:pieceBytes])
		previous = d.Sum64()
		chain = append(chain, Hash(previous))
		prompt = prompt[pieceBytes:]
	}
	return chain
}

// ChainOfParts returns one hash for each part of a prompt that consists of named parts.
func ChainOfParts(seed Seed, parts []string) []Hash {
	chain := make([]Hash, 0, len(parts))
	previous := uint64(seed)
	var frame [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(frame[:], previous)
		d := xxhash.New()
		_, _ = d.Write(frame[:]) // hash.Hash.Write never returns an error
		_, _ = d.WriteString(part)
		previous = d.Sum64()
		chain = append(chain, Hash(previous))
	}
	return chain
}

// PartHash returns the hash of one part of a prompt, wherever it stands in the prompt.
func PartHash(seed Seed, part string) Hash {
	return ChainOfParts(seed, []string{part})[0]
}

// PieceHashes returns one hash for each piece of the prompt, wherever it stands, including a
// shorter last one.
func PieceHashes(seed Seed, prompt []byte) []Hash {
	hashes := make([]Hash, 0, len(prompt)/pieceBytes+1)
	for piece := range slices.Chunk(prompt, pieceBytes) {
		hashes = append(hashes, PartHash(seed, string(piece)))
	}
	return hashes
}

// Tokens estimates the number of tokens of a text of textBytes bytes.
func Tokens(textBytes int) int { return (textBytes + BytesPerToken - 1) / BytesPerToken }
