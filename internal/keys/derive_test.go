package keys

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDeriveIsStableAndUnique(t *testing.T) {
	d := NewDeriver("hash key")
	token := d.Derive("ana", "op", "litoral")
	assert.Equal(t, d.Derive("ana", "op", "litoral"), token)
	seen := map[Token]bool{token: true}
	for _, other := range []Token{d.Derive("bob", "op", "litoral"), d.Derive("ana", "op2", "litoral"), d.Derive("ana", "op", "x"),
		d.Derive("an", "aop", "litoral"), NewDeriver("other").Derive("ana", "op", "litoral")} {
		assert.Assert(t, !seen[other])
		seen[other] = true
	}
	parsed, err := Parse(token.Text())
	assert.NilError(t, err)
	assert.Assert(t, d.Matches(parsed.Secret, d.Hash(token.Secret)))
	assert.Assert(t, !strings.Contains(token.Text(), "litoral"))
}
