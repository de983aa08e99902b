// Package retryafter reads the Retry-After header of HTTP responses.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Header is the name of the header.
const Header = "Retry-After"

// Parse returns the delay that a response asks for, or 0 if it has no such header. A value is
// a number of seconds, which may have a fraction, or an HTTP date. A date is compared with
// the response's own Date header, so that the two clocks need not agree, or with now without
// one. If the header is repeated, the longest delay applies.
//
// A value that is malformed, negative or not finite is ignored; Parse then returns an error
// besides the delay of the other values. Zero and a date in the past ask for no delay.
func Parse(h http.Header, now time.Time) (time.Duration, error) {
	var longest time.Duration
	var invalid error
	for _, text := range h.Values(Header) {
		delay, err := parseValue(strings.TrimSpace(text), h, now)
		if err != nil {
			invalid = errors.CombineErrors(invalid, err)
			continue
		}
		longest = max(longest, delay)
	}
	return longest, invalid
}

func parseValue(text string, h http.Header, now time.Time) (time.Duration, error) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if seconds < 0 || math.IsInf(seconds, 0) || math.IsNaN(seconds) {
			return 0, errors.Newf("invalid %s: %q", Header, text)
		}
		const longest = float64(math.MaxInt64) / float64(time.Second)
		if seconds >= longest {
			return math.MaxInt64, nil
		}
		return time.Duration(seconds * float64(time.Second)), nil
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0, errors.Newf("invalid %s: %q", Header, text)
	}
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	return max(at.Sub(now), 0), nil
}
