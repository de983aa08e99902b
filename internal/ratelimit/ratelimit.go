// Package ratelimit reads the rate of requests that a server states in its responses.
package ratelimit

import (
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Min is the lowest limit, in requests per second. With a lower one, and with 0, no response
// would ever show that the limit has ended.
const Min = 1.0 / 60

// Limit is the number of requests per second that a server takes from all VMs together; 0 means
// that it states no limit.
type Limit float64

// Stated reports whether there is a limit.
func (l Limit) Stated() bool { return l > 0 }

// Parse returns the limit in the values of a header, or 0 without values. A value is a decimal
// number of requests per second; values below Min count as Min, and the lowest value applies.
// A value that is malformed, negative or not finite is ignored; Parse then returns an error besides
// the limit of the other values.
func Parse(values []string) (Limit, error) {
	var lowest Limit
	var invalid error
	for _, text := range values {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || perSecond < 0 || math.IsInf(perSecond, 0) || math.IsNaN(perSecond) {
			invalid = errors.CombineErrors(invalid, errors.Newf("invalid rate limit: %q", text))
			continue
		}
		if limit := Limit(max(perSecond, Min)); !lowest.Stated() || limit < lowest {
			lowest = limit
		}
	}
	return lowest, invalid
}
