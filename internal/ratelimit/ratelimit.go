// Package ratelimit reads the rate of requests that a server states in its responses.
package ratelimit

import (
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Min is the lowest limit, one request a minute. With a lower one, and with 0, no response would
// ever show that the limit has ended.
const Min Limit = 17

// perUnit is the number of Limit's units in one request per second.
const perUnit = 1000

// Limit is the number of requests per 1,000 seconds that a server takes from all VMs together; 0
// means that it states no limit.
type Limit uint32

// Stated reports whether there is a limit.
func (l Limit) Stated() bool { return l > 0 }

// PerSecond returns the limit in requests per second.
func (l Limit) PerSecond() float64 { return float64(l) / perUnit }

// PerSecond returns the limit of a number of requests per second, at least Min.
func PerSecond(n float64) Limit {
	return Limit(min(max(math.Round(n*perUnit), float64(Min)), math.MaxUint32))
}

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
		if limit := PerSecond(perSecond); !lowest.Stated() || limit < lowest {
			lowest = limit
		}
	}
	return lowest, invalid
}
