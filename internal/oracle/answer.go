package oracle

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultAnswerTokens is the length of an answer, in tokens, if the request sets no maximum.
const DefaultAnswerTokens = 16

// Token returns the token at position (from 1) of the stand-in engines' answer to a request. It
// depends on requestHash, which covers model and prompt, so that an answer to another request
// and a truncated or reordered answer are detected.
func Token(requestHash uint64, position int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], requestHash)
	binary.LittleEndian.PutUint64(b[8:], uint64(position))
	return fmt.Sprintf("%d:%06x ", position, xxhash.Sum64(b[:])&0xffffff)
}

// RequestHash returns the hash of a request's model and prompt.
func RequestHash(model string, prompt []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(prompt)
	return d.Sum64()
}

// Answer returns the whole text of the stand-in engines' answer with the given number of tokens.
func Answer(model string, prompt []byte, tokens int) string {
	hash := RequestHash(model, prompt)
	var b strings.Builder
	for i := 1; i <= tokens; i++ {
		b.WriteString(Token(hash, i))
	}
	return b.String()
}
