package strictresponse

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrMalformed marks the error of a response that is not valid HTTP/1.
var ErrMalformed = errors.New("malformed response")

const (
	// checkedBytes of each line are checked: the version and the status, or the name of a field.
	checkedBytes = 256
	// maxFields is the number of fields that a response may have: each takes a multiple of its bytes in memory.
	maxFields = 500
	// nameBytes are the bytes of field names (RFC 9110, section 5.6.2).
	nameBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)

// head checks the lines of a response's head as they arrive, and those of informational responses before it. It
// rejects what net/http accepts although RFC 9112 does not.
type head struct {
	line          []byte // the first checkedBytes of the current line
	inFields      bool   // the status line has been read
	informational bool   // another head follows this one
	http10        bool
	fields        int  // in the heads so far
	ended         bool // the rest is the body
}

// check checks the next bytes of a response and returns how many of them precede the first error, including the byte
// that shows it.
func (h *head) check(p []byte) (int, error) {
	for rest := p; len(rest) > 0 && !h.ended; {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			h.line = appendChecked(h.line, rest)
			break
		}
		line := rest[:min(end, checkedBytes)]
		if len(h.line) > 0 { // it began in bytes that arrived before
			line = appendChecked(h.line, line)
			h.line = h.line[:0]
		}
		rest = rest[end+1:]
		if err := h.endLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return len(p) - len(rest), errors.Mark(err, ErrMalformed)
		}
	}
	return len(p), nil
}

// appendChecked appends to the first checkedBytes of a line.
func appendChecked(line, p []byte) []byte {
	return append(line, p[:min(len(p), checkedBytes-len(line))]...)
}

// endLine checks a line, of which it gets the first checkedBytes.
func (h *head) endLine(line []byte) error {
	switch {
	case !h.inFields:
		h.inFields = true
		return h.checkStatusLine(line)
	case len(line) > 0:
		return h.checkField(line)
	case h.informational:
		h.inFields = false
	default:
		h.ended = true
	}
	return nil
}

// Versions that a response may have. net/http accepts others, and applies the rules of the nearest one.
const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
)

// checkStatusLine checks "HTTP/1.x NNN reason".
func (h *head) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != http10 && string(version) != http11 {
		return errors.Newf("invalid version in %q", line)
	}
	status, _, _ := bytes.Cut(rest, []byte(" "))
	if len(status) != 3 || bytes.ContainsFunc(status, func(r rune) bool { return r < '0' || r > '9' }) || status[0] < '1' || status[0] > '5' {
		return errors.Newf("invalid status in %q", line)
	}
	if string(status) == "101" {
		return errors.New("server switched protocols instead of responding")
	}
	h.informational, h.http10 = status[0] == '1', string(version) == http10
	return nil
}

// checkField checks the name of a field. A line that starts with a blank continues the value of the field before it
// (RFC 9112, section 5.2), or is a field whose name starts with a blank: it is rejected, too.
func (h *head) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !validName(name) {
		return errors.Newf("invalid field name in %q", line)
	}
	if h.fields++; h.fields > maxFields {
		return errors.Newf("more than %d fields", maxFields)
	}
	if h.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return errors.New("HTTP/1.0 response with a transfer coding") // net/http would pass on the coded body
	}
	return nil
}

// validName reports whether name can be the name of a header or trailer field.
func validName[T string | []byte](name T) bool {
	for i := range len(name) {
		if !inName[name[i]] {
			return false
		}
	}
	return len(name) > 0
}

// inName tells which bytes a field name may have.
var inName = func() (allowed [256]bool) {
	for _, b := range []byte(nameBytes) {
		allowed[b] = true
	}
	return allowed
}()
