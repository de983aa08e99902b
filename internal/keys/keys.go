// Package keys makes, parses and hashes callers' keys.
//
// A token is "eg_ID_SECRET". The system keeps the ID and HMAC-SHA256 of the secret
// under the fleet's hash key, never the secret. No function here puts a secret into
// an error.
package keys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"eelgrasshollow/internal/errkind"
)

const (
	tokenPrefix = "eg"
	idBytes     = 8
	secretBytes = 24
)

// Hasher hashes secrets under the fleet's hash key.
type Hasher struct{ key []byte }

// NewHasher returns a hasher; every process of a fleet has the same hash key.
func NewHasher(hashKey string) Hasher { return Hasher{key: []byte(hashKey)} }

// Hash returns HMAC-SHA256 of the secret (32 bytes).
func (h Hasher) Hash(secret string) []byte {
	mac := hmac.New(sha256.New, h.key)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// Matches compares in constant time.
func (h Hasher) Matches(secret string, hash []byte) bool {
	return hmac.Equal(h.Hash(secret), hash)
}

// Token is a caller's key.
type Token struct{ ID, Secret string }

// New makes a random token.
func New() Token {
	id, secret := make([]byte, idBytes), make([]byte, secretBytes)
	_, _ = rand.Read(id) // crypto/rand.Read never fails
	_, _ = rand.Read(secret)
	return Token{ID: hex.EncodeToString(id), Secret: hex.EncodeToString(secret)}
}

// Text returns what the caller sends.
func (t Token) Text() string { return strings.Join([]string{tokenPrefix, t.ID, t.Secret}, "_") }

// Parse reads a token; a malformed one is errkind Unauthenticated.
func Parse(text string) (Token, error) {
	parts := strings.Split(text, "_")
	if len(parts) != 3 || parts[0] != tokenPrefix || parts[1] == "" || parts[2] == "" {
		return Token{}, errkind.New(errkind.Unauthenticated, "malformed key")
	}
	return Token{ID: parts[1], Secret: parts[2]}, nil
}

// Deriver hashes secrets and derives the token of an issuing operation, so that a
// resend of the operation gets the same token although no secret is kept.
type Deriver struct{ Hasher }

// NewDeriver returns a deriver under the fleet's hash key.
func NewDeriver(hashKey string) Deriver { return Deriver{NewHasher(hashKey)} }

// Derive returns the token of an operation. It can't be told without the hash key.
func (d Deriver) Derive(operator, operationID, account string) Token {
	part := func(use string, n int) string {
		mac := hmac.New(sha256.New, d.key)
		for _, s := range []string{"derive", use, operator, operationID, account} {
			mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
			mac.Write([]byte(s))
		}
		return hex.EncodeToString(mac.Sum(nil)[:n])
	}
	return Token{ID: part("id", idBytes), Secret: part("secret", secretBytes)}
}
