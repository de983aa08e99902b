// Package cachespace defines the namespaces under which servers cache prompts. Servers find a cached part only under the
// namespace of the request that made it, so a namespace covers all that makes parts differ (model and weights) and who
// may share them.
package cachespace

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"eelgrasshollow/internal/prefix"
)

// Owner is who shares a namespace: one client account, or all that are not isolated. The zero value is nobody.
type Owner struct{ id string }

// Account returns the owner of the namespaces of one client account.
func Account(name string) Owner { return Owner{"account/" + name} }

// Pool returns the owner of the namespaces that all client accounts but the given ones share. Pools that leave
// out different accounts are different owners: an account that becomes isolated leaves what it made in the former pool.
// An account that is no longer isolated finds nothing of it, as it was in no pool that left it out.
func Pool(isolated []string) Owner {
	return Owner{"pool/" + digest(slices.Sorted(slices.Values(isolated))...)}
}

// Seed returns the seed under which routing tracks what is cached of a model for the owner, whatever the weights.
func (o Owner) Seed(model string) prefix.Seed {
	return prefix.Namespace{Account: o.id, Model: model}.Seed()
}

// Space is a namespace. The zero value is another unique namespace at each use.
type Space struct {
	salt   string
	shared bool
}

// New returns the owner's namespace of a model with the given version of its weights (1 or more). Without an owner or
// a known version it returns a unique one.
func New(o Owner, model string, version int64) Space {
	if o == (Owner{}) || version <= 0 {
		return Unique()
	}
	return Space{digest(o.id, model, strconv.FormatInt(version, 10)), true}
}

// uniquePrefix begins the salts of namespaces that no other request has.
const uniquePrefix = "once-"

// Unique returns a namespace that no other request has.
func Unique() Space {
	return Space{salt: fmt.Sprintf("%s%016x%016x", uniquePrefix, rand.Uint64(), rand.Uint64())}
}

// IsUnique reports whether a salt is of a namespace that no other request has.
func IsUnique(salt string) bool { return strings.HasPrefix(salt, uniquePrefix) }

// Shared reports whether other requests may have the same namespace.
func (s Space) Shared() bool { return s.shared }

// Salt returns the text by which servers tell namespaces apart. It is never empty.
func (s Space) Salt() string {
	if s.salt == "" {
		return Unique().salt
	}
	return s.salt
}

// saltBytes is the length of a digest before it is written in hexadecimal.
const saltBytes = 16

// digest returns a hash of the fields, for which nobody can find other fields with the same hash: models are named by
// clients. Each field is preceded by its length, so that different fields never hash the same bytes.
func digest(fields ...string) string {
	h := sha256.New()
	for _, field := range fields {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field)))) // hash.Hash.Write never returns an error
		_, _ = h.Write([]byte(field))
	}
	return hex.EncodeToString(h.Sum(nil)[:saltBytes])
}
