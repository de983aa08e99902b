package retryafter

import (
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	now := time.Date(2026, 6, 15, 8, 0, 0, 0, time.UTC)
	date := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	for _, c := range []struct {
		name   string
		values []string
		date   string
		want   time.Duration
		valid  bool
	}{
		{"absent", nil, "", 0, true},
		{"whole seconds", []string{"3"}, "", 3 * time.Second, true},
		{"fraction", []string{" 0.25 "}, "", 250 * time.Millisecond, true},
		{"zero", []string{"0"}, "", 0, true},
		{"date", []string{date(2 * time.Second)}, "", 2 * time.Second, true},
		{"date by the clock of the sender", []string{date(-58 * time.Second)}, date(-time.Minute), 2 * time.Second, true},
		{"past date", []string{date(-time.Hour)}, "", 0, true},
		{"repeated", []string{"1", "4", "2"}, "", 4 * time.Second, true},
		{"negative", []string{"-1"}, "", 0, false},
		{"text", []string{"soon"}, "", 0, false},
		{"empty", []string{""}, "", 0, false},
		{"not a number", []string{"NaN"}, "", 0, false},
		{"infinite", []string{"Inf"}, "", 0, false},
		{"absurd", []string{"1e300"}, "", math.MaxInt64, true},
		{"valid beside invalid", []string{"soon", "2"}, "", 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{Header: c.values}
			if c.date != "" {
				h.Set("Date", c.date)
			}
			got, err := Parse(h, now)
			assert.Equal(t, got, c.want)
			assert.Equal(t, err == nil, c.valid, "%v", err)
		})
	}
}
