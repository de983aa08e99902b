// Package textpatch encodes a text as its difference from an earlier one. It finds what two texts
// share in any order, in pieces that end with a closing brace or a line feed, so that a change of
// some objects in a large document costs the size of these objects.
//
// Invariant: Apply returns the text that the patch was made from, byte for byte, or an error.
package textpatch

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"hash/maphash"
	"math/bits"
	"slices"

	"eelgrasshollow/internal/errkind"
)

const (
	// minCopy is the shortest shared piece that is copied instead of sent.
	minCopy = 32
	// maxPiece is the length of a piece without an end. It bounds the search for the end, too.
	maxPiece = 4096
	// partBytes estimates the encoded size of a Part without its data.
	partBytes = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Patch is the difference between two texts. Its fields are stored and sent with gob and keep their
// names.
type Patch struct {
	BaseSize int
	BaseSum  uint32 // CRC-32C of the base
	Size     int    // of the result
	Sum      uint32 // CRC-32C of the result
	Parts    []Part
}

// Part is a piece of the result: Data, or Length bytes of the base from Offset on if Data is empty.
type Part struct {
	Offset, Length int
	Data           []byte
}

// EncodedSize estimates the size of the encoded patch in bytes.
func (p *Patch) EncodedSize() int {
	size := partBytes
	for _, part := range p.Parts {
		size += partBytes + len(part.Data)
	}
	return size
}

// Diff returns the patch that turns base into result.
func Diff(base, result []byte) *Patch {
	p := &Patch{BaseSize: len(base), BaseSum: crc32.Checksum(base, castagnoli), Size: len(result), Sum: crc32.Checksum(result, castagnoli)}
	prefix := wholePieces(result[:commonPrefix(base, result)])
	suffix := commonSuffix(base[prefix:], result[prefix:])
	p.copyBase(0, prefix)
	p.diffMiddle(base, prefix, len(base)-suffix, result[prefix:len(result)-suffix])
	p.copyBase(len(base)-suffix, suffix)
	return p
}

// diffMiddle appends the parts for middle, which replaces the bytes of base in [begin, end).
func (p *Patch) diffMiddle(base []byte, begin, end int, middle []byte) {
	if len(middle) == 0 {
		return
	}
	index := newPieceIndex(base, begin, end)
	next := begin // position in base after the last copy
	for len(middle) > 0 {
		piece := middle[:pieceLength(middle)]
		at, found := index.find(piece, next)
		if !found {
			p.add(piece)
			middle = middle[len(piece):]
			continue
		}
		length := max(len(piece), wholePieces(middle[:commonPrefix(base[at:end], middle)]))
		if length < minCopy {
			p.add(middle[:length])
		} else {
			p.copyBase(at, length)
		}
		next, middle = at+length, middle[length:]
	}
}

// copyBase appends a copy of length bytes of the base.
func (p *Patch) copyBase(offset, length int) {
	if length == 0 {
		return
	}
	if last := len(p.Parts) - 1; last >= 0 && len(p.Parts[last].Data) == 0 && p.Parts[last].Offset+p.Parts[last].Length == offset {
		p.Parts[last].Length += length
		return
	}
	p.Parts = append(p.Parts, Part{Offset: offset, Length: length})
}

// add appends bytes that the base does not have.
func (p *Patch) add(data []byte) {
	if last := len(p.Parts) - 1; last >= 0 && len(p.Parts[last].Data) > 0 {
		p.Parts[last].Data = append(p.Parts[last].Data, data...)
		return
	}
	p.Parts = append(p.Parts, Part{Data: slices.Clone(data)})
}

// Apply returns the result of the patch. It returns an error of kind Stale if base is another text
// than the one that the patch was made for, and Corrupt if the patch is damaged.
func (p *Patch) Apply(base []byte) ([]byte, error) {
	if len(base) != p.BaseSize || crc32.Checksum(base, castagnoli) != p.BaseSum {
		return nil, errkind.New(errkind.Stale, "patch was made for another text")
	}
	size := 0
	for _, part := range p.Parts {
		if part.Length < 0 || part.Offset < 0 || part.Offset > len(base) || part.Length > len(base)-part.Offset {
			return nil, errkind.New(errkind.Corrupt, "patch copies bytes [%d, %d+%d) of %d", part.Offset, part.Offset, part.Length, len(base))
		}
		size += part.size()
	}
	if size != p.Size {
		return nil, errkind.New(errkind.Corrupt, "parts of the patch have %d bytes, its result %d", size, p.Size)
	}
	result := make([]byte, 0, size)
	for _, part := range p.Parts {
		if len(part.Data) > 0 {
			result = append(result, part.Data...)
		} else {
			result = append(result, base[part.Offset:part.Offset+part.Length]...)
		}
	}
	if crc32.Checksum(result, castagnoli) != p.Sum {
		return nil, errkind.New(errkind.Corrupt, "checksum mismatch of the patch's result")
	}
	return result, nil
}

func (p *Part) size() int {
	if len(p.Data) > 0 {
		return len(p.Data)
	}
	return p.Length
}

// pieceIndex finds the pieces of a part of a text.
type pieceIndex struct {
	text []byte
	end  int // the indexed part ends there
	seed maphash.Seed
	at   map[uint64][]int32 // positions by hash, ascending
}

func newPieceIndex(text []byte, begin, end int) *pieceIndex {
	x := &pieceIndex{text: text, end: end, seed: maphash.MakeSeed(), at: map[uint64][]int32{}}
	for begin < end {
		length := pieceLength(text[begin:end])
		key := maphash.Bytes(x.seed, text[begin:begin+length])
		x.at[key] = append(x.at[key], int32(begin))
		begin += length
	}
	return x
}

// find returns the first position of a piece at or after from, or else its first position.
func (x *pieceIndex) find(piece []byte, from int) (int, bool) {
	positions := x.at[maphash.Bytes(x.seed, piece)]
	if len(positions) == 0 {
		return 0, false
	}
	i, _ := slices.BinarySearch(positions, int32(from))
	if i == len(positions) {
		i = 0
	}
	at := int(positions[i])
	return at, at+len(piece) <= x.end && bytes.Equal(x.text[at:at+len(piece)], piece)
}

// pieceLength returns the length of the first piece of a text that is not empty.
func pieceLength(text []byte) int {
	text = text[:min(len(text), maxPiece)]
	if i := bytes.IndexByte(text, '}'); i >= 0 {
		text = text[:i+1]
	}
	if i := bytes.IndexByte(text, '\n'); i >= 0 {
		text = text[:i+1]
	}
	return len(text)
}

// wholePieces returns the length of the pieces of a text without the last one if that has no end. A copy
// that ended within a piece would hide where the next piece begins.
func wholePieces(text []byte) int { return bytes.LastIndexAny(text, "}\n") + 1 }

const wordBytes = 8

// commonPrefix returns the length of the longest common prefix.
func commonPrefix(a, b []byte) int {
	n, i := min(len(a), len(b)), 0
	for ; n-i >= wordBytes; i += wordBytes {
		if x := binary.LittleEndian.Uint64(a[i:]) ^ binary.LittleEndian.Uint64(b[i:]); x != 0 {
			return i + bits.TrailingZeros64(x)/wordBytes
		}
	}
	for i < n && a[i] == b[i] {
		i++
	}
	return i
}

// commonSuffix returns the length of the longest common suffix.
func commonSuffix(a, b []byte) int {
	n, i := min(len(a), len(b)), 0
	for ; n-i >= wordBytes; i += wordBytes {
		x := binary.LittleEndian.Uint64(a[len(a)-i-wordBytes:]) ^ binary.LittleEndian.Uint64(b[len(b)-i-wordBytes:])
		if x != 0 {
			return i + bits.LeadingZeros64(x)/wordBytes
		}
	}
	for i < n && a[len(a)-1-i] == b[len(b)-1-i] {
		i++
	}
	return i
}
