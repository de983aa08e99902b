package ratelimit

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxRejections is the highest number of tolerated rejections that is taken for meant: no server
// rejects as many in a second.
const maxRejections = 1_000_000

// ParseRejections returns the number of rejections in a second that a server tolerates according to the
// values of a header, or 0 without values. Zero and negative values count as 1, and the lowest value
// applies. A value that is no integer or above maxRejections is ignored; ParseRejections then returns an
// error besides the number in the other values.
func ParseRejections(values []string) (uint32, error) {
	var lowest uint32
	var invalid error
	for _, text := range values {
		n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil || n > maxRejections {
			invalid = errors.CombineErrors(invalid, errors.Newf("invalid number of rejections: %q", text))
			continue
		}
		if tolerated := uint32(max(n, 1)); lowest == 0 || tolerated < lowest {
			lowest = tolerated
		}
	}
	return lowest, invalid
}
