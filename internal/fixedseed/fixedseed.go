// Package fixedseed fixes the seed of rapid's random tests, so that every run gives the
// same verdict. Test files import it for its effect; -rapid.seed overrides it.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag before it is set here
)

// seed of every random test.
const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // rapid has no such flag any more
	}
}
