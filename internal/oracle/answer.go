package oracle

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultAnswerTokens is the length of an answer when a request names no maximum.
const DefaultAnswerTokens = 16

// Token returns the token at position (from 1) of the stand-in engines' answer to a
// request. It depends on the whole request, so a mixed-up, cut or reordered answer
// is told apart.
func Token(request uint64, position int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], request)
	binary.LittleEndian.PutUint64(b[8:], uint64(position))
	return fmt.Sprintf("%d:%06x ", position, xxhash.Sum64(b[:])&0xffffff)
}

// RequestHash names a request by its model and prompt.
func RequestHash(model string, prompt []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(prompt)
	return d.Sum64()
}

// Answer returns the whole text that stand-in engines answer with.
func Answer(model string, prompt []byte, tokens int) string {
	request := RequestHash(model, prompt)
	var b strings.Builder
	for i := 1; i <= tokens; i++ {
		b.WriteString(Token(request, i))
	}
	return b.String()
}
