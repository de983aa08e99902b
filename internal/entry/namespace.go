package entry

import (
	"math/rand/v2"

	"eelgrasshollow/internal/prefix"
)

// cacheSpace is the cache namespace of a completion together with the weights version that it is for. Without a known
// version, as in the zero value, each attempt has a namespace that no other one has: an engine may load other weights
// at any time, and what it computed before must not be found.
type cacheSpace struct {
	seed    prefix.Seed
	version string
}

// newCacheSpace returns the namespace n, or one that nobody shares if n names no version.
func newCacheSpace(n prefix.Namespace) cacheSpace {
	if n.Version == "" {
		return cacheSpace{}
	}
	return cacheSpace{n.Seed(), n.Version}
}

// shared reports whether other requests may have the same namespace.
func (s cacheSpace) shared() bool { return s.version != "" }

// forAttempt returns the namespace of one attempt: one that no other attempt has, unless the namespace is shared.
func (s cacheSpace) forAttempt() cacheSpace {
	if !s.shared() {
		s.seed = prefix.Seed(rand.Uint64())
	}
	return s
}

// salt returns the text by which engines tell namespaces apart. It is never empty, and differs at each call for the zero
// value.
func (s cacheSpace) salt() string {
	if s == (cacheSpace{}) {
		s = s.forAttempt()
	}
	return s.seed.Salt()
}
