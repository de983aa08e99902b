package connguard

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// parsedRequest is a request as net/http reads it.
type parsedRequest struct {
	headBytes int64 // without the empty line at the end
	fields    int
	end       int // offset of the first byte after the request
}

// parseRequests reads requests with net/http until it finds none.
func parseRequests(data []byte) []parsedRequest {
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	offset := func() int { return len(data) - source.Len() - reader.Buffered() }
	var out []parsedRequest
	for {
		start := offset()
		r, err := http.ReadRequest(reader)
		if err != nil {
			return out
		}
		head := data[start:offset()]
		head = bytes.TrimSuffix(bytes.TrimSuffix(head, []byte("\n")), []byte("\r"))
		p := parsedRequest{headBytes: int64(len(head))}
		for _, values := range r.Header {
			p.fields += len(values)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return out
		}
		p.end = offset()
		out = append(out, p)
	}
}

// foldsFraming reports whether a field that decides on the framing may go on in the next line, which the meter refuses.
func foldsFraming(data []byte) bool {
	lower := bytes.ToLower(data)
	return (bytes.Contains(lower, []byte("content-length:")) || bytes.Contains(lower, []byte("transfer-encoding:"))) &&
		(bytes.Contains(data, []byte("\n ")) || bytes.Contains(data, []byte("\n\t")))
}

// FuzzHTTPFraming compares the meter with net/http: the same requests begin at the same bytes, heads are refused exactly if they are over the limit,
// their memory is counted, and the way in which the bytes are split makes no difference. It guards against clients that
// hide a head from the meter, and against requests inside the limits that are refused.
func FuzzHTTPFraming(f *testing.F) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\n"
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc" + head + "\r\n",
		head + "Content-Length: 5\r\n\r\nordergarbage",
		head + "Content-Length: 5\r\n\r\norder" + head + "Content-Length: 0\r\n\r\n" + head + "\r\n",
		head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\norder",
		head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\norder!",
		head + "Content-Length:\r\n 5\r\n\r\norder",
		head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n1\r\na\r\n0\r\n\r\n" + head + "\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0a \r\n0123456789\r\n0\r\nT: v\r\nU: w\r\n\r\n" + head + "\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + head + "\r\n",
		head + "Transfer-Encoding: gzip\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n\n" + head + "a:\nb:c\r\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /" + strings.Repeat("x", 200) + " HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
		head + "X: y\r\n folded\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"FACE / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(seed), uint16(100), uint8(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, limit uint16, step uint8) {
		requests := parseRequests(data)
		folds := foldsFraming(data)
		previous := 0
		for i, r := range requests {
			m := newMeter()
			for at := 0; at < r.end; at += int(step) + 1 {
				m.feed(data[at:min(at+int(step)+1, r.end)], 1<<40)
			}
			if m.phase == phaseBroken && folds {
				return
			}
			assert.Equal(t, m.phase, phaseHead, "after request %d", i)
			assert.Assert(t, m.headBytes == 0 && m.lines == 0 && !m.bodyOpen(), "after request %d", i)
			assert.Equal(t, len(m.whole), i+1)
			assert.Assert(t, m.whole[i] >= headByteCost*r.headBytes+int64(r.fields)*fieldCost, "request %d", i)
			assert.Assert(t, len(m.kept) <= maxKeptLine)

			whole := newMeter()
			whole.feed(data[:r.end], 1<<40)
			assert.DeepEqual(t, whole.whole, m.whole)

			alone := newMeter()
			alone.feed(data[previous:r.end], int64(limit))
			assert.Equal(t, alone.phase == phaseBroken, r.headBytes > int64(limit), "head of %d bytes, limit %d", r.headBytes, limit)
			previous = r.end
		}
	})
}

func newMeter() *httpMeter {
	m := &httpMeter{}
	m.startHead()
	return m
}

// Guards against heads without end that the meter does not refuse, in whatever form they come.
func TestEndlessHeadsAreRefused(t *testing.T) {
	const limit = 1000
	for name, form := range map[string]struct{ start, unit string }{
		"fields":       {"GET / HTTP/1.1\r\n", "a:\r\n"},
		"one field":    {"GET / HTTP/1.1\r\na:", "x"},
		"request line": {"GET /", "x"},
		"empty lines":  {"", "\r\n"},
		"bare LF":      {"", "\n"},
		"CR":           {"GET / HTTP/1.1\r\n", "\r"},
		"second head":  {"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nokGET / HTTP/1.1\r\n", "a:\r\n"},
	} {
		m := newMeter()
		m.feed([]byte(form.start), limit)
		for i := 0; m.phase != phaseBroken; i++ {
			assert.Assert(t, i*len(form.unit) <= limit, name)
			m.feed([]byte(form.unit), limit)
		}
		assert.Equal(t, m.broke, reasonHeadSize, name)
	}
}

// Guards against a request whose memory stays counted after it was served, and against one that is given back too early.
func TestRequestsInOneReadAreServedInOrder(t *testing.T) {
	m := newMeter()
	m.feed([]byte("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\na: b\r\n\r\nPOST /3 HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"), 1000)
	assert.Equal(t, len(m.whole), 3)
	second := m.whole[1]
	m.served()
	assert.Equal(t, m.whole[0], second)
	m.served()
	assert.Assert(t, m.bodyOpen() && m.held() > 0)
	m.feed([]byte(" more"), 1000)
	assert.Assert(t, !m.bodyOpen())
	m.served()
	assert.Equal(t, m.held(), int64(0))
}

// Guards against trailers whose fields cost nothing.
func TestTrailersAreCounted(t *testing.T) {
	const fields = 100
	m := newMeter()
	m.feed([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"), 1000)
	before := m.held()
	for i := range fields {
		m.feed(fmt.Appendf(nil, "t%d:\r\n", i), 1000)
	}
	assert.Assert(t, m.held() >= before+fields*fieldCost)
}
