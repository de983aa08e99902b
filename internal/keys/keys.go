// Package keys generates, parses and hashes the keys of clients.
//
// A token is "eg_ID_SECRET". The system stores the ID and the HMAC-SHA256 of the secret
// under the fleet's hash key, never the secret itself. No error of this package contains a
// secret.
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

// NewHasher returns a hasher. All processes of a fleet use the same hash key.
func NewHasher(hashKey string) Hasher { return Hasher{key: []byte(hashKey)} }

// Hash returns the HMAC-SHA256 of the secret (32 bytes).
func (h Hasher) Hash(secret string) []byte {
	mac := hmac.New(sha256.New, h.key)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// Matches reports whether hash is the hash of secret. It compares in constant time.
func (h Hasher) Matches(secret string, hash []byte) bool {
	return hmac.Equal(h.Hash(secret), hash)
}

// Token is the key of a client.
type Token struct{ ID, Secret string }

// New returns a random token.
func New() Token {
	id, secret := make([]byte, idBytes), make([]byte, secretBytes)
	_, _ = rand.Read(id) // crypto/rand.Read never fails
	_, _ = rand.Read(secret)
	return Token{ID: hex.EncodeToString(id), Secret: hex.EncodeToString(secret)}
}

// Text returns the token in the form that clients send.
func (t Token) Text() string { return strings.Join([]string{tokenPrefix, t.ID, t.Secret}, "_") }

// Parse parses the text of a token. A malformed text returns an error of kind
// Unauthenticated.
func Parse(text string) (Token, error) {
	parts := strings.Split(text, "_")
	if len(parts) != 3 || parts[0] != tokenPrefix || parts[1] == "" || parts[2] == "" {
		return Token{}, errkind.New(errkind.Unauthenticated, "malformed key")
	}
	return Token{ID: parts[1], Secret: parts[2]}, nil
}

// Deriver hashes secrets and derives the token that an operation issues from the operation
// itself, so that a retry of the operation returns the same token although the secret is
// not stored.
type Deriver struct{ Hasher }

// NewDeriver returns a deriver that uses the fleet's hash key.
func NewDeriver(hashKey string) Deriver { return Deriver{NewHasher(hashKey)} }

// Derive returns the token that an operation issues. The token can't be computed without the
// hash key.
func (d Deriver) Derive(operator, operationID, account string) Token {
	derive := func(purpose string, size int) string {
		mac := hmac.New(sha256.New, d.key)
		for _, field := range []string{"derive", purpose, operator, operationID, account} {
			mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
			mac.Write([]byte(field))
		}
		return hex.EncodeToString(mac.Sum(nil)[:size])
	}
	return Token{ID: derive("id", idBytes), Secret: derive("secret", secretBytes)}
}
