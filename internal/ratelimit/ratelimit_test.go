package ratelimit

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   Limit
		valid  bool
	}{
		"absent":               {nil, 0, true},
		"fraction":             {[]string{" 3.2 "}, PerSecond(3.2), true},
		"whole number":         {[]string{"12"}, PerSecond(12), true},
		"zero":                 {[]string{"0"}, Min, true},
		"tiny":                 {[]string{"1e-9"}, Min, true},
		"repeated":             {[]string{"5", "2.5", "3"}, PerSecond(2.5), true},
		"absurd":               {[]string{"1e300"}, math.MaxUint32, true},
		"negative":             {[]string{"-1"}, 0, false},
		"text":                 {[]string{"few"}, 0, false},
		"empty":                {[]string{""}, 0, false},
		"not a number":         {[]string{"NaN"}, 0, false},
		"infinite":             {[]string{"Inf"}, 0, false},
		"valid beside invalid": {[]string{"few", "2"}, PerSecond(2), false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Parse(c.values)
			assert.Equal(t, got, c.want)
			assert.Equal(t, err == nil, c.valid, "%v", err)
		})
	}
}
