package keys

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDerivedTokens(t *testing.T) {
	d := NewDeriver("hash key")
	one := d.Derive("ana", "op", "litoral")
	assert.Equal(t, d.Derive("ana", "op", "litoral"), one)
	seen := map[Token]bool{one: true}
	for _, other := range []Token{d.Derive("bob", "op", "litoral"), d.Derive("ana", "op2", "litoral"), d.Derive("ana", "op", "x"),
		d.Derive("an", "aop", "litoral"), NewDeriver("other").Derive("ana", "op", "litoral")} {
		assert.Assert(t, !seen[other])
		seen[other] = true
	}
	parsed, err := Parse(one.Text())
	assert.NilError(t, err)
	assert.Assert(t, d.Matches(parsed.Secret, d.Hash(one.Secret)))
	assert.Assert(t, !strings.Contains(one.Text(), "litoral"))
}
