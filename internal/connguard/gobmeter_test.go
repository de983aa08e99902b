package connguard

import (
	"bytes"
	"encoding/gob"
	"testing"

	"gotest.tools/v3/assert"
)

type gobSample struct {
	Text  []byte
	Names map[string]int
	Next  *gobSample
}

// FuzzGobFraming compares the meter with what gob's encoder writes, however the bytes are split. It guards against messages of peers that
// the meter misses or refuses.
func FuzzGobFraming(f *testing.F) {
	f.Add([]byte("text"), 3, uint8(0))
	f.Add(bytes.Repeat([]byte("x"), 300), 2, uint8(7))
	f.Add([]byte{}, -70000, uint8(255))
	f.Fuzz(func(t *testing.T, text []byte, number int, step uint8) {
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		values := []any{number, gobSample{Text: text, Names: map[string]int{string(text): number}, Next: &gobSample{Text: text}}, "x", gobSample{Text: text}}
		for _, v := range values {
			assert.NilError(t, encoder.Encode(v))
		}
		m := &gobMeter{limit: 1 << 20}
		data := stream.Bytes()
		for at := 0; at < len(data); at += int(step) + 1 {
			assert.Assert(t, m.feed(data[at:min(at+int(step)+1, len(data))]))
		}
		assert.Equal(t, m.messages, int64(len(values)))
		assert.Assert(t, !m.partial() && m.types > 0)
		assert.Assert(t, m.takeWhole() >= int64(messageCost*2*len(text)))
	})
}

// FuzzGobGarbage feeds any bytes: what is counted stays within the limits, or the bytes are refused.
func FuzzGobGarbage(f *testing.F) {
	f.Add([]byte("\xfc\x3f\xff\xff\xff"))
	f.Add([]byte{0, 0, 2, 1, 1, 0xff, 0x80, 0xf8, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1000
		m := &gobMeter{limit: limit}
		for _, b := range data {
			if !m.feed([]byte{b}) {
				return
			}
			assert.Assert(t, m.held() <= messageCost*limit+typeCost*maxTypeBytes && m.held() >= 0)
		}
	})
}

// Guards against announced messages that are read although they are over the limit, and against type definitions without end.
func TestGobLimits(t *testing.T) {
	assert.Assert(t, !(&gobMeter{limit: 1 << 20}).feed([]byte("\xfc\x3f\xff\xff\xff")), "1 GB")
	assert.Assert(t, !(&gobMeter{limit: 1 << 20}).feed([]byte("\xf8\xff\xff\xff\xff\xff\xff\xff\xff")), "2^64-1 bytes")
	assert.Assert(t, !(&gobMeter{limit: 1 << 20}).feed([]byte("\x80")), "a length of 128 bytes")
	m := &gobMeter{limit: 1 << 20}
	definition := append([]byte{100, 1}, make([]byte, 99)...) // 1 is the ID -1
	for range maxTypeBytes / 100 {
		assert.Assert(t, m.feed(definition))
	}
	assert.Assert(t, !m.feed(definition))
}
