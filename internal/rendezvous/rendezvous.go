// Package rendezvous implements rendezvous hashing: callers that know the same names agree, without a
// message, on the one with the highest weight for a key.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a key at a name that was hashed with Name.
func Weight[K ~uint64](key K, name uint64) uint64 {
	x := uint64(key) ^ name
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // finalizer of splitmix64
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Name hashes a name.
func Name(name string) uint64 { return xxhash.Sum64String(name) }
