// Package jsonarray finds the elements of one array in a JSON document without decoding them, so that
// a reader which knows most of them decodes only the others.
package jsonarray

import (
	"bytes"
	"hash/maphash"
	"strings"
	"sync"
)

// maxDepth limits the nesting of a document that Split accepts. It is below the limit of encoding/json.
const maxDepth = 100

// Array holds the texts of the elements of an array.
type Array struct {
	Elements [][]byte
	// Known holds, for each element, the index of the same text in the array that was passed to Split, or -1.
	Known []int

	once   sync.Once
	seed   maphash.Seed
	byHash map[uint64]int // indexes of Elements; built when first needed
}

// find returns the index of an element with the given text, or -1.
func (a *Array) find(text []byte) int {
	a.once.Do(func() {
		a.seed, a.byHash = maphash.MakeSeed(), make(map[uint64]int, len(a.Elements))
		for i, e := range a.Elements {
			a.byHash[maphash.Bytes(a.seed, e)] = i
		}
	})
	if i, ok := a.byHash[maphash.Bytes(a.seed, text)]; ok && bytes.Equal(a.Elements[i], text) {
		return i
	}
	return -1
}

// Split splits a JSON object whose member with the given name is an array of objects. rest is the
// document with an empty array in its place. The document is valid JSON if and only if rest and all
// elements are. known may be an array of an earlier document, whose elements are valid, or nil.
//
// ok is false if the document has no such member, or if encoding/json may take another one for it, too.
func Split(document []byte, name string, known *Array) (a *Array, rest []byte, ok bool) {
	s := scanner{text: document, known: known}
	if known == nil {
		s.known = &Array{}
	}
	begin, end := -1, -1
	if !s.next('{') {
		return nil, nil, false
	}
	for more := true; more; more = s.next(',') {
		key, isString := s.string()
		if !isString || !s.next(':') || bytes.IndexByte(key, '\\') >= 0 {
			return nil, nil, false
		}
		if !strings.EqualFold(string(key), name) {
			if _, valid := s.value(); !valid {
				return nil, nil, false
			}
			continue
		}
		if begin >= 0 || string(key) != name || !s.next('[') {
			return nil, nil, false
		}
		begin = s.at
		if a, ok = s.objects(); !ok {
			return nil, nil, false
		}
		end = s.at - 1 // before the closing bracket
	}
	if begin < 0 || !s.next('}') {
		return nil, nil, false
	}
	rest = make([]byte, 0, len(document)-(end-begin))
	return a, append(append(rest, document[:begin]...), document[end:]...), true
}

// scanner reads a JSON text from position at on. It finds the ends of values and does not check them.
type scanner struct {
	text []byte
	at   int
	// known holds elements that the array may have, and nextKnown the index of the one that is
	// expected next.
	known     *Array
	nextKnown int
}

// skipSpace skips white space and reports whether anything follows.
func (s *scanner) skipSpace() bool {
	for ; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
		default:
			return true
		}
	}
	return false
}

// next skips white space and the byte c, if that follows.
func (s *scanner) next(c byte) bool {
	if !s.skipSpace() || s.text[s.at] != c {
		return false
	}
	s.at++
	return true
}

// string reads a string and returns its text without the quotes.
func (s *scanner) string() ([]byte, bool) {
	if !s.next('"') {
		return nil, false
	}
	begin := s.at
	for {
		i := bytes.IndexByte(s.text[s.at:], '"')
		if i < 0 {
			return nil, false
		}
		end := s.at + i
		s.at = end + 1
		backslashes := 0
		for end-backslashes > begin && s.text[end-backslashes-1] == '\\' {
			backslashes++
		}
		if backslashes%2 == 0 {
			return s.text[begin:end], true
		}
	}
}

// objects reads the objects of an array up to its closing bracket.
func (s *scanner) objects() (*Array, bool) {
	a := &Array{Elements: make([][]byte, 0, len(s.known.Elements)+1), Known: make([]int, 0, len(s.known.Elements)+1)}
	if s.next(']') {
		return a, true
	}
	for more := true; more; more = s.next(',') {
		if !s.skipSpace() || s.text[s.at] != '{' {
			return nil, false
		}
		element, index, valid := s.object()
		if !valid {
			return nil, false
		}
		a.Elements, a.Known = append(a.Elements, element), append(a.Known, index)
	}
	return a, s.next(']')
}

// object reads an object and returns its text, and its index in known or -1. A known object ends where the
// known text does, so a text that begins with it is not read.
func (s *scanner) object() (text []byte, index int, ok bool) {
	for i := s.nextKnown; i < min(s.nextKnown+2, len(s.known.Elements)); i++ {
		if known := s.known.Elements[i]; bytes.HasPrefix(s.text[s.at:], known) {
			begin := s.at
			s.at, s.nextKnown = begin+len(known), i+1
			return s.text[begin:s.at], i, true
		}
	}
	if text, ok = s.value(); !ok {
		return nil, 0, false
	}
	if index = s.known.find(text); index >= 0 {
		s.nextKnown = index + 1
	}
	return text, index, true
}

// value reads one value of any type and returns its text.
func (s *scanner) value() ([]byte, bool) {
	if !s.skipSpace() {
		return nil, false
	}
	begin, depth := s.at, 0
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case '"':
			if _, ok := s.string(); !ok {
				return nil, false
			}
			if depth == 0 {
				return s.text[begin:s.at], true
			}
			continue
		case '{', '[':
			if depth++; depth > maxDepth {
				return nil, false
			}
		case '}', ']':
			if depth--; depth == 0 {
				s.at++
				return s.text[begin:s.at], true
			}
		case ',', ':':
			if depth == 0 {
				return s.text[begin:s.at], s.at > begin
			}
		}
		if depth < 0 {
			return s.text[begin:s.at], s.at > begin // the end of the object around a number or literal
		}
		s.at++
	}
	return nil, false
}
