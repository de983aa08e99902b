// Package fixedseed sets a fixed seed for the property tests with rapid, so that every run
// gives the same result. Test files import it for this side effect; the flag -rapid.seed
// overrides it.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed before init sets it
)

// seed is the default of the flag -rapid.seed.
const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // rapid no longer has this flag
	}
}
