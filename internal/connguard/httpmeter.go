package connguard

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	// headByteCost is the memory of a byte of a head, in bytes: the buffers that net/http grows to read
	// its line, the string that is kept, and the copies for the endpoint.
	headByteCost = 4
	// fieldCost is the memory of a field apart from the bytes of its line: its entry in the map of the request
	// and in that of the copy for the endpoint, both with room to grow.
	fieldCost = 256
	// maxKeptLine is how much of a line is kept to read a field that decides on the framing. No such
	// field is longer.
	maxKeptLine = 64
)

// httpPhase is the part of an HTTP/1 request to which the next byte of a connection belongs.
type httpPhase int

const (
	phaseHead httpPhase = iota
	phaseBody
	phaseChunkSize
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	// phaseUnknown follows framing that is invalid, which net/http refuses when it gets there.
	phaseUnknown
	// phaseHTTP2 follows the preface of HTTP/2.
	phaseHTTP2
	// phaseBroken follows a head that the meter refuses.
	phaseBroken
)

// http2Preface is the line that starts an HTTP/2 connection.
const http2Preface = "PRI * HTTP/2.0"

// httpMeter follows the framing of the HTTP/1 requests of a connection, without interpreting them, and counts the
// memory that their heads and trailers take in net/http. It reads the same framing as net/http, except that it
// refuses fields for the framing whose value continues on the next line.
type httpMeter struct {
	// http2 allows the connection to become an HTTP/2 connection.
	http2 bool

	phase httpPhase
	// headBytes and lines are those of the current head without the empty line at its end, and cost is its cost.
	// blankBytes are those of empty lines before it.
	headBytes, lines, blankBytes int64
	cost                         int64
	// whole are the costs of the requests with a whole head, first the oldest; see served. The cost of a trailer adds to the last one.
	whole []int64
	// broke reports why phase is phaseBroken.
	broke closeReason

	remaining int64 // of the body or chunk
	bodyBytes int64 // of the body that have arrived
	kept      []byte
	lineBytes int64
	requests  int // heads that have started on this connection

	contentLength int64 // -1 if the head has none
	chunked       bool
	badLength     bool // the length is invalid
	badCoding     bool // the transfer coding is not the one that net/http supports
	http10        bool // or an earlier version
	framingField  bool // the line before the current one decides on the framing
}

// held returns the cost of all requests that are not served yet.
func (m *httpMeter) held() int64 {
	sum := m.cost
	for _, c := range m.whole {
		sum += c
	}
	return sum
}

// bodyOpen reports whether a body is incomplete.
func (m *httpMeter) bodyOpen() bool {
	switch m.phase {
	case phaseBody, phaseChunkSize, phaseChunkData, phaseChunkEnd, phaseTrailer, phaseUnknown:
		return true
	default:
		return false
	}
}

// largeBody reports whether the current body is larger than the buffer for it.
func (m *httpMeter) largeBody() bool {
	return m.bodyBytes > InitialBuffer || m.phase == phaseBody && m.bodyBytes+m.remaining > InitialBuffer
}

// served ends the oldest request.
func (m *httpMeter) served() {
	if len(m.whole) > 0 {
		m.whole = append(m.whole[:0], m.whole[1:]...)
	}
}

// feed reads the next bytes of a connection. maxHeadBytes is the limit for a head.
func (m *httpMeter) feed(p []byte, maxHeadBytes int64) {
	for len(p) > 0 {
		switch m.phase {
		case phaseUnknown, phaseHTTP2, phaseBroken:
			return
		case phaseBody, phaseChunkData:
			n := min(m.remaining, int64(len(p)))
			m.remaining -= n
			m.bodyBytes += n
			p = p[n:]
			if m.remaining == 0 {
				if m.phase == phaseBody {
					m.startHead()
				} else {
					m.phase = phaseChunkEnd
				}
			}
		case phaseHead, phaseChunkSize, phaseChunkEnd, phaseTrailer:
			p = m.feedLine(p, maxHeadBytes)
		}
	}
}

// feedLine reads up to the end of a line and returns the rest.
func (m *httpMeter) feedLine(p []byte, maxHeadBytes int64) []byte {
	end := bytes.IndexByte(p, '\n')
	part, rest := p, []byte(nil)
	if end >= 0 {
		part, rest = p[:end], p[end+1:]
	}
	m.keep(part)
	counted := int64(len(part))
	m.lineBytes += counted
	if end >= 0 {
		counted++
	}
	line := bytes.TrimSuffix(m.kept, []byte("\r"))
	emptyEnd := end >= 0 && m.lineBytes == int64(len(m.kept)) && len(line) == 0
	switch m.phase {
	case phaseHead:
		m.countHead(counted, emptyEnd)
		// An unfinished line may be the start of the empty line at the end.
		if max(m.headBytes, m.blankBytes) > maxHeadBytes && (end >= 0 || string(m.kept) != "\r") {
			m.fail(reasonHeadSize)
			return nil
		}
	case phaseTrailer:
		m.addToLast(headByteCost * counted)
	}
	if end < 0 {
		return nil
	}
	m.endLine(line, emptyEnd)
	m.kept, m.lineBytes = m.kept[:0], 0
	return rest
}

// countHead counts n bytes of a line of a head, which ends it if the line is empty.
func (m *httpMeter) countHead(n int64, empty bool) {
	if !empty {
		m.headBytes += n
		m.cost += headByteCost * n
		return
	}
	earlier := m.lineBytes + 1 - n // of this line, which were counted before it was known to be empty
	m.headBytes -= earlier
	m.cost -= headByteCost * earlier
	if m.lines == 0 {
		m.blankBytes += m.lineBytes + 1
	}
}

// keep stores the first bytes of a line, and of a request line the last ones, which name the version.
func (m *httpMeter) keep(part []byte) {
	if m.phase != phaseHead || m.lines > 0 {
		m.kept = append(m.kept, part[:min(len(part), maxKeptLine-len(m.kept))]...)
		return
	}
	m.kept = append(m.kept, part[max(0, len(part)-maxKeptLine):]...)
	if excess := len(m.kept) - maxKeptLine; excess > 0 {
		m.kept = append(m.kept[:0], m.kept[excess:]...)
	}
}

// addToLast adds to the cost of the last request with a whole head.
func (m *httpMeter) addToLast(cost int64) {
	if n := len(m.whole); n > 0 {
		m.whole[n-1] += cost
	}
}

func (m *httpMeter) fail(reason closeReason) { m.phase, m.broke = phaseBroken, reason }

// startHead begins the next head.
func (m *httpMeter) startHead() {
	m.phase = phaseHead
	m.headBytes, m.lines, m.blankBytes, m.cost = 0, 0, 0, 0
	m.contentLength, m.chunked, m.http10, m.badLength, m.badCoding, m.framingField = -1, false, false, false, false, false
}

// endLine interprets a line without its end. Of a long line it has the first bytes.
func (m *httpMeter) endLine(line []byte, empty bool) {
	switch m.phase {
	case phaseHead:
		m.endHeadLine(line, empty)
	case phaseChunkSize:
		m.startChunk(line)
	case phaseChunkEnd:
		m.phase = phaseChunkSize
		if !empty {
			m.phase = phaseUnknown
		}
	case phaseTrailer:
		if empty {
			m.startHead()
			return
		}
		m.addToLast(fieldCost)
	}
}

// endHeadLine interprets a line of a head.
func (m *httpMeter) endHeadLine(line []byte, empty bool) {
	switch {
	case empty && m.lines == 0: // before the request line
		return
	case empty:
		m.endHead()
		return
	case m.lines == 0:
		m.requests++
		if m.http2 && m.requests == 1 && string(line) == http2Preface {
			m.phase = phaseHTTP2
			return
		}
		m.http10 = beforeHTTP11(line)
	case line[0] == ' ' || line[0] == '\t':
		if m.framingField { // net/http would join the parts of the value
			m.fail(reasonProtocol)
			return
		}
	default:
		m.readField(line)
	}
	m.lines++
	m.cost += fieldCost
}

// beforeHTTP11 reports whether a request line names a version before HTTP/1.1.
func beforeHTTP11(line []byte) bool {
	const version = "HTTP/1.1"
	if len(line) < len(version) {
		return false
	}
	major, minor, ok := http.ParseHTTPVersion(string(line[len(line)-len(version):]))
	return ok && (major < 1 || major == 1 && minor < 1)
}

// readField reads a field that decides on the framing.
func (m *httpMeter) readField(line []byte) {
	name, value, _ := strings.Cut(string(line), ":")
	value = strings.Trim(value, " \t")
	m.framingField = true
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(value, 10, 63)
		if err != nil || m.contentLength >= 0 && m.contentLength != int64(n) || len(line) == maxKeptLine {
			m.badLength = true
			return
		}
		m.contentLength = int64(n)
	case strings.EqualFold(name, "Transfer-Encoding"):
		m.badCoding = m.badCoding || m.chunked || !strings.EqualFold(value, "chunked")
		m.chunked = true
	default:
		m.framingField = false
	}
}

// endHead decides where the body ends.
func (m *httpMeter) endHead() {
	m.whole = append(m.whole, m.cost)
	m.cost, m.bodyBytes = 0, 0
	switch {
	case m.badLength && !(m.chunked && !m.http10), m.badCoding && !m.http10: // net/http ignores the coding in HTTP/1.0
		m.phase = phaseUnknown
	case m.chunked && !m.http10:
		m.phase = phaseChunkSize
	case m.contentLength > 0:
		m.phase, m.remaining = phaseBody, m.contentLength
	default:
		m.startHead()
	}
}

// startChunk reads the line with a chunk's size.
func (m *httpMeter) startChunk(line []byte) {
	const maxSizeDigits = 16
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	n, err := strconv.ParseUint(string(size), 16, 63)
	if err != nil || len(size) > maxSizeDigits {
		m.phase = phaseUnknown
		return
	}
	m.remaining = int64(n)
	m.phase = phaseChunkData
	if n == 0 {
		m.phase = phaseTrailer
	}
}
